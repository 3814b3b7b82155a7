package dispatch

import (
	"slices"
	"testing"

	"woaddyke/internal/base/stats"
)

// Ops that no worker can use had six attempts each, and the workers that rejected them as invalid were
// suspected.
func TestInvalidRequestCountsAgainstWorkerOnlyIfAnotherSucceeds(t *testing.T) {
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

// A worker that started every op and failed four in five kept its full share: each start counted for it. By its
// share of good verdicts it still got half, since it always looked Low.
func TestWorkerThatStartsAndFailsIsSuspected(t *testing.T) {
	d := fleet(2, nil)
	for i := range 60 {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		decisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 0, jobs(0)) // worker 1 does not answer the probe
		bad := push(t, d) == 0 && i%5 > 0
		d.AdvanceClock(d.now + 10)
		d.AttemptProgress(i, 0, Progress{Started: true})
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

// An attempt that was not written, as its client had disconnected, counted as a report from its worker, and
// silence about others there was allowed for longer. Nothing of a worker is learned from what it never got.
func TestNothingIsLearnedFromAnUnsentAttempt(t *testing.T) {
	d := fleet(2, func(s *Settings) { s.Probes = false })
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
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

// An attempt that this machine lacked the means for was seen by no worker: it does not count against the op's
// attempts, and the next one follows after a backoff.
func TestAPushThatWasNeverWrittenSpendsNone(t *testing.T) {
	d := fleet(4, func(s *Settings) { s.Probes, s.MaxAttempts = false, 2 })
	ttl := d.now + 50*second
	d.AddOp(0, OpSpec{TTL: ttl, Slots: 1})
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

// A push decided on inside the window was written after it when its connection took long to come up.
func TestADialDoesNotOutlastTheWindow(t *testing.T) {
	for wait, want := range map[Time]DecisionKind{17_000: Probe, 19_000: DeadLetter} {
		d := fleet(4, func(s *Settings) { s.DialTimeout, s.AcknowledgeTimeout = 2_000, 2_000 })
		x, y := probed(t, d, 1, 2)
		pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + wait)
		d.AttemptEnded(1, 0, ConnectionLost, false)
		if all := decisions(d); len(all) == 0 || all[0].Kind != want {
			t.Errorf("%d after the push: %v, want %v", wait, all, want)
		}
	}
}
