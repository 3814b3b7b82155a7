package replication

import (
	"cmp"

	"woaddyke/internal/cluster/replicaset"
)

// Incarnation is one process that votes under a replica's name. A later process has a greater one.
type Incarnation struct {
	Generation uint64 `cbor:"1,keyasint,omitzero"`
	Nonce      uint64 `cbor:"2,keyasint,omitzero"`
}

func (a Incarnation) compare(b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Nonce, b.Nonce))
}

// Voter is the process that votes under a replica's name, as another replica knows it.
type Voter struct {
	Name        string      `cbor:"1,keyasint,omitzero"`
	Incarnation Incarnation `cbor:"2,keyasint,omitzero"`
}

// Kind is the kind of a message. The numbers are fixed by the wire.
type Kind uint8

// The kinds of messages.
const (
	ClaimRequested     Kind = iota + 1 // scheduler to replica: may this claim have the op?
	ClaimGranted                       // its answer: yes
	ClaimRefused                       // its answer: no, with the reason and what is known
	OutcomeReported                    // scheduler to replica: the outcome of a claim
	OutcomeKnown                       // its answer: the outcome is stored
	Register                           // replica to replica: this process will vote under its name
	Registered                         // its answer: it is known as the voter
	Pull                               // replica to replica: what has changed after a position?
	DigestPage                         // its answer: digests of records that have
	SetInForce                         // any to any: this replica set is in force
	Fetch                              // replica to replica: send the records with these digests
	Fetched                            // its answer
	ProcessEndReported                 // any to any: this process of the sender's scheduler has ended
)

// RefusalReason is why a replica does not grant a claim. The numbers are fixed by the wire; of several
// refusals the greatest is the one that is reported.
type RefusalReason uint8

// The reasons.
const (
	AlreadyClaimed  RefusalReason = iota + 1 // another claim stands, or the op has ended
	NoVote                                   // the replica has not caught up
	WrongSet                                 // it uses another replica set
	CapacityReached                          // it has no space for another record
	ClaimReleased                            // this very claim was released
)

var refusalReasons = [...]string{
	AlreadyClaimed:  "taken",
	NoVote:          "has no vote yet",
	WrongSet:        "other keepers",
	CapacityReached: "no room",
	ClaimReleased:   "released",
}

// String is the reason as it is counted; empty for an unknown one.
func (r RefusalReason) String() string {
	if int(r) >= len(refusalReasons) {
		return ""
	}
	return refusalReasons[r]
}

// Message is what a scheduler and a replica, or two replicas, send each other.
type Message struct {
	Kind              Kind           `cbor:"1,keyasint,omitzero"`
	SetID             uint64         `cbor:"2,keyasint,omitzero"`
	RequestID         uint64         `cbor:"3,keyasint,omitzero"` // returned in the answer
	Incarnation       Incarnation    `cbor:"4,keyasint,omitzero"` // of the replica that sends the message; or of the process that ended
	Voters            []Voter        `cbor:"5,keyasint,omitzero"`
	Record            Record         `cbor:"6,keyasint,omitzero"` // with one outcome in a request or report
	Reason            RefusalReason  `cbor:"7,keyasint,omitzero"`
	Voting            bool           `cbor:"8,keyasint,omitzero"`
	Ready             bool           `cbor:"9,keyasint,omitzero"`
	Set               replicaset.Set `cbor:"10,keyasint,omitzero"` // SetInForce
	FormerIncarnation Incarnation    `cbor:"11,keyasint,omitzero"` // Registered: the previous voter
	LogIncarnation    Incarnation    `cbor:"12,keyasint,omitzero"` // that positions belong to
	After             uint64         `cbor:"13,keyasint,omitzero"` // a position; or the moment of a grant
	Next              uint64         `cbor:"14,keyasint,omitzero"` // the last position in a page
	More              bool           `cbor:"15,keyasint,omitzero"`
	Records           []Record       `cbor:"16,keyasint,omitzero"` // Fetched
	Digests           []uint64       `cbor:"17,keyasint,omitzero"` // DigestPage, Fetch and Fetched
}

// RequiresDurability reports whether a message states what a replica knows. It must not be sent where that
// was not persisted: the replica would forget it.
func (x *Message) RequiresDurability() bool {
	switch x.Kind {
	case ClaimGranted, OutcomeKnown, Registered, DigestPage, Fetched:
		return true
	}
	return false
}
