// Package membershipcheck judges what schedulers held of one another, by the links and the processes as they were, and believes no scheduler.
// It does no input or output.
package membershipcheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"woaddyke/internal/lab/ledger"
)

// Terms are what views are judged by, in the ledger's unit.
type Terms struct {
	Count  int
	Pause  ledger.Time // one that stands still up to so long must not be called gone
	Detect ledger.Time // one that is no more must be gone in all views within this
	Settle ledger.Time // and views that can be must be right so long after the last change
	Grace  ledger.Time // a word that one is gone may rest on what was so long ago
}

// Span is for how long one scheduler held another in a state.
type Span struct {
	By, Of      int // from 1
	State       string
	From, Until ledger.Time
}

// Judgement is what came out.
type Judgement struct {
	FalseGone, MissedGone, Apart int
	Detect                       []ledger.Time // from an end to each view that has it
	Converge                     []ledger.Time // from a change to the moment at which all views were right
	Breaches                     []string
	Spans                        []Span
}

const mostTold = 20

type held struct {
	state string
	since ledger.Time
}

// world is what was true, and what was held, at a moment.
type world struct {
	t       Terms
	up      []bool
	since   []ledger.Time // of the present process
	stopped []ledger.Time // 0: it runs
	leaving []bool
	aside   []bool // not judged as one who holds: another process has its name
	cut     [][]bool
	bad     [][]ledger.Time // when two could last not reach each other
	holds   [][]held
	died    []ledger.Time
	changed ledger.Time // the last change of what is true
	right   bool        // since then all views have been right once
	j       *Judgement
}

func ended(state string) bool { return state == "gone" || state == "left" }

func (w *world) answers(i int, now ledger.Time) bool {
	return w.up[i] && !(w.stopped[i] > 0 && now-w.stopped[i] > w.t.Pause)
}

func (w *world) both(i, j int) bool { return !w.cut[i][j] && !w.cut[j][i] }

// reaches tells whether two can reach each other both ways, directly or through one other.
func (w *world) reaches(i, j int, now ledger.Time) bool {
	if !w.answers(i, now) || !w.answers(j, now) {
		return false
	}
	if w.both(i, j) {
		return true
	}
	for k := range w.up {
		if k != i && k != j && w.answers(k, now) && w.both(i, k) && w.both(k, j) {
			return true
		}
	}
	return false
}

func (w *world) note(now ledger.Time) {
	for i := range w.up {
		for j := range i {
			if !w.reaches(i, j, now) {
				w.bad[i][j], w.bad[j][i] = now, now
			}
		}
	}
}

func (w *world) breach(format string, v ...any) {
	if len(w.j.Breaches) < mostTold {
		w.j.Breaches = append(w.j.Breaches, fmt.Sprintf(format, v...))
	}
}

func at(t ledger.Time) float64 { return float64(t) / 10_000 }

// wrong tells in which way i's view of j is not as it should be, empty where it is right or nothing is asked of it.
func (w *world) wrong(i, j int, now ledger.Time) string {
	if i == j || !w.answers(i, now) || w.stopped[i] > 0 || w.aside[i] || w.leaving[i] || w.leaving[j] {
		return ""
	}
	h := w.holds[i][j].state
	switch {
	case w.reaches(i, j, now) && w.stopped[j] == 0 && h != "here" && !w.aside[j]:
		return fmt.Sprintf("n%d holds n%d %q, which is here", i+1, j+1, h)
	case !w.up[j] && h != "" && !ended(h):
		return fmt.Sprintf("n%d holds n%d %q, which is no more", i+1, j+1, h)
	}
	return ""
}

// calm ends a time in which nothing changed.
func (w *world) calm(now ledger.Time) {
	if now-w.changed < w.t.Settle {
		return
	}
	for i := range w.up {
		for j := range w.up {
			if text := w.wrong(i, j, now); text != "" {
				w.j.Apart++
				w.breach("at %.3f s, %.1f s after the last change: %s", at(now), at(now-w.changed), text)
			}
		}
	}
}

func (w *world) settled(now ledger.Time) {
	if w.right {
		return
	}
	for i := range w.up {
		for j := range w.up {
			if w.wrong(i, j, now) != "" {
				return
			}
		}
	}
	w.right = true
	w.j.Converge = append(w.j.Converge, now-w.changed)
}

// missed judges an end that is detect ago, or that is over because a new process has come.
func (w *world) missed(j int, now ledger.Time) {
	if w.died[j] < 0 || now-w.died[j] < w.t.Detect {
		return
	}
	for i := range w.up {
		// One that was stopped, cut off or started meanwhile had less time.
		if i == j || !w.up[i] || w.aside[i] || w.stopped[i] > 0 || w.since[i] > w.died[j]-w.t.Settle {
			continue
		}
		if h := w.holds[i][j].state; h != "" && !ended(h) {
			w.j.MissedGone++
			w.breach("at %.3f s: n%d holds n%d %q, which ended at %.3f s", at(now), i+1, j+1, h, at(w.died[j]))
		}
	}
	w.died[j] = -1
}

