package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

func TestSuspectedWorkerIsAdmittedSeldom(t *testing.T) {
	d := testDispatcher(2, nil)
	for range 3 {
		d.fleet.recordVerdict(d.now, 0, false)
	}
	if !d.fleet.workers[0].health.Suspected(d.now) || d.fleet.workers[1].health.Suspected(d.now) {
		t.Fatal("three failures in a row must make a worker suspected, and only that one")
	}
	n := 0
	for range 1000 {
		if d.fleet.workers[0].health.Admitted(d.now, &d.random) {
			n++
		}
	}
	if n < 50 || n > 500 {
		t.Errorf("the suspected worker was admitted %d times in 1000, want 50 to 500", n)
	}
	d.AdvanceClock(d.now + maxVerdictAge + 1)
	if d.fleet.workers[0].health.Suspected(d.now) {
		t.Error("old verdicts still count")
	}
}

// A second probe round must skip workers that have just reported a queue. Such a round otherwise costs two
// probes and finds the queues still there.
func TestSecondProbeRoundSkipsQueuesJustSeen(t *testing.T) {
	d := testDispatcher(5, nil)
	for i := range d.fleet.workers {
		d.addQueueSample(&d.fleet.workers[i], queueSample{1, 4_000})
	}
	x, y := admitAndProbe(t, d, 0, 0)
	d.ProbeAnswered(x, 0, loadWithJobs(9))
	d.ProbeAnswered(y, 0, loadWithJobs(9))
	pullDecisions(d)
	d.AdvanceClock(d.ops.at(0).probes.notBefore)
	for _, a := range pullDecisions(d) {
		if a.Kind == Probe && (a.Worker == x || a.Worker == y) {
			t.Errorf("worker %d was probed again", a.Worker)
		}
	}
}

// If crossing zones has a price, one worker of each pair must be in the own zone. With four zones, three
// ops in four otherwise probe only workers of other zones.
func TestOneOfThePairIsInTheOwnZone(t *testing.T) {
	for _, price := range []float64{0, 0.03} {
		d := New(7, testSettings(func(s *Settings) { s.CrossZonePrice, s.Zone = price, 1 }))
		d.AdvanceClock(1_000_000)
		for i := range 40 {
			d.UpsertWorker(i, WorkerEntry{Zone: i % 4, Group: i, Ready: true})
		}
		d.EndUpdate()
		withoutOwnZone, withOtherZone := 0, 0
		for i := range 40 {
			x, y := admitAndProbe(t, d, i, 0)
			withoutOwnZone += stats.BoolToInt(x%4 != 1 && y%4 != 1)
			withOtherZone += stats.BoolToInt(x%4 != 1 || y%4 != 1)
		}
		if price > 0 && withoutOwnZone > 0 || price == 0 && withoutOwnZone == 0 || withOtherZone == 0 {
			t.Errorf("price %v: %d of 40 pairs without a worker of the own zone, %d with one of another zone",
				price, withoutOwnZone, withOtherZone)
		}
	}
}

// The own zone must not be preferred while it is busier than the others. With most schedulers in one zone,
// its workers otherwise do all the work of these schedulers while other zones are idle.
func TestBusyOwnZoneIsNotPreferred(t *testing.T) {
	d := New(7, testSettings(func(s *Settings) { s.CrossZonePrice = 0.03 }))
	d.AdvanceClock(1_000_000)
	for i := range 40 {
		d.UpsertWorker(i, WorkerEntry{Zone: i % 4, Group: i, Ready: true})
		d.ProbeAnswered(i, 0, loadWithJobs(3*float64(stats.BoolToInt(i%4 == 0))))
	}
	d.EndUpdate()
	inOwnZone := 0
	for i := range 40 {
		x, y := admitAndProbe(t, d, i, 0)
		inOwnZone += stats.BoolToInt(x%4 == 0) + stats.BoolToInt(y%4 == 0)
	}
	if inOwnZone > 30 {
		t.Errorf("%d of 80 probes went to the own zone, which is busier than the others, want at most 30",
			inOwnZone)
	}
}

