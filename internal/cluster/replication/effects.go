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
	Granted             ClaimResult = iota + 1 // only this scheduler may push the op
	AlreadyAnswered                            // the op has ended, and its answer was retained
	AlreadyEnded                               // the op has ended, and its answer was not retained
	InProgress                                 // the op may run under another claim, whose process has not ended
	OutcomeUnknown                             // the op may have run; it was abandoned or its process ended
	FingerprintMismatch                        // the key was first used by another request
	NoQuorum                                   // not granted by a majority in time, or not started; see Reason
)

// claimResultNames are the names under which results are counted. Most differ from the names of the
// constants.
var claimResultNames = [...]string{
	Granted:             "mine",
	AlreadyAnswered:     "again",
	AlreadyEnded:        "ran",
	InProgress:          "runs",
	OutcomeUnknown:      "unknown",
	FingerprintMismatch: "another request",
	NoQuorum:            "unsure",
}

// String returns the name under which the result is counted, and "" for an unknown result. Operators and
// programs read the counters, so the names must not change.
func (r ClaimResult) String() string {
	if int(r) >= len(claimResultNames) {
		return ""
	}
	return claimResultNames[r]
}

// ClaimDecided is the decision on a ClaimRequest.
type ClaimDecided struct {
	RequestID uint64
	Result    ClaimResult
	Outcome   Outcome       // outcome that led to the result; Granted: the claim and any group it is bound to
	Reason    RefusalReason // for NoQuorum: the most specific reason; 0: no replica refused
}

// Event is logged for operators.
type Event struct {
	Description string
	Subject     string
	Warning     bool // operators should act on it
}

// Persist writes a record. The write must be complete before any later message is sent.
type Persist struct{ Record }

// PersistedKeys returns the keys of the records that the effects persist.
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

// IncarnationPersisted stores the incarnation under which the persisted records are complete from now on. A
// zero incarnation means that they are incomplete.
type IncarnationPersisted struct{ Incarnation }

// ReplicationCursor stores that all changes of an incarnation of another replica are persisted up to a
// position.
type ReplicationCursor struct {
	Replica     string      `cbor:"Keeper"`
	Incarnation Incarnation `cbor:"Of"`
	Position    uint64      `cbor:"Since"`
}

// SetAdopted states that this process uses another replica set from now on.
type SetAdopted struct{ replicaset.Set }

// ReplicasReady states that a majority of the new replicas of an epoch know all that the old replicas knew.
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
