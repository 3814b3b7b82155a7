// Package membershipcheck checks the schedulers' views of one another against the recorded states of their
// links and processes. It does no input or output.
package membershipcheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"woaddyke/internal/lab/ledger"
)

// Limits are the limits that views are checked against, in ledger ticks.
type Limits struct {
	Count  int
	Pause  ledger.Time // a member that is suspended for at most this long must not be seen as gone
	Detect ledger.Time // an ended member must be gone in all views within this time
	Settle ledger.Time // views must be right this long after the last change
	Grace  ledger.Time // a view of gone is accepted if the member was unreachable at most this long ago
}

// Span is a period in which scheduler By saw scheduler Of in a state.
type Span struct {
	By, Of      int // indices, from 1
	State       string
	From, Until ledger.Time
}

// Judgement is the result of the check.
type Judgement struct {
	FalseGone, MissedGone, WrongViews int
	DetectTimes                       []ledger.Time // from a member's end to each view that shows it
	ConvergeTimes                     []ledger.Time // from a change until all views were right
	Breaches                          []string
	Spans                             []Span
}

const maxBreaches = 20

type view struct {
	state string
	since ledger.Time
}

// replay holds the actual states of the schedulers, and their views of one another, at a moment of the
// ledger.
type replay struct {
	limits          Limits
	up              []bool
	stateSince      []ledger.Time // when the present process started, or the last one ended
	stoppedAt       []ledger.Time // when the process was suspended, 0 while it runs
	leaving         []bool
	nameReused      []bool // another process uses the scheduler's name, so its views are not checked
	cut             [][]bool
	lastUnreachable [][]ledger.Time // when each pair was last unable to reach each other
	views           [][]view
	diedAt          []ledger.Time
	changedAt       ledger.Time // the last change of an actual state
	converged       bool        // all views have been right at some moment since changedAt
	result          *Judgement
}

func isEnded(state string) bool { return state == "gone" || state == "left" }

func (w *replay) responds(i int, now ledger.Time) bool {
	return w.up[i] && !(w.stoppedAt[i] > 0 && now-w.stoppedAt[i] > w.limits.Pause)
}

func (w *replay) linksOpen(i, j int) bool { return !w.cut[i][j] && !w.cut[j][i] }

// reaches reports whether two schedulers can reach each other both ways, directly or through a third one.
func (w *replay) reaches(i, j int, now ledger.Time) bool {
	if !w.responds(i, now) || !w.responds(j, now) {
		return false
	}
	if w.linksOpen(i, j) {
		return true
	}
	for k := range w.up {
		if k != i && k != j && w.responds(k, now) && w.linksOpen(i, k) && w.linksOpen(k, j) {
			return true
		}
	}
	return false
}

func (w *replay) recordUnreachable(now ledger.Time) {
	for i := range w.up {
		for j := range i {
			if !w.reaches(i, j, now) {
				w.lastUnreachable[i][j], w.lastUnreachable[j][i] = now, now
			}
		}
	}
}

func (w *replay) breach(format string, v ...any) {
	if len(w.result.Breaches) < maxBreaches {
		w.result.Breaches = append(w.result.Breaches, fmt.Sprintf(format, v...))
	}
}

func seconds(t ledger.Time) float64 { return float64(t) / 10_000 }

// viewError returns why i's view of j is wrong, or an empty text if the view is right or is not checked.
func (w *replay) viewError(i, j int, now ledger.Time) string {
	if i == j || !w.responds(i, now) || w.stoppedAt[i] > 0 || w.nameReused[i] || w.leaving[i] || w.leaving[j] {
		return ""
	}
	state := w.views[i][j].state
	switch {
	case w.reaches(i, j, now) && w.stoppedAt[j] == 0 && state != "here" && !w.nameReused[j]:
		return fmt.Sprintf("n%d holds n%d %q, which is here", i+1, j+1, state)
	case !w.up[j] && state != "" && !isEnded(state):
		return fmt.Sprintf("n%d holds n%d %q, which is no more", i+1, j+1, state)
	}
	return ""
}

// checkSettled checks all views at the end of a period without changes.
func (w *replay) checkSettled(now ledger.Time) {
	if now-w.changedAt < w.limits.Settle {
		return
	}
	for i := range w.up {
		for j := range w.up {
			if text := w.viewError(i, j, now); text != "" {
				w.result.WrongViews++
				w.breach("at %.3f s, %.1f s after the last change: %s", seconds(now), seconds(now-w.changedAt), text)
			}
		}
	}
}

func (w *replay) checkConverged(now ledger.Time) {
	if w.converged {
		return
	}
	for i := range w.up {
		for j := range w.up {
			if w.viewError(i, j, now) != "" {
				return
			}
		}
	}
	w.converged = true
	w.result.ConvergeTimes = append(w.result.ConvergeTimes, now-w.changedAt)
}

