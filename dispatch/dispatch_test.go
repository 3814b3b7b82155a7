package dispatch

import (
	"maps"
	"slices"
	"testing"

	"woaddyke/internal/base/stats"
)

func TestThresholdByHand(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b []float64
		want int
	}{
		{"nothing seen", nil, nil, 0},
		{"0 and 1 always idle, 2 and 3 never", []float64{4, 4, 4, 4}, []float64{4, 4, 0, 0}, 1},
		{"only 0 idle", []float64{5, 5, 5}, []float64{5, 0, 0}, 0},
		{"mostly idle up to 2", []float64{10, 10, 10, 10}, []float64{10, 9, 8, 1}, 2},
		{"all the same: the lowest", []float64{3, 3, 3}, []float64{0, 0, 0}, 0},
		// A quiet fleet, where every count led to idleness, had T = 0 and called its idle workers High.
		{"quiet: all that was seen is Low", []float64{5, 5, 5, 5}, []float64{5, 5, 5, 5}, 3},
		{"one side empty", []float64{0, 0, 6}, []float64{0, 0, 2}, 0},
	} {
		d := fleet(2, nil)
		d.halvedAt = d.now
		copy(d.estimator.observed[:], c.a)
		copy(d.estimator.idleAfter[:], c.b)
		if got := d.threshold(); got != c.want {
			t.Errorf("%s: T = %d, want %d", c.name, got, c.want)
		}
	}
}

func TestPairingWindowEnds(t *testing.T) {
	for gap, want := range map[Time]float64{49: 0, 50: 1, 200: 1, 201: 0} {
		d := fleet(2, nil)
		d.halvedAt, d.estimator.startDelays = d.now, []Time{100}
		d.ProbeAnswered(0, 0, jobs(3))
		d.AdvanceClock(d.now + gap)
		d.ProbeAnswered(0, 0, jobs(1))
		if d.estimator.observed[3] != want || d.estimator.idleAfter[3] != want {
			t.Errorf("gap %d: a = %v, b = %v, want %v", gap, d.estimator.observed[3], d.estimator.idleAfter[3], want)
		}
	}
	d := fleet(2, nil)
	d.halvedAt, d.estimator.startDelays = d.now, []Time{100}
	d.ProbeAnswered(0, 0, jobs(3))
	d.AdvanceClock(d.now + 100)
	d.ProbeAnswered(0, 0, jobs(5))
	if d.estimator.observed[3] != 1 || d.estimator.idleAfter[3] != 0 {
		t.Errorf("a queue is no idleness: a = %v, b = %v", d.estimator.observed[3], d.estimator.idleAfter[3])
	}
}

func TestCountersHalve(t *testing.T) {
	d := fleet(2, nil)
	d.halvedAt, d.estimator.observed[2], d.estimator.idleAfter[2] = d.now, 8, 4
	d.AdvanceClock(d.now + 2*counterHalfLife)
	if d.halveCounters(); d.estimator.observed[2] != 2 || d.estimator.idleAfter[2] != 1 {
		t.Errorf("after two spans a = %v, b = %v, want 2 and 1", d.estimator.observed[2], d.estimator.idleAfter[2])
	}
}

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

// Wide ops went to Low workers without room for them and blocked the queue.
func TestWideOpNeedsRoom(t *testing.T) {
	d := fleet(2, nil)
	d.halvedAt = d.now
	copy(d.estimator.observed[:], []float64{4, 4, 4, 4})
	copy(d.estimator.idleAfter[:], []float64{4, 4, 4, 0})
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 4})
	decisions(d)
	if got := pushed(t, d, 0, jobs(2), 1, jobs(0)); got != 1 {
		t.Errorf("an op of four slots went to worker %d with two free", got)
	}
}

// Queues that outlast an op's time: each op was probed two dozen times and pushed late all the same.
func TestHopelessOpIsNackedSoon(t *testing.T) {
	d := fleet(6, nil)
	for i := range d.fleet.workers {
		d.addQueueSample(&d.fleet.workers[i], queueSample{1, 4_000})
	}
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
	probes := 0
	for range 400 {
		for _, a := range decisions(d) {
			switch a.Kind {
			case Probe:
				probes++
				d.ProbeAnswered(a.Worker, 0, jobs(30))
			case Nack:
				if probes > 2*maxProbeRounds {
					t.Errorf("%d probes for one op", probes)
				}
				return
			case Push:
				t.Fatal("pushed behind a queue that outlasts the op")
			}
		}
		d.AdvanceClock(d.now + 50)
	}
	t.Fatal("never answered")
}

