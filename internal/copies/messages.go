package copies

import (
	"cmp"

	"woaddyke/internal/keepers"
)

// Life is one process that votes under a keeper's name: a later one has a greater number.
type Life struct {
	N     uint64 `cbor:"1,keyasint,omitzero"`
	Nonce uint64 `cbor:"2,keyasint,omitzero"`
}

func (a Life) compare(b Life) int {
	return cmp.Or(cmp.Compare(a.N, b.N), cmp.Compare(a.Nonce, b.Nonce))
}

// Voter is which process votes under a keeper's name, as another keeper has it.
type Voter struct {
	Name string `cbor:"1,keyasint,omitzero"`
	Life Life   `cbor:"2,keyasint,omitzero"`
}

// Kind says what a message is for.
type Kind uint8

// The kinds.
const (
	Grab       Kind = iota + 1 // may this claim have the op?
	Granted                    // it may, for this keeper
	Refused                    // it may not: Why, and what is known
	Tell                       // a claim has come further
	Known                      // that is known now
	Register                   // a process votes under a keeper's name from now on, once it has caught up
	Registered                 // it is known as that one
	Pull                       // what has changed since a position?
	Piece                      // the digests of some of it
	InForce                    // this set is in force
	Fetch                      // the records with these digests?
	Fetched                    // some of them
)

// Why is why a keeper does not grant.
type Why uint8

// The reasons.
const (
	Taken    Why = iota + 1 // another claim stands, or the op has ended
	Learning                // it has no vote: it has not caught up
	Epoch                   // it has other keepers in its file
	Full                    // it has no room for a record more
	Stale                   // this very claim was released
)

func (w Why) String() string {
	return map[Why]string{Taken: "taken", Learning: "has no vote yet", Epoch: "other keepers", Full: "no room", Stale: "released"}[w]
}

// Message is what a scheduler and a keeper, or two keepers, tell each other.
type Message struct {
	Kind    Kind        `cbor:"1,keyasint,omitzero"`
	Epoch   uint64      `cbor:"2,keyasint,omitzero"`
	Ticket  uint64      `cbor:"3,keyasint,omitzero"` // of a Grab or a Tell, for its answer
	Life    Life        `cbor:"4,keyasint,omitzero"` // of the keeper that sends it
	Voters  []Voter     `cbor:"5,keyasint,omitzero"`
	Record  Record      `cbor:"6,keyasint,omitzero"` // what it is about: of a Grab or Tell with one fate
	Why     Why         `cbor:"7,keyasint,omitzero"`
	Voting  bool        `cbor:"8,keyasint,omitzero"`
	Ready   bool        `cbor:"9,keyasint,omitzero"`  // beside Voting
	Set     keepers.Set `cbor:"10,keyasint,omitzero"` // InForce
	Former  Life        `cbor:"11,keyasint,omitzero"` // Registered: which process voted under that name before, as this keeper knows it
	Of      Life        `cbor:"12,keyasint,omitzero"` // Pull and Piece: whose order of changes
	Since   uint64      `cbor:"13,keyasint,omitzero"`
	Next    uint64      `cbor:"14,keyasint,omitzero"`
	More    bool        `cbor:"15,keyasint,omitzero"`
	Records []Record    `cbor:"16,keyasint,omitzero"` // Fetched
	Digests []uint64    `cbor:"17,keyasint,omitzero"` // Piece, Fetch and Fetched: of records as they stand there
}

// Vouches tells whether a message is a keeper's word for records: it is not true of one whose disk has not taken them, as it would forget.
func (x *Message) Vouches() bool {
	switch x.Kind {
	case Granted, Known, Registered, Piece, Fetched:
		return true
	}
	return false
}

// Input is one of Heard, Tick, Want, End, MayHaveRun, Serving, Lost, Adopt, Unkept and Restored.
type Input interface{ input() }

// Heard is a message of another member, or of this process itself.
type Heard struct {
	From string
	Message
}

// Tick says that the moment of Next has come.
type Tick struct{}

// Want asks for an op: whether it may be pushed.
type Want struct {
	Ticket uint64 // the caller's own, never used twice
	Key    string
	Print  uint64
	Within Time // to be decided
	Window Time // for so long after its first push a group drops repeats of it; 0 for an op that may not be repeated
}

