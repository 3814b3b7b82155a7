package dispatch

import "testing"

func TestThresholdOfKnownCounters(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b []float64
		want int
	}{
		{"no readings", nil, nil, 0},
		{"0 and 1 always idle, 2 and 3 never", []float64{4, 4, 4, 4}, []float64{4, 4, 0, 0}, 1},
		{"only 0 idle", []float64{5, 5, 5}, []float64{5, 0, 0}, 0},
		{"mostly idle up to 2", []float64{10, 10, 10, 10}, []float64{10, 9, 8, 1}, 2},
		{"equal entropy: the lowest state", []float64{3, 3, 3}, []float64{0, 0, 0}, 0},
		// Under low load every state leads to idleness. With T = 0, idle workers would be High.
		{"low load: all observed states are Low", []float64{5, 5, 5, 5}, []float64{5, 5, 5, 5}, 3},
		{"one side empty", []float64{0, 0, 6}, []float64{0, 0, 2}, 0},
	} {
		var e thresholdEstimator
		copy(e.observed[:], c.a)
		copy(e.idleAfter[:], c.b)
		if got := e.threshold(); got != c.want {
			t.Errorf("%s: T = %d, want %d", c.name, got, c.want)
		}
	}
}

func TestReadingsArePairedFromHalfToTwiceTheStartDelay(t *testing.T) {
	for gap, want := range map[Time]float64{49: 0, 50: 1, 200: 1, 201: 0} {
		d := testDispatcher(2, nil)
		d.halvedAt, d.estimator.startDelays = d.now, []Time{100}
		d.ProbeAnswered(0, 0, loadWithJobs(3))
		d.AdvanceClock(d.now + gap)
		d.ProbeAnswered(0, 0, loadWithJobs(1))
		if d.estimator.observed[3] != want || d.estimator.idleAfter[3] != want {
			t.Errorf("gap %d: a = %v, b = %v, want %v", gap, d.estimator.observed[3], d.estimator.idleAfter[3], want)
		}
	}
	d := testDispatcher(2, nil)
	d.halvedAt, d.estimator.startDelays = d.now, []Time{100}
	d.ProbeAnswered(0, 0, loadWithJobs(3))
	d.AdvanceClock(d.now + 100)
	d.ProbeAnswered(0, 0, loadWithJobs(5))
	if d.estimator.observed[3] != 1 || d.estimator.idleAfter[3] != 0 {
		t.Errorf("a reading with a queue counted as idle: a = %v, b = %v", d.estimator.observed[3],
			d.estimator.idleAfter[3])
	}
}

func TestThresholdCountersHalveAfterEachHalfLife(t *testing.T) {
	d := testDispatcher(2, nil)
	d.halvedAt, d.estimator.observed[2], d.estimator.idleAfter[2] = d.now, 8, 4
	d.AdvanceClock(d.now + 2*counterHalfLife)
	if d.halveCounters(); d.estimator.observed[2] != 2 || d.estimator.idleAfter[2] != 1 {
		t.Errorf("after two half-lives a = %v, b = %v, want 2 and 1", d.estimator.observed[2],
			d.estimator.idleAfter[2])
	}
}

// A report without a job count must not be read as no jobs: T would stay at 0 and every worker would be
// Low.
func TestReportWithoutJobCountIsCompleted(t *testing.T) {
	d := testDispatcher(3, nil)
	d.ProbeAnswered(0, 50, LoadReport{RunningJobs: -1, QueuedJobs: 0, FreeSlots: 4, FreeMemory: -1})
	d.ProbeAnswered(1, 50, LoadReport{RunningJobs: -1, QueuedJobs: 0, FreeSlots: 1, FreeMemory: -1})
	d.ProbeAnswered(2, 50, LoadReport{RunningJobs: -1, QueuedJobs: 3, FreeSlots: 0, FreeMemory: -1})
	for i, want := range []float64{0, 3, 7} {
		if got := d.jobCount(i); got != want {
			t.Errorf("worker %d: job count %g, want %g", i, got, want)
		}
	}
}
