package membership

// Kind is the kind of a message.
type Kind uint8

// The kinds. Each message carries its sender's own record, and gossip where there is space.
const (
	Ping            Kind = iota + 1 // answered by an Ack with the same nonce
	Ack                             // answers a Ping, or an IndirectPing that the sender carried out
	IndirectPing                    // asks the receiver to ping Target and to forward the Ack
	Gossip                          // carries records alone
	RecordQuery                     // asks for the record of the sender, which is no member or catches up
	RecordReply                     // answers a RecordQuery or a NameConflict
	NameConflict                    // asks another process with the sender's name whether it is alive
	UserMessage                     // carries Text for the application
	Digests                         // on a stream: opens a push-pull with the digests of the sender's view
	DigestDiff                      // on a stream: the buckets that differ, and the sender's records in them
	DigestDiffReply                 // on a stream: the opener's records in these buckets
)

// Message is sent by one member to another. In a Digests message, Digests contains the checksum of each
// bucket of the sender's view. In a DigestDiff, Buckets contains the indices of the buckets whose checksums
// differ.
type Message struct {
	Kind             Kind
	Cluster          string
	From             MemberRecord // the sender's own record
	Seq              uint64       // grows with each message of an incarnation; the receiver drops duplicates
	Nonce            uint64       // matches an answer to its request
	Target           string       // name of the pinged member, in an IndirectPing and in a forwarded Ack
	Addr             string       // not used
	Records          []MemberRecord
	Digests          []uint64
	Buckets          []int
	SenderCatchingUp bool // in a RecordReply: the sender is no member, or catches up
	Text             string
}

// Input is one of MessageReceived, Tick, LeaveRequested, SendUserMessage and Resumed.
type Input interface{ input() }

// MessageReceived is a message that arrived in a datagram or on a stream.
type MessageReceived struct {
	Message
	Stream uint64 // on which to reply; 0 for a datagram
}

// Tick reports that the time returned by NextTick has come.
type Tick struct{}

// LeaveRequested makes this process notify the other members and stop.
type LeaveRequested struct{}

// SendUserMessage sends a text to the member with a scheduler number.
type SendUserMessage struct {
	Number int
	Text   string
}

// Resumed reports that the successor has ended, and that this process continues as the member.
type Resumed struct{}

func (MessageReceived) input() {}
func (Tick) input()            {}
func (LeaveRequested) input()  {}
func (SendUserMessage) input() {}
func (Resumed) input()         {}

// Effect is one of Send, OpenStream, StreamReply, MemberChanged, UserMessageReceived, Event, Joined and
// Stopped.
type Effect interface{ effect() }

// Send sends a datagram.
type Send struct {
	To string
	Message
}

// OpenStream opens a stream and sends a message on it. The answer is a MessageReceived with the stream
// to reply on.
type OpenStream struct {
	To string
	Message
}

// StreamReply sends a message on a stream, and closes the stream after the last message.
type StreamReply struct {
	Stream uint64
	Message
	Last bool
}

// MemberChanged reports that another member has a new state in this process's view.
type MemberChanged struct {
	MemberView
	Before         State
	NewIncarnation bool // the incarnation was not known before
}

// UserMessageReceived is a text from another member.
type UserMessageReceived struct {
	Number int
	Text   string
}

// Event is an event of this process to be logged. Subject is the name or address of the other process
// involved, a duration, or empty.
type Event struct{ Description, Subject string }

// Joined reports that this process is a member from now on.
type Joined struct{}

// Stopped reports that this process is no longer a member: another process has its name, or it has left.
type Stopped struct{ Replaced bool }

func (Send) effect()                {}
func (OpenStream) effect()          {}
func (StreamReply) effect()         {}
func (MemberChanged) effect()       {}
func (UserMessageReceived) effect() {}
func (Event) effect()               {}
func (Joined) effect()              {}
func (Stopped) effect()             {}
