package membership

import (
	"fmt"
	"os"
	"slices"
	"testing"
)

// aliveRecord returns a record in which a member reports itself alive.
func aliveRecord(name string, nonce uint64) MemberRecord {
	return MemberRecord{
		Name:        name,
		Addr:        "addr-" + name,
		Incarnation: Incarnation{Generation: 1, Nonce: nonce},
		State:       Alive,
		ReportedBy:  name,
	}
}

func testConfig(name string) Config {
	config := Defaults()
	config.Cluster, config.Name, config.Addr = "c", name, "addr-"+name
	config.Nonce, config.Seed = 7, 1
	return config
}

// newMemberWithPeer returns a process that has joined alone and then received a message of one other
// member, and that member's record.
func newMemberWithPeer(t *testing.T) (*Node, MemberRecord) {
	t.Helper()
	n := New(testConfig("a"), 0)
	n.Step(1, Tick{})
	if n.phase != serving {
		t.Fatal("the process did not join")
	}
	peer := aliveRecord("b", 5)
	n.Step(2, MessageReceived{Message: Message{Kind: Gossip, Cluster: "c", From: peer, Seq: 1}})
	return n, peer
}

func (n *Node) stateOf(name string) State {
	if m := n.members.byName[name]; m != nil {
		return m.state
	}
	return Joining
}

// Invalid, replayed or outdated messages must not change the view or the peer's state, and each kind must
// be counted.
func TestBadInputIsDroppedAndCounted(t *testing.T) {
	stranger := aliveRecord("z", 1)
	withInvalidState, withoutName, withoutIncarnation := stranger, stranger, stranger
	withInvalidState.State = 99
	withoutName.Name = ""
	withoutIncarnation.Incarnation = Incarnation{}
	for _, c := range []struct {
		counted counter
		change  func(*Message) // of a gossip message of the peer
	}{
		{countWrongCluster, func(m *Message) {
			m.Cluster = "other"
			m.From.State = Left
		}},
		{countReplayed, func(m *Message) {
			m.Seq = 1
			m.Records = []MemberRecord{stranger}
		}},
		{countEarlierIncarnation, func(m *Message) {
			m.From.Incarnation = Incarnation{1, 4}
			m.Records = []MemberRecord{stranger}
		}},
		{countInvalid, func(m *Message) {
			m.Records = []MemberRecord{withInvalidState, withoutName, withoutIncarnation}
		}},
	} {
		n, peer := newMemberWithPeer(t)
		message := Message{Kind: Gossip, Cluster: "c", From: peer, Seq: 9}
		c.change(&message)
		n.Step(10, MessageReceived{Message: message})
		if n.counters[c.counted] == 0 || n.stateOf("b") != Alive || len(n.members.byName) != 1 {
			t.Errorf("%s: counts %v, view %v", c.counted, n.counters, n.View())
		}
	}
}

// Without a limit on the members of a view, received records could use all memory of the process.
func TestViewIsBounded(t *testing.T) {
	n, peer := newMemberWithPeer(t)
	n.config.MaxMembers = 10
	for i := range 50 {
		n.Step(Time(10+i), MessageReceived{Message: Message{
			Kind:    Gossip,
			Cluster: "c",
			From:    peer,
			Seq:     uint64(10 + i),
			Records: []MemberRecord{aliveRecord(fmt.Sprint("x", i), 1)},
		}})
	}
	if len(n.members.byName) != 9 || n.counters[countViewFull] != 42 {
		t.Errorf("the view has %d names, want 9; counters %v, want 42 rejected", len(n.members.byName), n.counters)
	}
}

// A process that was paused for longer than a suspicion lasts may no longer be a member, so it must send
// only queries until it has a reply.
func TestAPausedProcessSendsOnlyQueriesWhenItResumes(t *testing.T) {
	n, _ := newMemberWithPeer(t)
	queried := false
	for _, e := range n.Step(n.due+5*second, Tick{}) {
		switch e := e.(type) {
		case Send:
			if queried = true; e.Kind != RecordQuery {
				t.Errorf("it sends %+v, want only queries", e.Message)
			}
		case OpenStream:
			t.Errorf("it opens a stream, want only queries: %+v", e.Message)
		}
	}
	if !queried {
		t.Error("it sends no query")
	}
}

// If datagrams are lost but streams work, a member must stay alive.
func TestAnAckOnAStreamKeepsAMemberAlive(t *testing.T) {
	n, peer := newMemberWithPeer(t)
	seq := uint64(100)
	for n.now < 60*second {
		for _, e := range n.Step(n.due, Tick{}) {
			if o, ok := e.(OpenStream); ok && o.Kind == Ping {
				seq++
				n.Step(n.now, MessageReceived{Message{Kind: Ack, Cluster: "c", From: peer, Seq: seq, Nonce: o.Nonce}, 7})
			}
		}
		if got := n.stateOf("b"); got != Alive {
			t.Fatalf("at %d the member is %v, want alive", n.now, got)
		}
	}
}

// An input with an earlier time than the previous one must not move the node's time or its timers back.
func TestEarlierTimeChangesNothing(t *testing.T) {
	n, _ := newMemberWithPeer(t)
	n.Step(50_000, Tick{})
	now, due := n.now, n.due
	n.Step(10, Tick{})
	if n.now != now || n.due < due-second {
		t.Errorf("time %d, next tick %d after an earlier time; before it %d, %d", n.now, n.due, now, due)
	}
}