// A busy scheduler saw one idle worker twice before any report showed its own push.
func TestOwnPushesCount(t *testing.T) {
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

func TestDoubtfulWorkerIsSeldomButStillGivenWork(t *testing.T) {
	d := fleet(2, nil)
	for range 3 {
		d.fleet.recordVerdict(d.now, 0, false)
	}
	if !d.fleet.workers[0].health.Suspected(d.now) || d.fleet.workers[1].health.Suspected(d.now) {
		t.Fatal("three failures in a row must make a worker doubtful, and only that one")
	}
	n := 0
	for range 1000 {
		if d.fleet.workers[0].health.Admitted(d.now, &d.random) {
			n++
		}
	}
	if n < 50 || n > 500 {
		t.Errorf("admitted %d times in 1000", n)
	}
	d.AdvanceClock(d.now + maxVerdictAge + 1)
	if d.fleet.workers[0].health.Suspected(d.now) {
		t.Error("old verdicts still count")
	}
}

func TestNoReadyWorker(t *testing.T) {
	d := fleet(0, nil)
	d.AddOp(0, OpSpec{Category: 4, TTL: d.now + 50_000, Slots: 1})
	if all := decisions(d); len(all) != 0 {
		t.Fatalf("held at first, got %v", all)
	}
	d.AdvanceClock(d.now + 5_001)
	if all := decisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Errorf("nothing was sent, so a nack is harmless: got %v", all)
	}
	d.AddOp(1, OpSpec{Category: 0, TTL: d.now + 10, Slots: 1})
	all := decisions(d)
	if !slices.ContainsFunc(all, func(a Decision) bool { return a.Kind == Nack && a.Op == 1 }) {
		t.Errorf("an op that comes with no time left is answered at once: %v", all)
	}
}

func TestListIsFollowed(t *testing.T) {
	d := fleet(3, nil)
	d.UpsertWorker(0, WorkerEntry{})
	d.EndUpdate()
	d.BeginSnapshot()
	d.UpsertWorker(2, WorkerEntry{Group: 2, Ready: true})
	d.EndUpdate()
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
	if all := decisions(d); len(all) != 1 || all[0].Worker != 2 {
		t.Errorf("only worker 2 is ready, got %v", all)
	}
}

// Clients that were turned away came back at once and were given a whole new target each time.
func TestRetryCountsFromItsFirstTry(t *testing.T) {
	d := fleet(2, nil)
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
	d.AdvanceClock(d.now + 1_000)
	d.AddOp(1, OpSpec{Category: 0, TTL: d.now + 46_000, Slots: 1})
	if got := d.spareTime(d.ops.at(0)); got != 4_000 {
		t.Errorf("the first try has %d to spare, want 4000", got)
	}
	if got := d.spareTime(d.ops.at(1)); got != 1_000 {
		t.Errorf("a try with 4000 of its TTL used has %d to spare, want 1000", got)
	}
}

// Second looks at queues seen a moment ago cost two probes each and found them still there.
func TestSecondLookSkipsWhatWasJustSeenFull(t *testing.T) {
	d := fleet(5, nil)
	for i := range d.fleet.workers {
		d.addQueueSample(&d.fleet.workers[i], queueSample{1, 4_000})
	}
	x, y := probed(t, d, 0, 0)
	d.ProbeAnswered(x, 0, jobs(9))
	d.ProbeAnswered(y, 0, jobs(9))
	decisions(d)
	d.AdvanceClock(d.ops.at(0).probes.notBefore)
	for _, a := range decisions(d) {
		if a.Kind == Probe && (a.Worker == x || a.Worker == y) {
			t.Errorf("worker %d was probed again", a.Worker)
		}
	}
}

// Ops with seconds to spare filled queues to seconds, and a category of short targets never found a place.
func TestPatienceIsCapped(t *testing.T) {
	d := fleet(2, func(s *Settings) { s.Categories[1].LatencyObjective = 100_000 })
	d.AddOp(0, OpSpec{Category: 1, TTL: d.now + 200_000, Slots: 1})
	if got := d.patience(d.ops.at(0)); got > 2*5_000 {
		t.Errorf("patience %d, over twice the least target", got)
	}
}

