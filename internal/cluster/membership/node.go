// Package membership implements SWIM with Lifeguard's extensions: it decides which other schedulers of a
// cluster exist, and which of them are alive, suspect, dead or have left. A Node takes an input with its
// time and returns effects: what to send, and what has changed. It does no I/O, reads no clock, and draws
// random numbers from its seed alone. docs/members.md specifies its guarantees.
package membership

import "math/rand/v2"

// Node is one process's view of a cluster and its own state as a member. It is not safe for concurrent
// use.
type Node struct {
	config   Config
	rand     *rand.Rand
	self     MemberRecord
	phase    phase
	seq      uint64 // of the latest message that was sent
	now      Time   // of the latest input; it never decreases
	due      Time   // returned by NextTick
	effects  []Effect
	counters counters

	members  memberTable
	detector failureDetector
	gossip   dissemination
	join     joinState
	conflict conflictState
	leave    leaveState
}

// New returns a process that starts to join a cluster. The configuration must be valid.
func New(config Config, now Time) *Node {
	n := newNode(config, now)
	n.self = MemberRecord{
		Name:        config.Name,
		Addr:        config.Addr,
		Number:      config.Number,
		Incarnation: Incarnation{Nonce: config.Nonce},
		ReportedBy:  config.Name,
	}
	n.startQuery()
	return n
}

// HandoverState is the state that a process passes to its successor in a hot restart. Both are the same
// member, with one incarnation.
type HandoverState struct {
	Self    MemberRecord
	Seq     uint64
	Records []MemberRecord
}

// Restore returns the node of a successor, from its predecessor's HandoverState.
func Restore(config Config, state HandoverState, now Time) *Node {
	n := newNode(config, now)
	n.phase = serving
	n.seq = state.Seq + handoverSeqGap
	n.self = state.Self
	n.self.Addr = config.Addr
	n.self.Number = config.Number
	n.self.Refutations++
	n.updateSelfDigest()
	for _, record := range state.Records {
		n.merge(record)
	}
	n.gossipSelf()
	return n
}

func newNode(config Config, now Time) *Node {
	return &Node{
		config:   config,
		rand:     rand.New(rand.NewPCG(config.Seed, config.Nonce)),
		phase:    joining,
		now:      now,
		counters: counters{},
		members: memberTable{
			byName:    map[string]*member{},
			nextPrune: now + config.DeadRetention/pruningsPerRetention,
		},
		detector: failureDetector{
			indirectPings: map[uint64]indirectPing{},
			nextProbe:     now,
			lastHeard:     now,
		},
		gossip: dissemination{nextPushPull: now + config.PushPullInterval/2},
		join:   joinState{nextAttempt: now},
	}
}

// HandoverState returns the state for a successor, or false if this process is not a member. After a
// handover, Resumed is the only valid input.
func (n *Node) HandoverState() (HandoverState, bool) {
	if n.phase != serving {
		return HandoverState{}, false
	}
	state := HandoverState{Self: n.self, Seq: n.seq}
	for _, name := range n.members.sortedNames() {
		state.Records = append(state.Records, n.recordWithAge(n.members.byName[name]))
	}
	return state, true
}

// Step processes an input and returns the effects that the caller must carry out, in order. If now is
// earlier than the time of a previous input, the input is processed at the time of that one.
func (n *Node) Step(now Time, in Input) []Effect {
	n.now = max(now, n.now)
	n.effects = nil
	n.checkLateness()
	switch in := in.(type) {
	case MessageReceived:
		n.receive(in)
	case SendUserMessage:
		n.sendUserMessage(in)
	case LeaveRequested:
		n.startLeaving()
	case Resumed:
		n.resumeAfterHandover()
	}
	n.runTimers()
	n.due = n.nextDue()
	return n.effects
}

// NextTick returns the time at which a Tick is due.
func (n *Node) NextTick() Time { return n.due }

func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

// jitter returns a random span of half to one and a half times the mean.
func (n *Node) jitter(mean Time) Time { return mean/2 + Time(n.rand.Int64N(int64(mean)+1)) }

// announceSelf gossips this process's record after it has changed.
func (n *Node) announceSelf() {
	n.updateSelfDigest()
	n.gossipSelf()
}

func (n *Node) gossipSelf() {
	n.enqueue(n.self)
	n.gossip.nextRound = n.now
}

// startIncarnationAfter gives this process a new incarnation, with the generation after the given one,
// which belongs to another process.
func (n *Node) startIncarnationAfter(generation uint64) {
	n.self.Incarnation = Incarnation{Generation: generation + 1, Nonce: n.config.Nonce}
	n.self.Refutations = 0
	n.self.State = Alive
	n.announceSelf()
}

// resumeAfterHandover continues as the member after the successor has ended. Other members have the
// successor's latest record, so the sequence number and refutations must exceed those that the successor
// can have used.
func (n *Node) resumeAfterHandover() {
	if n.phase != serving && n.phase != catchingUp {
		return
	}
	n.seq += 2 * handoverSeqGap
	n.self.Refutations += 2
	n.announceSelf()
}

func (n *Node) sendUserMessage(in SendUserMessage) {
	if n.phase != serving {
		return
	}
	for _, m := range n.members.live {
		if m.record.Number == in.Number {
			n.send(m.record.Addr, Message{Kind: UserMessage, Text: in.Text})
			return
		}
	}
	n.count(countNoReceiver)
}

// send sends a datagram, unless it is addressed to this process itself.
func (n *Node) send(to string, message Message) {
	if to != n.self.Addr && to != "" {
		n.emit(Send{to, n.stamped(message)})
	}
}

// stamped fills in the cluster, sequence number and sender of a message. A process that has not chosen
// its generation yet sends generation 0.
func (n *Node) stamped(message Message) Message {
	n.seq++
	message.Cluster = n.config.Cluster
	message.Seq = n.seq
	message.From = n.self
	if n.phase == joining || n.phase == standingBy {
		message.From.Incarnation = Incarnation{Nonce: n.config.Nonce}
		message.From.State = Joining
	}
	return message
}
