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

// Effects of categories. The effect limits how often an op of the category may run.
const (
	redeliverable = "redeliverable" // an op may run any number of times
	deduplicated  = "deduplicated"  // a worker group drops duplicates of an op within a time window
)

// pendingOp is an op without an answer. Goroutines that write to workers use only Submit, which does not
// change, and checkedAt. The other fields belong to the loop.
type pendingOp struct {
	Submit
	checkedAt atomic.Pointer[time.Time] // when the client was last found connected
	attempts  attempts
	group     reducer.Group // of the last attempt
}

// checkClient reports whether the client is still connected. It reads the clock before the connection, so
// that checkedAt is never later than the check.
func (p *pendingOp) checkClient() bool {
	now := time.Now()
	if !p.Client.CheckConnected() {
		return false
	}
	p.checkedAt.Store(&now)
	return true
}

// mayWriteUntil returns a check that runs before each write of an attempt: the client must be connected, and
// end must not have passed. A zero end sets no limit.
func (p *pendingOp) mayWriteUntil(end time.Time) func() bool {
	return func() bool { return (end.IsZero() || time.Now().Before(end)) && p.checkClient() }
}

// logFields adds the op's identity, its number of attempts and its last attempt to a log line. The log key
// pushes is the number of attempts, and last_out is true while the last attempt is in flight.
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

// mayHaveRun reports whether the worker may have run the attempt, or may still run it.
func (a *attempt) mayHaveRun() bool { return a.inFlight || !a.ending.NeverRan() }

// countsAgainstLimit reports whether an attempt counts toward the op's maximum number of attempts.
func (a *attempt) countsAgainstLimit() bool {
	return a.inFlight || a.ending.Outcome() != dispatch.LocalExhaustion
}

// attempts lists the attempts of one op in their order.
type attempts []attempt

// firstMayHaveRun returns the first attempt that may have run, or nil. Its group and start time limit the
// later attempts.
func (all attempts) firstMayHaveRun() *attempt {
	for i := range all {
		if all[i].mayHaveRun() {
			return &all[i]
		}
	}
	return nil
}

// previousEnding returns how the attempt before the last one ended, which is the reason for the retry.
func (all attempts) previousEnding() outcome.Ending {
	if len(all) < 2 {
		return outcome.Unknown
	}
	return all[len(all)-2].ending
}

// retryViolation returns the reason why a rule forbids another attempt in a group, or "" if the rule allows
// that attempt.
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

// windowEnd returns the end of the window in which a worker group drops duplicates of the op. No attempt may
// be written after that end. The window starts with the first attempt that may have run, either here or for
// another scheduler at firstRun. If the windows of the rules differ, the latest end counts. The end is zero,
// which sets no limit, if no attempt may have run or if a rule's effect has no window.
func (p *pendingOp) windowEnd(rules [2]config.CategoryRule, firstRun time.Time) (end time.Time) {
	if first := p.attempts.firstMayHaveRun(); first != nil &&
		(firstRun.IsZero() || first.decidedAt.Before(firstRun)) {
		firstRun = first.decidedAt
	}
	if firstRun.IsZero() {
		return time.Time{}
	}
	for _, rule := range rules {
		if rule.Effect != deduplicated {
			return time.Time{} // retryViolation checks whether a retry is allowed
		}
		if ruleEnd := firstRun.Add(rule.Window); ruleEnd.After(end) {
			end = ruleEnd
		}
	}
	return end
}

// nackIsHarmless reports whether a client may safely retry after a nack, as the nack promises.
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