// checkMissedEnd checks the other schedulers' views of member j, if it ended at least Detect ago.
func (w *replay) checkMissedEnd(j int, now ledger.Time) {
	if w.diedAt[j] < 0 || now-w.diedAt[j] < w.limits.Detect {
		return
	}
	for i := range w.up {
		// An observer that is suspended, or started later than Settle before the end, has had less time.
		if i == j || !w.up[i] || w.nameReused[i] || w.stoppedAt[i] > 0 || w.stateSince[i] > w.diedAt[j]-w.limits.Settle {
			continue
		}
		if state := w.views[i][j].state; state != "" && !isEnded(state) {
			w.result.MissedGone++
			w.breach("at %.3f s: n%d holds n%d %q, which ended at %.3f s", seconds(now), i+1, j+1, state, seconds(w.diedAt[j]))
		}
	}
	w.diedAt[j] = -1
}

func (w *replay) applyView(ev ledger.Event, index map[string]int) {
	i, now := ev.Scheduler-1, ev.At
	j, ok := index[ev.Name]
	if !ok || i == j {
		return
	}
	if !w.reaches(i, j, now) { // the events of a cut set lastUnreachable only at its begin and end
		w.lastUnreachable[i][j], w.lastUnreachable[j][i] = now, now
	}
	v := &w.views[i][j]
	if v.state != "" {
		w.result.Spans = append(w.result.Spans, Span{i + 1, j + 1, v.state, v.since, now})
	}
	previous := v.state
	*v = view{ev.State, now}
	switch {
	case isEnded(ev.State) && previous != "" && !isEnded(previous) && !w.up[j]:
		w.result.DetectTimes = append(w.result.DetectTimes, now-w.stateSince[j])
	case ev.State == "gone" && ev.Verdict != "private" && w.up[j] && !w.leaving[j] && w.responds(j, now) && !w.nameReused[j] && !w.nameReused[i]:
		if now-max(w.lastUnreachable[i][j], w.stateSince[i], w.stateSince[j]) > w.limits.Grace {
			w.result.FalseGone++
			w.breach("at %.3f s: n%d calls n%d gone, by %s, and could reach it since %.3f s", seconds(now), i+1, j+1, ev.Text, seconds(max(w.lastUnreachable[i][j], 0)))
		}
	}
	w.checkConverged(now)
}

// Judge checks a ledger that includes the MemberView events, in any order.
func Judge(events []ledger.Event, t Limits) *Judgement {
	n := t.Count
	w := &replay{limits: t, up: make([]bool, n), stateSince: make([]ledger.Time, n), stoppedAt: make([]ledger.Time, n), leaving: make([]bool, n),
		nameReused: make([]bool, n), diedAt: make([]ledger.Time, n), result: &Judgement{}, converged: true}
	index := map[string]int{}
	for i := range n {
		index[fmt.Sprintf("n%d", i+1)] = i
		w.diedAt[i] = -1
		w.cut, w.views = append(w.cut, make([]bool, n)), append(w.views, make([]view, n))
		row := make([]ledger.Time, n)
		for k := range row {
			row[k] = math.MinInt32
		}
		w.lastUnreachable = append(w.lastUnreachable, row)
	}
	var order []ledger.Event
	for _, ev := range events {
		switch ev.Kind {
		case ledger.Up, ledger.Term, ledger.Stopped, ledger.Resumed, ledger.Killed, ledger.Exited, ledger.LinkChanged, ledger.MemberView:
			if ev.Kind == ledger.MemberView {
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
			w.checkMissedEnd(j, now)
		}
		if ev.Kind == ledger.MemberView {
			w.applyView(ev, index)
			continue
		}
		w.checkSettled(now)
		w.recordUnreachable(now)
		if ev.Kind == ledger.LinkChanged && ev.State == "end" {
			break walk // the lab stops the schedulers after this event
		}
		switch ev.Kind {
		case ledger.Up:
			w.up[i], w.leaving[i], w.stateSince[i], w.stoppedAt[i], w.diedAt[i] = true, false, now, 0, -1
		case ledger.Term:
			w.leaving[i] = true
		case ledger.Killed, ledger.Exited:
			if w.up[i] {
				w.up[i], w.stateSince[i], w.diedAt[i], w.stoppedAt[i] = false, now, now, 0
			}
			for j := range n {
				if v := &w.views[i][j]; v.state != "" { // the next process starts with no views
					w.result.Spans = append(w.result.Spans, Span{i + 1, j + 1, v.state, v.since, now})
					*v = view{}
				}
			}
		case ledger.Stopped:
			w.stoppedAt[i] = max(now, 1)
		case ledger.Resumed:
			if w.stoppedAt[i] > 0 && now-w.stoppedAt[i] > t.Pause {
				for j := range n {
					w.lastUnreachable[i][j], w.lastUnreachable[j][i] = now, now
				}
			}
			w.stoppedAt[i] = 0
		case ledger.LinkChanged:
			if ev.State == "aside" {
				w.nameReused[i] = true
			} else if ev.To >= 1 && ev.To <= n {
				w.cut[i][ev.To-1] = ev.State != "open"
			}
		}
		w.recordUnreachable(now)
		w.changedAt, w.converged = now, false
		w.checkConverged(now)
	}
	for i := range n {
		for j := range n {
			if v := w.views[i][j]; v.state != "" {
				w.result.Spans = append(w.result.Spans, Span{i + 1, j + 1, v.state, v.since, max(end, v.since)})
			}
		}
	}
	return w.result
}
