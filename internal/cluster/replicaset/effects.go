package replicaset

// Effect is an effect that Core.Step returns. The types in this file implement it.
type Effect interface{ effect() }

// Persist writes a state to durable storage before the messages that follow are sent.
type Persist struct{ State }

// Send sends a message to a member.
type Send struct {
	To string
	Message
}

// SetAgreed reports a set that is in force from now on.
type SetAgreed struct{ Set }

// ChangeResult answers a ChangeRequest.
type ChangeResult struct {
	RequestID uint64
	OK        bool
	Retryable bool // the same request may succeed later
	Message   string
}

// Event is logged for operators.
type Event struct {
	Description string
	Subject     string
	Warning     bool // operators should act on it
}

// LeftGroup is the description of the event that this process no longer takes part in the raft group.
const LeftGroup = "takes no part in the raft group any more"

func (Persist) effect()      {}
func (Send) effect()         {}
func (SetAgreed) effect()    {}
func (ChangeResult) effect() {}
func (Event) effect()        {}
