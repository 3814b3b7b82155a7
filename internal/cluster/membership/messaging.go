package membership

// hear takes a message. What is dropped is counted by cause.
func (m *Node) hear(in MessageReceived) {
	x := in.Message
	switch {
	case m.phase == over:
		return
	case x.Cluster != m.t.Cluster:
		m.count("wrong cluster")
		return
	case x.From.Name == "" || len(x.From.Name) > longName || x.From.Addr == "":
		m.count("garbled")
		return
	case x.From.Name == m.me.Name:
		m.namesake(in)
		return
	}
	e := m.by[x.From.Name]
	if x.From.Generation > 0 && e != nil {
		c := x.From.Incarnation.compare(e.claim.Incarnation)
		if c < 0 {
			m.count("superseded")
			m.nudge(e, x.From.Addr)
			return
		}
		if c == 0 && !e.window.fresh(x.Seq) {
			m.count("replayed")
			return
		}
	}
	if m.phase == joining || m.phase == asking || m.phase == standing {
		switch x.Kind {
		case RecordQuery:
			m.tell(x)
		case RecordReply:
			m.toldOf(x)
		}
		return
	}
	m.hears()
	if x.From.Generation == 0 {
		if x.Kind == RecordQuery {
			m.tell(x)
		}
		return
	}
	if !valid(x.From) {
		m.count("garbled")
		return
	}
	was := e == nil || e.state.Ended()
	other := e == nil || e.claim.Incarnation != x.From.Incarnation
	m.merge(x.From)
	if e = m.by[x.From.Name]; e == nil {
		return // there is no room for it
	}
	if other {
		e.window.fresh(x.Seq)
	}
	for _, c := range x.Records {
		m.merge(c)
	}
	if e.state == Dead && x.From.Incarnation == e.claim.Incarnation {
		m.nudge(e, e.claim.Addr)
	} else if was && !e.state.Ended() && m.phase == serving && m.now-m.lastOpen >= openEvery {
		m.open(e)
	}
	m.answer(in, e)
}

// answer does what a message is for.
func (m *Node) answer(in MessageReceived, e *entry) {
	x := in.Message
	switch x.Kind {
	case Ping:
		ack := Message{Kind: Ack, Nonce: x.Nonce, Records: m.take(claimRoom, m.accusations(e)...)}
		if in.Stream != 0 {
			m.do(StreamReply{in.Stream, m.sealed(ack), true})
		} else {
			m.send(e.claim.Addr, ack)
		}
	case Ack:
		m.acked(x, e, in.Stream != 0)
	case IndirectPing:
		of := m.by[x.Target]
		if of == nil || len(m.relays) >= mostRelays {
			m.count("not asked for another")
			return
		}
		nonce := m.rand.Uint64()
		m.relays[nonce] = relay{of: e.claim.Addr, at: m.now, nonce: x.Nonce, target: x.Target}
		m.send(of.claim.Addr, Message{Kind: Ping, Nonce: nonce, Records: m.take(claimRoom, m.accusations(of)...)})
	case RecordQuery:
		m.tell(x)
	case UserMessage:
		m.do(UserMessageReceived{e.claim.Number, x.Text})
	case Digests:
		m.differs(in)
	case DigestDiff:
		if len(x.Buckets) > 0 && in.Stream != 0 {
			m.nextExchange = min(m.nextExchange, m.now+m.jitter(m.t.JoinInterval)) // until views are found the same
			m.do(StreamReply{in.Stream, m.sealed(Message{Kind: DigestDiffReply, Records: m.claimsOf(x.Buckets)}), true})
		}
	}
}

// accusations are what a member has to refute, for whatever is sent to it.
func (m *Node) accusations(e *entry) []MemberRecord {
	if e.claim.State == Suspect || e.claim.State == Dead {
		return []MemberRecord{m.aged(e)}
	}
	return nil
}

// nudge tells a process that speaks what is said of it: it alone can refute that, or learns that another has its name.
func (m *Node) nudge(e *entry, addr string) {
	if m.now-e.nudged < askEvery || m.phase != serving {
		return
	}
	e.nudged = m.now
	m.send(addr, Message{Kind: Gossip, Records: []MemberRecord{m.aged(e)}})
}

// tell answers what is known of the asker's name.
func (m *Node) tell(x Message) {
	answer := Message{Kind: RecordReply, Nonce: x.Nonce, SenderCatchingUp: m.phase != serving && m.phase != leaving}
	if c, ok := m.current(x.From.Name); ok && c.Generation > 0 {
		if e := m.by[x.From.Name]; e != nil {
			c = m.aged(e)
		}
		answer.Records = []MemberRecord{c}
	}
	m.send(x.From.Addr, answer)
}

// toldOf takes what is known of this name.
func (m *Node) toldOf(x Message) {
	if x.Nonce != m.nonce {
		m.count("answer to nothing")
		return
	}
	for _, c := range x.Records {
		if c.Name == m.me.Name && valid(c) {
			m.known = Join(m.known, c)
		}
	}
	sure := !x.SenderCatchingUp && x.From.Generation > 0
	if sure && valid(x.From) {
		m.merge(x.From)
	}
	k := m.known
	held := k.Generation > 0 && k.Incarnation != m.me.Incarnation && !k.State.Ended()
	switch {
	case m.phase == asking && held:
		// Whoever was away gives way to whoever is here, whichever came first: the others have gone on without it.
		m.superseded(k)
	case !sure: // it knows no more than this one
	case m.phase == joining:
		m.settle()
	case m.phase == asking && k.Incarnation.compare(m.me.Incarnation) > 0:
		m.settle()
	case m.phase == asking:
		m.back()
	case m.phase == standing && !held:
		m.do(Event{"the name is free", k.Name})
		m.settle()
	}
}

