// Package duplicates checks repeated op IDs across all schedulers. It checks how often each op ran according
// to the workers' records, and whether all its clients got the same result. It does no input or output.
package duplicates

import (
	"fmt"

	"woaddyke/internal/lab/ledger"
)

// Vote records when a voter announced that it begins to vote.
type Vote struct {
	Keeper int // index of the scheduler, from 1
	At     ledger.Time
}

// Judgement is the result of the check.
type Judgement struct {
	DuplicateRuns      int // at-most-once ops that ran more than once
	ConflictingAnswers int // ops whose clients were acked with different results
	DivergedReplicas   int // voters whose replica at rest differs from the first voter's
	StaleDrainPushes   int // pushes to a draining worker, after the grace since any scheduler's notice
	UnsureRefusals     int // requests refused because no majority answered in time
	Repeats            int // attempts with an ID that was used before
	CatchUpTimes       []ledger.Time
	Breaches           []string
}

const maxBreaches = 10

func (j *Judgement) breach(format string, v ...any) {
	if len(j.Breaches) < maxBreaches {
		j.Breaches = append(j.Breaches, fmt.Sprintf(format, v...))
	}
}

// Judge checks a ledger. The digests are those of the voters' replicas at rest. A push to a worker that is
// known to drain is a breach only if shared is set, which means that the schedulers share their endpoint
// lists.
func Judge(events []ledger.Event, digests []string, unsure int, votes []Vote, shared bool) *Judgement {
	j := &Judgement{UnsureRefusals: unsure}
	stale := func(string, ...any) {}
	if shared {
		stale = j.breach
	}
	atMostOnce := map[string]bool{}
	categories := map[string]string{}
	opOfPush := map[int]string{}
	runs, results := map[string]int{}, map[string]string{}
	// drained holds, by worker, the time when discovery first sent its drain to a scheduler.
	started, drained := map[int][]ledger.Time{}, map[string]ledger.Time{}
	staleAfter := ledger.Time(0)
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ledger.Header:
			for name, c := range e.Rules.Categories {
				atMostOnce[name] = c.Effect == ledger.AtMostOnce
			}
			staleAfter = e.Rules.DrainGrace + e.Rules.Slack + propagationTime
		case ledger.WorkerStateSent:
			if _, seen := drained[e.Worker]; !seen && e.State != "ready" {
				drained[e.Worker] = e.At
			}
		case ledger.Due:
			if atMostOnce[e.Category] {
				categories[e.Op] = e.Category
			}
		case ledger.Repeat:
			j.Repeats++
		case ledger.Reached:
			opOfPush[e.Push] = e.Op
			if at, ok := drained[e.Worker]; ok && e.From > at+staleAfter {
				j.StaleDrainPushes++
				stale("scheduler %d pushed to %s %.1f s after another was told that it drains", e.Scheduler, e.Worker, float64(e.From-at)/10_000)
			}
		case ledger.Ran:
			op := opOfPush[e.Push]
			if categories[op] == "" {
				continue
			}
			if runs[op]++; runs[op] == 2 {
				j.DuplicateRuns++
				j.breach("%s ran more than once", op)
			}
		case ledger.Answer, ledger.RepeatAnswer:
			if e.Verdict != ledger.Acked || categories[e.Op] == "" {
				continue
			}
			if before, ok := results[e.Op]; ok && before != e.Text {
				j.ConflictingAnswers++
				j.breach("%s was acked with two results", e.Op)
			}
			results[e.Op] = e.Text
		case ledger.Up:
			started[e.Scheduler] = append(started[e.Scheduler], e.At)
		}
	}
	for _, d := range digests {
		if d != digests[0] {
			j.DivergedReplicas++
			j.breach("copies at rest: %s at one keeper, %s at the first", d, digests[0])
		}
	}
	for _, v := range votes {
		from := ledger.Time(-1)
		for k, at := range started[v.Keeper] {
			if k > 0 && at <= v.At+startTolerance { // the first start has no state to catch up with
				from = at
			}
		}
		if from >= 0 {
			j.CatchUpTimes = append(j.CatchUpTimes, max(v.At-from, 0))
		}
	}
	return j
}

const propagationTime = 10_000 // time in ledger ticks for a drain notice to reach the other schedulers

const startTolerance = 20_000 // maximum ledger ticks from a vote until the lab detects the process
