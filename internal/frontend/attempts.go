package frontend

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
)

// What an op may be pushed for is decided in the module. Here each push is held once more against the plain rules, by what was done with
// the op and not by what the module knows of it: a breach is counted, and hinders nothing.

const (
	lookedWithin = 100 * time.Millisecond // from the last look at a client to a push for it
	leastSweep   = 1024                   // workers, beside twice those that were there at the last look
	toldMore     = 150 * time.Millisecond // by which a worker may be told more time than its client has
)

// attempt is one push of an op.
type attempt struct {
	worker  string
	group   reducer.Group
	decided time.Time
	out     bool
	how     outcome.Ending
}

// mayHaveRun tells whether a push may have run, or may yet.
func (a *attempt) mayHaveRun() bool { return a.out || !a.how.NeverRan() }

// sent tells whether a push counts among those that an op may have.
func (a *attempt) sent() bool { return a.out || a.how.Outcome() != dispatch.LocalExhaustion }

// attempts are the pushes of one op, in their order. They are the loop's.
type attempts []attempt

// running is the first push that may have run, nil for none. It fixes group and window for every further one.
func (all attempts) running() *attempt {
	for i := range all {
		if all[i].mayHaveRun() {
			return &all[i]
		}
	}
	return nil
}

// before is how the push before the newest one ended: the reason for which it is pushed again.
func (all attempts) before() outcome.Ending {
	if len(all) < 2 {
		return outcome.Unknown
	}
	return all[len(all)-2].how
}

// allows is why a rule forbids a further push to a group now; empty where it does not.
func (all attempts) allows(r config.CategoryRule, to reducer.Group, now time.Time) invariant.Reason {
	first := all.running()
	if first == nil || r.Effect == redeliverable {
		return ""
	}
	if r.Effect != deduplicated {
		return invariant.MayHaveRun
	}
	if !now.Before(first.decided.Add(r.Window)) || !sameGroup(r.Scope, first.group, to) {
		return invariant.OutsideGroup
	}
	return ""
}

// harmless tells whether a nack keeps its promise under a rule.
func (all attempts) harmless(r config.CategoryRule, now time.Time) bool {
	first := all.running()
	if first == nil || r.Effect == redeliverable {
		return true
	}
	return r.Effect == deduplicated && r.Scope == "all" && now.Before(first.decided.Add(r.Window))
}

const (
	redeliverable = "redeliverable"
	deduplicated  = "deduplicated"
)

func sameGroup(scope string, a, b reducer.Group) bool {
	switch scope {
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a.WorkerGroup == b.WorkerGroup
	}
	return true
}

// watched is what the guard knows of the workers: since when each takes nothing new.
type watched struct {
	mu    sync.Mutex
	grace time.Duration
	since map[string]time.Time // zero for one that is ready
	sweep int                  // so many in it have those looked over that are gone for long
}

// list takes what discovery tells.
func (w *watched) list(in reducer.EndpointsChanged, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	named := map[string]bool{}
	for _, e := range in.Endpoints {
		named[e.Worker] = true
		switch was, known := w.since[e.Worker]; {
		case e.Ready:
			w.since[e.Worker] = time.Time{}
		case !known || was.IsZero():
			w.since[e.Worker] = now
		}
	}
	if !in.Snapshot && len(w.since) < w.sweep {
		return // a change costs what has changed, not what the fleet has
	}
	for worker, was := range w.since {
		switch {
		case in.Snapshot && !named[worker] && was.IsZero():
			w.since[worker] = now
		case !was.IsZero() && now.Sub(was) > longestTTL:
			delete(w.since, worker) // whoever is gone for so long has no push waiting for it
		}
	}
	w.sweep = 2*len(w.since) + leastSweep
}

// takes tells whether a worker takes new work, or has been told otherwise for less than the grace.
func (w *watched) takes(worker string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.since[worker]
	return since.IsZero() || now.Sub(since) <= w.grace
}

