package membership

import "slices"

// runTimers does all that is due.
func (m *Node) runTimers() {
	switch m.phase {
	case stopped:
		return
	case joining, catchingUp:
		m.sendQueries()
		return
	case standingBy:
		m.queryWhetherNameIsFree()
		return
	case leaving:
		m.sendLeaveNotices()
		return
	}
	m.checkProbes()
	m.checkSuspects()
	if m.now >= m.nextProbe {
		m.nextProbe = m.now + m.config.ProbeInterval*9/10 + Time(m.rand.Int64N(int64(m.config.ProbeInterval/5)+1))
		m.probeNext()
	}
	if m.now >= m.nextJoin {
		m.nextJoin = m.now + m.jitter(m.config.JoinInterval)
		m.probeDeadMemberAndSeed()
	}
	if m.now >= m.nextPushPull {
		m.nextPushPull = m.now + m.jitter(m.config.PushPullInterval)
		m.pushPullWithRandomMember()
	}
	if m.now >= m.nextPrune {
		m.nextPrune = m.now + m.config.DeadRetention/50
		m.pruneEnded()
	}
	if d := m.conflict; d != nil && m.now >= d.nextQuery {
		m.continueNameConflict(d)
	}
	if len(m.queue) > 0 && m.now >= m.nextGossip {
		m.nextGossip = m.now + gossipInterval
		for _, e := range m.randomMembers(gossipFanout, nil) {
			if claims := m.takeRecords(maxRecordBytes, m.recordToRefute(e)...); len(claims) > 0 {
				m.send(e.record.Addr, Message{Kind: Gossip, Records: claims})
			}
		}
	}
}

// probeNext asks the next in the round.
func (m *Node) probeNext() {
	if len(m.probeOrder) == 0 {
		m.probeOrder = append(m.probeOrder, m.live...)
		m.rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	if len(m.probeOrder) == 0 || len(m.probes) >= maxProbes {
		return
	}
	e := m.probeOrder[len(m.probeOrder)-1]
	m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
	p := probe{nonce: m.rand.Uint64(), target: e, sentAt: m.now}
	m.probes = append(m.probes, p)
	m.send(e.record.Addr, Message{Kind: Ping, Nonce: p.nonce, Records: m.takeRecords(maxRecordBytes, m.recordToRefute(e)...)})
}

// checkProbes asks through others for those who have not answered, and doubts those who did not answer to anybody.
func (m *Node) checkProbes() {
	rest := m.probes[:0:0]
	var failed []*member
	for _, p := range m.probes {
		switch {
		case m.now >= p.sentAt+m.probeTimeout():
			if failed = append(failed, p.target); !m.isolated && m.lastHeard <= p.sentAt {
				m.isolated = true // nobody at all was heard since: that is this process's own trouble
				m.do(Event{"hears nobody", ""})
			}
			continue
		case !p.indirectSent && m.now >= p.sentAt+m.directTimeout(p.target):
			p.indirectSent = true
			m.sendIndirectPings(p.target, p.nonce)
			m.do(OpenStream{p.target.record.Addr, m.stamped(Message{Kind: Ping, Nonce: p.nonce, Records: m.recordToRefute(p.target)})})
		case p.indirectSent && !p.resent && m.now >= p.sentAt+2*m.directTimeout(p.target):
			p.resent = true
			m.send(p.target.record.Addr, Message{Kind: Ping, Nonce: p.nonce, Records: m.recordToRefute(p.target)})
		}
		rest = append(rest, p)
	}
	m.probes = rest
	for nonce, r := range m.indirectPings {
		if m.now >= r.sentAt+2*m.probeTimeout() {
			delete(m.indirectPings, nonce)
		}
	}
	for _, e := range failed {
		m.probeFailed(e)
	}
}

// sendIndirectPings has some others ask a member.
func (m *Node) sendIndirectPings(e *member, nonce uint64) {
	for _, by := range m.randomMembers(indirectProbes, e) {
		m.send(by.record.Addr, Message{Kind: IndirectPing, Nonce: nonce, Target: e.record.Name, Records: m.recordToRefute(e)})
	}
}

// checkSuspects asks once more those whose doubt ends soon, and holds those whose doubt is over to be gone.
func (m *Node) checkSuspects() {
	for _, e := range append([]*member(nil), m.suspects...) {
		end := m.suspicionDeadline(e)
		if m.now >= end {
			m.suspicionExpired(e)
		} else if e.foundHere && !e.finalProbeSent && m.now >= end-finalProbeLead {
			e.finalProbeSent = true
			nonce := m.rand.Uint64()
			m.send(e.record.Addr, Message{Kind: Ping, Nonce: nonce, Records: m.recordToRefute(e)})
			m.sendIndirectPings(e, nonce)
		}
	}
}

// probeDeadMemberAndSeed tries to reach one that is gone, and a seed that is nobody here: so cuts end by themselves.
func (m *Node) probeDeadMemberAndSeed() {
	if len(m.dead) > 0 {
		e := m.dead[m.rand.IntN(len(m.dead))]
		m.send(e.record.Addr, Message{Kind: Ping, Nonce: m.rand.Uint64(), Records: m.recordToRefute(e)})
	}
	for range m.config.Seeds { // the next one that is nobody here
		m.lastSeed = (m.lastSeed + 1) % len(m.config.Seeds)
		seed := m.config.Seeds[m.lastSeed]
		if seed != m.self.Addr && !slices.ContainsFunc(m.live, func(e *member) bool { return e.record.Addr == seed }) {
			m.send(seed, Message{Kind: Ping, Nonce: m.rand.Uint64()})
			return
		}
	}
}

// queryWhetherNameIsFree asks whether the name of this process is free again.
func (m *Node) queryWhetherNameIsFree() {
	if m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.jitter(m.config.JoinInterval)
	m.reportedSelf, m.queryNonce = MemberRecord{}, m.rand.Uint64()
	for _, e := range m.randomMembers(1, nil) {
		m.send(e.record.Addr, Message{Kind: RecordQuery, Nonce: m.queryNonce})
	}
}

// sendLeaveNotices tells some that this process ends.
func (m *Node) sendLeaveNotices() {
	if m.now < m.nextLeaveNotice {
		return
	}
	if m.leaveNoticesLeft == 0 {
		m.phase = stopped
		m.do(Stopped{})
		return
	}
	m.leaveNoticesLeft--
	m.nextLeaveNotice = m.now + leaveNoticeInterval
	for _, e := range m.randomMembers(leaveFanout, nil) {
		m.send(e.record.Addr, Message{Kind: Gossip, Records: []MemberRecord{m.self}})
	}
}

// continueNameConflict asks the other process of this name again, or holds it to be no more.
func (m *Node) continueNameConflict(d *nameConflict) {
	if m.now >= d.deadline {
		m.conflict = nil
		if d.rival.Incarnation.compare(m.self.Incarnation) > 0 {
			m.startIncarnationAfter(d.rival.Generation)
		}
		return
	}
	d.nextQuery = m.now + queryInterval
	m.send(d.rival.Addr, Message{Kind: NameConflict, Nonce: d.nonce})
}
