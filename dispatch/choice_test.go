package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

func TestALowWorkerIsChosenBeforeAHighOne(t *testing.T) {
	setThreshold := func(d *Dispatcher) { // T = 1
		d.halvedAt = d.now
		copy(d.estimator.observed[:], []float64{4, 4, 4, 4})
		copy(d.estimator.idleAfter[:], []float64{4, 4, 0, 0})
	}
	for _, c := range []struct {
		name         string
		jobsX, jobsY float64
		want         int // 0 for x, 1 for y, 2 for either
	}{{"Low before High", 1, 3, 0}, {"High after Low", 2, 0, 1}, {"the fewer jobs", 3, 2, 1},
		{"two Low", 0, 1, 2}} {
		choseY := map[bool]int{}
		for i := range 40 {
			d := testDispatcher(6, nil)
			d.random += stats.Random(i * 7919)
			setThreshold(d)
			x, y := admitAndProbe(t, d, 0, 0)
			choseY[answerAndPush(t, d, x, loadWithJobs(c.jobsX), y, loadWithJobs(c.jobsY)) == y]++
		}
		if c.want == 2 && (choseY[true] < 8 || choseY[false] < 8) || c.want < 2 && choseY[c.want == 1] != 40 {
			t.Errorf("%s: y was chosen %v times", c.name, choseY)
		}
	}
}

func TestAnOpIsPushedThoughProbesGetNoAnswer(t *testing.T) {
	d := testDispatcher(6, nil)
	x, _ := admitAndProbe(t, d, 0, 0)
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, loadWithJobs(9))
	if all := pullDecisions(d); len(all) != 0 {
		t.Fatalf("decisions before the probe timeout: %v", all)
	}
	d.AdvanceClock(d.now + d.probeTimeout())
	if got := expectPush(t, d); got != x {
		t.Errorf("pushed to %d, want the worker that answered, %d", got, x)
	}
	admitAndProbe(t, d, 1, 0)
	d.AdvanceClock(d.now + d.probeTimeout())
	if got := expectPush(t, d); got < 0 || got >= 6 {
		t.Errorf("without an answer: pushed to %d", got)
	}
}

// A wide op must not be pushed to a Low worker without capacity for it, where it blocks the queue.
func TestAWideOpGoesToAWorkerWithCapacity(t *testing.T) {
	d := testDispatcher(2, nil)
	d.halvedAt = d.now
	copy(d.estimator.observed[:], []float64{4, 4, 4, 4})
	copy(d.estimator.idleAfter[:], []float64{4, 4, 4, 0})
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 4})
	pullDecisions(d)
	if got := answerAndPush(t, d, 0, loadWithJobs(2), 1, loadWithJobs(0)); got != 1 {
		t.Errorf("an op of four slots was pushed to worker %d, which has two free slots", got)
	}
}

// This scheduler's own attempts must count before a load report includes them. Otherwise a scheduler under
// load chooses the same idle worker twice.
func TestAttemptsSinceTheLastReportCountAsJobs(t *testing.T) {
	d := testDispatcher(2, nil)
	admitAndProbe(t, d, 0, 0)
	first := answerAndPush(t, d, 0, loadWithJobs(0), 1, loadWithJobs(0))
	admitAndProbe(t, d, 1, 0)
	if second := answerAndPush(t, d, 0, loadWithJobs(0), 1, loadWithJobs(0)); second == first {
		t.Errorf("both ops were pushed to worker %d", first)
	}
}

// A slow worker with a short queue must not be chosen before a faster one, as ops would end late there.
func TestClearlySlowerWorkerIsPassedOver(t *testing.T) {
	d := testDispatcher(2, nil)
	for range 12 {
		d.fleet.workers[0].serviceTimeRatios = append(d.fleet.workers[0].serviceTimeRatios, 2)
		d.fleet.workers[1].serviceTimeRatios = append(d.fleet.workers[1].serviceTimeRatios, 1)
	}
	admitAndProbe(t, d, 0, 0)
	if got := answerAndPush(t, d, 0, loadWithJobs(0), 1, loadWithJobs(0)); got != 1 {
		t.Errorf("pushed to the slow worker")
	}
}

