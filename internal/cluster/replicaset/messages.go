package replicaset

// Voter is one voter of the raft group: a number that was drawn when its file was made, and the name of its
// member.
type Voter struct {
	ID   uint64 `cbor:"1,keyasint,omitzero"`
	Name string `cbor:"2,keyasint,omitzero"`
}

// Kind is the kind of a message. The numbers are fixed by the wire.
type Kind uint8

// The kinds of messages.
const (
	VoterQuery      Kind = iota + 1 // what is your voter ID?
	VoterReply                      // its answer; 0 without a file
	GroupFounded                    // the group was created with these voters
	VoterAccepted                   // its answer: the voter knows of the group
	RaftMessage                     // a message of the raft library
	ReplaceVoter                    // this replica has another voter ID than the one in the group
	ChangeRequested                 // operators request these replicas
	ChangeAnswered                  // the leader's answer
)

// Message is what members send each other about the replica set.
type Message struct {
	Kind        Kind     `cbor:"1,keyasint,omitzero"`
	GroupID     uint64   `cbor:"2,keyasint,omitzero"`
	VoterID     uint64   `cbor:"3,keyasint,omitzero"` // of the sender
	Voters      []Voter  `cbor:"4,keyasint,omitzero"` // GroupFounded
	RaftMessage []byte   `cbor:"5,keyasint,omitzero"` // a raftpb.Message
	RequestID   uint64   `cbor:"6,keyasint,omitzero"` // ChangeRequested and ChangeAnswered
	Epoch       uint64   `cbor:"7,keyasint,omitzero"` // ChangeRequested: of the set that the operators saw
	Replicas    []string `cbor:"8,keyasint,omitzero"` // ChangeRequested
	OK          bool     `cbor:"9,keyasint,omitzero"` // ChangeAnswered
	Retryable   bool     `cbor:"10,keyasint,omitzero"`
	Text        string   `cbor:"11,keyasint,omitzero"` // ChangeAnswered
}

// State is what must survive a restart, as it is stored.
type State struct {
	VoterID   uint64   `cbor:"1,keyasint,omitzero"`
	GroupID   uint64   `cbor:"2,keyasint,omitzero"`
	Set       Set      `cbor:"3,keyasint,omitzero"` // the latest that is known
	HardState []byte   `cbor:"4,keyasint,omitzero"` // raftpb.HardState
	Snapshot  []byte   `cbor:"5,keyasint,omitzero"` // raftpb.Snapshot
	Entries   [][]byte `cbor:"6,keyasint,omitzero"` // raftpb.Entry
}