func (w *world) hold(ev ledger.Event, index map[string]int) {
	i, now := ev.Scheduler-1, ev.At
	j, ok := index[ev.Name]
	if !ok || i == j {
		return
	}
	if !w.reaches(i, j, now) { // a cut that lasts is noted at its beginning and its end alone
		w.bad[i][j], w.bad[j][i] = now, now
	}
	h := &w.holds[i][j]
	if h.state != "" {
		w.j.Spans = append(w.j.Spans, Span{i + 1, j + 1, h.state, h.since, now})
	}
	before := h.state
	*h = held{ev.State, now}
	switch {
	case ended(ev.State) && before != "" && !ended(before) && !w.up[j]:
		w.j.Detect = append(w.j.Detect, now-w.since[j])
	case ev.State == "gone" && ev.Verdict != "private" && w.up[j] && !w.leaving[j] && w.answers(j, now) && !w.aside[j] && !w.aside[i]:
		if now-max(w.bad[i][j], w.since[i], w.since[j]) > w.t.Grace {
			w.j.FalseGone++
			w.breach("at %.3f s: n%d calls n%d gone, by %s, and could reach it since %.3f s", at(now), i+1, j+1, ev.Text, at(max(w.bad[i][j], 0)))
		}
	}
	w.settled(now)
}

// Judge judges a ledger whose Held events are in it, in any order.
func Judge(events []ledger.Event, t Terms) *Judgement {
	n := t.Count
	w := &world{t: t, up: make([]bool, n), since: make([]ledger.Time, n), stopped: make([]ledger.Time, n), leaving: make([]bool, n),
		aside: make([]bool, n), died: make([]ledger.Time, n), j: &Judgement{}, right: true}
	index := map[string]int{}
	for i := range n {
		index[fmt.Sprintf("n%d", i+1)] = i
		w.died[i] = -1
		w.cut, w.holds = append(w.cut, make([]bool, n)), append(w.holds, make([]held, n))
		row := make([]ledger.Time, n)
		for k := range row {
			row[k] = math.MinInt32
		}
		w.bad = append(w.bad, row)
	}
	var order []ledger.Event
	for _, ev := range events {
		switch ev.Kind {
		case ledger.Up, ledger.Term, ledger.Stopped, ledger.Resumed, ledger.Killed, ledger.Exited, ledger.Way, ledger.Held:
			if ev.Kind == ledger.Held {
				ev.At = ev.From
			}
			if ev.Scheduler >= 1 && ev.Scheduler <= n {
				order = append(order, ev)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b ledger.Event) int { return cmp.Compare(a.At, b.At) })
	end := ledger.Time(0)
walk:
	for _, ev := range order {
		end = ev.At
		now, i := ev.At, ev.Scheduler-1
		for j := range n {
			w.missed(j, now)
		}
		if ev.Kind == ledger.Held {
			w.hold(ev, index)
			continue
		}
		w.calm(now)
		w.note(now)
		if ev.Kind == ledger.Way && ev.State == "end" {
			break walk // what follows is the lab's own end
		}
		switch ev.Kind {
		case ledger.Up:
			w.up[i], w.leaving[i], w.since[i], w.stopped[i], w.died[i] = true, false, now, 0, -1
		case ledger.Term:
			w.leaving[i] = true
		case ledger.Killed, ledger.Exited:
			if w.up[i] {
				w.up[i], w.since[i], w.died[i], w.stopped[i] = false, now, now, 0
			}
			for j := range n {
				if h := &w.holds[i][j]; h.state != "" { // the next process knows nothing of it
					w.j.Spans = append(w.j.Spans, Span{i + 1, j + 1, h.state, h.since, now})
					*h = held{}
				}
			}
		case ledger.Stopped:
			w.stopped[i] = max(now, 1)
		case ledger.Resumed:
			if w.stopped[i] > 0 && now-w.stopped[i] > t.Pause {
				for j := range n {
					w.bad[i][j], w.bad[j][i] = now, now
				}
			}
			w.stopped[i] = 0
		case ledger.Way:
			if ev.State == "aside" {
				w.aside[i] = true
			} else if ev.To >= 1 && ev.To <= n {
				w.cut[i][ev.To-1] = ev.State != "open"
			}
		}
		w.note(now)
		w.changed, w.right = now, false
		w.settled(now)
	}
	for i := range n {
		for j := range n {
			if h := w.holds[i][j]; h.state != "" {
				w.j.Spans = append(w.j.Spans, Span{i + 1, j + 1, h.state, h.since, max(end, h.since)})
			}
		}
	}
	return w.j
}
