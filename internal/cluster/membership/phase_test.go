package membership

import "testing"

// newNodeInPhase returns a process in the given phase. It reaches the phase by inputs to Step only.
func newNodeInPhase(t *testing.T, want phase) *Node {
	t.Helper()
	var n *Node
	switch want {
	case joining:
		config := testConfig("a")
		config.Seeds = []string{"addr-seed"}
		n = New(config, 0)
		n.Step(1, Tick{})
	case serving:
		n, _ = newMemberWithPeer(t)
	case catchingUp:
		n = newNodeInPhase(t, serving)
		n.Step(n.due+5*second, Tick{})
	case leaving:
		n = newNodeInPhase(t, serving)
		n.Step(n.now, LeaveRequested{})
	case standingBy:
		n = newNodeInPhase(t, catchingUp)
		replyToQuery(n, rivalRecord(n))
	case stopped:
		n = newNodeInPhase(t, joining)
		n.Step(n.now, LeaveRequested{})
	}
	if n.phase != want {
		t.Fatalf("the process is in phase %d, want %d", n.phase, want)
	}
	return n
}

// rivalRecord returns the record of a later process of the same name.
func rivalRecord(n *Node) MemberRecord {
	rival := n.self
	rival.Addr, rival.State, rival.Incarnation = "addr-rival", Alive, Incarnation{n.self.Generation + 1, 99}
	return rival
}

// replyToQuery sends a process the reply of a member to its open query.
func replyToQuery(n *Node, records ...MemberRecord) {
	peer := aliveRecord("b", 5)
	seq := uint64(1)
	if known := n.members.byName[peer.Name]; known != nil {
		seq = known.replay.highest + 1
	}
	reply := Message{Kind: RecordReply, Cluster: "c", From: peer, Seq: seq, Records: records}
	reply.Nonce = n.join.queryNonce
	n.Step(n.now, MessageReceived{Message: reply})
}

// advance runs the timers for the given time. No messages arrive.
func advance(n *Node, span Time) {
	for until := n.now + span; n.now < until; {
		n.Step(n.due, Tick{})
	}
}

// phaseTransitions must list each phase change that can happen, and no other.
func TestPhaseTransitionsListsAllPhaseChanges(t *testing.T) {
	leave := func(n *Node) { n.Step(n.now, LeaveRequested{}) }
	withoutStandBy := func(input func(*Node)) func(*Node) {
		return func(n *Node) {
			n.config.StandByWhenReplaced = false
			input(n)
		}
	}
	replyWithRival := func(n *Node) { replyToQuery(n, rivalRecord(n)) }
	rivalAnswers := func(n *Node) {
		rival := rivalRecord(n)
		n.Step(n.now, MessageReceived{Message: Message{Kind: Gossip, Cluster: "c", From: rival, Seq: 1}})
		reply := Message{Kind: RecordReply, Cluster: "c", From: rival, Seq: 2, Nonce: n.conflict.open.nonce}
		n.Step(n.now, MessageReceived{Message: reply})
	}
	type transition struct{ from, to phase }
	seen := map[transition]bool{}
	for _, c := range []struct {
		name     string
		from, to phase
		input    func(*Node)
	}{
		{"a reply while joining", joining, serving, func(n *Node) { replyToQuery(n) }},
		{"no reply while joining", joining, serving, func(n *Node) { advance(n, 2*queryTimeout) }},
		{"leave while joining", joining, stopped, leave},
		{"paused for long", serving, catchingUp, func(n *Node) { n.Step(n.due+n.config.MinSuspicion, Tick{}) }},
		{"paused briefly", serving, serving, func(n *Node) { n.Step(n.due+n.config.MinSuspicion-1, Tick{}) }},
		{"leave", serving, leaving, leave},
		{"replaced", serving, standingBy, rivalAnswers},
		{"replaced, without standing by", serving, stopped, withoutStandBy(rivalAnswers)},
		{"a reply while catching up", catchingUp, serving, func(n *Node) { replyToQuery(n, n.self) }},
		{"no reply while catching up", catchingUp, serving, func(n *Node) { advance(n, 2*queryTimeout) }},
		{"a later incarnation has ended", catchingUp, serving, func(n *Node) {
			ended := rivalRecord(n)
			ended.State = Dead
			replyToQuery(n, ended)
		}},
		{"replaced while catching up", catchingUp, standingBy, replyWithRival},
		{"replaced while catching up, without standing by", catchingUp, stopped, withoutStandBy(replyWithRival)},
		{"leave while catching up", catchingUp, stopped, leave},
		{"all notices are sent", leaving, stopped, func(n *Node) { advance(n, second) }},
		{"leave again", leaving, stopped, leave},
		{"the name is free", standingBy, serving, func(n *Node) { replyToQuery(n) }},
		{"the name is in use", standingBy, standingBy, replyWithRival},
		{"leave while standing by", standingBy, stopped, leave},
		{"leave when stopped already", stopped, stopped, leave},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNodeInPhase(t, c.from)
			c.input(n)
			if n.phase != c.to {
				t.Errorf("the process is in phase %d, want %d", n.phase, c.to)
			}
			if n.counters[countInvalidPhase] > 0 {
				t.Errorf("phaseTransitions does not list a change from %d", c.from)
			}
			seen[transition{c.from, c.to}] = true
		})
	}
	for from, next := range phaseTransitions {
		for _, to := range next {
			if !seen[transition{phase(from), to}] {
				t.Errorf("phaseTransitions lists a change from %d to %d that no case has", from, to)
			}
		}
	}
}
