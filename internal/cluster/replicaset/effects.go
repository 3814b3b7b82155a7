package replicaset

// Effect is an action that the caller of Core.Step must carry out. The effects are the types in this file.
type Effect interface{ effect() }

// Persist writes a state to durable storage. Later Send effects must wait until the write is complete.
type Persist struct{ State }

// Send sends a message to a member.
type Send struct {
	To string
	Message
}

// ReplicaSetAgreed reports a set that the group agreed on. The set is in force from now on.
type ReplicaSetAgreed struct{ Set }

// ChangeResult answers a ChangeRequest.
type ChangeResult struct {
	RequestID uint64
	OK        bool
	Retryable bool // the same request may succeed later
	Message   string
}

// Event is logged for operators. The subject names the members concerned, or gives a reason.
type Event struct {
	Description string
	Subject     string
	Warning     bool // operators should act on the event
}

// LeftGroup is the description of the event that reports that this process takes no part in the raft group
// any more.
const LeftGroup = "takes no part in the raft group any more"

func (Persist) effect()          {}
func (Send) effect()             {}
func (ReplicaSetAgreed) effect() {}
func (ChangeResult) effect()     {}
func (Event) effect()            {}