// In overload cheap ops took the places of dear ones.
func TestCheapOpsAreLessPatient(t *testing.T) {
	d := fleet(2, func(s *Settings) { s.BenefitPerWork, s.Categories[1].Benefit = true, 8 })
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
	d.AddOp(1, OpSpec{Category: 1, TTL: d.now + 50_000, Slots: 1})
	if cheap, dear := d.patience(d.ops.at(0)), d.patience(d.ops.at(1)); 4*cheap != dear {
		t.Errorf("patience %d and %d for benefits 2 and 8", cheap, dear)
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

// In four zones, three ops in four met only workers that cost a crossing.
func TestOneOfThePairIsNear(t *testing.T) {
	for _, price := range []float64{0, 0.03} {
		d := New(7, testSettings(func(s *Settings) { s.CrossZonePrice, s.Zone = price, 1 }))
		d.AdvanceClock(1_000_000)
		for i := range 40 {
			d.UpsertWorker(i, WorkerEntry{Zone: i % 4, Group: i, Ready: true})
		}
		d.EndUpdate()
		none, far := 0, 0
		for i := range 40 {
			x, y := probed(t, d, i, 0)
			none += stats.Bit(x%4 != 1 && y%4 != 1)
			far += stats.Bit(x%4 != 1 || y%4 != 1)
		}
		if price > 0 && none > 0 || price == 0 && none == 0 || far == 0 {
			t.Errorf("price %v: %d of 40 pairs without a near worker, %d with a far one", price, none, far)
		}
	}
}

// With most schedulers in one zone, its workers had to do all their work while other zones stood idle.
func TestBusyOwnZoneIsNotPreferred(t *testing.T) {
	d := New(7, testSettings(func(s *Settings) { s.CrossZonePrice = 0.03 }))
	d.AdvanceClock(1_000_000)
	for i := range 40 {
		d.UpsertWorker(i, WorkerEntry{Zone: i % 4, Group: i, Ready: true})
		d.ProbeAnswered(i, 0, jobs(3*float64(stats.Bit(i%4 == 0))))
	}
	d.EndUpdate()
	near := 0
	for i := range 40 {
		x, y := probed(t, d, i, 0)
		near += stats.Bit(x%4 == 0) + stats.Bit(y%4 == 0)
	}
	if near > 30 {
		t.Errorf("%d of 80 probes went to the own zone, busier than the rest", near)
	}
}

// An op that came with little of its TTL waited for probes until that was over, and was never answered.
func TestWaitForProbesEndsBeforeTTL(t *testing.T) {
	d := fleet(6, nil)
	d.samples.probeRTTs = []Time{5_000}
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 1_000, Slots: 1})
	var woken Time
	for {
		next := d.Next()
		if next.Kind == NoDecision {
			break
		}
		if next.Kind == SetTimer {
			woken = next.Duration
		}
	}
	if woken == 0 || woken > 1_000-d.margin() {
		t.Fatalf("woken after %d, too late for a TTL of 1000", woken)
	}
	d.AdvanceClock(d.now + woken)
	if all := decisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Errorf("not answered in time: %v", all)
	}
}

// silent pushes n ops to worker 0, which never answers, and tells whether it is doubted well past any start.
func silent(t *testing.T, n int, speaks bool) bool {
	t.Helper()
	d := fleet(2, nil)
	for range stats.MaxRecent {
		d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, 100})
	}
	for i := range n {
		d.AddOp(i, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
		decisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 0, jobs(float64(i)/4)) // worker 1 does not answer the probe
		if push(t, d) != 0 {
			t.Fatal("set-up: not pushed to worker 0")
		}
	}
	for range 40 {
		d.AdvanceClock(d.now + 100)
		if speaks {
			d.AttemptProgress(0, 0, true, 0)
		}
		decisions(d)
	}
	return d.fleet.workers[0].health.Suspected(d.now)
}

// A hung worker went on taking ops; a worker behind a wide job was taken for a hung one.
func TestSilentWorkerIsDoubtedBusyOneIsNot(t *testing.T) {
	if !silent(t, 3, false) {
		t.Error("a worker silent on three pushes is not doubted")
	}
	if silent(t, 3, true) {
		t.Error("a worker that still speaks is doubted")
	}
	if silent(t, 1, false) {
		t.Error("one silent push is no verdict")
	}
}