func TestOfTwoLowWorkersTheOneInTheOwnZoneIsChosen(t *testing.T) {
	d := testDispatcher(2, func(s *Settings) { s.CrossZonePrice, s.Zone = 0.03, 1 })
	for i := range 10 {
		admitAndProbe(t, d, i, 0)
		if got := answerAndPush(t, d, 0, loadWithJobs(0), 1, loadWithJobs(0)); got != 1 {
			t.Fatal("pushed to another zone though the own zone has a Low worker")
		}
		d.AttemptEnded(i, 0, Succeeded, true)
	}
}

// An idle worker of four slots must have capacity for an op of four, though it reports 3.4 free ones: load
// reports are noisy.
func TestIdleWorkerHasCapacityForWideOp(t *testing.T) {
	d := testDispatcher(2, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 4})
	pullDecisions(d)
	d.ProbeAnswered(0, 0, LoadReport{RunningJobs: 0, FreeSlots: 3.4, FreeMemory: -1})
	d.ProbeAnswered(1, 0, LoadReport{RunningJobs: 0.9, FreeSlots: 3.4, FreeMemory: -1})
	if !d.hasCapacity(d.ops.at(0), 0) || d.hasCapacity(d.ops.at(0), 1) {
		t.Error("of two workers that report 3.4 free slots, only the idle one must have capacity for four")
	}
}

// An op of four slots that lacks only some of them must not count as behind a whole job. Otherwise it is
// nacked because one short job takes one slot.
func TestQueuePositionOfWideOpByMissingSlots(t *testing.T) {
	d := testDispatcher(3, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 4})
	for i, n := range []float64{1, 3, 5} {
		d.ProbeAnswered(i, 0, loadWithJobs(n))
	}
	o := d.ops.at(0)
	if x, y, z := d.queuePosition(o, 0), d.queuePosition(o, 1), d.queuePosition(o, 2); x != 0.25 ||
		y != 0.75 || z != 2 {
		t.Errorf("queue positions %v, %v, %v with one and three missing slots and one queued job", x, y, z)
	}
}

// Load reports that are seconds old must be ignored. Otherwise all schedulers push to the workers that look
// idle, so that starts come a second late.
func TestStaleReportsAreIgnored(t *testing.T) {
	d := testDispatcher(2, nil)
	d.samples.probeRTTs = []Time{100}
	for i := range stats.MaxRecent {
		// Half of the starts are late. In a shared fleet with reports that are a second old, such starts
		// took longer the more capacity was reported.
		d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, []Time{9_000, 100}[i%2]})
	}
	admitAndProbe(t, d, 0, 0)
	first := answerAndPush(t, d, 0, loadWithJobs(0), 1, loadWithJobs(0))
	admitAndProbe(t, d, 1, 0)
	loads := []LoadReport{loadWithJobs(2), loadWithJobs(2)}
	loads[first] = loadWithJobs(0)
	if second := answerAndPush(t, d, 0, loads[0], 1, loads[1]); second == first {
		t.Error("a stale report sent the op to the worker that has this scheduler's own attempt")
	}
	d.AdvanceClock(d.now + maxVerdictAge)
	if d.currentSummary().reportsStale {
		t.Error("reports are still ignored because of old start samples")
	}
	d = testDispatcher(2, nil)
	d.samples.probeRTTs = []Time{100}
	for i := range stats.MaxRecent {
		d.samples.startSamples = append(d.samples.startSamples,
			startSample{d.now, []Time{9_000, 100, 100, 100}[i%4]})
	}
	if d.currentSummary().reportsStale {
		t.Error("reports are ignored though three starts in four were prompt")
	}
}

// A worker without samples must get the service time ratio of its machine kind. Otherwise a scheduler that
// uses each worker once a minute predicts jobs on a slow kind to take as long as the fleet's median.
func TestServiceTimeRatioOfUnknownWorkerIsThatOfItsKind(t *testing.T) {
	d := testDispatcher(4, nil)
	for i := range 4 {
		setIdentity(d, i, uint64(i+1), i%2)
	}
	for range 8 {
		d.fleet.workers[0].serviceTimeRatios.Add(&d.fleet.kinds[d.fleet.workers[0].kind].serviceTimeRatios, 0.5)
		d.fleet.workers[1].serviceTimeRatios.Add(&d.fleet.kinds[d.fleet.workers[1].kind].serviceTimeRatios, 2)
	}
	if fast, slow := d.fleet.serviceTimeRatio(2), d.fleet.serviceTimeRatio(3); fast != 0.5 || slow != 2 {
		t.Errorf("ratios of workers without samples: %g and %g, want 0.5 and 2", fast, slow)
	}
}
