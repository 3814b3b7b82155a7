package replicaset

// Voter is a voter of the raft group. A member draws its voter ID at random when it creates the file for its
// State.
type Voter struct {
	ID   uint64 `cbor:"1,keyasint,omitzero"`
	Name string `cbor:"2,keyasint,omitzero"`
}

// Kind is the kind of a message. The numbers are part of the wire format.
type Kind uint8

// The kinds of messages.
const (
	VoterQuery        Kind = iota + 1 // asks for the voter ID of the receiver
	VoterReply                        // reports the voter ID of the sender; 0: the sender has no State file
	GroupCreated                      // announces a new group and its voters
	GroupAcknowledged                 // acknowledges the announcement of the group
	RaftMessage                       // contains a message of the raft library
	VoterIDChanged                    // requests that the group replace its old voter ID of the sender
	ChangeRequested                   // forwards a change request of operators
	ChangeAnswered                    // contains the leader's answer to a change request
)

// Message is a message between members about the replica set.
type Message struct {
	Kind        Kind     `cbor:"1,keyasint,omitzero"`
	GroupID     uint64   `cbor:"2,keyasint,omitzero"`
	VoterID     uint64   `cbor:"3,keyasint,omitzero"` // voter ID of the sender; 0: none
	Voters      []Voter  `cbor:"4,keyasint,omitzero"` // all voters of a new group
	RaftMessage []byte   `cbor:"5,keyasint,omitzero"` // an encoded raftpb.Message
	RequestID   uint64   `cbor:"6,keyasint,omitzero"` // in ChangeRequested and ChangeAnswered
	Epoch       uint64   `cbor:"7,keyasint,omitzero"` // in ChangeRequested: epoch that the operators saw
	Replicas    []string `cbor:"8,keyasint,omitzero"` // in ChangeRequested
	OK          bool     `cbor:"9,keyasint,omitzero"` // in ChangeAnswered, as is Retryable
	Retryable   bool     `cbor:"10,keyasint,omitzero"`
	Text        string   `cbor:"11,keyasint,omitzero"` // in ChangeAnswered
}

// State is the state of a process that survives a restart. It is stored in the file of the replica.
type State struct {
	VoterID   uint64   `cbor:"1,keyasint,omitzero"`
	GroupID   uint64   `cbor:"2,keyasint,omitzero"`
	Set       Set      `cbor:"3,keyasint,omitzero"` // the latest known set
	HardState []byte   `cbor:"4,keyasint,omitzero"` // an encoded raftpb.HardState
	Snapshot  []byte   `cbor:"5,keyasint,omitzero"` // an encoded raftpb.Snapshot
	Entries   [][]byte `cbor:"6,keyasint,omitzero"` // encoded values of raftpb.Entry, in log order
}
