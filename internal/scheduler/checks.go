package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/scheduler/reducer"
)

const (
	maxClientCheckAge = 100 * time.Millisecond // from a client's last check to an attempt's first byte
	maxTimeLeftExcess = 150 * time.Millisecond // of the time left sent to a worker over the client's
)

// checks compares each attempt and each answer with the rules for the op. It uses its own record of the
// attempts that were made, and not the reducer's state. A violation is counted and logged, and the attempt or
// the answer goes on.
type checks struct {
	*invariant.Checker
	policy  Policy
	workers *workerStates
	opsByID map[string]uint64 // numbers of the ops that have an attempt and no answer
}

func newChecks(checker *invariant.Checker, policy Policy, drainGrace time.Duration) *checks {
	return &checks{
		Checker: checker,
		policy:  policy,
		workers: newWorkerStates(drainGrace),
		opsByID: map[string]uint64{},
	}
}

// rules returns the rules that may apply to an op: its category's rule at its arrival and the rule in force.
func (c *checks) rules(p *pendingOp) [2]config.CategoryRule {
	return [2]config.CategoryRule{p.Rule, c.policy.Rule(p.Op.Category)}
}

// addAttempt checks and records an attempt that the reducer has decided on.
func (c *checks) addAttempt(now time.Time, p *pendingOp, e reducer.Push) {
	if len(p.attempts) == 0 {
		c.checkFirstAttempt(p)
	}
	c.checkRetry(now, p, e)
	p.attempts = append(p.attempts, attempt{worker: e.Worker, group: e.Group, decidedAt: now, inFlight: true})
}

func (c *checks) checkFirstAttempt(p *pendingOp) {
	if op, found := c.opsByID[p.Op.ID]; found && op != p.Op.Op {
		c.Violated(invariant.StartingRule, invariant.DuplicateID, p.logFields)
	}
	c.opsByID[p.Op.ID] = p.Op.Op
	if !p.ClaimGranted && c.policy.ClaimRequired(p.Op.Category) && p.Rule == c.policy.Rule(p.Op.Category) {
		c.Violated(invariant.StartingRule, invariant.NotGranted, p.logFields)
	}
}

func (c *checks) checkRetry(now time.Time, p *pendingOp, e reducer.Push) {
	counted := 0
	for i := range p.attempts {
		if p.attempts[i].inFlight {
			c.Violated(invariant.RepeatingRule, invariant.AttemptInFlight, p.logFields)
		}
		if p.attempts[i].countsAgainstLimit() {
			counted++
		}
	}
	if counted >= max(p.MaxAttempts, c.policy.MaxAttempts()) {
		c.Violated(invariant.RepeatingRule, invariant.AttemptsExceeded, p.logFields)
	}
	rules := c.rules(p)
	atArrival := p.attempts.retryViolation(rules[0], e.Group, now)
	inForce := p.attempts.retryViolation(rules[1], e.Group, now)
	if atArrival != "" && inForce != "" {
		c.Violated(invariant.RepeatingRule, atArrival, p.logFields)
	}
}

// recordEnding records how the last attempt of an op ended. It ignores an op that has its answer already.
func (c *checks) recordEnding(p *pendingOp, in reducer.AttemptEnded) {
	if p == nil || len(p.attempts) == 0 {
		return
	}
	last := &p.attempts[len(p.attempts)-1]
	last.inFlight = false
	last.ending = in.Ending
}

// releaseID removes the ID of an op that ends.
func (c *checks) releaseID(p *pendingOp) {
	if p != nil && c.opsByID[p.Op.ID] == p.Op.Op {
		delete(c.opsByID, p.Op.ID)
	}
}

// checkAnswer checks an op's answer and releases the op's ID.
func (c *checks) checkAnswer(now time.Time, p *pendingOp, e reducer.Respond) {
	c.releaseID(p)
	if e.Verdict != reducer.Nacked {
		return
	}
	for _, rule := range c.rules(p) {
		if p.attempts.nackIsHarmless(rule, now) {
			return
		}
	}
	c.Violated(invariant.RepeatingRule, invariant.NotHarmless, p.logFields)
}

// checkFirstByte checks an attempt just before its first byte is written, in the goroutine that writes it.
// sentTimeLeft is the op's time left as the request states it to the worker.
func (c *checks) checkFirstByte(p *pendingOp, worker string, sentTimeLeft time.Duration) {
	now := time.Now()
	violated := func(why invariant.Reason) {
		c.Violated(invariant.SendingRule, why, func(e *zerolog.Event) {
			e.Uint64("op", p.Op.Op).Str("id", p.Op.ID).Str("worker", worker).Dur("told_ms", sentTimeLeft).
				Dur("left_ms", p.Deadline.Sub(now))
		})
	}
	if checkedAt := p.checkedAt.Load(); checkedAt == nil || now.Sub(*checkedAt) > maxClientCheckAge {
		violated(invariant.ClientGone)
	}
	if now.After(p.Deadline) {
		violated(invariant.PastTTL)
	}
	if sentTimeLeft > p.Deadline.Sub(now)+maxTimeLeftExcess {
		violated(invariant.DeadlineTooLong)
	}
	if !c.workers.accepts(worker, now) {
		violated(invariant.WorkerDraining)
	}
}
