package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

func TestSuspectedWorkerIsAdmittedSeldom(t *testing.T) {
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

// Second probe rounds at queues seen a moment ago cost two probes each and found them still there.
func TestSecondProbeRoundSkipsQueuesJustSeen(t *testing.T) {
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

// In four zones, three ops in four met only workers whose zone costs a crossing.
func TestOneOfThePairIsInTheOwnZone(t *testing.T) {
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

// With most schedulers in one zone, its workers had to do all their work while other zones were idle.
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
	d.AddOp(0, OpSpec{TTL: d.now + 1_000, Slots: 1})
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

// With a link between zones down, each scheduler had too few outcomes of any one worker beyond it, and
// pushed there.
func TestUnreachableZoneIsSuspectedByFailedProbes(t *testing.T) {
	d := fleet(60, nil)
	across := 0
	for i := range 60 {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		for _, a := range decisions(d) {
			if a.Worker%2 == 0 {
				d.ProbeAnswered(a.Worker, 0, jobs(0))
			} else if across++; i < 40 {
				d.ProbeFailed(a.Worker, 0, TimedOut)
			} else {
				d.ProbeFailed(a.Worker, 0, Rejected) // but reached
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

// A failed probe held its op for the whole probe timeout.
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

// Where probes are not allowed, every op waited for as long as an answer to one might have taken.
func TestWithoutProbesNoOpWaitsForThem(t *testing.T) {
	d := fleet(4, func(s *Settings) { s.Probes = false })
	d.AddOp(1, OpSpec{TTL: d.now + 50_000, Slots: 1})
	push(t, d)
}

// A zone that had restarted was idle while the fifteen warm workers had three quarters of its ops: the
// admission probability was as low where reports were accurate as where they said nothing.
func TestWarmingWorkersAreProbedMoreWhileReportsAreAccurate(t *testing.T) {
	asked := func(took Time) (n int) {
		d := New(7, testSettings(nil))
		d.AdvanceClock(1_000_000)
		d.BeginSnapshot()
		for i := range 20 {
			d.UpsertWorker(i, WorkerEntry{Ready: true, StartedAt: Time(999_000 * stats.Bit(i > 9))}) // half of them are warming up
		}
		d.EndUpdate()
		for i := range 200 {
			d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
			for _, a := range decisions(d) {
				n += stats.Bit(a.Worker > 9)
				d.ProbeAnswered(a.Worker, 0, jobs(0))
			}
			d.AdvanceClock(d.now)
			push(t, d)
			d.AdvanceClock(d.now + took)
			d.AttemptProgress(i, 0, Progress{Started: true})
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
