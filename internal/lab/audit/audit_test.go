package audit

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"woaddyke/internal/lab/ledger"
)

var rules = &ledger.Rules{Slack: 500, DrainGrace: 25_000, OverloadFactor: 2.5, OverloadWindow: 15_000, ColdFrom: 0.3,
	WarmAfter: 86_000, KillAfter: 37_000, MeanWork: 100, Categories: map[string]ledger.Category{
		"again": {Effect: ledger.Redeliverable}, "once": {Effect: ledger.AtMostOnce},
		"zone": {Effect: ledger.Deduplicated, Scope: "zone", Window: 75_000},
		"cell": {Effect: ledger.Deduplicated, Scope: "cell", Window: 75_000},
		"all":  {Effect: ledger.Deduplicated, Scope: "all", Window: 75_000},
	}}

// TestMain fixes the seed of rapid, so that each run draws the same cases. The flag rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("1")
	}
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type events = []ledger.Event

// newLedger returns a ledger with two schedulers and four workers. Workers w1 and w2 are in one cell, w3 is
// in another cell of the same zone, and w4 is in the other zone.
func newLedger(more ...events) events {
	l := events{{Kind: ledger.Header, Rules: rules, Seed: 1}}
	for i, at := range []struct {
		zone string
		cell int
	}{{"e", 1}, {"e", 1}, {"e", 2}, {"w", 3}} {
		l = append(l, ledger.Event{Kind: ledger.Boot, Worker: fmt.Sprintf("w%d", i+1), Zone: at.zone, Cell: at.cell, Cores: 4})
	}
	l = append(l, ledger.Event{Kind: ledger.Up, Scheduler: 1}, ledger.Event{Kind: ledger.Up, Scheduler: 2})
	for _, m := range more {
		l = append(l, m...)
	}
	slices.SortStableFunc(l, func(a, b ledger.Event) int { return int(a.At - b.At) })
	return append(l, ledger.Event{At: 1_000_000, Kind: ledger.Finished})
}

func due(op, category string, at ledger.Time) events {
	return events{{At: at, Kind: ledger.Due, Op: op, Category: category, Scheduler: 1, Until: at + 50_000},
		{At: at + 1, Kind: ledger.Sent, Op: op, Scheduler: 1}}
}

func answer(op, verdict, text string, at ledger.Time) events {
	return events{{At: at, Kind: ledger.Answer, Op: op, Verdict: verdict, Text: text, Scheduler: 1}}
}

// pushed returns the events of a push that reached its worker. The parameter outcome is a worker's verdict,
// "closed", or empty for a push that did not end.
func pushed(op string, n int, worker string, at ledger.Time, outcome string, endedAt ledger.Time) events {
	l := events{{At: at, Kind: ledger.Reached, Op: op, Worker: worker, Scheduler: 1, Push: n, From: at}}
	if outcome != ledger.Returned && outcome != ledger.TurnedAway {
		l = append(l, ledger.Event{At: at, Kind: ledger.Ran, Op: op, Worker: worker, Push: n})
	}
	switch outcome {
	case "":
	case "closed":
		l = append(l, ledger.Event{At: endedAt, From: endedAt, Kind: ledger.Closed, Op: op, Worker: worker, Push: n})
	default:
		l = append(l, ledger.Event{At: endedAt, Kind: ledger.WorkerReplied, Op: op, Worker: worker, Push: n, Verdict: outcome, Text: fmt.Sprint("r", n)})
	}
	return l
}

func processEvent(kind ledger.Kind, at ledger.Time) events {
	return events{{At: at, Kind: kind, Scheduler: 1}}
}

func workerStateSent(state string, at ledger.Time) events {
	return events{{At: at, Kind: ledger.WorkerStateSent, Scheduler: 1, Worker: "w1", State: state}}
}

// served returns the events of an op that was pushed once and acked.
func served(op, category string, at ledger.Time) []events {
	return []events{due(op, category, at), pushed(op, 1, "w1", at+10, ledger.Done, at+500), answer(op, ledger.Acked, "r1", at+510)}
}

