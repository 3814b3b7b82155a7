package doubles

import (
	"testing"

	"woaddyke/internal/lab/ledger"
)

// A judge that sees no double proves nothing with a zero.
func TestJudge(t *testing.T) {
	book := []ledger.Event{
		{Kind: ledger.World, Rules: &ledger.Rules{Categories: map[string]ledger.Category{"pay": {Effect: ledger.AtMostOnce}, "look": {}}}},
		{Kind: ledger.Up, Scheduler: 1, At: 1}, {Kind: ledger.Up, Scheduler: 1, At: 50_000},
		{Kind: ledger.Due, Op: "a", Category: "pay"}, {Kind: ledger.Due, Op: "b", Category: "pay"}, {Kind: ledger.Due, Op: "c", Category: "look"},
		{Kind: ledger.Reached, Op: "a", Push: 1}, {Kind: ledger.Ran, Push: 1}, {Kind: ledger.Repeat, Op: "a"},
		{Kind: ledger.Reached, Op: "a", Push: 2}, {Kind: ledger.Ran, Push: 2},
		{Kind: ledger.Reached, Op: "b", Push: 3}, {Kind: ledger.Ran, Push: 3},
		{Kind: ledger.Reached, Op: "c", Push: 4}, {Kind: ledger.Ran, Push: 4}, {Kind: ledger.Ran, Push: 4},
		{Kind: ledger.Answer, Op: "b", Verdict: ledger.Acked, Text: "x"}, {Kind: ledger.Echo, Op: "b", Verdict: ledger.Acked, Text: "y"},
	}
	j := Judge(book, []string{"1", "1", "2"}, 3, []Vote{{1, 10}, {1, 53_000}})
	if j.Doubled != 1 || j.WrongAnswer != 1 || j.Differ != 1 || j.Unsure != 3 || j.Repeats != 1 || len(j.CaughtUp) != 1 || j.CaughtUp[0] != 3000 {
		t.Errorf("%+v", j)
	}
	if j = Judge(book[:8], []string{"1", "1"}, 0, nil); j.Doubled+j.WrongAnswer+j.Differ != 0 || len(j.Breaches) > 0 {
		t.Errorf("%+v", j)
	}
}
