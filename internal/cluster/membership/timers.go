package membership

import "slices"

// timers does all that is due.
func (m *Node) timers() {
	switch m.phase {
	case over:
		return
	case joining, asking:
		m.asks()
		return
	case standing:
		m.stand()
		return
	case leaving:
		m.leaveOn()
		return
	}
	m.overdue()
	m.doubtful()
	if m.now >= m.nextProbe {
		m.nextProbe = m.now + m.t.ProbeInterval*9/10 + Time(m.rand.Int64N(int64(m.t.ProbeInterval/5)+1))
		m.ping()
	}
	if m.now >= m.nextSeek {
		m.nextSeek = m.now + m.jitter(m.t.JoinInterval)
		m.seek()
	}
	if m.now >= m.nextExchange {
		m.nextExchange = m.now + m.jitter(m.t.PushPullInterval)
		m.exchange()
	}
	if m.now >= m.nextForget {
		m.nextForget = m.now + m.t.DeadRetention/50
		m.forget()
	}
	if d := m.duel; d != nil && m.now >= d.next {
		m.fightOn(d)
	}
	if len(m.queue) > 0 && m.now >= m.nextGossip {
		m.nextGossip = m.now + gossipEvery
		for _, e := range m.pick(spread, nil) {
			if claims := m.take(claimRoom, m.accusations(e)...); len(claims) > 0 {
				m.send(e.claim.Addr, Message{Kind: Gossip, Records: claims})
			}
		}
	}
}

// ping asks the next in the round.
func (m *Node) ping() {
	if len(m.round) == 0 {
		m.round = append(m.round, m.live...)
		m.rand.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	if len(m.round) == 0 || len(m.probes) >= mostProbes {
		return
	}
	e := m.round[len(m.round)-1]
	m.round = m.round[:len(m.round)-1]
	p := probe{nonce: m.rand.Uint64(), of: e, at: m.now}
	m.probes = append(m.probes, p)
	m.send(e.claim.Addr, Message{Kind: Ping, Nonce: p.nonce, Records: m.take(claimRoom, m.accusations(e)...)})
}

// overdue asks through others for those who have not answered, and doubts those who did not answer to anybody.
func (m *Node) overdue() {
	rest := m.probes[:0:0]
	var failed []*entry
	for _, p := range m.probes {
		switch {
		case m.now >= p.at+m.window():
			if failed = append(failed, p.of); !m.deaf && m.heard <= p.at {
				m.deaf = true // nobody at all was heard since: that is this process's own trouble
				m.do(Event{"hears nobody", ""})
			}
			continue
		case !p.through && m.now >= p.at+m.patience(p.of):
			p.through = true
			m.through(p.of, p.nonce)
			m.do(OpenStream{p.of.claim.Addr, m.sealed(Message{Kind: Ping, Nonce: p.nonce, Records: m.accusations(p.of)})})
		case p.through && !p.again && m.now >= p.at+2*m.patience(p.of):
			p.again = true
			m.send(p.of.claim.Addr, Message{Kind: Ping, Nonce: p.nonce, Records: m.accusations(p.of)})
		}
		rest = append(rest, p)
	}
	m.probes = rest
	for nonce, r := range m.relays {
		if m.now >= r.at+2*m.window() {
			delete(m.relays, nonce)
		}
	}
	for _, e := range failed {
		m.unanswered(e)
	}
}

// through has some others ask a member.
func (m *Node) through(e *entry, nonce uint64) {
	for _, by := range m.pick(helpers, e) {
		m.send(by.claim.Addr, Message{Kind: IndirectPing, Nonce: nonce, Target: e.claim.Name, Records: m.accusations(e)})
	}
}

// doubtful asks once more those whose doubt ends soon, and holds those whose doubt is over to be gone.
func (m *Node) doubtful() {
	for _, e := range append([]*entry(nil), m.doubts...) {
		end := m.ends(e)
		if m.now >= end {
			m.expire(e)
		} else if e.own && !e.lastSaid && m.now >= end-lastWord {
			e.lastSaid = true
			nonce := m.rand.Uint64()
			m.send(e.claim.Addr, Message{Kind: Ping, Nonce: nonce, Records: m.accusations(e)})
			m.through(e, nonce)
		}
	}
}

// seek tries to reach one that is gone, and a seed that is nobody here: so cuts end by themselves.
func (m *Node) seek() {
	if len(m.lost) > 0 {
		e := m.lost[m.rand.IntN(len(m.lost))]
		m.send(e.claim.Addr, Message{Kind: Ping, Nonce: m.rand.Uint64(), Records: m.accusations(e)})
	}
	for range m.t.Seeds { // the next one that is nobody here
		m.seed = (m.seed + 1) % len(m.t.Seeds)
		seed := m.t.Seeds[m.seed]
		if seed != m.me.Addr && !slices.ContainsFunc(m.live, func(e *entry) bool { return e.claim.Addr == seed }) {
			m.send(seed, Message{Kind: Ping, Nonce: m.rand.Uint64()})
			return
		}
	}
}

// stand asks whether the name of this process is free again.
func (m *Node) stand() {
	if m.now < m.nextSeek {
		return
	}
	m.nextSeek = m.now + m.jitter(m.t.JoinInterval)
	m.known, m.nonce = MemberRecord{}, m.rand.Uint64()
	for _, e := range m.pick(1, nil) {
		m.send(e.claim.Addr, Message{Kind: RecordQuery, Nonce: m.nonce})
	}
}

// leaveOn tells some that this process ends.
func (m *Node) leaveOn() {
	if m.now < m.nextLeave {
		return
	}
	if m.leaves == 0 {
		m.phase = over
		m.do(Stopped{})
		return
	}
	m.leaves--
	m.nextLeave = m.now + leaveEvery
	for _, e := range m.pick(leaveTo, nil) {
		m.send(e.claim.Addr, Message{Kind: Gossip, Records: []MemberRecord{m.me}})
	}
}

// fightOn asks the other process of this name again, or holds it to be no more.
func (m *Node) fightOn(d *duel) {
	if m.now >= d.until {
		m.duel = nil
		if d.with.Incarnation.compare(m.me.Incarnation) > 0 {
			m.relive(d.with.Generation)
		}
		return
	}
	d.next = m.now + askEvery
	m.send(d.with.Addr, Message{Kind: NameConflict, Nonce: d.nonce})
}