func extend(a []events, more ...events) events { return newLedger(append(a, more...)...) }

// coldStart returns the events of a cold start of w4, which discovery announces to scheduler 1 only, and of
// pushes to w4 at the given age. The first pushes come from scheduler 1, the others from scheduler 2.
func coldStart(at, age ledger.Time, usual float64, informed, uninformed int) events {
	l := events{{At: at, Kind: ledger.Boot, Worker: "w4", Zone: "w", Cell: 3, Cores: 4, Cold: true},
		{At: at, Kind: ledger.WorkerStateSent, Scheduler: 1, Worker: "w4", State: "ready"}}
	for i := range informed + uninformed {
		op := fmt.Sprint("c", i)
		l = append(l, due(op, "again", at)...)
		p := pushed(op, 100+i, "w4", at+age+ledger.Time(i), ledger.Done, at+20_000)
		p[0].TypicalWork = usual
		if i >= informed {
			p[0].Scheduler = 2
		}
		l = append(l, p...)
		l = append(l, answer(op, ledger.Acked, fmt.Sprint("r", 100+i), at+20_001)...)
	}
	return l
}

func startAnnounced(at ledger.Time) events {
	return events{{At: at, Kind: ledger.WorkerStateSent, Scheduler: 1, Worker: "w4", State: "ready"}}
}

// furtherPushes returns more pushes to w4 by scheduler 1.
func furtherPushes(at ledger.Time, n int) (l events) {
	for i := range n {
		op := fmt.Sprint("d", i)
		l = append(l, due(op, "again", at)...)
		p := pushed(op, 200+i, "w4", at+2+ledger.Time(i), ledger.Done, at+500)
		p[0].TypicalWork = 700
		l = append(l, p...)
		l = append(l, answer(op, ledger.Acked, fmt.Sprint("r", 200+i), at+501)...)
	}
	return l
}

// withoutAnnouncements removes discovery's announcements to schedulers.
func withoutAnnouncements(l events) events {
	return slices.DeleteFunc(l, func(e ledger.Event) bool { return e.Kind == ledger.WorkerStateSent })
}