// A link between zones was cut: each scheduler knew too little of any one worker beyond it, and pushed there.
func TestCutOffZoneIsFoundByItsProbes(t *testing.T) {
	d := fleet(60, nil)
	across := 0
	for i := range 60 {
		d.AddOp(i, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
		for _, a := range decisions(d) {
			if a.Worker%2 == 0 {
				d.ProbeAnswered(a.Worker, 0, jobs(0))
			} else if across++; i < 40 {
				d.ProbeFailed(a.Worker, 0, TimedOut)
			} else {
				d.ProbeFailed(a.Worker, 0, Rejected) // turned away, but reached
			}
		}
		d.AdvanceClock(d.now + 500)
		switch i {
		case 39:
			if across > 20 {
				t.Errorf("%d of 80 probes went to a zone that none came back from", across)
			}
			across = 0
		case 59:
			if across < 10 {
				t.Errorf("%d of 40 probes went to a zone that answers again", across)
			}
		}
		decisions(d)
		d.AttemptEnded(i, 0, Succeeded, true)
	}
}

// Reports seconds late sent all schedulers to the workers that looked idle; starts then came a second late.
func TestLateReportsAreSetAside(t *testing.T) {
	d := fleet(2, nil)
	d.samples.probeRTTs = []Time{100}
	for i := range stats.MaxRecent {
		// Half late: over a fleet that hundreds share, where reports are a second old, such starts took longer the more room was told.
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

// Reports are noisy: an empty worker of four slots that told 3.4 free ones was no place for an op of four.
func TestEmptyWorkerHasRoomForWideOp(t *testing.T) {
	d := fleet(2, nil)
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 4})
	decisions(d)
	d.ProbeAnswered(0, 0, LoadReport{RunningJobs: 0, FreeSlots: 3.4, FreeMemory: -1})
	d.ProbeAnswered(1, 0, LoadReport{RunningJobs: 0.9, FreeSlots: 3.4, FreeMemory: -1})
	if !d.hasCapacity(d.ops.at(0), 0) || d.hasCapacity(d.ops.at(0), 1) {
		t.Error("of two workers that tell 3.4 free slots only the empty one has room for four")
	}
}

// Ops of four slots were nacked for want of a place where one job of a short rest held one slot.
func TestPlaceOfWideOpByTheSlotsItLacks(t *testing.T) {
	d := fleet(3, nil)
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 4})
	for i, n := range []float64{1, 3, 5} {
		d.ProbeAnswered(i, 0, jobs(n))
	}
	o := d.ops.at(0)
	if x, y, z := d.queuePosition(o, 0), d.queuePosition(o, 1), d.queuePosition(o, 2); x != 0.25 || y != 0.75 || z != 2 {
		t.Errorf("places %v, %v, %v with one and three slots lacking and one waiting", x, y, z)
	}
}

// A failed probe held its op for the whole short wait.
func TestFailedProbeIsNotWaitedFor(t *testing.T) {
	d := fleet(6, nil)
	x, y := probed(t, d, 0, 0)
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, jobs(3))
	d.ProbeFailed(y, 50, Rejected)
	if got := push(t, d); got != x {
		t.Errorf("pushed to %d, not to %d", got, x)
	}
}

// Where probes are not allowed, every op was held for as long as an answer to one might have taken.
func TestWithoutProbesNoOpWaitsForThem(t *testing.T) {
	d := fleet(4, func(s *Settings) { s.Probes = false })
	d.AddOp(1, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
	push(t, d)
}

// An op that is held beyond the end of its scheduler's process has no answer.
func TestAStopCutsTTLsShort(t *testing.T) {
	d := fleet(0, nil)
	d.AddOp(1, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
	d.LimitDeadlines(d.now + 1_000)
	d.AdvanceClock(d.now + 1_000)
	if all := decisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Fatalf("held beyond the stop: %v", all)
	}
}

// A push decided on inside the window was written after it when its connection took long to come up.
func TestADialDoesNotOutlastTheWindow(t *testing.T) {
	for wait, want := range map[Time]DecisionKind{17_000: Probe, 19_000: DeadLetter} {
		d := fleet(4, func(s *Settings) { s.DialTimeout, s.AcknowledgeTimeout = 2_000.0, 2_000.0 })
		x, y := probed(t, d, 1, 2)
		pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + wait)
		d.AttemptEnded(1, 0, ConnectionLost, false)
		if all := decisions(d); len(all) == 0 || all[0].Kind != want {
			t.Errorf("%d after the push: %v, want %v", wait, all, want)
		}
	}
}

// Ops that no worker can use went to six each, and the workers that said so were taken for sick.
func TestAnUnfitOpSpeaksAgainstNoWorkerUntilAnotherServesIt(t *testing.T) {
	for second, want := range map[Outcome]int{InvalidRequest: 0, Succeeded: 1} {
		d := fleet(6, nil)
		x, y := probed(t, d, 0, 0)
		first := pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + 10)
		d.AttemptEnded(0, 0, InvalidRequest, false)
		all := decisions(d)
		other := pushed(t, d, all[0].Worker, jobs(0), all[1].Worker, jobs(0))
		if other == first {
			t.Fatal("the same worker was asked again")
		}
		d.AdvanceClock(d.now + 10)
		d.AttemptEnded(0, 1, second, second == Succeeded)
		if all = decisions(d); second == InvalidRequest && (len(all) == 0 || all[0].Kind != DeadLetter) {
			t.Errorf("two workers call it unfit: %v", all)
		}
		bad := 0
		for i := range d.fleet.workers {
			bad += stats.Bit(d.fleet.workers[i].health.Failed())
		}
		if bad != want {
			t.Errorf("%d workers with a bad verdict, want %d", bad, want)
		}
	}
}

