package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// Effect is what the host has to do: Push, CancelAttempt, Probe, Respond, SendToPeer or SetTimer.
type Effect interface{ effect() }

// Push sends an op to a worker and waits for its end until the timeout.
type Push struct {
	Op      uint64
	Attempt int
	Worker  string
	Addr    string
	Timeout dispatch.Time
	Group   Group // of the worker
}

// CancelAttempt ends the attempt in flight of an op, or only keeps it from being written.
type CancelAttempt struct {
	Op           uint64
	OnlyIfUnsent bool
	Ending       outcome.Ending // with which it then ends
}

// Probe asks a worker for its load.
type Probe struct {
	Probe  uint64
	Worker string
	Addr   string
}

// Verdict is an op's final answer.
type Verdict int

// UnknownCategory and DuplicateID answer ops that the dispatcher was not given.
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

// SetTimer asks for TimerFired after a delay, in place of what was asked for before.
type SetTimer struct{ Delay dispatch.Time }

func (Push) effect()          {}
func (CancelAttempt) effect() {}
func (Probe) effect()         {}
func (Respond) effect()       {}
func (SendToPeer) effect()    {}
func (SetTimer) effect()      {}
