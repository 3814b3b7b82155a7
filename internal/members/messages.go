package members

// Kind says what a message is for.
type Kind uint8

// The kinds. Each message brings its sender's claim of itself, and claims of others where there is room.
const (
	Ping    Kind = iota + 1 // answered by an Ack with the same nonce
	Ack                     // of a Ping, or of what was asked through the sender
	Through                 // asks the receiver to ping Target at Addr, and to pass on its Ack
	Gossip                  // brings claims
	Ask                     // what is known of the sender's name? From one that joins, or that was away
	Tell                    // the answer to an Ask
	Duel                    // to another process of the sender's own name: does it live?
	Word                    // a word between schedulers, not of membership
	Digests                 // full exchange, on streams: digests of the sender's view
	Differs                 // claims of the buckets in which both views differ
	Rest                    // claims of the other side in these buckets
)

// Message is what one member sends another.
type Message struct {
	Kind    Kind
	Cluster string
	From    Claim  // of the sender itself
	Seq     uint64 // grows with each message of a life: what comes twice, or from long ago, is dropped
	Nonce   uint64 // of what is asked or answered
	Target  string // Through, and an Ack that was passed on: who was asked
	Addr    string
	Claims  []Claim
	Digests []uint64
	Buckets []int
	Unsure  bool // Tell: the sender joins itself, or was away
	Text    string
}

// Input is one of Heard, Tick, Leaving, Saying and Resuming.
type Input interface{ input() }

// Heard is a message that came as a datagram, or on a stream.
type Heard struct {
	Message
	Stream uint64 // to answer on; 0 for a datagram
}

// Tick says that the moment of Next has come.
type Tick struct{}

// Leaving says that this process ends of its own will.
type Leaving struct{}

// Saying has a word sent to the member with a number.
type Saying struct {
	Number int
	Text   string
}

// Resuming says that the process that was to take over has ended, and this one goes on.
type Resuming struct{}

func (Heard) input()    {}
func (Tick) input()     {}
func (Leaving) input()  {}
func (Saying) input()   {}
func (Resuming) input() {}

// Effect is one of Send, Open, Answer, Changed, Spoken, Noted, Settled and Ended.
type Effect interface{ effect() }

// Send has a datagram sent.
type Send struct {
	To string
	Message
}

// Open has a stream opened and a message sent on it; what comes back is Heard with a stream to answer on.
type Open struct {
	To string
	Message
}

// Answer has a message sent on a stream; after Last the stream is closed.
type Answer struct {
	Stream uint64
	Message
	Last bool
}

// Changed tells that what is held of another member has changed.
type Changed struct {
	Seen
	Before State
	New    bool // it is a process that was not known before
}

// Spoken is another scheduler's word.
type Spoken struct {
	Number int
	Text   string
}

// Noted is something of this process itself that staff want to know: what, and of whom.
type Noted struct{ What, Who string }

// Settled tells that this process is a member from now on: it has joined, or is back.
type Settled struct{}

// Ended tells that another process has this one's name, or that all have been told that it leaves.
type Ended struct{ Superseded bool }

func (Send) effect()    {}
func (Open) effect()    {}
func (Answer) effect()  {}
func (Changed) effect() {}
func (Spoken) effect()  {}
func (Noted) effect()   {}
func (Settled) effect() {}
func (Ended) effect()   {}