// Jobs ended and their answers were lost: each such op stood out until its TTL, and its client had no time left.
func TestAStartedPushThatFallsSilentIsCalledOff(t *testing.T) {
	for cat, want := range []bool{true, true, true, true, false} { // an at-most-once op can't be pushed again
		d := fleet(8, func(s *Settings) { s.ProgressInterval = 10_000 })
		d.categories.all[cat].DedupWindow = 50_000
		for range stats.MaxRecent {
			d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, 100})
		}
		x, y := probed(t, d, 0, cat)
		first := pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + 100)
		d.AttemptProgress(0, 0, true, 0)
		for range 29 {
			if d.AdvanceClock(d.now + 1_000); len(decisions(d)) > 0 {
				t.Fatal("called off within three intervals of progress")
			}
		}
		d.AdvanceClock(d.now + 1_000)
		all := decisions(d)
		if called := len(all) > 0 && all[0].Kind == CancelAttempt; called != want {
			t.Fatalf("category %d: %v", cat, all)
		}
		if !want {
			continue
		}
		if !d.fleet.workers[first].health.Failed() {
			t.Error("no verdict on the worker")
		}
		d.AttemptEnded(0, 0, Cancelled, false)
		d.AdvanceClock(d.now + 10)
		if all = decisions(d); len(all) == 0 || all[0].Kind != Probe || all[0].Worker == first {
			t.Errorf("category %d is not tried elsewhere: %v", cat, all)
		}
	}
}

// A connection that fell silent held its op until the TTL, though workers say at once that they have taken one.
func TestAPushThatIsNotTakenIsCalledOff(t *testing.T) {
	for cat, want := range []bool{true, true, true, true, false} {
		d := fleet(8, func(s *Settings) { s.DialTimeout, s.AcknowledgeTimeout = 2_000.0, 2_000.0 })
		x, y := probed(t, d, 0, cat)
		pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + 5_000)
		if all := decisions(d); len(all) > 0 {
			t.Fatalf("called off though nobody was seen to say so: %v", all)
		}
		d.AttemptProgress(0, 0, false, -1)
		x, y = probed(t, d, 1, cat)
		pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + 3_900)
		if all := decisions(d); len(all) > 0 {
			t.Fatalf("called off before a dial and as long again: %v", all)
		}
		d.AdvanceClock(d.now + 100)
		all := decisions(d)
		if called := len(all) > 0 && all[0].Kind == CancelAttempt && all[0].Op == 1; called != want || len(all) > 1 {
			t.Errorf("category %d: %v", cat, all)
		}
	}
}

// A worker that started every op and failed four in five kept its full share: each start counted for it. By its
// share of good verdicts it still got half, since it always looked Low.
func TestAWorkerThatStartsAndFailsIsDoubted(t *testing.T) {
	d := fleet(2, nil)
	for i := range 60 {
		d.AddOp(i, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
		decisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 0, jobs(0)) // worker 1 does not answer the probe
		bad := push(t, d) == 0 && i%5 > 0
		d.AdvanceClock(d.now + 10)
		d.AttemptProgress(i, 0, true, 0)
		how := Outcome(stats.Bit(bad) * int(Failed))
		d.AttemptEnded(i, 0, how, how == Succeeded)
	}
	in := 0
	for range 1000 {
		in += stats.Bit(slices.Contains(d.candidates(&op{maxAttempts: 1}), 0))
	}
	if in > 300 || in == 0 {
		t.Errorf("a candidate %d times in 1000", in)
	}
}

