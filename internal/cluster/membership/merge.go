package membership

import "math"

// validRecord reports whether a member can have sent a record.
func validRecord(r MemberRecord) bool {
	return r.Name != "" && len(r.Name) <= maxNameBytes &&
		r.Addr != "" && len(r.Addr) <= maxNameBytes &&
		len(r.ReportedBy) <= maxNameBytes &&
		r.Generation > 0 && r.Generation < math.MaxUint64/2 &&
		r.Refutations < math.MaxUint64/2 &&
		r.State >= Alive && r.State <= Left &&
		r.Number >= -1
}

// merge merges a received record into the view.
func (n *Node) merge(record MemberRecord) {
	m := n.members.byName[record.Name]
	switch {
	case !validRecord(record):
		n.count(countInvalid)
	case record.Name == n.self.Name:
		n.mergeSelfRecord(record)
	case m == nil:
		n.addMember(record)
	default:
		switch order := compareState(record, m.record); {
		case order == 0:
			n.applyEqual(m, record)
		case order > 0:
			n.applyNewer(m, record)
		}
	}
}

func (n *Node) addMember(record MemberRecord) {
	if record.State.Ended() && record.Age >= n.retentionSeconds() {
		return // other members are about to prune it
	}
	if len(n.members.byName) >= n.config.MaxMembers-1 {
		n.count(countViewFull)
		n.emit(Event{"view is full, member not added", record.Name})
		return
	}
	m := &member{record: record, index: notListed}
	n.members.byName[record.Name] = m
	n.gossip.digest.add(record)
	n.enqueue(record)
	n.startIncarnation(m)
}

// applyEqual applies a record that differs from the known one only in its reporter, address, number or
// age.
func (n *Node) applyEqual(m *member, record MemberRecord) {
	if record.State == Suspect {
		n.confirmSuspicion(m, record.ReportedBy)
	}
	if record.Age > 0 && m.state.Ended() {
		m.endedAt = min(m.endedAt, n.endedAt(record))
	}
	m.record = GreaterRecord(m.record, record)
}

// applyNewer applies a record that is greater than the known one.
func (n *Node) applyNewer(m *member, record MemberRecord) {
	newIncarnation := record.Incarnation != m.record.Incarnation
	newRefutations := record.Refutations != m.record.Refutations
	n.replaceRecord(m, record)
	n.enqueue(record)
	if newIncarnation {
		n.startIncarnation(m)
		return
	}
	switch record.State {
	case Alive:
		if m.state.Ended() {
			n.resurrect(m)
		} else {
			n.refute(m)
		}
	case Suspect:
		n.applySuspicion(m, record.ReportedBy, newRefutations)
	case Dead:
		n.applyDeath(m, record.ReportedBy, newRefutations)
	case Left:
		n.markLeft(m)
	}
}

// applySuspicion applies a suspicion that another member reports. If the member is suspect already, with
// the same refutations, the report confirms that suspicion.
func (n *Node) applySuspicion(m *member, reporter string, newRefutations bool) {
	if m.state == Suspect && !newRefutations {
		n.confirmSuspicion(m, reporter)
		return
	}
	n.markSuspect(m, reporter, false)
}

// applyDeath applies a report that a member is dead. The reporter may be on the other side of a network
// partition, so the member becomes suspect first and has time to refute the report.
func (n *Node) applyDeath(m *member, reporter string, newRefutations bool) {
	if m.state == Dead {
		return
	}
	if m.state != Suspect || newRefutations {
		n.markSuspect(m, reporter, false)
	}
	m.suspicion.reportedDead = true
}

// replaceRecord replaces the record of a member.
func (n *Node) replaceRecord(m *member, record MemberRecord) {
	if record.Incarnation != m.record.Incarnation {
		m.replay = replayWindow{}
	}
	n.gossip.digest.remove(m.record)
	n.gossip.digest.add(record)
	m.record = record
}

// reportState updates and gossips the record of a member whose state this process has found itself.
func (n *Node) reportState(m *member, state State) {
	record := m.record
	record.State = state
	record.ReportedBy = n.self.Name
	n.replaceRecord(m, record)
	n.enqueue(record)
}

// mergeSelfRecord handles a record of this process's own name: it refutes the record, or detects that
// another process uses the name.
func (n *Node) mergeSelfRecord(record MemberRecord) {
	if n.phase != serving {
		return
	}
	order := record.Incarnation.compare(n.self.Incarnation)
	switch {
	case order > 0 && !record.State.Ended():
		n.startNameConflict(record)
	case order > 0, order < 0 && record.Generation == n.self.Generation:
		// This process chose its generation without knowledge of the reported process, and two processes
		// must not have the same generation.
		n.startIncarnationAfter(record.Generation)
	case order < 0: // an earlier incarnation
	case record.State == Left:
		// The successor of a hot restart had the same incarnation and has left. This process serves again.
		n.startIncarnationAfter(record.Generation)
	case record.State >= Suspect && record.Refutations >= n.self.Refutations:
		n.count(countRefuted)
		n.emit(Event{"refuted the subject's report of this process as " + record.State.String(), record.ReportedBy})
		n.self.Refutations = record.Refutations + 1
		n.announceSelf()
	case record.Refutations > n.self.Refutations:
		n.self.Refutations = record.Refutations
		n.announceSelf()
	}
}
