package membership

import (
	"fmt"
	"os"
	"slices"
	"testing"
)

// aliveRecord is a record by which a member reports itself.
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

// newMemberWithPeer returns a process that has joined alone, and the record of one other that it knows.
func newMemberWithPeer(t *testing.T) (*Node, MemberRecord) {
	t.Helper()
	m := New(testConfig("a"), 0)
	m.Step(1, Tick{})
	if m.phase != serving {
		t.Fatal("it did not join")
	}
	other := aliveRecord("b", 5)
	m.Step(2, MessageReceived{Message: Message{Kind: Gossip, Cluster: "c", From: other, Seq: 1}})
	return m, other
}

func (m *Node) stateOf(name string) State {
	if e := m.members.byName[name]; e != nil {
		return e.state
	}
	return Joining
}

// All that others may send: none of it makes a member, moves a view or ends the process, and each kind is
// counted.
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
		{countReplaced, func(m *Message) {
			m.From.Incarnation = Incarnation{1, 4}
			m.Records = []MemberRecord{stranger}
		}},
		{countGarbled, func(m *Message) {
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

// A view that strangers' names could fill would take the memory of the process.
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
	if len(n.members.byName) != 9 || n.counters[countNoRoom] != 42 {
		t.Errorf("%d names, %v", len(n.members.byName), n.counters)
	}
}

// A process that was stopped for longer than a suspicion lasts sends nothing as a member before it has
// queried: it may not be one any more.
func TestLateProcessQueriesBeforeItSpeaks(t *testing.T) {
	m, _ := newMemberWithPeer(t)
	asked := false
	for _, e := range m.Step(m.due+5*second, Tick{}) {
		switch e := e.(type) {
		case Send:
			if asked = true; e.Kind != RecordQuery {
				t.Errorf("it sends %+v", e.Message)
			}
		case OpenStream:
			t.Errorf("it opens a stream: %+v", e.Message)
		}
	}
	if !asked {
		t.Error("it does not ask")
	}
}

// Where datagrams are lost and streams come through, a member stays alive.
func TestAckOnStreamKeepsMemberAlive(t *testing.T) {
	m, other := newMemberWithPeer(t)
	seq := uint64(100)
	for m.now < 60*second {
		for _, e := range m.Step(m.due, Tick{}) {
			if o, ok := e.(OpenStream); ok && o.Kind == Ping {
				seq++
				m.Step(m.now, MessageReceived{Message{Kind: Ack, Cluster: "c", From: other, Seq: seq, Nonce: o.Nonce}, 7})
			}
		}
		if got := m.stateOf("b"); got != Alive {
			t.Fatalf("at %d it is %v", m.now, got)
		}
	}
}

// The wall clock is no part of this; an input with an earlier time than the last must not turn anything
// back.
func TestEarlierTimeChangesNothing(t *testing.T) {
	m, _ := newMemberWithPeer(t)
	m.Step(50_000, Tick{})
	now, due := m.now, m.due
	m.Step(10, Tick{})
	if m.now != now || m.due < due-second {
		t.Errorf("at %d, due %d after an earlier time; %d, %d before", m.now, m.due, now, due)
	}
}

// A successor is the same member: its messages are accepted as new, and the others' view of it does not change.
func TestSuccessorIsTheSameMember(t *testing.T) {
	m, other := newMemberWithPeer(t)
	b := New(testConfig("b"), 0)
	b.Step(1, Tick{})
	b.Step(2, MessageReceived{Message: Message{Kind: Gossip, Cluster: "c", From: m.self, Seq: m.seq}})
	state, ok := m.HandoverState()
	if !ok || len(state.Records) != 1 || state.Records[0].Name != other.Name {
		t.Fatalf("handed over: %+v", state)
	}
	successor := Restore(testConfig("a"), state, 1000)
	for _, e := range successor.Step(1001, Tick{}) {
		if s, ok := e.(Send); ok && s.To == "addr-b" {
			for _, e := range b.Step(1002, MessageReceived{Message: s.Message}) {
				if c, ok := e.(MemberChanged); ok {
					t.Errorf("the view of a changed: %+v", c)
				}
			}
		}
	}
	if b.stateOf("a") != Alive || b.counters["replayed"] > 0 || successor.self.Incarnation != m.self.Incarnation {
		t.Errorf("held %v, %v, %v and %v", b.stateOf("a"), b.counters, successor.self.Incarnation, m.self.Incarnation)
	}
}

// threeMembers are three processes, the messages between them and their time.
type threeMembers struct {
	nodes   [3]*Node
	mail    []delivery
	streams [][2]int // who opened it, and to whom
	now     Time
}

type delivery struct {
	to    int
	input MessageReceived
}

var threeNames = []string{"a", "b", "c"}

func indexOfAddr(addr string) int { return slices.Index(threeNames, addr[len("addr-"):]) }

// newThreeMembers starts three processes of which the first is the seed.
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

// apply puts what a process sends into the mail.
func (w *threeMembers) apply(sender int, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			w.mail = append(w.mail, delivery{indexOfAddr(e.To), MessageReceived{Message: e.Message}})
		case OpenStream:
			w.streams = append(w.streams, [2]int{sender, indexOfAddr(e.To)})
			input := MessageReceived{e.Message, uint64(len(w.streams))}
			w.mail = append(w.mail, delivery{indexOfAddr(e.To), input})
		case StreamReply:
			ends := w.streams[e.Stream-1]
			other := ends[0] + ends[1] - sender
			w.mail = append(w.mail, delivery{other, MessageReceived{e.Message, e.Stream}})
		}
	}
}

