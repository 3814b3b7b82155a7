package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/scheduler/reducer"
)

const (
	maxClientCheckAge = 100 * time.Millisecond // from the last look at a client to an attempt for it
	maxExtraTime      = 150 * time.Millisecond // by which a worker may be given more time than the client has
)

// checks compare each attempt and each answer with the plain rules for the op, by what was done with it
// and not by what the decision module knows of it. A violation is counted and logged; it doesn't stop
// anything.
type checks struct {
	*invariant.Checker
	policy  Policy
	workers *workerStates
	ops     map[string]uint64 // by ID: ops that have had an attempt and have no answer
}

func newChecks(checker *invariant.Checker, policy Policy, drainGrace time.Duration) *checks {
	return &checks{
		Checker: checker,
		policy:  policy,
		workers: newWorkerStates(drainGrace),
		ops:     map[string]uint64{},
	}
}

// rules are those that may apply to an op: the one at its arrival and the one in force.
func (c *checks) rules(p *pendingOp) [2]config.CategoryRule {
	return [2]config.CategoryRule{p.Rule, c.policy.Rule(p.Op.Category)}
}

// attemptStarting checks an attempt when it is decided on, and records it.
func (c *checks) attemptStarting(now time.Time, p *pendingOp, e reducer.Push) {
	if len(p.attempts) == 0 {
		c.checkFirst(p)
	}
	c.checkRetry(now, p, e)
	p.attempts = append(p.attempts, attempt{worker: e.Worker, group: e.Group, decidedAt: now, inFlight: true})
}

func (c *checks) checkFirst(p *pendingOp) {
	if op, found := c.ops[p.Op.ID]; found && op != p.Op.Op {
		c.Violated(invariant.Starting, invariant.DuplicateID, p.logFields)
	}
	c.ops[p.Op.ID] = p.Op.Op
	if !p.ClaimGranted && c.policy.ClaimRequired(p.Op.Category) && p.Rule == c.policy.Rule(p.Op.Category) {
		c.Violated(invariant.Starting, invariant.NotGranted, p.logFields)
	}
}

func (c *checks) checkRetry(now time.Time, p *pendingOp, e reducer.Push) {
	counted := 0
	for i := range p.attempts {
		if p.attempts[i].inFlight {
			c.Violated(invariant.Repeating, invariant.AttemptInFlight, p.logFields)
		}
		if p.attempts[i].counts() {
			counted++
		}
	}
	if counted >= max(p.MaxAttempts, c.policy.MaxAttempts()) {
		c.Violated(invariant.Repeating, invariant.AttemptsExceeded, p.logFields)
	}
	rules := c.rules(p)
	atArrival := p.attempts.retryViolation(rules[0], e.Group, now)
	inForce := p.attempts.retryViolation(rules[1], e.Group, now)
	if atArrival != "" && inForce != "" {
		c.Violated(invariant.Repeating, atArrival, p.logFields)
	}
}

// attemptEnded records how the attempt of an op ended; of an op that has its answer already, nothing.
func (c *checks) attemptEnded(p *pendingOp, in reducer.AttemptEnded) {
	if p == nil || len(p.attempts) == 0 {
		return
	}
	last := &p.attempts[len(p.attempts)-1]
	last.inFlight = false
	last.ending = in.Ending
}

// release forgets the ID of an op that ends.
func (c *checks) release(p *pendingOp) {
	if p != nil && c.ops[p.Op.ID] == p.Op.Op {
		delete(c.ops, p.Op.ID)
	}
}

// responding checks an op's answer.
func (c *checks) responding(now time.Time, p *pendingOp, e reducer.Respond) {
	c.release(p)
	if e.Verdict != reducer.Nacked {
		return
	}
	for _, rule := range c.rules(p) {
		if p.attempts.nackIsHarmless(rule, now) {
			return
		}
	}
	c.Violated(invariant.Repeating, invariant.NotHarmless, p.logFields)
}

// sending checks the first byte of an attempt. The goroutine that writes it calls this just before.
func (c *checks) sending(p *pendingOp, worker string, left time.Duration) {
	now := time.Now()
	violated := func(why invariant.Reason) {
		c.Violated(invariant.Sending, why, func(e *zerolog.Event) {
			e.Uint64("op", p.Op.Op).Str("id", p.Op.ID).Str("worker", worker).Dur("told_ms", left).
				Dur("left_ms", p.Deadline.Sub(now))
		})
	}
	if checkedAt := p.checkedAt.Load(); checkedAt == nil || now.Sub(*checkedAt) > maxClientCheckAge {
		violated(invariant.ClientGone)
	}
	if now.After(p.Deadline) {
		violated(invariant.PastTTL)
	}
	if left > p.Deadline.Sub(now)+maxExtraTime {
		violated(invariant.DeadlineTooLong)
	}
	if !c.workers.accepts(worker, now) {
		violated(invariant.WorkerDraining)
	}
}