// A successor after a hot restart is the same member. Other members must accept its messages as new, and
// must not change the state of the member.
func TestSuccessorIsTheSameMember(t *testing.T) {
	predecessor, peer := newMemberWithPeer(t)
	observer := New(testConfig("b"), 0)
	observer.Step(1, Tick{})
	observer.Step(2, MessageReceived{
		Message: Message{Kind: Gossip, Cluster: "c", From: predecessor.self, Seq: predecessor.seq},
	})
	state, ok := predecessor.HandoverState()
	if !ok || len(state.Records) != 1 || state.Records[0].Name != peer.Name {
		t.Fatalf("the handover state is %+v, want one record, of b", state)
	}
	successor := Restore(testConfig("a"), state, 1000)
	for _, e := range successor.Step(1001, Tick{}) {
		if s, ok := e.(Send); ok && s.To == "addr-b" {
			for _, e := range observer.Step(1002, MessageReceived{Message: s.Message}) {
				if c, ok := e.(MemberChanged); ok {
					t.Errorf("the state of a changed in the view of b: %+v", c)
				}
			}
		}
	}
	if observer.stateOf("a") != Alive || observer.counters["replayed"] > 0 ||
		successor.self.Incarnation != predecessor.self.Incarnation {
		t.Errorf("b reports a %v, counters %v; incarnations %v and %v",
			observer.stateOf("a"), observer.counters, successor.self.Incarnation, predecessor.self.Incarnation)
	}
}

// threeMembers simulates three processes, the messages between them and their time.
type threeMembers struct {
	nodes       [3]*Node
	undelivered []delivery
	streams     [][2]int // opener and acceptor of each stream
	now         Time
}

type delivery struct {
	to    int
	input MessageReceived
}

var threeNames = []string{"a", "b", "c"}

func indexOfAddr(addr string) int { return slices.Index(threeNames, addr[len("addr-"):]) }

// newThreeMembers starts three processes, of which the first is the seed.
func newThreeMembers() *threeMembers {
	w := &threeMembers{}
	for i, name := range threeNames {
		config := testConfig(name)
		config.Nonce, config.Seeds = uint64(i+1), []string{"addr-a"}
		w.nodes[i] = New(config, 0)
		w.apply(i, w.nodes[i].Step(1, Tick{}))
	}
	return w
}

// apply queues the messages that a process sends.
func (w *threeMembers) apply(sender int, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			w.undelivered = append(w.undelivered, delivery{indexOfAddr(e.To), MessageReceived{Message: e.Message}})
		case OpenStream:
			w.streams = append(w.streams, [2]int{sender, indexOfAddr(e.To)})
			input := MessageReceived{e.Message, uint64(len(w.streams))}
			w.undelivered = append(w.undelivered, delivery{indexOfAddr(e.To), input})
		case StreamReply:
			ends := w.streams[e.Stream-1]
			other := ends[0] + ends[1] - sender
			w.undelivered = append(w.undelivered, delivery{other, MessageReceived{e.Message, e.Stream}})
		}
	}
}

func (w *threeMembers) deliver(d delivery) { w.apply(d.to, w.nodes[d.to].Step(w.now, d.input)) }

func (w *threeMembers) takeOldest() delivery {
	oldest := w.undelivered[0]
	w.undelivered = w.undelivered[1:]
	return oldest
}

func (w *threeMembers) takeNewest() delivery {
	last := len(w.undelivered) - 1
	newest := w.undelivered[last]
	w.undelivered = w.undelivered[:last]
	return newest
}

// The events of an interleaving. Events 0 to 2 run the timers of the process with that index.
const (
	deliverOldest = 3
	deliverNewest = 4
	loseOldest    = 5
	eventKinds    = 6
)

// step runs one event, 30 ms after the previous one.
func (w *threeMembers) step(event int) {
	w.now += 30 * ms
	switch {
	case event < len(w.nodes):
		n := w.nodes[event]
		w.apply(event, n.Step(max(w.now, n.due), Tick{}))
	case len(w.undelivered) == 0:
	case event == deliverOldest:
		w.deliver(w.takeOldest())
	case event == deliverNewest:
		w.deliver(w.takeNewest())
	case event == loseOldest:
		w.takeOldest()
	}
}

// converge delivers all messages while the timers of all processes run 200 times.
func (w *threeMembers) converge() {
	for range 200 {
		for i := range w.nodes {
			w.step(i)
		}
		for len(w.undelivered) > 0 {
			w.deliver(w.takeOldest())
		}
	}
}

// requireAgreement fails the test unless each of the three processes regards the others as alive, and
// all digests are equal.
func (w *threeMembers) requireAgreement(t *testing.T, events []int) {
	t.Helper()
	for i, n := range w.nodes {
		for j, name := range threeNames {
			if i != j && n.stateOf(name) != Alive {
				t.Fatalf("order %v: %s reports %s %v", events, threeNames[i], name, n.stateOf(name))
			}
		}
		if invalid := n.counters[countInvalidPhase] + n.counters[countInvalidState]; invalid > 0 {
			t.Fatalf("order %v: %s made %d changes that no table lists", events, threeNames[i], invalid)
		}
		if n.Digest() != w.nodes[0].Digest() {
			t.Fatalf("order %v: the digests differ", events)
		}
	}
}

// In whatever order messages are delivered or lost and timers run, no member's state may go back without
// a refutation, and the views of three members must converge once messages arrive again. The test runs
// every 23rd of the 46656 orders; with ORDERS=all it runs all of them.
func TestEveryInterleavingOfThree(t *testing.T) {
	const depth = 6
	const orders = 46656 // eventKinds to the power of depth
	stride := 23         // has no common factor with eventKinds
	if os.Getenv("ORDERS") == "all" {
		stride = 1
	}
	events := make([]int, depth)
	for number := 0; number < orders; number += stride {
		remainder := number
		for i := range events {
			events[i] = remainder % eventKinds
			remainder /= eventKinds
		}
		w := newThreeMembers()
		for _, event := range events {
			w.step(event)
		}
		w.converge()
		w.requireAgreement(t, events)
	}
}
