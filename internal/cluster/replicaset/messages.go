package replicaset

// Voter is one voter of the agreement: a number that was drawn when its file was made, under the name of its member.
type Voter struct {
	ID   uint64 `cbor:"1,keyasint,omitzero"`
	Name string `cbor:"2,keyasint,omitzero"`
}

// Kind says what a message is for.
type Kind uint8

// The kinds.
const (
	VoterQuery      Kind = iota + 1 // which seat have you?
	VoterReply                      // this one, of that founding; none without a file
	GroupFounded                    // the agreement is founded with these seats
	VoterAccepted                   // it is taken as that
	RaftMessage                     // a message of the agreement itself
	ReplaceVoter                    // this keeper has another seat than the set says
	ChangeRequested                 // staff ask for these keepers
	ChangeAnswered                  // what became of that
)

// Message is what members tell one another of who keeps copies.
type Message struct {
	Kind        Kind     `cbor:"1,keyasint,omitzero"`
	GroupID     uint64   `cbor:"2,keyasint,omitzero"`
	VoterID     uint64   `cbor:"3,keyasint,omitzero"` // of who sends it
	Voters      []Voter  `cbor:"4,keyasint,omitzero"` // Founded
	RaftMessage []byte   `cbor:"5,keyasint,omitzero"` // a raftpb.Message
	RequestID   uint64   `cbor:"6,keyasint,omitzero"` // Asked and Answered
	Epoch       uint64   `cbor:"7,keyasint,omitzero"` // Asked: of the set that staff saw
	Replicas    []string `cbor:"8,keyasint,omitzero"`
	OK          bool     `cbor:"9,keyasint,omitzero"`  // Answered
	Retryable   bool     `cbor:"10,keyasint,omitzero"` // Answered: it may come about if it is asked for again
	Text        string   `cbor:"11,keyasint,omitzero"` // Answered
}

// State is what has to last, as it is written.
type State struct {
	VoterID   uint64   `cbor:"1,keyasint,omitzero"`
	GroupID   uint64   `cbor:"2,keyasint,omitzero"`
	Set       Set      `cbor:"3,keyasint,omitzero"` // the latest that is known
	HardState []byte   `cbor:"4,keyasint,omitzero"` // raftpb.HardState
	Snapshot  []byte   `cbor:"5,keyasint,omitzero"` // raftpb.Snapshot
	Entries   [][]byte `cbor:"6,keyasint,omitzero"`
}

// Input is one of Heard, Tick, Serving, Present, Change, Learned, Ready, Unkept and Restored.
type Input interface{ input() }

// MessageReceived is a message of another member.
type MessageReceived struct {
	From string
	Message
}

// Tick says that the moment of Next has come.
type Tick struct{}

// Membership says whether this process is a member now.
type Membership struct{ Serving bool }

// PeerStatus says whether another member is here, as this process sees it.
type PeerStatus struct {
	Name  string
	Alive bool
}

// ChangeRequest is what staff ask for, at any scheduler.
type ChangeRequest struct {
	RequestID uint64 // the caller's own, never used twice
	Epoch     uint64 // of the set that they saw
	Replicas  []string
}

// SetLearned is a set that others told of.
type SetLearned struct{ Set }

// ReplicasReady says that a majority of the new keepers of a turn know what the old ones knew.
type ReplicasReady struct{ Epoch uint64 }

// PersistFailed says that a state could not be put where it lasts.
type PersistFailed struct{}

// StateReloaded says that states last again, after Unkept, and brings the one that stands there by now.
type StateReloaded struct{ State }

func (MessageReceived) input() {}
func (Tick) input()            {}
func (Membership) input()      {}
func (PeerStatus) input()      {}
func (ChangeRequest) input()   {}
func (SetLearned) input()      {}
func (ReplicasReady) input()   {}
func (PersistFailed) input()   {}
func (StateReloaded) input()   {}

// Effect is one of Keep, Send, Agreed, Told and Noted.
type Effect interface{ effect() }

// Persist has a state put where it lasts, before anything that follows it is sent.
type Persist struct{ State }

// Send has a message sent to a member.
type Send struct {
	To string
	Message
}

// SetAgreed is a set that is in force from now on.
type SetAgreed struct{ Set }

// ChangeResult is the answer to a Change.
type ChangeResult struct {
	RequestID uint64
	OK        bool
	Retryable bool // it may come about if it is asked for again
	Message   string
}

// Event is something that staff want to know.
type Event struct{ Description, Subject string }

func (Persist) effect()      {}
func (Send) effect()         {}
func (SetAgreed) effect()    {}
func (ChangeResult) effect() {}
func (Event) effect()        {}