// Keys that every worker fetched anew filled the store until all jobs stalled: a key's ops must meet few workers, and
// schedulers that number the workers differently must mean the same ones.
func TestAKeysOpsMeetTheSameFewWorkers(t *testing.T) {
	met := func(turn int) map[uint64]bool {
		d := fleet(40, func(s *Settings) { s.AffinityKeys = true })
		for i := range 40 {
			identify(d, i, uint64((i+turn)%40)*0x51ed2701_9b3c1d77+1, 0)
		}
		marks := map[uint64]bool{}
		for k := range 30 {
			// Ten keys: each may have its two workers and a tenth of the fleet, half as much again.
			d.AddOp(k, OpSpec{TTL: d.now + 50_000, Slots: 1, AffinityKey: uint64(1 + k%10)})
			for _, a := range decisions(d) {
				if a.Kind == Probe && k%10 == 3 {
					marks[d.fleet.workers[a.Worker].identityHash] = true
				}
			}
		}
		return marks
	}
	for _, turn := range []int{0, 13} {
		if n := len(met(turn)); n > 8 {
			t.Errorf("turn %d: %d workers met by one key", turn, n)
		}
	}
	all := met(0)
	for m := range met(13) {
		all[m] = true
	}
	if len(all) > 8 {
		t.Errorf("two schedulers mean %d workers by one key", len(all))
	}
}

// Reports without a count all counted as no jobs: T stayed at 0 and every worker was Low.
func TestAReportWithoutACountIsCounted(t *testing.T) {
	d := fleet(3, nil)
	d.ProbeAnswered(0, 50, LoadReport{RunningJobs: -1, QueuedJobs: 0, FreeSlots: 4, FreeMemory: -1})
	d.ProbeAnswered(1, 50, LoadReport{RunningJobs: -1, QueuedJobs: 0, FreeSlots: 1, FreeMemory: -1})
	d.ProbeAnswered(2, 50, LoadReport{RunningJobs: -1, QueuedJobs: 3, FreeSlots: 0, FreeMemory: -1})
	for i, want := range []float64{0, 3, 7} {
		if got := d.jobCount(i); got != want {
			t.Errorf("worker %d counts %g, want %g", i, got, want)
		}
	}
}

// A scheduler that meets a worker once a minute took the slow kind for the fleet's middle.
func TestAWorkersSpeedIsItsKindsUntilItIsMet(t *testing.T) {
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

// Each of hundreds of quiet schedulers kept a connection to half the fleet: there a scheduler meets a few of its own.
func TestWhereConnectionsCostASchedulerMeetsFewWorkers(t *testing.T) {
	met := func(number int, price float64) map[int]bool {
		d := fleet(40, func(s *Settings) { s.Scheduler, s.ConnectionPrice = number, price })
		for i := range 40 {
			identify(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, 0)
		}
		workers := map[int]bool{}
		for range 60 {
			x, y := probed(t, d, 0, 0)
			workers[x], workers[y] = true, true
			pushed(t, d, x, jobs(0), y, jobs(0))
			d.AdvanceClock(d.now + 50)
			d.AttemptEnded(0, 0, Succeeded, true)
			decisions(d)
		}
		return workers
	}
	if n := len(met(1, 0)); n < 30 {
		t.Errorf("connections are free and %d workers met", n)
	}
	one, two := met(1, 0.05), met(2, 0.05)
	if len(one) > subscribersPerWorker || len(two) > subscribersPerWorker || maps.Equal(one, two) {
		t.Errorf("one scheduler meets %v, another %v", one, two)
	}
}

// Hundreds of schedulers saw the same free slot in reports seconds late: those that meet a worker say what they have there.
func TestSchedulersTellWhatTheyHaveAtTheirRegulars(t *testing.T) {
	shape := func(s *Settings) { s.ConnectionPrice, s.PeerMessages, s.Schedulers = 0.05, true, 12 }
	at := func(number int) *Dispatcher {
		d := fleet(8, func(s *Settings) {
			shape(s)
			s.Scheduler = number
		})
		for i := range 8 {
			identify(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, 0)
		}
		d.EndUpdate()
		return d
	}
	d := at(1)
	d.ProbeAnswered(0, 50, jobs(0)) // the kind has four slots
	x, y := probed(t, d, 0, 0)
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, jobs(0))
	d.ProbeAnswered(y, 50, jobs(0))
	told, worker := map[int]int{}, -1
	for _, a := range decisions(d) {
		switch a.Kind {
		case Push:
			worker = a.Worker
		case ReportToPeer:
			if a.Worker != worker {
				t.Errorf("told of worker %d, pushed to %d", a.Worker, worker)
			}
			told[a.Peer] = a.InFlight
		}
	}
	for s := range 12 {
		other := at(s)
		if want := slices.Contains(other.fleet.workers[worker].subscribers, s) && s != 1; want != (told[s] == 1) {
			t.Errorf("scheduler %d meets the worker: %v; told of %d", s, want, told[s])
		}
		if !slices.Contains(other.fleet.workers[worker].subscribers, s) || s == 1 {
			continue
		}
		other.ProbeAnswered(worker, 50, jobs(0))
		for by := range 12 {
			other.PeerReport(by, worker, 1) // its own number and this among them
		}
		other.PeerReport(12, worker, 40)
		if n, _, ok := other.peerTally(worker); !ok || n != 11 {
			t.Errorf("scheduler %d counts %g jobs by word of eleven others", s, n)
		}
		if o := (&op{slots: 1}); other.hasCapacity(o, worker) || other.queuePosition(o, worker) == 0 {
			t.Error("a report of free slots outweighs the others' word")
		}
		other.AdvanceClock(other.now + maxPeerReportAge)
		if n, _, _ := other.peerTally(worker); n != 0 {
			t.Errorf("%g jobs by word that is old", n)
		}
	}
}

