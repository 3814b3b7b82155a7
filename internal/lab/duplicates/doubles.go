// Package duplicates judges what became of ids that came again, over all schedulers together and by the workers' own books: how often each
// op ran, and whether its clients were told the same. It does no input or output.
package duplicates

import (
	"fmt"

	"woaddyke/internal/lab/ledger"
)

// Vote is a keeper's word that it votes from now on.
type Vote struct {
	Keeper int // from 1
	At     ledger.Time
}

// Judgement is what came out.
type Judgement struct {
	Doubled     int // at-most-once ops that ran more than once
	WrongAnswer int // ops whose clients were acked with different results
	Differ      int // keepers whose copies are not the first one's, at rest
	Stale       int // pushes to a worker whose drain another scheduler had been told of long before
	Unsure      int // asked for, and no majority was had in time
	Repeats     int // tries under an id that had come before
	CaughtUp    []ledger.Time
	Breaches    []string
}

const mostTold = 10

func (j *Judgement) breach(format string, v ...any) {
	if len(j.Breaches) < mostTold {
		j.Breaches = append(j.Breaches, fmt.Sprintf(format, v...))
	}
}

// Judge judges a ledger. Digests are those of the keepers' copies at rest. Drains bind neighbours only where they share their lists.
func Judge(events []ledger.Event, digests []string, unsure int, votes []Vote, shared bool) *Judgement {
	j := &Judgement{Unsure: unsure}
	stale := func(string, ...any) {}
	if shared {
		stale = j.breach
	}
	once := map[string]bool{}
	effects := map[string]string{}
	pushes := map[int]string{}
	runs, told := map[string]int{}, map[string]string{}
	up, drained := map[int][]ledger.Time{}, map[string]ledger.Time{} // by worker: when the first scheduler was told
	within := ledger.Time(0)
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ledger.World:
			for name, c := range e.Rules.Categories {
				once[name] = c.Effect == ledger.AtMostOnce
			}
			within = e.Rules.DrainGrace + e.Rules.Slack + wordTime
		case ledger.Told:
			if _, known := drained[e.Worker]; !known && e.State != "ready" {
				drained[e.Worker] = e.At
			}
		case ledger.Due:
			if once[e.Category] {
				effects[e.Op] = e.Category
			}
		case ledger.Repeat:
			j.Repeats++
		case ledger.Reached:
			pushes[e.Push] = e.Op
			if at, ok := drained[e.Worker]; ok && e.From > at+within {
				j.Stale++
				stale("scheduler %d pushed to %s %.1f s after another was told that it drains", e.Scheduler, e.Worker, float64(e.From-at)/10_000)
			}
		case ledger.Ran:
			op := pushes[e.Push]
			if effects[op] == "" {
				continue
			}
			if runs[op]++; runs[op] == 2 {
				j.Doubled++
				j.breach("%s ran more than once", op)
			}
		case ledger.Answer, ledger.Echo:
			if e.Verdict != ledger.Acked || effects[e.Op] == "" {
				continue
			}
			if before, ok := told[e.Op]; ok && before != e.Text {
				j.WrongAnswer++
				j.breach("%s was acked with two results", e.Op)
			}
			told[e.Op] = e.Text
		case ledger.Up:
			up[e.Scheduler] = append(up[e.Scheduler], e.At)
		}
	}
	for _, d := range digests {
		if d != digests[0] {
			j.Differ++
			j.breach("copies at rest: %s at one keeper, %s at the first", d, digests[0])
		}
	}
	for _, v := range votes {
		from := ledger.Time(-1)
		for k, at := range up[v.Keeper] {
			if k > 0 && at <= v.At+startSlack { // its first start has nothing to catch up with
				from = at
			}
		}
		if from >= 0 {
			j.CaughtUp = append(j.CaughtUp, max(v.At-from, 0))
		}
	}
	return j
}

const wordTime = 10_000 // from one scheduler that is told to all others that it reaches

const startSlack = 20_000 // a vote may be had before the lab has found the process up
