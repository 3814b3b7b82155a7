package replication

import (
	"cmp"

	"woaddyke/internal/cluster/replicaset"
)

// Incarnation identifies one process of a scheduler name. A later process has a greater incarnation.
type Incarnation struct {
	Generation uint64 `cbor:"1,keyasint,omitzero"`
	Nonce      uint64 `cbor:"2,keyasint,omitzero"`
}

func (a Incarnation) compare(b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Nonce, b.Nonce))
}

// Voter is the process that casts the vote of a replica, as another replica knows it.
type Voter struct {
	Name        string      `cbor:"1,keyasint,omitzero"`
	Incarnation Incarnation `cbor:"2,keyasint,omitzero"`
}

// Kind is the kind of a message. The wire format fixes the numbers.
type Kind uint8

// The kinds of messages.
const (
	ClaimRequested     Kind = iota + 1 // scheduler to replica: requests a grant of a claim
	ClaimGranted                       // answer to ClaimRequested: the claim is granted
	ClaimRefused                       // answer to ClaimRequested: the reason and any record that forbids it
	OutcomeReported                    // scheduler to replica: reports the outcome of a claim
	OutcomeKnown                       // answer to OutcomeReported: the outcome is stored
	Register                           // replica to replica: registers the sender's process as its voter
	Registered                         // answer to Register: the process is known as the voter
	Pull                               // replica to replica: requests the changes after a position
	DigestPage                         // answer to Pull: digests of changed records
	SetInForce                         // member to member: states the replica set in force
	Fetch                              // replica to replica: requests the records with these digests
	Fetched                            // answer to Fetch: the records
	ProcessEndReported                 // member to member: a process of the sender's scheduler has ended
)

// RefusalReason is why a replica does not grant a claim. The wire format fixes the numbers. If replicas
// refuse for several reasons, the greatest number is reported.
type RefusalReason uint8

// The reasons.
const (
	AlreadyClaimed  RefusalReason = iota + 1 // another claim is unresolved, or the op has ended
	NoVote                                   // the replica has no vote
	WrongSet                                 // the replica uses another replica set
	CapacityReached                          // the replica can't store another record or claim
	ClaimReleased                            // the claim was released or abandoned
)

var refusalReasons = [...]string{
	AlreadyClaimed:  "taken",
	NoVote:          "has no vote yet",
	WrongSet:        "other keepers",
	CapacityReached: "no room",
	ClaimReleased:   "released",
}

// String returns the name under which the reason is counted, and "" for an unknown reason. Operators and
// programs read the counters, so the names must not change.
func (r RefusalReason) String() string {
	if int(r) >= len(refusalReasons) {
		return ""
	}
	return refusalReasons[r]
}

// Message is a message between a scheduler and a replica, or between two members.
type Message struct {
	Kind              Kind           `cbor:"1,keyasint,omitzero"`
	SetID             uint64         `cbor:"2,keyasint,omitzero"`
	RequestID         uint64         `cbor:"3,keyasint,omitzero"` // returned in the answer
	Incarnation       Incarnation    `cbor:"4,keyasint,omitzero"` // of the sender, or of an ended process
	Voters            []Voter        `cbor:"5,keyasint,omitzero"`
	Record            Record         `cbor:"6,keyasint,omitzero"` // has one outcome in a request or report
	Reason            RefusalReason  `cbor:"7,keyasint,omitzero"`
	Voting            bool           `cbor:"8,keyasint,omitzero"`
	Ready             bool           `cbor:"9,keyasint,omitzero"`
	Set               replicaset.Set `cbor:"10,keyasint,omitzero"` // SetInForce
	FormerIncarnation Incarnation    `cbor:"11,keyasint,omitzero"` // Registered: the previous voter
	LogIncarnation    Incarnation    `cbor:"12,keyasint,omitzero"` // of After and Next; Registered: receiver's
	After             uint64         `cbor:"13,keyasint,omitzero"` // position in the log, or time of a grant
	Next              uint64         `cbor:"14,keyasint,omitzero"` // the last position in a page or the log
	More              bool           `cbor:"15,keyasint,omitzero"`
	Records           []Record       `cbor:"16,keyasint,omitzero"` // Fetched
	Digests           []uint64       `cbor:"17,keyasint,omitzero"` // DigestPage, Fetch and Fetched
}

// RequiresDurability reports whether a message states what a replica knows. Such a message must not be sent
// before that knowledge is persisted, since the replica could forget it.
func (m *Message) RequiresDurability() bool {
	switch m.Kind {
	case ClaimGranted, OutcomeKnown, Registered, DigestPage, Fetched:
		return true
	}
	return false
}