// Operators watch before they switch: a watch must not change one decision, and must count those that would differ.
func TestAWatchChangesNothingAndCounts(t *testing.T) {
	play := func(other func(*Settings)) (all []Decision, counts [ShadowedReport + 1]int) {
		shape := func(s *Settings) { s.Schedulers, s.ConnectionPrice, s.PeerMessages = 12, 0, false }
		d := fleet(12, shape)
		for i := range 12 {
			identify(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, i%2)
		}
		if other != nil {
			d.SetShadowSettings(testSettings(other))
		}
		d.EndUpdate()
		for k := range 60 {
			d.AdvanceClock(d.now + 100)
			d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1, AffinityKey: uint64(1 + k%5)})
			asked := decisions(d)
			for _, a := range asked {
				d.AdvanceClock(d.now + 10)
				d.ProbeAnswered(a.Worker, 0, jobs(0))
			}
			sent := decisions(d)
			d.AdvanceClock(d.now + 10)
			d.AttemptEnded(0, 0, Succeeded, true)
			all = append(append(append(all, asked...), sent...), decisions(d)...)
		}
		return all, d.ShadowDivergence()
	}
	plain, _ := play(nil)
	for name, c := range map[string]struct {
		other               func(*Settings)
		asked, told, chosen bool
	}{
		"the same":            {other: func(*Settings) {}},
		"keys":                {other: func(s *Settings) { s.AffinityKeys = true }, asked: true},
		"connections":         {other: func(s *Settings) { s.ConnectionPrice = 0.05 }, asked: true},
		"connections, peers":  {other: func(s *Settings) { s.ConnectionPrice, s.PeerMessages = 0.05, true }, asked: true, told: true},
		"crossings that cost": {other: func(s *Settings) { s.CrossZonePrice = 0.05 }, asked: true, chosen: true},
	} {
		got, n := play(func(s *Settings) {
			c.other(s)
			s.Schedulers = 12
		})
		if !slices.Equal(got, plain) {
			t.Errorf("%s: the watch changed decisions", name)
		}
		if (n[ShadowedPair] > 0) != c.asked || (n[ShadowedReport] > 0) != c.told || c.chosen && n[ShadowedPlacement] == 0 {
			t.Errorf("%s: counted %v", name, n)
		}
	}
}