// aboutMe refutes what is said of this process, or finds out that it is not the only one of its name.
func (m *Node) aboutMe(c MemberRecord) {
	if m.phase != serving {
		return
	}
	switch life := c.Incarnation.compare(m.me.Incarnation); {
	case life < 0 && c.Generation == m.me.Generation:
		m.relive(c.Generation) // taken without knowing of that one; an incarnation is one process's
	case life < 0:
	case life > 0 && c.State.Ended():
		m.relive(c.Generation)
	case life > 0:
		m.fight(c)
	case c.State == Left: // its heir had left, and this one resumed
		m.relive(c.Generation)
	case c.State >= Suspect && c.Refutations >= m.me.Refutations:
		m.count("refuted")
		m.do(Event{"refuted that it is " + c.State.String(), c.ReportedBy})
		m.me.Refutations = c.Refutations + 1
		m.renew()
	case c.Refutations > m.me.Refutations:
		m.me.Refutations = c.Refutations
		m.renew()
	}
}

// fight asks a later process of the same name whether it lives. A claim alone proves nothing: it may be all that is left of one
// that ended before a restart of the whole cluster.
func (m *Node) fight(with MemberRecord) {
	if m.duel != nil && m.duel.with.Incarnation.compare(with.Incarnation) >= 0 {
		return
	}
	if with.Addr == m.me.Addr {
		m.relive(with.Generation) // nobody else can be there
		return
	}
	m.duel = &duel{with: with, nonce: m.rand.Uint64(), next: m.now, until: m.now + duelSpan}
}

// namesake hears another process of this name.
func (m *Node) namesake(in MessageReceived) {
	x := in.Message
	other := x.From.Incarnation != m.me.Incarnation
	switch {
	case m.phase == asking && other && valid(x.From) && !x.From.State.Ended():
		m.superseded(x.From)
	case m.phase != serving || !other:
		m.count("own message")
	case x.Kind == RecordQuery:
		m.tell(x)
	case !valid(x.From) || x.From.State.Ended():
		m.count("garbled")
	case x.Kind == RecordReply && m.duel != nil && x.Nonce == m.duel.nonce:
		if x.From.Incarnation.compare(m.me.Incarnation) > 0 {
			m.superseded(x.From)
		} else {
			m.duel = nil
		}
	default:
		if x.Kind == NameConflict {
			m.send(x.From.Addr, Message{Kind: RecordReply, Nonce: x.Nonce, Records: []MemberRecord{m.me}})
		}
		if x.From.Incarnation.compare(m.me.Incarnation) > 0 {
			m.fight(x.From)
		} else if m.now-m.lastTold >= askEvery {
			m.lastTold = m.now
			m.do(Event{"another process uses this name, and is told that it is superseded", x.From.Addr})
			m.send(x.From.Addr, Message{Kind: Gossip, Records: []MemberRecord{m.me}})
		}
	}
}

// acked takes an answer to a ping.
func (m *Node) acked(x Message, from *entry, stream bool) {
	if r, ok := m.relays[x.Nonce]; ok && r.target == from.claim.Name {
		delete(m.relays, x.Nonce)
		m.send(r.of, Message{Kind: Ack, Nonce: r.nonce, Target: r.target, Records: []MemberRecord{from.claim}})
		return
	}
	for i, p := range m.probes {
		if p.nonce != x.Nonce || p.of != from && p.of.claim.Name != x.Target {
			continue
		}
		m.probes = append(m.probes[:i:i], m.probes[i+1:]...)
		e := p.of
		direct := e == from && !stream
		if m.lost1(!direct); direct {
			took := max(m.now-p.at, 1)
			if e.rtt == 0 {
				e.rtt, e.vary = took, took/2
			} else {
				e.vary += (max(took-e.rtt, e.rtt-took) - e.vary) / 4
				e.rtt += (took - e.rtt) / 8
			}
		}
		if e == from {
			e.far = 0
		} else {
			e.far++
		}
		return
	}
}

// lost1 notes whether a direct ping to a member that lives, or its answer, was lost.
func (m *Node) lost1(lost bool) {
	x := 0.0
	if lost {
		x = 1
	}
	m.loss += (x - m.loss) / 32
}

// open begins a full exchange.
func (m *Node) open(e *entry) {
	m.lastOpen = m.now
	m.do(OpenStream{e.claim.Addr, m.sealed(Message{Kind: Digests, Digests: m.digests[:len(m.digests):len(m.digests)]})})
}

// exchange begins one with somebody.
func (m *Node) exchange() {
	for _, e := range m.pick(1, nil) {
		m.open(e)
	}
}

// differs answers the digests of another view with the claims of the buckets that differ.
func (m *Node) differs(in MessageReceived) {
	if len(in.Digests) != buckets || in.Stream == 0 {
		m.count("garbled")
		return
	}
	x := Message{Kind: DigestDiff}
	for i, d := range in.Digests {
		if d != m.digests[i] {
			x.Buckets = append(x.Buckets, i)
		}
	}
	x.Records = m.claimsOf(x.Buckets)
	m.do(StreamReply{in.Stream, m.sealed(x), len(x.Buckets) == 0})
}

// claimsOf are the claims of some buckets, the own one among them.
func (m *Node) claimsOf(some []int) (claims []MemberRecord) {
	var in [buckets]bool
	for _, i := range some {
		if i >= 0 && i < buckets {
			in[i] = true
		}
	}
	if in[bucketOf(m.me.Name)] {
		claims = append(claims, m.me)
	}
	for _, name := range m.names() {
		if in[bucketOf(name)] {
			claims = append(claims, m.aged(m.by[name]))
		}
	}
	return claims
}
