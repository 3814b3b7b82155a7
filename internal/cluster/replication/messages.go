package replication

import (
	"cmp"

	"woaddyke/internal/cluster/replicaset"
)

// Incarnation is one process that votes under a keeper's name: a later one has a greater number.
type Incarnation struct {
	Generation uint64 `cbor:"1,keyasint,omitzero"`
	Nonce      uint64 `cbor:"2,keyasint,omitzero"`
}

func (a Incarnation) compare(b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Nonce, b.Nonce))
}

// Voter is which process votes under a keeper's name, as another keeper has it.
type Voter struct {
	Name        string      `cbor:"1,keyasint,omitzero"`
	Incarnation Incarnation `cbor:"2,keyasint,omitzero"`
}

// Kind says what a message is for.
type Kind uint8

// The kinds.
const (
	ClaimRequested  Kind = iota + 1 // may this claim have the op?
	ClaimGranted                    // it may, for this keeper
	ClaimRefused                    // it may not: Why, and what is known
	OutcomeReported                 // a claim has come further
	OutcomeKnown                    // that is known now
	Register                        // a process votes under a keeper's name from now on, once it has caught up
	Registered                      // it is known as that one
	Pull                            // what has changed since a position?
	DigestPage                      // the digests of some of it
	SetInForce                      // this set is in force
	Fetch                           // the records with these digests?
	Fetched                         // some of them
)

// RefusalReason is why a keeper does not grant.
type RefusalReason uint8

// The reasons.
const (
	AlreadyClaimed  RefusalReason = iota + 1 // another claim stands, or the op has ended
	NoVote                                   // it has no vote: it has not caught up
	WrongSet                                 // it has other keepers in its file
	CapacityReached                          // it has no room for a record more
	ClaimReleased                            // this very claim was released
)

func (w RefusalReason) String() string {
	return map[RefusalReason]string{AlreadyClaimed: "taken", NoVote: "has no vote yet", WrongSet: "other keepers", CapacityReached: "no room", ClaimReleased: "released"}[w]
}

// Message is what a scheduler and a keeper, or two keepers, tell each other.
type Message struct {
	Kind              Kind           `cbor:"1,keyasint,omitzero"`
	SetID             uint64         `cbor:"2,keyasint,omitzero"`
	RequestID         uint64         `cbor:"3,keyasint,omitzero"` // of a Grab or a Tell, for its answer
	Incarnation       Incarnation    `cbor:"4,keyasint,omitzero"` // of the keeper that sends it
	Voters            []Voter        `cbor:"5,keyasint,omitzero"`
	Record            Record         `cbor:"6,keyasint,omitzero"` // what it is about: of a Grab or Tell with one fate
	Reason            RefusalReason  `cbor:"7,keyasint,omitzero"`
	Voting            bool           `cbor:"8,keyasint,omitzero"`
	Ready             bool           `cbor:"9,keyasint,omitzero"`  // beside Voting
	Set               replicaset.Set `cbor:"10,keyasint,omitzero"` // InForce
	FormerIncarnation Incarnation    `cbor:"11,keyasint,omitzero"` // Registered: which process voted under that name before, as this keeper knows it
	LogIncarnation    Incarnation    `cbor:"12,keyasint,omitzero"` // Pull and Piece: whose order of changes
	After             uint64         `cbor:"13,keyasint,omitzero"`
	Next              uint64         `cbor:"14,keyasint,omitzero"`
	More              bool           `cbor:"15,keyasint,omitzero"`
	Records           []Record       `cbor:"16,keyasint,omitzero"` // Fetched
	Digests           []uint64       `cbor:"17,keyasint,omitzero"` // Piece, Fetch and Fetched: of records as they stand there
}

// RequiresDurability tells whether a message is a keeper's word for records: it is not true of one whose disk has not taken them, as it would forget.
func (x *Message) RequiresDurability() bool {
	switch x.Kind {
	case ClaimGranted, OutcomeKnown, Registered, DigestPage, Fetched:
		return true
	}
	return false
}

// Input is one of Heard, Tick, Want, End, MayHaveRun, Serving, Lost, Adopt, Unkept and Restored.
type Input interface{ input() }

// MessageReceived is a message of another member, or of this process itself.
type MessageReceived struct {
	From string
	Message
}

// Tick says that the moment of Next has come.
type Tick struct{}

// ClaimRequest asks for an op: whether it may be pushed.
type ClaimRequest struct {
	RequestID   uint64 // the caller's own, never used twice
	Key         string
	Fingerprint uint64
	Timeout     Time // to be decided
	Window      Time // for so long after its first push a group drops repeats of it; 0 for an op that may not be repeated
}

