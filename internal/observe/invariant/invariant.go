// Package invariant counts violations of promises that every path through a running scheduler must keep.
// Each is checked where a path can no longer turn back. A violation is counted, the first few of each
// rule are logged with the states that led to them, and the process goes on: its end would lose the ops
// that the rule protects.
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

// Rule is a promise.
type Rule int

// The rules. Their order is that of ruleNames.
const (
	Sending   Rule = iota // an attempt goes out in time, for a client that waits, to a worker that takes work
	Repeating             // the attempts so far allow a further attempt, or a nack
	Closing               // each request that was read has its answer
	Starting              // an op is the only one under its ID, and its claim is granted where it needs one
	numRules
)

// ruleNames are the names in log lines and on the console.
var ruleNames = [numRules]string{"sending", "repeating", "closing", "starting"}

func (r Rule) String() string { return ruleNames[r] }

// Reason is how a rule was violated, as the log has it.
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

// maxLoggedPerRule bounds the lines of one rule, so that a fault can't fill a disk.
const maxLoggedPerRule = 5

// Checker counts the violations of one process. Its methods may be called from any goroutine.
type Checker struct {
	log    zerolog.Logger
	counts [numRules]atomic.Uint64
}

// New returns a checker without violations.
func New(log zerolog.Logger) *Checker { return &Checker{log: log} }

// Violated counts a violation. addFields, which may be nil, adds the caller's fields to the log line.
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

// Counts returns the violations so far by the rules' names.
func (c *Checker) Counts() map[string]uint64 {
	counts := make(map[string]uint64, numRules)
	for rule := range numRules {
		counts[rule.String()] = c.counts[rule].Load()
	}
	return counts
}
