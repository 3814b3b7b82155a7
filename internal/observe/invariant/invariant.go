// Package invariant counts violations of the rules that a running scheduler must never break. Each rule is
// checked immediately before the action that would break it. Violations are counted, and the first few of
// each rule are logged with the states that led to them. The process goes on, because its end would lose the
// ops that the rule protects.
//
//	rule       is checked before                  reasons
//	sending    the first byte of an attempt       ClientGone, PastTTL, DeadlineTooLong, WorkerDraining
//	repeating  a retry or a hedged request        AttemptInFlight, AttemptsExceeded, MayHaveRun,
//	                                              OutsideGroup
//	repeating  a nack                             NotHarmless
//	starting   the first attempt of an op         NotGranted, DuplicateID
//	closing    the end of a client's connection   Unanswered
package invariant

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Rule is an invariant of the scheduler.
type Rule int

// The rules, in the order of ruleNames.
const (
	SendingRule   Rule = iota // an attempt is sent in time, for a connected client, to a worker that accepts it
	RepeatingRule             // a retry, hedged request or nack is allowed after the attempts so far
	ClosingRule               // each request that was read has an answer when its connection is closed
	StartingRule              // an op starts only if its ID is not in use and a claim that it needs is granted
	numRules
)

// ruleNames are the names of the rules in log lines and on the console.
var ruleNames = [numRules]string{"sending", "repeating", "closing", "starting"}

func (r Rule) String() string { return ruleNames[r] }

// Reason says how a rule was violated. It is the text in the log.
type Reason string

// The reasons.
const (
	ClientGone       Reason = "the client's connection was not checked in time"
	PastTTL          Reason = "the op's TTL has passed"
	DeadlineTooLong  Reason = "the deadline for the worker is later than the op's TTL allows"
	WorkerDraining   Reason = "the worker is draining"
	AttemptInFlight  Reason = "another attempt is in flight"
	MayHaveRun       Reason = "a prior attempt may have run"
	OutsideGroup     Reason = "a prior attempt may have run in another worker group, or before the window"
	AttemptsExceeded Reason = "the op has had all its attempts"
	NotHarmless      Reason = "a nack for an op that may have run"
	Unanswered       Reason = "a request that was read has no answer"
	NotGranted       Reason = "no claim was granted for the op"
	DuplicateID      Reason = "another op with this ID is open"
)

// maxLoggedPerRule limits the log lines of each rule, so that a repeated violation can't fill a disk.
const maxLoggedPerRule = 5

// Checker counts the violations of a process. Its methods may be called from any goroutine.
type Checker struct {
	log    zerolog.Logger
	counts [numRules]atomic.Uint64
}

// New returns a checker without violations.
func New(log zerolog.Logger) *Checker { return &Checker{log: log} }

// Violated counts a violation. addFields adds the caller's fields to the log line; it may be nil.
func (c *Checker) Violated(rule Rule, reason Reason, addFields func(*zerolog.Event)) {
	if c.counts[rule].Add(1) > maxLoggedPerRule {
		return
	}
	line := c.log.Error().Stringer("rule", rule).Str("why", string(reason))
	if addFields != nil {
		addFields(line)
	}
	line.Msg("invariant violated")
}

// Counts returns the number of violations so far, by the name of the rule.
func (c *Checker) Counts() map[string]uint64 {
	counts := make(map[string]uint64, numRules)
	for rule := range numRules {
		counts[rule.String()] = c.counts[rule].Load()
	}
	return counts
}
