package scheduler

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
)

// Effects of a category: how often an op of it may run.
const (
	redeliverable = "redeliverable" // any number of times
	deduplicated  = "deduplicated"  // its repeats are dropped within a worker group and a window
)

// pendingOp is an op without an answer. The loop owns it; writers to workers use its client and checkedAt
// alone.
type pendingOp struct {
	Submit
	checkedAt atomic.Pointer[time.Time] // when the client was last found to be there
	attempts  attempts
	group     reducer.Group // of the last attempt
}

// clientWaiting looks whether the client is there. The time is read first, so that checkedAt is never too
// late.
func (p *pendingOp) clientWaiting() bool {
	now := time.Now()
	if !p.Client.CheckConnected() {
		return false
	}
	p.checkedAt.Store(&now)
	return true
}

// wantedUntil returns the question that is asked before each write of an attempt: whether the client is there,
// and a moment has not passed. The zero time is none.
func (p *pendingOp) wantedUntil(end time.Time) func() bool {
	return func() bool { return (end.IsZero() || time.Now().Before(end)) && p.clientWaiting() }
}

// logFields adds what an op has gone through to a log line.
func (p *pendingOp) logFields(e *zerolog.Event) {
	e.Uint64("op", p.Op.Op).Str("id", p.Op.ID).Str("category", p.Op.Category).Int("pushes", len(p.attempts))
	if n := len(p.attempts); n > 0 {
		last := p.attempts[n-1]
		e.Str("last_worker", last.worker).Stringer("last_end", last.ending).Bool("last_out", last.inFlight)
	}
}

// attempt is one push of an op.
type attempt struct {
	worker    string
	group     reducer.Group
	decidedAt time.Time
	inFlight  bool
	ending    outcome.Ending
}

// mayHaveRun tells whether the worker may have run the attempt, or may still do.
func (a *attempt) mayHaveRun() bool { return a.inFlight || !a.ending.NeverRan() }

// counts tells whether an attempt is one of those that an op may have at most.
func (a *attempt) counts() bool { return a.inFlight || a.ending.Outcome() != dispatch.LocalExhaustion }

// attempts are the attempts of one op, in their order.
type attempts []attempt

// firstMayHaveRun returns the first attempt that may have run, or nil. Its group and time limit the later
// ones.
func (all attempts) firstMayHaveRun() *attempt {
	for i := range all {
		if all[i].mayHaveRun() {
			return &all[i]
		}
	}
	return nil
}

// previousEnding is how the attempt before the last one ended: the reason for the retry.
func (all attempts) previousEnding() outcome.Ending {
	if len(all) < 2 {
		return outcome.Unknown
	}
	return all[len(all)-2].ending
}

// retryViolation is the reason for which a rule forbids a further attempt in a group; empty where it doesn't.
func (all attempts) retryViolation(r config.CategoryRule, to reducer.Group, now time.Time) invariant.Reason {
	first := all.firstMayHaveRun()
	if first == nil || r.Effect == redeliverable {
		return ""
	}
	if r.Effect != deduplicated {
		return invariant.MayHaveRun
	}
	if !now.Before(first.decidedAt.Add(r.Window)) || !sameGroup(r.Scope, first.group, to) {
		return invariant.OutsideGroup
	}
	return ""
}

// windowEnd is when the window ends in which a worker group drops a repeat of the op: nothing may be written
// for it later. It is zero where no window binds it, as nothing may have run. Of several rules that
// may apply the latest end counts.
func (p *pendingOp) windowEnd(rules [2]config.CategoryRule, prior time.Time) (end time.Time) {
	if first := p.attempts.firstMayHaveRun(); first != nil && (prior.IsZero() || first.decidedAt.Before(prior)) {
		prior = first.decidedAt
	}
	if prior.IsZero() {
		return time.Time{}
	}
	for _, rule := range rules {
		if rule.Effect != deduplicated {
			return time.Time{} // the other checks decide
		}
		if ruleEnd := prior.Add(rule.Window); ruleEnd.After(end) {
			end = ruleEnd
		}
	}
	return end
}

// nackIsHarmless tells whether a client may retry after a nack, as the nack promises.
func (all attempts) nackIsHarmless(r config.CategoryRule, now time.Time) bool {
	first := all.firstMayHaveRun()
	if first == nil || r.Effect == redeliverable {
		return true
	}
	return r.Effect == deduplicated && r.Scope == "all" && now.Before(first.decidedAt.Add(r.Window))
}

func sameGroup(scope string, a, b reducer.Group) bool {
	switch scope {
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a.WorkerGroup == b.WorkerGroup
	}
	return true
}