// An op admitted with little of its TTL left must not wait for probes until the TTL is over: it would get
// no answer.
func TestWaitForProbesEndsBeforeTTL(t *testing.T) {
	d := testDispatcher(6, nil)
	d.samples.probeRTTs = []Time{5_000}
	d.AddOp(0, OpSpec{TTL: d.now + 1_000, Slots: 1})
	var timer Time
	for {
		next := d.Next()
		if next.Kind == NoDecision {
			break
		}
		if next.Kind == SetTimer {
			timer = next.Duration
		}
	}
	if timer == 0 || timer > 1_000-d.answerMargin() {
		t.Fatalf("timer after %d, too late for a TTL of 1000", timer)
	}
	d.AdvanceClock(d.now + timer)
	if all := pullDecisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Errorf("decisions at the timer: %v, want a nack", all)
	}
}

// Failed probes must make a zone suspected while the link to it is down. Otherwise each scheduler has too
// few outcomes of each worker there to suspect one, and goes on pushing there.
func TestUnreachableZoneIsSuspectedByFailedProbes(t *testing.T) {
	d := testDispatcher(60, nil)
	probesAcross := 0
	for i := range 60 {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		for _, a := range pullDecisions(d) {
			if a.Worker%2 == 0 {
				d.ProbeAnswered(a.Worker, 0, loadWithJobs(0))
			} else if probesAcross++; i < 40 {
				d.ProbeFailed(a.Worker, 0, TimedOut)
			} else {
				d.ProbeFailed(a.Worker, 0, Rejected) // the worker was reached
			}
		}
		d.AdvanceClock(d.now + 500)
		switch i {
		case 39:
			if probesAcross > 20 {
				t.Errorf("%d of 80 probes went to an unreachable zone, want at most 20", probesAcross)
			}
			probesAcross = 0
		case 59:
			if probesAcross < 10 {
				t.Errorf("%d of 40 probes went to a zone that can be reached again, want at least 10", probesAcross)
			}
		}
		pullDecisions(d)
		d.AttemptEnded(i, 0, Succeeded, true)
	}
}

// An op must not wait for the whole probe timeout after its probe has failed.
func TestFailedProbeIsNotWaitedFor(t *testing.T) {
	d := testDispatcher(6, nil)
	x, y := admitAndProbe(t, d, 0, 0)
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, loadWithJobs(3))
	d.ProbeFailed(y, 50, Rejected)
	if got := expectPush(t, d); got != x {
		t.Errorf("pushed to %d, want %d", got, x)
	}
}

// Where probes are not allowed, an op must not wait for the probe timeout.
func TestWithoutProbesNoOpWaitsForThem(t *testing.T) {
	d := testDispatcher(4, func(s *Settings) { s.Probes = false })
	d.AddOp(1, OpSpec{TTL: d.now + 50_000, Slots: 1})
	expectPush(t, d)
}

// The admission probability must be higher with accurate reports than without. Otherwise a zone whose
// workers have restarted is idle, while fifteen warm workers get three quarters of its ops.
func TestWarmingWorkersAreProbedMoreWhileReportsAreAccurate(t *testing.T) {
	probesOfWarming := func(startDelay Time) (n int) {
		d := New(7, testSettings(nil))
		d.AdvanceClock(1_000_000)
		d.BeginSnapshot()
		for i := range 20 {
			// half of them are warming up
			d.UpsertWorker(i, WorkerEntry{Ready: true, StartedAt: Time(999_000 * stats.BoolToInt(i > 9))})
		}
		d.EndUpdate()
		for i := range 200 {
			d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
			for _, a := range pullDecisions(d) {
				n += stats.BoolToInt(a.Worker > 9)
				d.ProbeAnswered(a.Worker, 0, loadWithJobs(0))
			}
			d.AdvanceClock(d.now)
			expectPush(t, d)
			d.AdvanceClock(d.now + startDelay)
			d.AttemptProgress(i, 0, Progress{Started: true})
			d.AttemptEnded(i, 0, Succeeded, true)
			pullDecisions(d)
			d.AdvanceClock(d.now + 320 - startDelay)
		}
		return n
	}
	prompt, late := probesOfWarming(10), probesOfWarming(300)
	if 2*prompt < 3*late {
		t.Errorf("of 400 probes %d went to warming workers with accurate reports, %d with late starts",
			prompt, late)
	}
}