func (w *threeMembers) deliver(d delivery) { w.apply(d.to, w.nodes[d.to].Step(w.now, d.input)) }

func (w *threeMembers) takeOldest() delivery {
	oldest := w.mail[0]
	w.mail = w.mail[1:]
	return oldest
}

func (w *threeMembers) takeNewest() delivery {
	last := len(w.mail) - 1
	newest := w.mail[last]
	w.mail = w.mail[:last]
	return newest
}

// The events of an interleaving: the first three run the timers of a process.
const (
	deliverOldest = 3
	deliverNewest = 4
	loseOldest    = 5
	eventKinds    = 6
)

// step lets one event happen, 30 ms after the one before.
func (w *threeMembers) step(event int) {
	w.now += 30 * ms
	switch {
	case event < len(w.nodes):
		n := w.nodes[event]
		w.apply(event, n.Step(max(w.now, n.due), Tick{}))
	case len(w.mail) == 0:
	case event == deliverOldest:
		w.deliver(w.takeOldest())
	case event == deliverNewest:
		w.deliver(w.takeNewest())
	case event == loseOldest:
		w.takeOldest()
	}
}

// converge lets all messages arrive for a while.
func (w *threeMembers) converge() {
	for range 200 {
		for i := range w.nodes {
			w.step(i)
		}
		for len(w.mail) > 0 {
			w.deliver(w.takeOldest())
		}
	}
}

// requireAgreement fails the test unless all three hold all others to be alive and have equal digests.
func (w *threeMembers) requireAgreement(t *testing.T, order []int) {
	t.Helper()
	for i, n := range w.nodes {
		for j, name := range threeNames {
			if i != j && n.stateOf(name) != Alive {
				t.Fatalf("order %v: %s holds %s %v", order, threeNames[i], name, n.stateOf(name))
			}
		}
		if invalid := n.counters[countInvalidPhase] + n.counters[countInvalidState]; invalid > 0 {
			t.Fatalf("order %v: %s made %d changes that are not listed", order, threeNames[i], invalid)
		}
		if n.Digest() != w.nodes[0].Digest() {
			t.Fatalf("order %v: the digests differ", order)
		}
	}
}

// Three members, every order of a few events between them: whatever the interleaving, no state goes back
// within a refutation, and once messages arrive again all three hold the same. ORDERS=all runs each of the
// orders, not each 23rd.
func TestEveryInterleavingOfThree(t *testing.T) {
	const depth = 6
	const orders = 46656 // eventKinds to the depth
	stride := 23         // shares no factor with eventKinds
	if os.Getenv("ORDERS") == "all" {
		stride = 1
	}
	order := make([]int, depth)
	for number := 0; number < orders; number += stride {
		rest := number
		for i := range order {
			order[i] = rest % eventKinds
			rest /= eventKinds
		}
		w := newThreeMembers()
		for _, event := range order {
			w.step(event)
		}
		w.converge()
		w.requireAgreement(t, order)
	}
}
