package membership

import "testing"

// newPeerInState returns a process, and the one other member that it knows, in the given state.
func newPeerInState(t *testing.T, state State) (*Node, *member) {
	t.Helper()
	n, _ := newMemberWithPeer(t)
	m := n.members.byName["b"]
	switch state {
	case Alive:
	case Suspect, Left:
		reportPeer(n, m, state, 0)
	case Dead:
		reportPeer(n, m, Suspect, 0)
		n.expireSuspicion(m)
	}
	if m.state != state {
		t.Fatalf("the member is %v, want %v", m.state, state)
	}
	return n, m
}

// reportPeer merges a report of a member's state. It adds refutations to the member's present ones.
func reportPeer(n *Node, m *member, state State, refutations uint64) {
	record := m.record
	record.State, record.ReportedBy = state, "c"
	record.Refutations += refutations
	n.merge(record)
}

// stateTransitions must list each state change that can happen, and no other. In particular, a report
// alone must not make a live member dead, because the member needs time to refute the report.
func TestStateTransitionsListsAllStateChanges(t *testing.T) {
	report := func(state State, refutations uint64) func(*Node, *member) {
		return func(n *Node, m *member) { reportPeer(n, m, state, refutations) }
	}
	probeFails := func(n *Node, m *member) { n.probeFailed(m) }
	type transition struct{ from, to State }
	seen := map[transition]bool{}
	for _, c := range []struct {
		name     string
		from, to State
		input    func(*Node, *member)
	}{
		{"a probe fails", Alive, Suspect, probeFails},
		{"reported suspect", Alive, Suspect, report(Suspect, 0)},
		{"reported dead", Alive, Suspect, report(Dead, 0)},
		{"leaves", Alive, Left, report(Left, 0)},
		{"refutes", Suspect, Alive, report(Alive, 1)},
		{"an older report does not refute", Suspect, Suspect, report(Alive, 0)},
		{"a report of a death ends no suspicion", Suspect, Suspect, report(Dead, 0)},
		{"the suspicion expires", Suspect, Dead, func(n *Node, m *member) { n.expireSuspicion(m) }},
		{"leaves while suspect", Suspect, Left, report(Left, 0)},
		{"resurrects", Dead, Alive, report(Alive, 1)},
		{"a dead member is reported suspect with more refutations", Dead, Suspect, report(Suspect, 1)},
		{"a dead member is reported dead with more refutations", Dead, Dead, report(Dead, 1)},
		{"leaves while dead", Dead, Left, report(Left, 0)},
		{"returns after it left", Left, Alive, report(Alive, 1)},
		{"a member that left is reported suspect with more refutations", Left, Suspect, report(Suspect, 1)},
		{"a member that left is reported dead with more refutations", Left, Suspect, report(Dead, 1)},
		{"a probe of a member that left fails", Left, Left, probeFails},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, m := newPeerInState(t, c.from)
			c.input(n, m)
			if m.state != c.to {
				t.Errorf("the member is %v, want %v", m.state, c.to)
			}
			if n.counters[countInvalidState] > 0 {
				t.Errorf("stateTransitions does not list a change from %v", c.from)
			}
			seen[transition{c.from, c.to}] = true
		})
	}
	for from, next := range stateTransitions {
		for _, to := range next {
			if !seen[transition{State(from), to}] {
				t.Errorf("stateTransitions lists a change from %v to %v that no case has", State(from), to)
			}
		}
	}
}

// A suspicion must end at its deadline. If it ends earlier, the member has too little time to refute. If it
// never ends, a dead member stays in the view as suspect.
func TestSuspicionEndsAtItsDeadline(t *testing.T) {
	n, m := newPeerInState(t, Suspect)
	for n.now < 60*second && m.state == Suspect {
		deadline := n.suspicionDeadline(m)
		n.Step(n.due, Tick{})
		if ended := m.state == Dead; ended != (n.now >= deadline) {
			t.Fatalf("at %v the member is %v, its deadline is %v", n.now.Duration(), m.state, deadline.Duration())
		}
	}
	if m.state != Dead {
		t.Errorf("the member is %v after a minute", m.state)
	}
}

// A new incarnation must begin in its reported state, whatever the state of the previous incarnation.
func TestNewIncarnationBeginsInItsReportedState(t *testing.T) {
	states := []State{Alive, Suspect, Dead, Left}
	for _, before := range states {
		for _, state := range states {
			n, m := newPeerInState(t, before)
			record := m.record
			record.Generation++
			record.State = state
			n.merge(record)
			if m.state != state || n.counters[countInvalidState] > 0 {
				t.Errorf("after %v the next incarnation is %v, want %v; counters %v", before, m.state, state, n.counters)
			}
		}
	}
}

// A process that receives no messages may itself be the faulty one, so the states that it finds while
// isolated must not be reported, and are discarded once a message arrives.
func TestPrivateStateIsDiscarded(t *testing.T) {
	n, m := newPeerInState(t, Alive)
	n.detector.isolated = true
	n.probeFailed(m)
	if m.state != Suspect || !m.private || m.record.State != Alive {
		t.Fatalf("the member is %v, private %v, reported %v", m.state, m.private, m.record.State)
	}
	n.expireSuspicion(m)
	if m.state != Dead || m.record.State != Alive {
		t.Fatalf("the member is %v, reported %v", m.state, m.record.State)
	}
	n.markHeard()
	if m.state != Alive || m.private || n.counters[countInvalidState] > 0 {
		t.Errorf("the member is %v, private %v; counters %v", m.state, m.private, n.counters)
	}
}