// states says what an op had gone through, for the log of a breach.
func (h *held) states(e *zerolog.Event) {
	e.Uint64("op", h.Op).Str("id", h.ID).Str("category", h.Category).Int("pushes", len(h.pushes))
	if n := len(h.pushes); n > 0 {
		last := h.pushes[n-1]
		e.Str("last_worker", last.worker).Stringer("last_end", last.how).Bool("last_out", last.out)
	}
}

// rules are those that an op may go by: as they were when it came, and as they are in force.
func (l *loop) rules(h *held) [2]config.CategoryRule {
	return [2]config.CategoryRule{h.rule, l.rule(h.Category)}
}

// begin holds a push against the rules, and notes it.
func (l *loop) begin(now time.Time, h *held, e reducer.Push) {
	l.checkStart(h)
	l.checkRepeat(now, h, e)
	h.pushes = append(h.pushes, attempt{worker: e.Worker, group: e.Group, decided: now, out: true})
}

func (l *loop) checkStart(h *held) {
	if len(h.pushes) > 0 {
		return
	}
	if by, taken := l.byID[h.ID]; taken && by != h.Op {
		l.guard.Violated(invariant.Starting, invariant.DuplicateID, h.states)
	}
	l.byID[h.ID] = h.Op
	if l.granted != nil && h.ticket == 0 && l.granted(h.Category) && h.rule == l.rule(h.Category) {
		l.guard.Violated(invariant.Starting, invariant.NotGranted, h.states)
	}
}

func (l *loop) checkRepeat(now time.Time, h *held, e reducer.Push) {
	sent := 0
	for i := range h.pushes {
		if h.pushes[i].out {
			l.guard.Violated(invariant.Repeating, invariant.AttemptInFlight, h.states)
		}
		if h.pushes[i].sent() {
			sent++
		}
	}
	if sent >= max(h.mostPushes, l.mostPushes()) {
		l.guard.Violated(invariant.Repeating, invariant.AttemptsExceeded, h.states)
	}
	rules := l.rules(h)
	why, also := h.pushes.allows(rules[0], e.Group, now), h.pushes.allows(rules[1], e.Group, now)
	if why != "" && also != "" {
		l.guard.Violated(invariant.Repeating, why, h.states)
	}
}

// noteEnd notes how a push ended.
func (l *loop) noteEnd(in reducer.AttemptEnded) {
	h := l.held[in.Op]
	if h == nil || len(h.pushes) == 0 {
		return
	}
	last := &h.pushes[len(h.pushes)-1]
	last.out, last.how = false, in.Ending
}

// checkAnswer holds an op's answer against the rules, and lets go of its id.
func (l *loop) checkAnswer(now time.Time, h *held, e reducer.Respond) {
	if l.byID[h.ID] == h.Op {
		delete(l.byID, h.ID)
	}
	rules := l.rules(h)
	if e.Verdict == reducer.Nacked && !h.pushes.harmless(rules[0], now) && !h.pushes.harmless(rules[1], now) {
		l.guard.Violated(invariant.Repeating, invariant.NotHarmless, h.states)
	}
}

// sending holds the first byte of a push against the rules. It is called just before that is written, by whoever writes it.
func (l *loop) sending(h *held, worker string, left time.Duration) {
	now := time.Now()
	broken := func(why invariant.Reason) {
		l.guard.Violated(invariant.Sending, why, func(e *zerolog.Event) {
			e.Uint64("op", h.Op).Str("id", h.ID).Str("worker", worker).Dur("told_ms", left).Dur("left_ms", h.until.Sub(now))
		})
	}
	if looked := h.looked.Load(); looked == nil || now.Sub(*looked) > lookedWithin {
		broken(invariant.ClientGone)
	}
	if now.After(h.until) {
		broken(invariant.PastTTL)
	}
	if left > h.until.Sub(now)+toldMore {
		broken(invariant.DeadlineTooLong)
	}
	if !l.workers.takes(worker, now) {
		broken(invariant.WorkerDraining)
	}
}
