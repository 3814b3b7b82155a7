package membership

import "slices"

// stateTransitions lists the states that may follow each state of one incarnation of a member. A new
// incarnation may begin in any state.
//
//	from     to       by
//	Alive    Suspect  markSuspect: a probe failed, or another member reports the member suspect or dead
//	Alive    Left     markLeft
//	Suspect  Alive    refute: the member reports itself alive, with more refutations
//	Suspect  Dead     markDead: the member did not refute in time
//	Suspect  Left     markLeft
//	Dead     Alive    resurrect: the member reports itself alive, with more refutations
//	Dead     Suspect  markSuspect: another member reports a suspicion with more refutations
//	Dead     Left     markLeft
//	Left     Alive    resurrect: a hot restart failed after the successor had left
//	Left     Suspect  markSuspect: another member reports a suspicion with more refutations
//
// States that this process found while it was isolated are private: discardPrivateState restores the
// reported state.
var stateTransitions = [...][]State{
	Alive:   {Suspect, Left},
	Suspect: {Alive, Dead, Left},
	Dead:    {Alive, Suspect, Left},
	Left:    {Alive, Suspect},
}

// markSuspect starts a suspicion, or restarts it. The member has until suspicionDeadline to refute it.
func (n *Node) markSuspect(m *member, reporter string, foundHere bool) {
	n.setState(m, Suspect)
	m.suspicion = suspicion{startedAt: n.now, confirmations: []string{reporter}, foundLocally: foundHere}
}

// refute ends a suspicion: the member has shown that it is alive.
func (n *Node) refute(m *member) { n.setState(m, Alive) }

// resurrect makes an ended member alive again: the member has shown that it is alive.
func (n *Node) resurrect(m *member) { n.setState(m, Alive) }

// markDead ends a suspicion that was not refuted.
func (n *Node) markDead(m *member) { n.setState(m, Dead) }

// markLeft records that a member has left by its own decision.
func (n *Node) markLeft(m *member) { n.setState(m, Left) }

// discardPrivateState restores the reported state of a member whose state was found while this process
// was isolated.
func (n *Node) discardPrivateState(m *member) {
	m.private = false
	n.setState(m, m.record.State)
	if m.state == Suspect {
		m.suspicion = suspicion{startedAt: n.now, confirmations: []string{m.record.ReportedBy}}
	}
}

// startIncarnation adopts the reported state of an incarnation that was not known before.
func (n *Node) startIncarnation(m *member) {
	n.changeState(m, m.record.State, true)
	if m.state == Suspect {
		m.suspicion = suspicion{startedAt: n.now, confirmations: []string{m.record.ReportedBy}}
	}
}

// setState changes the state of the present incarnation. A change that stateTransitions does not list is
// counted as a violated invariant.
func (n *Node) setState(m *member, state State) {
	if m.state == state {
		return
	}
	if !slices.Contains(stateTransitions[m.state], state) {
		n.count(countInvalidState)
	}
	n.changeState(m, state, false)
}

func (n *Node) changeState(m *member, state State, newIncarnation bool) {
	before := m.state
	n.members.remove(m)
	n.detector.unschedule(m)
	m.state = state
	m.changedAt = n.now
	if state != Suspect {
		m.suspicion = suspicion{}
	}
	if state == Alive {
		m.unansweredPings = 0
		m.private = false
	}
	if state.Ended() && (newIncarnation || !before.Ended()) {
		m.endedAt = n.endedAt(m.record)
	}
	n.members.insert(m)
	if !state.Ended() {
		n.detector.schedule(m, n.rand)
	}
	n.emit(MemberChanged{MemberView: n.viewOf(m), Before: before, NewIncarnation: newIncarnation})
}

// endedAt returns when a process ended, computed from the age of its record.
func (n *Node) endedAt(record MemberRecord) Time {
	return n.now - Time(min(record.Age, n.retentionSeconds()))*second
}

func (n *Node) retentionSeconds() uint64 { return uint64(n.config.DeadRetention / second) }