// MayHaveRun says that a granted op may have run, in a group that drops repeats. It is said of one push of an op: of the
// first that is not proved to have run nowhere, and by then can't be.
type MayHaveRun struct {
	RequestID uint64
	Group     string
}

// OpEnded says how an op ended that was granted.
type OpEnded struct {
	RequestID      uint64
	NeverRan       bool // it is proved that nothing of it ran: its id may be claimed again
	Abandoned      bool // it is pushed no more and may have run, and has no answer that would stand: it may be repeated in its group
	Verdict        uint16
	Result         []byte
	ResultRetained bool
}

// Membership says whether this process is a member now, and as which life.
type Membership struct {
	Serving    bool
	Generation uint64
	Nonce      uint64 // tells lives of one number apart, in the order that members have them; 0: this process's own
}

// PeerStatus says that a scheduler is gone, or is back; it changes what a client is told and nothing else.
type PeerStatus struct {
	Name string
	Dead bool
}

// AdoptSet is a set that has been agreed.
type AdoptSet struct{ replicaset.Set }

// PersistFailed says that records do not last any more: this keeper has no vote from now on.
type PersistFailed struct {
	Keys []string // of records that were to be put where they last, and are not there
}

// PersistedKeys names the records that some effects put where they last.
func PersistedKeys(effects []Effect) (keys []string) {
	for _, e := range effects {
		if k, ok := e.(Persist); ok {
			keys = append(keys, k.Key)
		}
	}
	return keys
}

// StateReloaded says that records last again, after Unkept, and brings what stands there by now and as which life it was kept, as Restore does.
type StateReloaded struct {
	Records     []Record
	Incarnation Incarnation
	Cursors     []ReplicationCursor
}

func (MayHaveRun) input()      {}
func (AdoptSet) input()        {}
func (PersistFailed) input()   {}
func (StateReloaded) input()   {}
func (MessageReceived) input() {}
func (Tick) input()            {}
func (ClaimRequest) input()    {}
func (OpEnded) input()         {}
func (Membership) input()      {}
func (PeerStatus) input()      {}

// Effect is one of Send, Decided, Noted, Keep, Drop, Lives, Seen, Adopted and Readied.
type Effect interface{ effect() }

// Send has a message sent to a member.
type Send struct {
	To string
	Message
}

// ClaimResult is what became of a Want.
type ClaimResult uint8

// The outcomes.
const (
	Granted             ClaimResult = iota + 1 // it may be pushed, by nobody else
	AlreadyAnswered                            // it has ended, and here is the answer
	AlreadyEnded                               // it has ended, and the answer was not held
	InProgress                                 // another scheduler has it
	OutcomeUnknown                             // it may have run, and its scheduler is gone
	FingerprintMismatch                        // another request came under this id
	NoQuorum                                   // no majority has answered in time: nothing is claimed
)

func (o ClaimResult) String() string {
	return map[ClaimResult]string{Granted: "mine", AlreadyAnswered: "again", AlreadyEnded: "ran", InProgress: "runs", OutcomeUnknown: "unknown", FingerprintMismatch: "another request",
		NoQuorum: "unsure"}[o]
}

// ClaimDecided is the outcome of a Want.
type ClaimDecided struct {
	RequestID uint64
	Result    ClaimResult
	Outcome   Outcome       // Again, Ran, Runs and Unknown; Mine: where it may have run before, and is bound to
	Reason    RefusalReason // Unsure: what a keeper said
}

// Event is something that staff want to know.
type Event struct{ Description, Subject string }

// Persist has a record put where it lasts, before anything that follows it is sent.
type Persist struct{ Record }

// Delete has a record forgotten there.
type Delete struct{ Key string }

// IncarnationPersisted says as which life this keeper keeps its records from now on.
type IncarnationPersisted struct{ Incarnation }

// ReplicationCursor says that all that another keeper knows, as a process of it and up to a position, stands where records last.
type ReplicationCursor struct {
	Replica     string      `cbor:"Keeper"`
	Incarnation Incarnation `cbor:"Of"`
	Position    uint64      `cbor:"Since"`
}

// SetAdopted is a set that this process goes by from now on.
type SetAdopted struct{ replicaset.Set }

// ReplicasReady says that a majority of the new keepers of a turn know what the old ones knew.
type ReplicasReady struct{ Epoch uint64 }

func (ReplicationCursor) effect()    {}
func (SetAdopted) effect()           {}
func (ReplicasReady) effect()        {}
func (Persist) effect()              {}
func (Delete) effect()               {}
func (IncarnationPersisted) effect() {}
func (Send) effect()                 {}
func (ClaimDecided) effect()         {}
func (Event) effect()                {}
