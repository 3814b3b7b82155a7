package membership

// Kind is the kind of a message.
type Kind uint8

// The kinds. Each message carries its sender's own record, and gossip where there is space.
const (
	Ping            Kind = iota + 1 // answered by an Ack with the same nonce
	Ack                             // answers a Ping, or an IndirectPing that the sender carried out
	IndirectPing                    // asks the receiver to ping Target, and to pass on its Ack
	Gossip                          // carries records alone
	RecordQuery                     // from a process that joins or catches up: asks for its own record
	RecordReply                     // answers a RecordQuery or a NameConflict
	NameConflict                    // asks another process of the sender's own name whether it lives
	UserMessage                     // carries Text, which is not of membership
	Digests                         // on a stream: opens a push-pull with the digests of the sender's view
	DigestDiff                      // on a stream: the buckets that differ, and the sender's records of them
	DigestDiffReply                 // on a stream: the opener's records of these buckets
)

// Message is what one member sends another.
type Message struct {
	Kind             Kind
	Cluster          string
	From             MemberRecord // the sender's own record
	Seq              uint64       // grows with each message of an incarnation; the receiver drops repeats
	Nonce            uint64       // of what is asked or answered
	Target           string       // who is pinged: of an IndirectPing, and of an Ack that is passed on
	Addr             string       // not used
	Records          []MemberRecord
	Digests          []uint64
	Buckets          []int
	SenderCatchingUp bool // of a RecordReply: the sender joins or catches up itself
	Text             string
}

// Input is one of MessageReceived, Tick, LeaveRequested, SendUserMessage and Resumed.
type Input interface{ input() }

// MessageReceived is a message that came in a datagram, or on a stream.
type MessageReceived struct {
	Message
	Stream uint64 // on which to reply; 0 for a datagram
}

// Tick reports that the moment of NextTick has come.
type Tick struct{}

// LeaveRequested has this process notify the others and stop.
type LeaveRequested struct{}

// SendUserMessage has a text sent to the member with a number.
type SendUserMessage struct {
	Number int
	Text   string
}

// Resumed reports that the successor has ended, and that this process goes on as the member.
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

// OpenStream opens a stream and sends a message on it. What comes back is a MessageReceived with a stream
// to reply on.
type OpenStream struct {
	To string
	Message
}

// StreamReply sends a message on a stream, which is closed after the last one.
type StreamReply struct {
	Stream uint64
	Message
	Last bool
}

// MemberChanged reports that this process holds another member to be in a new state.
type MemberChanged struct {
	MemberView
	Before State
	New    bool // it is an incarnation that was not known before
}

// UserMessageReceived is a text from another member.
type UserMessageReceived struct {
	Number int
	Text   string
}

// Event is something that concerns this process itself, to be logged. Subject is the process that it
// involves, how long it lasted, or empty.
type Event struct{ Description, Subject string }

// Joined reports that this process is a member from now on.
type Joined struct{}

// Stopped reports that this process is no member any more: another process has its name, or it has left.
type Stopped struct{ Replaced bool }

func (Send) effect()                {}
func (OpenStream) effect()          {}
func (StreamReply) effect()         {}
func (MemberChanged) effect()       {}
func (UserMessageReceived) effect() {}
func (Event) effect()               {}
func (Joined) effect()              {}
func (Stopped) effect()             {}