// Checks each rule with a ledger that breaks it and with the most similar ledger that does not. The audit
// must report the first and accept the second.
func TestEachRuleFlagsABreachAndAcceptsTheNearestLawfulLedger(t *testing.T) {
	w := newLedger
	for name, c := range map[string]struct {
		lawful, broken events
		rule           Rule
	}{
		"an answer": {extend(served("a", "once", 100)), w(due("a", "once", 100)), LostOp},
		"an answer before the TTL": {w(due("a", "once", 100), answer("a", ledger.Nacked, "", 50_600)),
			w(due("a", "once", 100), answer("a", ledger.Nacked, "", 50_601)), LostOp},
		"one answer": {extend(served("a", "once", 100)),
			extend(served("a", "once", 100), answer("a", ledger.Acked, "r1", 800)), LostOp},
		"no bytes beyond the answer": {extend(served("a", "once", 100)),
			extend(served("a", "once", 100), events{{At: 900, Kind: ledger.Stray, Op: "a"}}), LostOp},
		"the client disconnected": {w(due("a", "once", 100), events{{At: 500, Kind: ledger.Left, Op: "a"}}),
			w(due("a", "once", 100), events{{At: 500, Kind: ledger.Cut, Op: "a", State: "reused"}}), LostOp},
		"a new connection closed without a push": {w(due("a", "once", 100), events{{At: 500, Kind: ledger.Cut, Op: "a"}}),
			w(due("a", "once", 100), pushed("a", 1, "w1", 300, ledger.Done, 400), events{{At: 500, Kind: ledger.Cut, Op: "a"}}), LostOp},
		"no connection": {w(due("a", "once", 100), events{{At: 500, Kind: ledger.Refused, Op: "a"}}), w(due("a", "once", 100)), LostOp},
		"the scheduler was killed": {w(due("a", "once", 100), processEvent(ledger.Killed, 300), processEvent(ledger.Exited, 301)),
			w(due("a", "once", 100), processEvent(ledger.Term, 300), processEvent(ledger.Exited, 301)), LostOp},
		"the scheduler was killed before the op was sent": {w(processEvent(ledger.Killed, 50), processEvent(ledger.Up, 300), due("a", "once", 700), answer("a", ledger.Nacked, "", 800)),
			w(processEvent(ledger.Killed, 50), processEvent(ledger.Up, 100), due("a", "once", 700)), LostOp},
		"the scheduler was killed soon after SIGTERM": {w(due("a", "once", 100), processEvent(ledger.Term, 300), processEvent(ledger.Killed, 37_300)),
			w(due("a", "once", 100), processEvent(ledger.Term, 300), processEvent(ledger.Killed, 37_301)), LostOp},
		"the scheduler was suspended": {w(due("a", "once", 100), processEvent(ledger.Stopped, 300), processEvent(ledger.Resumed, 60_000)),
			w(due("a", "once", 100), processEvent(ledger.Stopped, 60_000), processEvent(ledger.Resumed, 70_000)), LostOp},
		"a suspended scheduler pushes nothing after the TTL": {
			w(due("a", "again", 100), processEvent(ledger.Stopped, 300), processEvent(ledger.Resumed, 50_200), pushed("a", 1, "w1", 50_600, ledger.Done, 51_000)),
			w(due("a", "again", 100), processEvent(ledger.Stopped, 300), processEvent(ledger.Resumed, 50_200), pushed("a", 1, "w1", 50_601, ledger.Done, 51_000)), LostOp},
		"no push after the answer": {
			w(due("a", "again", 100), pushed("a", 1, "w1", 1499, "closed", 1500), answer("a", ledger.Nacked, "", 1000)),
			w(due("a", "again", 100), pushed("a", 1, "w1", 1501, "closed", 1502), answer("a", ledger.Nacked, "", 1000)), LostOp},

		"at most once, returned by the worker": {
			w(due("a", "once", 100), pushed("a", 1, "w1", 200, ledger.Returned, 300), pushed("a", 2, "w2", 310, ledger.Done, 400), answer("a", ledger.Acked, "r2", 500)),
			w(due("a", "once", 100), pushed("a", 1, "w1", 200, ledger.Failed, 300), pushed("a", 2, "w2", 310, ledger.Done, 400), answer("a", ledger.Acked, "r2", 500)), DuplicateEffect},
		"at most once, nacked": {
			w(due("a", "once", 100), pushed("a", 1, "w1", 200, ledger.TurnedAway, 300), answer("a", ledger.Nacked, "", 500)),
			w(due("a", "once", 100), pushed("a", 1, "w1", 200, "closed", 300), answer("a", ledger.Nacked, "", 500)), DuplicateEffect},
		"returned before the nack": {
			w(due("a", "once", 100), pushed("a", 1, "w1", 200, ledger.Returned, 500), answer("a", ledger.Nacked, "", 500)),
			w(due("a", "once", 100), pushed("a", 1, "w1", 200, ledger.Returned, 501), answer("a", ledger.Nacked, "", 500)), DuplicateEffect},
		"within the zone": {
			w(due("a", "zone", 100), pushed("a", 1, "w1", 200, "closed", 300), pushed("a", 2, "w3", 310, ledger.Done, 400), answer("a", ledger.Acked, "r2", 500)),
			w(due("a", "zone", 100), pushed("a", 1, "w1", 200, "closed", 300), pushed("a", 2, "w4", 310, ledger.Done, 400), answer("a", ledger.Acked, "r2", 500)), DuplicateEffect},
		"within the cell": {
			w(due("a", "cell", 100), pushed("a", 1, "w1", 200, "closed", 300), pushed("a", 2, "w2", 310, ledger.Done, 400), answer("a", ledger.Acked, "r2", 500)),
			w(due("a", "cell", 100), pushed("a", 1, "w1", 200, "closed", 300), pushed("a", 2, "w3", 310, ledger.Done, 400), answer("a", ledger.Acked, "r2", 500)), DuplicateEffect},
		"a nack where all workers drop repeats": {
			w(due("a", "all", 100), pushed("a", 1, "w1", 200, "closed", 300), answer("a", ledger.Nacked, "", 500)),
			w(due("a", "zone", 100), pushed("a", 1, "w1", 200, "closed", 300), answer("a", ledger.Nacked, "", 500)), DuplicateEffect},
		"one push at a time": {
			w(due("a", "again", 100), pushed("a", 1, "w1", 200, "closed", 1000), pushed("a", 2, "w2", 500, ledger.Done, 2000), answer("a", ledger.Acked, "r2", 2001)),
			w(due("a", "again", 100), pushed("a", 1, "w1", 200, "closed", 1001), pushed("a", 2, "w2", 500, ledger.Done, 2000), answer("a", ledger.Acked, "r2", 2001)), DuplicateEffect},

		"a push within the drain grace": {
			extend(served("a", "again", 100), workerStateSent("draining", 1000), due("b", "again", 26_000), pushed("b", 2, "w1", 26_500, ledger.Done, 26_600), answer("b", ledger.Acked, "r2", 26_700)),
			extend(served("a", "again", 100), workerStateSent("draining", 1000), due("b", "again", 26_000), pushed("b", 2, "w1", 26_501, ledger.Done, 26_600), answer("b", ledger.Acked, "r2", 26_700)), PushAfterDrain},
		"the grace starts with the first announcement": {
			w(workerStateSent("draining", 1000), workerStateSent("ready", 2000), workerStateSent("gone", 20_000), due("b", "again", 26_000), pushed("b", 2, "w1", 27_000, ledger.Done, 27_100), answer("b", ledger.Acked, "r2", 27_200)),
			w(workerStateSent("draining", 1000), workerStateSent("gone", 20_000), due("b", "again", 26_000), pushed("b", 2, "w1", 27_000, ledger.Done, 27_100), answer("b", ledger.Acked, "r2", 27_200)), PushAfterDrain},
		"a drain announced to a suspended scheduler": {
			w(processEvent(ledger.Stopped, 900), workerStateSent("draining", 1000), processEvent(ledger.Resumed, 30_000), due("b", "again", 30_000), pushed("b", 2, "w1", 30_500, ledger.Done, 30_600), answer("b", ledger.Acked, "r2", 30_700)),
			w(workerStateSent("draining", 890), processEvent(ledger.Stopped, 900), processEvent(ledger.Resumed, 30_000), due("b", "again", 30_000), pushed("b", 2, "w1", 30_500, ledger.Done, 30_600), answer("b", ledger.Acked, "r2", 30_700)), PushAfterDrain},

		// At an age of 1.51 s the limit for four cores is 6,345 ms of work in OverloadWindow. With jobs of 100 ms
		// the allowance for random variation adds 1,793 ms.
		"work at the limit of a cold worker":     {w(coldStart(100, 15_100, 813, 10, 0)), w(coldStart(100, 15_100, 814, 10, 0)), ColdOverload},
		"a burst right after the start":          {w(coldStart(100, 100, 605, 10, 0)), w(coldStart(100, 100, 606, 10, 0)), ColdOverload},
		"the sum over all schedulers":            {w(coldStart(100, 15_100, 813, 7, 3)), w(coldStart(100, 15_100, 814, 7, 3)), ColdOverload},
		"two thirds from informed schedulers":    {w(coldStart(100, 15_100, 814, 6, 4)), w(coldStart(100, 15_100, 814, 7, 3)), ColdOverload},
		"announcement of an earlier start":       {w(startAnnounced(50), withoutAnnouncements(coldStart(100, 15_100, 814, 10, 0))), w(startAnnounced(150), withoutAnnouncements(coldStart(100, 15_100, 814, 10, 0))), ColdOverload},
		"pushes spread over more than a window":  {w(coldStart(100, 15_100, 700, 10, 0), furtherPushes(30_200, 5)), w(coldStart(100, 15_100, 700, 10, 0), furtherPushes(30_000, 5)), ColdOverload},
		"overload is judged once for each start": {w(coldStart(100, 15_100, 814, 1, 9), furtherPushes(15_300, 30)), w(coldStart(100, 15_100, 700, 1, 0), furtherPushes(15_300, 30)), ColdOverload},
		"a result that the worker returned": {extend(served("a", "once", 100)),
			w(due("a", "once", 100), pushed("a", 1, "w1", 200, ledger.Done, 300), answer("a", ledger.Acked, "r9", 500)), Fabricated},
		"a push that a client requested":     {extend(served("a", "once", 100)), extend(served("a", "once", 100), pushed("x", 9, "w1", 300, ledger.Done, 400)), Fabricated},
		"a process that ended after SIGTERM": {w(processEvent(ledger.Term, 100), processEvent(ledger.Exited, 300)), w(processEvent(ledger.Exited, 300)), Crashed},
	} {
		if j, err := Judge(c.lawful); err != nil || len(j.Breaches) > 0 {
			t.Errorf("%s, lawful: %v, %v", name, j.Breaches, err)
		}
		if j, err := Judge(c.broken); err != nil || len(j.Breaches) == 0 || j.Breaches[0].Rule != c.rule {
			t.Errorf("%s, broken: %v, %v; want %s", name, j.Breaches, err, c.rule)
		}
	}
}