// A zone came back cold and lay idle, while the fifteen warm workers had three quarters of its ops: the lot asked cold
// workers as seldom where reports were true as where they said nothing.
func TestColdWorkersAreAskedMoreWhereReportsProveTrue(t *testing.T) {
	asked := func(took Time) (n int) {
		d := New(7, testSettings(nil))
		d.AdvanceClock(1_000_000)
		d.BeginSnapshot()
		for i := range 20 {
			d.UpsertWorker(i, WorkerEntry{Ready: true, StartedAt: Time(999_000 * stats.Bit(i > 9))}) // half of them are cold
		}
		d.EndUpdate()
		for i := range 200 {
			d.AddOp(i, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
			for _, a := range decisions(d) {
				n += stats.Bit(a.Worker > 9)
				d.ProbeAnswered(a.Worker, 0, jobs(0))
			}
			d.AdvanceClock(d.now)
			push(t, d)
			d.AdvanceClock(d.now + took)
			d.AttemptProgress(i, 0, true, 0)
			d.AttemptEnded(i, 0, Succeeded, true)
			decisions(d)
			d.AdvanceClock(d.now + 320 - took)
		}
		return n
	}
	prompt, late := asked(10), asked(300)
	if 2*prompt < 3*late {
		t.Errorf("of 400 probes %d went to cold workers where reports were true, %d where pushes started late", prompt, late)
	}
}

// With a quarter of the fleet left, all ops and their clients' repeats asked for every free slot: workers spent a tenth
// of their time on probes, and the cheapest ops found as many places as the dearest.
func TestWhereDearOpsFindNoPlaceCheapOnesAskLess(t *testing.T) {
	d := fleet(20, func(s *Settings) { s.BenefitPerWork, s.Categories[0].Benefit, s.Categories[1].Benefit = true, 1, 10 })
	d.samples.queue.positions, d.samples.queue.waits = 10, 50_000 // a place in a queue takes half a second
	next := 0
	probes := func(ops, cat int, load LoadReport) (n int) {
		for range ops {
			d.AddOp(next, OpSpec{Category: cat, TTL: d.now + 50_000, Slots: 1, Work: 1000})
			next++
		}
		for range 30 { // 0.9 s
			for _, a := range decisions(d) {
				switch a.Kind {
				case Probe:
					n++
					d.ProbeAnswered(a.Worker, 0, load)
				case Push:
					d.AttemptEnded(a.Op, 0, Succeeded, true)
				}
			}
			d.AdvanceClock(d.now + 300)
		}
		return n
	}
	full := LoadReport{RunningJobs: 20, QueuedJobs: 16, FreeMemory: -1}
	if n := probes(40, 0, jobs(0)); n != 80 {
		t.Errorf("%d probes for 40 cheap ops where there is room", n)
	}
	if n := probes(6, 1, full); n < 24 {
		t.Errorf("%d probes for 6 dear ops where there is none", n)
	}
	if n := probes(40, 0, full); n > 24 { // one in ten asks, once
		t.Errorf("%d probes for 40 cheap ops where dear ones find no place", n)
	}
	if n := probes(6, 1, full); n < 12 {
		t.Errorf("%d probes for 6 dear ops where dear ones find no place", n)
	}
	d.AdvanceClock(d.now + 5*second)
	if n := probes(40, 0, jobs(0)); n != 80 {
		t.Errorf("%d probes for 40 cheap ops 5 s later", n)
	}
}

// A push that was kept back because its client had left was taken for word from its worker, and silence about others there was let pass
// for longer. Nothing of a worker is learned from what was never written to it.
func TestNothingIsLearnedFromAPushThatWasKeptBack(t *testing.T) {
	d := fleet(2, func(s *Settings) { s.Probes = false })
	d.AddOp(0, OpSpec{Category: 0, TTL: d.now + 50_000, Slots: 1})
	to := push(t, d)
	w := d.fleet.workers[to]
	d.AdvanceClock(d.now + 70)
	d.ClientDisconnected(0)
	d.AttemptEnded(0, 0, NotSent, false)
	if now := d.fleet.workers[to]; now.heardAt != w.heardAt || len(now.health.Verdicts()) != len(w.health.Verdicts()) ||
		len(now.queueSamples)+len(now.serviceTimeRatios)+len(now.readings) > 0 || len(now.inFlight) > 0 || len(d.estimator.startDelays)+len(d.samples.startSamples) > 0 {
		t.Errorf("%+v became %+v", w, now)
	}
	for _, a := range decisions(d) {
		if a.Kind != Forget {
			t.Errorf("%+v", a)
		}
	}
}

// A push that was never written, as this machine lacked the means, was seen by no worker: it spends none of the pushes that an op may
// have, and the next one comes after a pause.
func TestAPushThatWasNeverWrittenSpendsNone(t *testing.T) {
	d := fleet(4, func(s *Settings) { s.Probes, s.MaxAttempts = false, 2 })
	ttl := d.now + 50*second
	d.AddOp(0, OpSpec{Category: 0, TTL: ttl, Slots: 1})
	unsent := 0
	for ; unsent < 3; unsent++ {
		push(t, d)
		d.AttemptEnded(0, unsent, LocalExhaustion, false)
		for _, a := range decisions(d) {
			if a.Kind == Push {
				t.Fatalf("another push at once, after %d", unsent+1)
			}
			if a.Kind == Nack || a.Kind == DeadLetter {
				t.Fatalf("given up after %d that were never written", unsent+1)
			}
		}
		d.AdvanceClock(d.now + second/20)
	}
	pushes := 0
	for ; pushes < 9; pushes++ {
		if !slices.ContainsFunc(decisions(d), func(a Decision) bool { return a.Kind == Push }) {
			break
		}
		d.AttemptEnded(0, unsent+pushes, Rejected, false)
		d.AdvanceClock(d.now + second/20)
	}
	if pushes != 2 {
		t.Errorf("%d pushes that were written, 2 may be", pushes)
	}
}
