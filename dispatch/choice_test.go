package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

func TestPlacement(t *testing.T) {
	low := func(d *Dispatcher) { // T = 1
		d.halvedAt = d.now
		copy(d.estimator.observed[:], []float64{4, 4, 4, 4})
		copy(d.estimator.idleAfter[:], []float64{4, 4, 0, 0})
	}
	for _, c := range []struct {
		name   string
		jx, jy float64
		want   int // 0 for x, 1 for y, 2 for either
	}{{"Low before High", 1, 3, 0}, {"High after Low", 2, 0, 1}, {"lower count", 3, 2, 1},
		{"two Low", 0, 1, 2}} {
		took := map[bool]int{}
		for i := range 40 {
			d := fleet(6, nil)
			d.random += stats.Random(i * 7919)
			low(d)
			x, y := probed(t, d, 0, 0)
			took[pushed(t, d, x, jobs(c.jx), y, jobs(c.jy)) == y]++
		}
		if c.want == 2 && (took[true] < 8 || took[false] < 8) || c.want < 2 && took[c.want == 1] != 40 {
			t.Errorf("%s: went to y %v", c.name, took)
		}
	}
}

func TestFallbacks(t *testing.T) {
	d := fleet(6, nil)
	x, _ := probed(t, d, 0, 0)
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, jobs(9))
	if all := decisions(d); len(all) != 0 {
		t.Fatalf("decided before the short wait was over: %v", all)
	}
	d.AdvanceClock(d.now + d.probeTimeout())
	if got := push(t, d); got != x {
		t.Errorf("pushed to %d, not to the worker that answered, %d", got, x)
	}
	probed(t, d, 1, 0)
	d.AdvanceClock(d.now + d.probeTimeout())
	if got := push(t, d); got < 0 || got >= 6 {
		t.Errorf("nobody answered: pushed to %d", got)
	}
}

// Wide ops went to Low workers without capacity for them and blocked the queue.
func TestWideOpNeedsCapacity(t *testing.T) {
	d := fleet(2, nil)
	d.halvedAt = d.now
	copy(d.estimator.observed[:], []float64{4, 4, 4, 4})
	copy(d.estimator.idleAfter[:], []float64{4, 4, 4, 0})
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 4})
	decisions(d)
	if got := pushed(t, d, 0, jobs(2), 1, jobs(0)); got != 1 {
		t.Errorf("an op of four slots went to worker %d with two free", got)
	}
}

// A busy scheduler saw one idle worker twice before any report showed its own attempt.
func TestOwnAttemptsCount(t *testing.T) {
	d := fleet(2, nil)
	probed(t, d, 0, 0)
	first := pushed(t, d, 0, jobs(0), 1, jobs(0))
	probed(t, d, 1, 0)
	if second := pushed(t, d, 0, jobs(0), 1, jobs(0)); second == first {
		t.Errorf("both ops went to worker %d", first)
	}
}

// A slow worker with a short queue kept taking ops that then ended late.
func TestClearlySlowerWorkerIsPassedOver(t *testing.T) {
	d := fleet(2, nil)
	for range 12 {
		d.fleet.workers[0].serviceTimeRatios = append(d.fleet.workers[0].serviceTimeRatios, 2)
		d.fleet.workers[1].serviceTimeRatios = append(d.fleet.workers[1].serviceTimeRatios, 1)
	}
	probed(t, d, 0, 0)
	if got := pushed(t, d, 0, jobs(0), 1, jobs(0)); got != 1 {
		t.Errorf("went to the slow worker")
	}
}

func TestOwnZoneOfTwoLow(t *testing.T) {
	d := fleet(2, func(s *Settings) { s.CrossZonePrice, s.Zone = 0.03, 1 })
	for i := range 10 {
		probed(t, d, i, 0)
		if got := pushed(t, d, 0, jobs(0), 1, jobs(0)); got != 1 {
			t.Fatal("crossed zones between two Low workers")
		}
		d.AttemptEnded(i, 0, Succeeded, true)
	}
}

// Reports are noisy: an empty worker of four slots that reported 3.4 free ones had no capacity for an op of
// four.
func TestIdleWorkerHasCapacityForWideOp(t *testing.T) {
	d := fleet(2, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 4})
	decisions(d)
	d.ProbeAnswered(0, 0, LoadReport{RunningJobs: 0, FreeSlots: 3.4, FreeMemory: -1})
	d.ProbeAnswered(1, 0, LoadReport{RunningJobs: 0.9, FreeSlots: 3.4, FreeMemory: -1})
	if !d.hasCapacity(d.ops.at(0), 0) || d.hasCapacity(d.ops.at(0), 1) {
		t.Error("of two workers that tell 3.4 free slots only the empty one has room for four")
	}
}

// Ops of four slots were nacked as finding no place, where one short job took one slot.
func TestQueuePositionOfWideOpByMissingSlots(t *testing.T) {
	d := fleet(3, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 4})
	for i, n := range []float64{1, 3, 5} {
		d.ProbeAnswered(i, 0, jobs(n))
	}
	o := d.ops.at(0)
	if x, y, z := d.queuePosition(o, 0), d.queuePosition(o, 1), d.queuePosition(o, 2); x != 0.25 || y != 0.75 || z != 2 {
		t.Errorf("places %v, %v, %v with one and three slots lacking and one waiting", x, y, z)
	}
}

// Reports seconds late sent all schedulers to the workers that looked idle; starts then came a second late.
func TestStaleReportsAreIgnored(t *testing.T) {
	d := fleet(2, nil)
	d.samples.probeRTTs = []Time{100}
	for i := range stats.MaxRecent {
		// Half of the starts are late: over a shared fleet, where reports are a second old, such starts
		// took longer the more capacity was reported.
		d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, []Time{9_000, 100}[i%2]})
	}
	probed(t, d, 0, 0)
	first := pushed(t, d, 0, jobs(0), 1, jobs(0))
	probed(t, d, 1, 0)
	loads := []LoadReport{jobs(2), jobs(2)}
	loads[first] = jobs(0)
	if second := pushed(t, d, 0, loads[0], 1, loads[1]); second == first {
		t.Error("followed a late report to the worker that has this scheduler's own push")
	}
	d.AdvanceClock(d.now + maxVerdictAge)
	if d.currentDigest().reportsStale {
		t.Error("old lateness still sets reports aside")
	}
	d = fleet(2, nil)
	d.samples.probeRTTs = []Time{100}
	for i := range stats.MaxRecent {
		d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, []Time{9_000, 100, 100, 100}[i%4]})
	}
	if d.currentDigest().reportsStale {
		t.Error("reports that three starts in four prove true are set aside")
	}
}

// A scheduler that meets a worker once a minute took a slow kind's jobs for the fleet's median.
func TestServiceTimeRatioOfUnknownWorkerIsThatOfItsKind(t *testing.T) {
	d := fleet(4, nil)
	for i := range 4 {
		identify(d, i, uint64(i+1), i%2)
	}
	for range 8 {
		d.fleet.workers[0].serviceTimeRatios.Add(&d.fleet.kinds[d.fleet.workers[0].kind].serviceTimeRatios, 0.5)
		d.fleet.workers[1].serviceTimeRatios.Add(&d.fleet.kinds[d.fleet.workers[1].kind].serviceTimeRatios, 2)
	}
	if fast, slow := d.fleet.serviceTimeRatio(2), d.fleet.serviceTimeRatio(3); fast != 0.5 || slow != 2 {
		t.Errorf("workers not met: %g and %g, want 0.5 and 2", fast, slow)
	}
}