// Checks a repeat at the end of the deduplication window and just after it. The TTL is longer than the usual
// 5 s here, because the window is longer than 5 s.
func TestARepeatPastTheWindowIsABreach(t *testing.T) {
	for delay, want := range map[ledger.Time]int{75_500: 0, 75_501: 1} {
		l := newLedger(due("a", "zone", 100), pushed("a", 1, "w1", 200, "closed", 300), pushed("a", 2, "w3", 200+delay, ledger.Done, 90_000), answer("a", ledger.Acked, "r2", 90_001))
		for i := range l {
			if l[i].Kind == ledger.Due {
				l[i].Until = 200_000
			}
		}
		if j, err := Judge(l); err != nil || len(j.Breaches) != want {
			t.Errorf("a repeat %d later: %v, %v", delay, j.Breaches, err)
		}
	}
}

// A retry with a new ID is a separate op. Ops that are unanswered at the end of a truncated ledger are not
// lost.
func TestRetriesAndATruncatedLedgerAreNoBreach(t *testing.T) {
	l := extend(served("a", "once", 100), due("b", "once", 2000), pushed("b", 2, "w2", 2100, ledger.Done, 2200), answer("b", ledger.Acked, "r2", 2300))
	if j, err := Judge(l); err != nil || len(j.Breaches) > 0 || j.Ops != 2 {
		t.Errorf("a retry: %+v, %v", j, err)
	}
	for n := range l {
		if n == 0 {
			continue
		}
		if j, err := Judge(l[:n]); err != nil || len(j.Breaches) > 0 {
			t.Fatalf("cut after %d lines: %v, %v", n, j.Breaches, err)
		}
	}
	if _, err := Judge(l[1:]); err == nil {
		t.Error("a ledger without rules was accepted")
	}
}

