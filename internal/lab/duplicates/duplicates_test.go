package duplicates

import (
	"testing"

	"woaddyke/internal/lab/ledger"
)

// Checks that each count is above zero for a ledger with events of its kind. Otherwise a count of zero in a
// run would prove nothing.
func TestDuplicatesAndDivergedReplicasAreCounted(t *testing.T) {
	events := []ledger.Event{
		{Kind: ledger.Header, Rules: &ledger.Rules{Categories: map[string]ledger.Category{"pay": {Effect: ledger.AtMostOnce}, "look": {}}}},
		{Kind: ledger.Up, Scheduler: 1, At: 1}, {Kind: ledger.Up, Scheduler: 1, At: 50_000},
		{Kind: ledger.Due, Op: "a", Category: "pay"}, {Kind: ledger.Due, Op: "b", Category: "pay"}, {Kind: ledger.Due, Op: "c", Category: "look"},
		{Kind: ledger.Reached, Op: "a", Push: 1}, {Kind: ledger.Ran, Push: 1}, {Kind: ledger.Repeat, Op: "a"},
		{Kind: ledger.Reached, Op: "a", Push: 2}, {Kind: ledger.Ran, Push: 2},
		{Kind: ledger.Reached, Op: "b", Push: 3}, {Kind: ledger.Ran, Push: 3},
		{Kind: ledger.Reached, Op: "c", Push: 4}, {Kind: ledger.Ran, Push: 4}, {Kind: ledger.Ran, Push: 4},
		{Kind: ledger.Answer, Op: "b", Verdict: ledger.Acked, Text: "x"}, {Kind: ledger.RepeatAnswer, Op: "b", Verdict: ledger.Acked, Text: "y"},
	}
	j := Judge(events, []string{"1", "1", "2"}, 3, []Vote{{1, 10}, {1, 53_000}}, false)
	if j.DuplicateRuns != 1 || j.ConflictingAnswers != 1 || j.DivergedReplicas != 1 || j.UnsureRefusals != 3 || j.Repeats != 1 || len(j.CatchUpTimes) != 1 || j.CatchUpTimes[0] != 3000 {
		t.Errorf("%+v", j)
	}
	if j = Judge(events[:8], []string{"1", "1"}, 0, nil, true); j.DuplicateRuns+j.ConflictingAnswers+j.DivergedReplicas != 0 || len(j.Breaches) > 0 {
		t.Errorf("%+v", j)
	}
}

// A push is stale if it begins later than the grace after another scheduler was notified of the drain.
func TestAPushAfterTheDrainGraceIsStale(t *testing.T) {
	push := func(from ledger.Time) []ledger.Event {
		return []ledger.Event{{Kind: ledger.Header, Rules: &ledger.Rules{DrainGrace: 25_000, Categories: map[string]ledger.Category{}}},
			{Kind: ledger.WorkerStateSent, Scheduler: 1, Worker: "w", State: "ready", At: 1}, {Kind: ledger.WorkerStateSent, Scheduler: 1, Worker: "w", State: "draining", At: 100},
			{Kind: ledger.Reached, Scheduler: 2, Worker: "w", Op: "a", Push: 1, From: from}}
	}
	if n := Judge(push(35_000), nil, 0, nil, true).StaleDrainPushes; n != 0 {
		t.Errorf("within the grace: %d", n)
	}
	if n := Judge(push(36_000), nil, 0, nil, true).StaleDrainPushes; n != 1 {
		t.Errorf("after the grace: %d", n)
	}
}
