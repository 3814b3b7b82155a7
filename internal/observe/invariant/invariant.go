// Package invariant checks while a scheduler runs what must never happen: a few promises that all paths have to keep, each looked at where a
// path can no longer turn back. A breach is counted, the first few are logged with the states that led to them, and nothing is stopped: a
// guard that ended the process would lose what it guards.
package invariant

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Rule is a promise.
type Rule int

// The rules.
const (
	Sending   Rule = iota // the first byte of a push: its client is there, in time, and its worker takes new work
	Repeating             // a further push, or a nack: what was pushed before allows it
	Closing               // the end of a client's connection: each request that was read has its answer
	Starting              // the first push of an op: it is the only one under its id, and granted where that is asked for
	numRules              // how many there are
)

var ruleNames = [numRules]string{"sending", "repeating", "closing", "starting"}

func (r Rule) String() string { return ruleNames[r] }

// Reason is how a rule was broken.
type Reason string

// The reasons.
const (
	ClientGone       Reason = "the client was not looked at in time"
	PastTTL          Reason = "after the client's time"
	DeadlineTooLong  Reason = "more time is told than the client has"
	WorkerDraining   Reason = "the worker takes nothing new"
	AttemptInFlight  Reason = "another push is out"
	MayHaveRun       Reason = "a push before may have run"
	OutsideGroup     Reason = "a push before may have run in another group, or too long ago"
	AlreadyAnswered  Reason = "the op has its answer"
	AttemptsExceeded Reason = "the op has had all its pushes"
	NotHarmless      Reason = "a nack for what may have run"
	Unanswered       Reason = "a request that was read has no answer"
	NotGranted       Reason = "nobody granted the op"
	DuplicateID      Reason = "an op with this id is out"
)

// maxLoggedPerRule is how many breaches of each rule are logged.
const maxLoggedPerRule = 5

// Checker counts the breaches of one process. Its methods may be called from any goroutine.
type Checker struct {
	log    zerolog.Logger
	counts [numRules]atomic.Uint64
}

// New is a guard that has seen none.
func New(log zerolog.Logger) *Checker { return &Checker{log: log} }

// Violated counts a breach; of the first few a line is logged with what the caller adds to it.
func (g *Checker) Violated(r Rule, why Reason, with func(*zerolog.Event)) {
	if n := g.counts[r].Add(1); n > maxLoggedPerRule {
		return
	}
	line := g.log.Error().Stringer("rule", r).Str("why", string(why))
	if with != nil {
		with(line)
	}
	line.Msg("a rule is broken")
}

// Counts are the breaches so far, by rule.
func (g *Checker) Counts() map[string]uint64 {
	counts := make(map[string]uint64, numRules)
	for r := range numRules {
		counts[r.String()] = g.counts[r].Load()
	}
	return counts
}
