package membership

import "math"

// validRecord tells whether a member can have sent a record.
func validRecord(r MemberRecord) bool {
	return r.Name != "" && len(r.Name) <= maxNameBytes &&
		r.Addr != "" && len(r.Addr) <= maxNameBytes &&
		len(r.ReportedBy) <= maxNameBytes &&
		r.Generation > 0 && r.Generation < math.MaxUint64/2 &&
		r.Refutations < math.MaxUint64/2 &&
		r.State >= Alive && r.State <= Left &&
		r.Number >= -1
}

// merge takes a record that was received.
func (n *Node) merge(record MemberRecord) {
	m := n.members.byName[record.Name]
	switch {
	case !validRecord(record):
		n.count(countGarbled)
	case record.Name == n.self.Name:
		n.mergeSelfRecord(record)
	case m == nil:
		n.addMember(record)
	default:
		switch order := compareState(record, m.record); {
		case order == 0:
			n.applySame(m, record)
		case order > 0:
			n.applyNewer(m, record)
		}
	}
}

func (n *Node) addMember(record MemberRecord) {
	if record.State.Ended() && record.Age >= n.retentionSeconds() {
		return // others are about to forget it
	}
	if len(n.members.byName) >= n.config.MaxMembers-1 {
		n.count(countNoRoom)
		n.emit(Event{"view is full, member not added", record.Name})
		return
	}
	m := &member{record: record, index: notListed}
	n.members.byName[record.Name] = m
	n.gossip.digest.add(record)
	n.enqueue(record)
	n.startIncarnation(m)
}

// applySame takes a record that differs from the known one only in its reporter, address, number or age.
func (n *Node) applySame(m *member, record MemberRecord) {
	if record.State == Suspect {
		n.confirmSuspicion(m, record.ReportedBy)
	}
	if record.Age > 0 && m.state.Ended() {
		m.endedAt = min(m.endedAt, n.endedAt(record))
	}
	m.record = Join(m.record, record)
}

// applyNewer takes a record that is greater than the known one.
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

// applySuspicion takes another's suspicion. It confirms one that is found here and reported of the same
// refutations.
func (n *Node) applySuspicion(m *member, reporter string, newRefutations bool) {
	if m.state == Suspect && !newRefutations {
		n.confirmSuspicion(m, reporter)
		return
	}
	n.markSuspect(m, reporter, false)
}

// applyDeath takes another's report that a member is dead. The other may be on another side of a network
// partition, so the member has time to refute this to this process as well.
func (n *Node) applyDeath(m *member, reporter string, newRefutations bool) {
	if m.state == Dead {
		return
	}
	if m.state != Suspect || newRefutations {
		n.markSuspect(m, reporter, false)
	}
	m.suspicion.reportedDead = true
}

// replaceRecord replaces what is reported of a member.
func (n *Node) replaceRecord(m *member, record MemberRecord) {
	if record.Incarnation != m.record.Incarnation {
		m.replay = replayWindow{}
	}
	n.gossip.digest.remove(m.record)
	n.gossip.digest.add(record)
	m.record = record
}

// reportState spreads what this process itself has found of a member.
func (n *Node) reportState(m *member, state State) {
	record := m.record
	record.State = state
	record.ReportedBy = n.self.Name
	n.replaceRecord(m, record)
	n.enqueue(record)
}

// mergeSelfRecord refutes what is reported of this process, or finds out that another process uses its
// name.
func (n *Node) mergeSelfRecord(record MemberRecord) {
	if n.phase != serving {
		return
	}
	order := record.Incarnation.compare(n.self.Incarnation)
	switch {
	case order > 0 && !record.State.Ended():
		n.startNameConflict(record)
	case order > 0, order < 0 && record.Generation == n.self.Generation:
		// This generation was chosen without knowledge of that process; a generation is one process's alone.
		n.startIncarnationAfter(record.Generation)
	case order < 0: // an earlier incarnation
	case record.State == Left: // the successor had left, and this process resumed
		n.startIncarnationAfter(record.Generation)
	case record.State >= Suspect && record.Refutations >= n.self.Refutations:
		n.count(countRefuted)
		n.emit(Event{"refuted a report that it is " + record.State.String(), record.ReportedBy})
		n.self.Refutations = record.Refutations + 1
		n.announceSelf()
	case record.Refutations > n.self.Refutations:
		n.self.Refutations = record.Refutations
		n.announceSelf()
	}
}
