package membership

// Kind says what a message is for.
type Kind uint8

// The kinds. Each message brings its sender's claim of itself, and claims of others where there is room.
const (
	Ping            Kind = iota + 1 // answered by an Ack with the same nonce
	Ack                             // of a Ping, or of what was asked through the sender
	IndirectPing                    // asks the receiver to ping Target at Addr, and to pass on its Ack
	Gossip                          // brings claims
	RecordQuery                     // what is known of the sender's name? From one that joins, or that was away
	RecordReply                     // the answer to an Ask
	NameConflict                    // to another process of the sender's own name: does it live?
	UserMessage                     // a word between schedulers, not of membership
	Digests                         // full exchange, on streams: digests of the sender's view
	DigestDiff                      // claims of the buckets in which both views differ
	DigestDiffReply                 // claims of the other side in these buckets
)

// Message is what one member sends another.
type Message struct {
	Kind             Kind
	Cluster          string
	From             MemberRecord // of the sender itself
	Seq              uint64       // grows with each message of a life: what comes twice, or from long ago, is dropped
	Nonce            uint64       // of what is asked or answered
	Target           string       // Through, and an Ack that was passed on: who was asked
	Addr             string
	Records          []MemberRecord
	Digests          []uint64
	Buckets          []int
	SenderCatchingUp bool // Tell: the sender joins itself, or was away
	Text             string
}

// Input is one of Heard, Tick, Leaving, Saying and Resuming.
type Input interface{ input() }

// MessageReceived is a message that came as a datagram, or on a stream.
type MessageReceived struct {
	Message
	Stream uint64 // to answer on; 0 for a datagram
}

// Tick says that the moment of Next has come.
type Tick struct{}

// LeaveRequested says that this process ends of its own will.
type LeaveRequested struct{}

// SendUserMessage has a word sent to the member with a number.
type SendUserMessage struct {
	Number int
	Text   string
}

// Resumed says that the process that was to take over has ended, and this one goes on.
type Resumed struct{}

func (MessageReceived) input() {}
func (Tick) input()            {}
func (LeaveRequested) input()  {}
func (SendUserMessage) input() {}
func (Resumed) input()         {}

// Effect is one of Send, Open, Answer, Changed, Spoken, Noted, Settled and Ended.
type Effect interface{ effect() }

// Send has a datagram sent.
type Send struct {
	To string
	Message
}

// OpenStream has a stream opened and a message sent on it; what comes back is Heard with a stream to answer
// on.
type OpenStream struct {
	To string
	Message
}

// StreamReply has a message sent on a stream; after Last the stream is closed.
type StreamReply struct {
	Stream uint64
	Message
	Last bool
}

// MemberChanged tells that what is held of another member has changed.
type MemberChanged struct {
	MemberView
	Before State
	New    bool // it is a process that was not known before
}

// UserMessageReceived is another scheduler's word.
type UserMessageReceived struct {
	Number int
	Text   string
}

// Event is something of this process itself that staff want to know: what, and of whom.
type Event struct{ Description, Member string }

// Joined tells that this process is a member from now on: it has joined, or is back.
type Joined struct{}

// Stopped tells that another process has this one's name, or that all have been told that it leaves.
type Stopped struct{ Replaced bool }

func (Send) effect()                {}
func (OpenStream) effect()          {}
func (StreamReply) effect()         {}
func (MemberChanged) effect()       {}
func (UserMessageReceived) effect() {}
func (Event) effect()               {}
func (Joined) effect()              {}
func (Stopped) effect()             {}
