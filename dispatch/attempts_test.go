package dispatch

import (
	"slices"
	"testing"

	"woaddyke/internal/base/stats"
)

// An op that two workers report as invalid must end, and these workers must not be suspected. Such ops
// otherwise get six attempts each, and the workers that report them are suspected. If another worker runs
// the op, the report counts against the worker that sent it.
func TestInvalidRequestCountsAgainstWorkerOnlyIfAnotherSucceeds(t *testing.T) {
	for secondOutcome, want := range map[Outcome]int{InvalidRequest: 0, Succeeded: 1} {
		d := testDispatcher(6, nil)
		x, y := admitAndProbe(t, d, 0, 0)
		first := answerAndPush(t, d, x, loadWithJobs(0), y, loadWithJobs(0))
		d.AdvanceClock(d.now + 10)
		d.AttemptEnded(0, 0, InvalidRequest, false)
		all := pullDecisions(d)
		other := answerAndPush(t, d, all[0].Worker, loadWithJobs(0), all[1].Worker, loadWithJobs(0))
		if other == first {
			t.Fatal("the second attempt went to the same worker")
		}
		d.AdvanceClock(d.now + 10)
		d.AttemptEnded(0, 1, secondOutcome, secondOutcome == Succeeded)
		if all = pullDecisions(d); secondOutcome == InvalidRequest && (len(all) == 0 || all[0].Kind != DeadLetter) {
			t.Errorf("two workers reported the op as invalid: decisions %v, want a dead letter", all)
		}
		failed := 0
		for i := range d.fleet.workers {
			failed += stats.BoolToInt(d.fleet.workers[i].health.Failed())
		}
		if failed != want {
			t.Errorf("%d workers with a failure verdict, want %d", failed, want)
		}
	}
}

// A worker that starts every op but fails four in five must be suspected. It kept its full part of the ops
// while each start counted as a success. It still got half of them while it was admitted in proportion to
// its successes, since it always looked Low.
func TestWorkerThatStartsAndFailsIsSuspected(t *testing.T) {
	d := testDispatcher(2, nil)
	for i := range 60 {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		pullDecisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 0, loadWithJobs(0)) // worker 1 does not answer the probe
		failed := expectPush(t, d) == 0 && i%5 > 0
		d.AdvanceClock(d.now + 10)
		d.AttemptProgress(i, 0, Progress{Started: true})
		outcome := Outcome(stats.BoolToInt(failed) * int(Failed))
		d.AttemptEnded(i, 0, outcome, outcome == Succeeded)
	}
	chosen := 0
	for range 1000 {
		chosen += stats.BoolToInt(slices.Contains(d.candidates(&op{maxAttempts: 1}), 0))
	}
	if chosen > 300 || chosen == 0 {
		t.Errorf("the worker is a candidate %d times in 1000, want 1 to 300", chosen)
	}
}

// Nothing may be learned about a worker from an attempt that it never received. If an attempt that was not
// sent, as its client had disconnected, counts as a report from its worker, it extends the timeouts of
// other attempts there.
func TestNothingIsLearnedFromAnUnsentAttempt(t *testing.T) {
	d := testDispatcher(2, func(s *Settings) { s.Probes = false })
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	index := expectPush(t, d)
	before := d.fleet.workers[index]
	d.AdvanceClock(d.now + 70)
	d.ClientDisconnected(0)
	d.AttemptEnded(0, 0, NotSent, false)
	if after := d.fleet.workers[index]; after.lastHeardAt != before.lastHeardAt ||
		len(after.health.Verdicts()) != len(before.health.Verdicts()) ||
		len(after.queueSamples)+len(after.serviceTimeRatios)+len(after.readings) > 0 || len(after.inFlight) > 0 ||
		len(d.estimator.startDelays)+len(d.samples.startSamples) > 0 {
		t.Errorf("the worker's state changed from %+v to %+v", before, after)
	}
	for _, a := range pullDecisions(d) {
		if a.Kind != Forget {
			t.Errorf("decision %+v, want Forget only", a)
		}
	}
}

// No worker sees an attempt that ends in local exhaustion. It must not count against the op's attempts, and
// the next attempt must follow after a backoff.
func TestAnAttemptThatEndedInLocalExhaustionIsRefunded(t *testing.T) {
	d := testDispatcher(4, func(s *Settings) { s.Probes, s.MaxAttempts = false, 2 })
	ttl := d.now + 50*second
	d.AddOp(0, OpSpec{TTL: ttl, Slots: 1})
	exhausted := 0
	for ; exhausted < 3; exhausted++ {
		expectPush(t, d)
		d.AttemptEnded(0, exhausted, LocalExhaustion, false)
		for _, a := range pullDecisions(d) {
			if a.Kind == Push {
				t.Fatalf("pushed again without a backoff, after %d local exhaustions", exhausted+1)
			}
			if a.Kind == Nack || a.Kind == DeadLetter {
				t.Fatalf("rejected after %d local exhaustions", exhausted+1)
			}
		}
		d.AdvanceClock(d.now + second/20)
	}
	pushes := 0
	for ; pushes < 9; pushes++ {
		if !slices.ContainsFunc(pullDecisions(d), func(a Decision) bool { return a.Kind == Push }) {
			break
		}
		d.AttemptEnded(0, exhausted+pushes, Rejected, false)
		d.AdvanceClock(d.now + second/20)
	}
	if pushes != 2 {
		t.Errorf("%d attempts were sent, want 2", pushes)
	}
}

// A push must not be decided so late in the deduplication window that it is sent after the window, because
// its connection takes long to open.
func TestADialDoesNotOutlastTheDedupWindow(t *testing.T) {
	for wait, want := range map[Time]DecisionKind{17_000: Probe, 19_000: DeadLetter} {
		d := testDispatcher(4, func(s *Settings) { s.DialTimeout, s.AcknowledgeTimeout = 2_000, 2_000 })
		x, y := admitAndProbe(t, d, 1, 2)
		answerAndPush(t, d, x, loadWithJobs(0), y, loadWithJobs(0))
		d.AdvanceClock(d.now + wait)
		d.AttemptEnded(1, 0, ConnectionLost, false)
		if all := pullDecisions(d); len(all) == 0 || all[0].Kind != want {
			t.Errorf("%d after the push: decisions %v, want %v", wait, all, want)
		}
	}
}