// lawful draws a ledger without breaches. It has ops of all categories, and pushes with all outcomes.
func lawful(t *rapid.T) (l events, ops []string) {
	var all []events
	push := 0
	for i := range rapid.IntRange(1, 12).Draw(t, "ops") {
		op := fmt.Sprint("op", i)
		category := rapid.SampledFrom([]string{"again", "once", "zone", "cell", "all"}).Draw(t, "category")
		at := ledger.Time(rapid.IntRange(0, 300_000).Draw(t, "due"))
		all = append(all, due(op, category, at))
		ops = append(ops, op)
		ran, firstWorker, now := false, "", at+10
		verdict, text := ledger.Nacked, ""
		for range rapid.IntRange(0, 4).Draw(t, "pushes") {
			if ran && category == "once" {
				break
			}
			group := map[string][]string{"zone": {"w1", "w2", "w3"}, "cell": {"w1", "w2"}}[category]
			worker := rapid.SampledFrom([]string{"w1", "w2", "w3", "w4"}).Draw(t, "worker")
			if category == "zone" || category == "cell" {
				worker = rapid.SampledFrom(group).Draw(t, "worker in group")
			}
			push++
			end := rapid.SampledFrom([]string{ledger.Done, ledger.Failed, ledger.Returned, ledger.TurnedAway, "closed"}).Draw(t, "end")
			took := ledger.Time(rapid.IntRange(1, 9000).Draw(t, "took"))
			all = append(all, pushed(op, push, worker, now, end, now+took))
			now += took + 1
			if end == ledger.Done {
				verdict, text = ledger.Acked, fmt.Sprint("r", push)
				break
			}
			if end == ledger.Failed || end == "closed" {
				if ran = true; firstWorker == "" {
					firstWorker = worker
				}
			}
		}
		if verdict == ledger.Nacked && ran && category != "again" && category != "all" {
			verdict = ledger.Dead
		}
		all = append(all, answer(op, verdict, text, now))
	}
	return newLedger(all...), ops
}

