package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// Effect is an action for the host: Push, CancelAttempt, Probe, Respond, SendToPeer or SetTimer.
type Effect interface{ effect() }

// Push sends an op to a worker and waits for the end of the attempt until the timeout.
type Push struct {
	Op      uint64
	Attempt int
	Worker  string
	Addr    string
	Timeout dispatch.Time
	Group   Group // of the worker
}

// CancelAttempt ends an op's attempt in flight. With OnlyIfUnsent, an attempt that is already being written
// goes on.
type CancelAttempt struct {
	Op           uint64
	OnlyIfUnsent bool
	Ending       outcome.Ending // reported for the cancelled attempt
}

// Probe sends a load probe to a worker. The field Probe is the number of the probe.
type Probe struct {
	Probe  uint64
	Worker string
	Addr   string
}

// Verdict is an op's final answer.
type Verdict int

// The verdicts. UnknownCategory and DuplicateID answer ops that were not passed to the dispatcher.
const (
	Acked Verdict = iota
	Nacked
	DeadLettered
	UnknownCategory
	DuplicateID
)

func (v Verdict) String() string {
	return [...]string{"acked", "nacked", "dead-lettered", "unknown-category", "taken-id"}[v]
}

// Respond is the one final answer to an op's client.
type Respond struct {
	Op         uint64
	Verdict    Verdict
	RetryAfter dispatch.Time
	Result     []byte
	Reason     dispatch.RejectionReason // of a nack or a dead letter
}

// SendToPeer sends another scheduler a message, which may be lost.
type SendToPeer struct {
	Peer int
	Text string
}

// SetTimer requests TimerFired after a delay and replaces the previous timer.
type SetTimer struct{ Delay dispatch.Time }

func (Push) effect()          {}
func (CancelAttempt) effect() {}
func (Probe) effect()         {}
func (Respond) effect()       {}
func (SendToPeer) effect()    {}
func (SetTimer) effect()      {}
