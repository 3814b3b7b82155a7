package replication

import "woaddyke/internal/cluster/replicaset"

// Effect is one of Send, ClaimDecided, Event, Persist, Delete, IncarnationPersisted, ReplicationCursor,
// SetAdopted and ReplicasReady.
type Effect interface{ effect() }

// Send sends a message to a member.
type Send struct {
	To string
	Message
}

// ClaimResult is the decision on a ClaimRequest.
type ClaimResult uint8

// The results.
const (
	Granted             ClaimResult = iota + 1 // the op may be pushed, by nobody else
	AlreadyAnswered                            // it has ended, with a retained answer
	AlreadyEnded                               // it has ended, and the answer was not retained
	InProgress                                 // another claim of it may run
	OutcomeUnknown                             // it may have run, and its process has ended
	FingerprintMismatch                        // another request came first under this id
	NoQuorum                                   // no majority answered in time: nothing is claimed
)

var claimResults = [...]string{
	Granted:             "mine",
	AlreadyAnswered:     "again",
	AlreadyEnded:        "ran",
	InProgress:          "runs",
	OutcomeUnknown:      "unknown",
	FingerprintMismatch: "another request",
	NoQuorum:            "unsure",
}

// String is the result as it is counted; empty for an unknown one.
func (r ClaimResult) String() string {
	if int(r) >= len(claimResults) {
		return ""
	}
	return claimResults[r]
}

// ClaimDecided is the decision on a ClaimRequest.
type ClaimDecided struct {
	RequestID uint64
	Result    ClaimResult
	Outcome   Outcome       // what decided; for Granted: the claim, with the group that it is bound to
	Reason    RefusalReason // for NoQuorum: the most specific refusal
}

// Event is logged for operators.
type Event struct {
	Description string
	Subject     string
	Warning     bool // operators should act on it
}

// Persist writes a record, before any message after it is sent.
type Persist struct{ Record }

// PersistedKeys returns the keys of the records that some effects persist.
func PersistedKeys(effects []Effect) (keys []string) {
	for _, e := range effects {
		if p, ok := e.(Persist); ok {
			keys = append(keys, p.Key)
		}
	}
	return keys
}

// Delete removes a persisted record.
type Delete struct{ Key string }

// IncarnationPersisted records the incarnation under which the persisted records are complete from now on;
// a zero one: they are not complete.
type IncarnationPersisted struct{ Incarnation }

// ReplicationCursor records that all changes of another replica's incarnation, up to a position, are
// persisted.
type ReplicationCursor struct {
	Replica     string      `cbor:"Keeper"`
	Incarnation Incarnation `cbor:"Of"`
	Position    uint64      `cbor:"Since"`
}

// SetAdopted says that this process uses another replica set from now on.
type SetAdopted struct{ replicaset.Set }

// ReplicasReady says that a majority of the new replicas of an epoch know what the old ones knew.
type ReplicasReady struct{ Epoch uint64 }

func (Send) effect()                 {}
func (ClaimDecided) effect()         {}
func (Event) effect()                {}
func (Persist) effect()              {}
func (Delete) effect()               {}
func (IncarnationPersisted) effect() {}
func (ReplicationCursor) effect()    {}
func (SetAdopted) effect()           {}
func (ReplicasReady) effect()        {}