// Checks that a random lawful ledger has no breach and that each mutation of it has the breach of its rule.
func TestARandomLawfulLedgerPassesAndItsMutationsAreBreaches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, ops := lawful(t)
		if j, err := Judge(l); err != nil || len(j.Breaches) > 0 || j.Answers != len(ops) {
			t.Fatalf("lawful: %+v, %v", j, err)
		}
		op := rapid.SampledFrom(ops).Draw(t, "op")
		at := slices.IndexFunc(l, func(e ledger.Event) bool { return e.Kind == ledger.Answer && e.Op == op })
		last := l[at].At
		m := slices.Clone(l[:len(l)-1])
		var want Rule
		switch rapid.IntRange(0, 5).Draw(t, "mutation") {
		case 0:
			m, want = slices.Delete(m, at, at+1), LostOp
		case 1:
			m, want = append(m, l[at]), LostOp
		case 2:
			m, want = append(m, pushed(op, 9999, "w1", last+501, "closed", last+502)...), LostOp
		case 3:
			m[at].Verdict, m[at].Text, want = ledger.Acked, "made up", Fabricated
		case 4:
			m, want = append(m, pushed(op, 9998, "w1", last+1, "", 0)...), DuplicateEffect
			m = append(m, pushed(op, 9999, "w2", last+2, "", 0)...)
		case 5:
			m[at].At, want = last+1_000_000, LostOp
		}
		m = append(m, ledger.Event{At: 2_000_000, Kind: ledger.Finished})
		slices.SortStableFunc(m, func(a, b ledger.Event) int { return int(a.At - b.At) })
		j, err := Judge(m)
		if err != nil || !slices.ContainsFunc(j.Breaches, func(b Breach) bool { return b.Rule == want && (b.Op == op || b.Op == "") }) {
			t.Fatalf("want %q of %s: %v, %v", want, op, j.Breaches, err)
		}
	})
}