// MayHaveRun says that a granted op may have run, in a group that drops repeats. It is said of one push of an op: of the
// first that is not proved to have run nowhere, and by then can't be.
type MayHaveRun struct {
	Ticket uint64
	Where  string
}

// End says how an op ended that was granted.
type End struct {
	Ticket  uint64
	Unsent  bool // it is proved that nothing of it ran: its id may be claimed again
	GivenUp bool // it is pushed no more and may have run, and has no answer that would stand: it may be repeated in its group
	Verdict uint16
	Result  []byte
	Held    bool
}

// Serving says whether this process is a member now, and as which life.
type Serving struct {
	On    bool
	Life  uint64
	Nonce uint64 // tells lives of one number apart, in the order that members have them; 0: this process's own
}

// Lost says that a scheduler is gone, or is back; it changes what a client is told and nothing else.
type Lost struct {
	Name string
	Gone bool
}

// Adopt is a set that has been agreed.
type Adopt struct{ keepers.Set }

// Unkept says that records do not last any more: this keeper has no vote from now on.
type Unkept struct {
	Keys []string // of records that were to be put where they last, and are not there
}

// KeysToKeep names the records that some effects put where they last.
func KeysToKeep(effects []Effect) (keys []string) {
	for _, e := range effects {
		if k, ok := e.(Keep); ok {
			keys = append(keys, k.Key)
		}
	}
	return keys
}

// Restored says that records last again, after Unkept, and brings what stands there by now and as which life it was kept, as Restore does.
type Restored struct {
	Records []Record
	Kept    Life
	Seen    []Seen
}

func (MayHaveRun) input() {}
func (Adopt) input()      {}
func (Unkept) input()     {}
func (Restored) input()   {}
func (Heard) input()      {}
func (Tick) input()       {}
func (Want) input()       {}
func (End) input()        {}
func (Serving) input()    {}
func (Lost) input()       {}

// Effect is one of Send, Decided, Noted, Keep, Drop, Lives, Seen, Adopted and Readied.
type Effect interface{ effect() }

// Send has a message sent to a member.
type Send struct {
	To string
	Message
}

// Outcome is what became of a Want.
type Outcome uint8

// The outcomes.
const (
	Mine    Outcome = iota + 1 // it may be pushed, by nobody else
	Again                      // it has ended, and here is the answer
	Ran                        // it has ended, and the answer was not held
	Runs                       // another scheduler has it
	Unknown                    // it may have run, and its scheduler is gone
	Other                      // another request came under this id
	Unsure                     // no majority has answered in time: nothing is claimed
)

func (o Outcome) String() string {
	return map[Outcome]string{Mine: "mine", Again: "again", Ran: "ran", Runs: "runs", Unknown: "unknown", Other: "another request",
		Unsure: "unsure"}[o]
}

// Decided is the outcome of a Want.
type Decided struct {
	Ticket  uint64
	Outcome Outcome
	Fate    Fate // Again, Ran, Runs and Unknown; Mine: where it may have run before, and is bound to
	Why     Why  // Unsure: what a keeper said
}

// Noted is something that staff want to know.
type Noted struct{ What, Of string }

// Keep has a record put where it lasts, before anything that follows it is sent.
type Keep struct{ Record }

// Drop has a record forgotten there.
type Drop struct{ Key string }

// Lives says as which life this keeper keeps its records from now on.
type Lives struct{ Life }

// Seen says that all that another keeper knows, as a process of it and up to a position, stands where records last.
type Seen struct {
	Keeper string `cbor:"Keeper"`
	Of     Life   `cbor:"Of"`
	Since  uint64 `cbor:"Since"`
}

// Adopted is a set that this process goes by from now on.
type Adopted struct{ keepers.Set }

// Readied says that a majority of the new keepers of a turn know what the old ones knew.
type Readied struct{ Turn uint64 }

func (Seen) effect()    {}
func (Adopted) effect() {}
func (Readied) effect() {}
func (Keep) effect()    {}
func (Drop) effect()    {}
func (Lives) effect()   {}
func (Send) effect()    {}
func (Decided) effect() {}
func (Noted) effect()   {}