// Checks the allowances for pushes after the client disconnected and for deadlines announced to a worker.
func TestPushesAfterADisconnectAndExcessDeadlinesAreBreaches(t *testing.T) {
	for name, c := range map[string]struct {
		disconnectedAt, from, until ledger.Time
		want                        Rule
	}{
		"while the client is connected":        {0, 20, 900, ""},
		"just after the disconnect":            {10, 900, 0, ""},
		"long after the disconnect":            {10, 3000, 0, LostOp},
		"a deadline slightly too late":         {0, 20, 51_000, ""},
		"a deadline much too late":             {0, 20, 53_000, ExcessDeadline},
		"no deadline announced":                {0, 20, 0, ""},
		"a late deadline after the disconnect": {10, 900, 53_000, ExcessDeadline},
	} {
		events := []ledger.Event{{Kind: ledger.Header, Rules: &ledger.Rules{Slack: 500, DrainGrace: 1000,
			Categories: map[string]ledger.Category{"look": {Effect: ledger.Redeliverable}}}},
			{At: 1, Kind: ledger.Due, Op: "a", Category: "look", Scheduler: 1, Until: 50_000}, {At: 2, Kind: ledger.Sent, Op: "a", Scheduler: 1}}
		if c.disconnectedAt > 0 {
			events = append(events, ledger.Event{At: c.disconnectedAt, Kind: ledger.Left, Op: "a", Scheduler: 1})
		}
		events = append(events, ledger.Event{At: c.from + 1, Kind: ledger.Reached, Op: "a", Worker: "w", Scheduler: 1, Push: 1, From: c.from, Until: c.until},
			ledger.Event{At: 4000, Kind: ledger.WorkerReplied, Op: "a", Worker: "w", Push: 1, Verdict: ledger.Done, Text: "x"})
		if c.disconnectedAt == 0 {
			events = append(events, ledger.Event{At: 4001, Kind: ledger.Answer, Op: "a", Verdict: ledger.Acked, Text: "x"})
		}
		j, err := Judge(append(events, ledger.Event{At: 99_999, Kind: ledger.Finished}))
		if err != nil {
			t.Fatal(err)
		}
		got := Rule("")
		if len(j.Breaches) > 0 {
			got = j.Breaches[0].Rule
		}
		if got != c.want || len(j.Breaches) > 1 {
			t.Errorf("%s: %v", name, j.Breaches)
		}
	}
}

// If a scheduler reads a request and closes its connection without an answer, the request is lost. This also
// holds if the client got an answer elsewhere or the request belongs to no op. The request is not lost if the
// scheduler was killed at that time, if the client disconnected, or if the request was not read.
func TestARequestReadAndClosedWithoutAnswerIsLost(t *testing.T) {
	cut := func(op, text string) events {
		return events{{At: 2000, Kind: ledger.Cut, Op: op, Scheduler: 1, State: "reused", Text: text}}
	}
	elsewhere := events{{At: 2100, Kind: ledger.Sent, Op: "a", Scheduler: 2}, {At: 2200, Kind: ledger.Answer, Op: "a", Verdict: ledger.Nacked, Scheduler: 2}}
	for name, c := range map[string]struct {
		ledger []events
		want   int
	}{
		"answered elsewhere":              {[]events{due("a", "again", 1000), cut("a", ledger.ReadUnanswered), elsewhere}, 1},
		"without an op":                   {[]events{cut("", ledger.ReadUnanswered)}, 1},
		"closed unread":                   {[]events{due("a", "again", 1000), cut("a", "reset"), elsewhere}, 0},
		"the scheduler was killed":        {[]events{due("a", "again", 1000), {{At: 1990, Kind: ledger.Killed, Scheduler: 1}}, cut("a", ledger.ReadUnanswered), elsewhere}, 0},
		"without an op, scheduler killed": {[]events{{{At: 1990, Kind: ledger.Killed, Scheduler: 1}}, cut("", ledger.ReadUnanswered)}, 0},
		"another scheduler was killed":    {[]events{{{At: 1990, Kind: ledger.Killed, Scheduler: 2}}, cut("", ledger.ReadUnanswered)}, 1},
		"the client disconnected":         {[]events{due("a", "again", 1000), {{At: 1500, Kind: ledger.Left, Op: "a"}}, cut("a", ledger.ReadUnanswered), elsewhere}, 0},
	} {
		j, err := Judge(newLedger(c.ledger...))
		if err != nil {
			t.Fatal(err)
		}
		lost := 0
		for _, b := range j.Breaches {
			if b.Rule == LostOp {
				lost++
			}
		}
		if lost != c.want {
			t.Errorf("%s: %d lost, want %d: %v", name, lost, c.want, j.Breaches)
		}
	}
}
