package members

// hear takes a message. What is dropped is counted by cause.
func (m *Members) hear(in Heard) {
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
	if x.From.Incarnation > 0 && e != nil {
		c := x.From.Life.compare(e.claim.Life)
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
		case Ask:
			m.tell(x)
		case Tell:
			m.toldOf(x)
		}
		return
	}
	m.hears()
	if x.From.Incarnation == 0 {
		if x.Kind == Ask {
			m.tell(x)
		}
		return
	}
	if !valid(x.From) {
		m.count("garbled")
		return
	}
	was := e == nil || e.state.Ended()
	other := e == nil || e.claim.Life != x.From.Life
	m.merge(x.From)
	if e = m.by[x.From.Name]; e == nil {
		return // there is no room for it
	}
	if other {
		e.window.fresh(x.Seq)
	}
	for _, c := range x.Claims {
		m.merge(c)
	}
	if e.state == Gone && x.From.Life == e.claim.Life {
		m.nudge(e, e.claim.Addr)
	} else if was && !e.state.Ended() && m.phase == serving && m.now-m.lastOpen >= openEvery {
		m.open(e)
	}
	m.answer(in, e)
}

// answer does what a message is for.
func (m *Members) answer(in Heard, e *entry) {
	x := in.Message
	switch x.Kind {
	case Ping:
		ack := Message{Kind: Ack, Nonce: x.Nonce, Claims: m.take(claimRoom, m.accusations(e)...)}
		if in.Stream != 0 {
			m.do(Answer{in.Stream, m.sealed(ack), true})
		} else {
			m.send(e.claim.Addr, ack)
		}
	case Ack:
		m.acked(x, e, in.Stream != 0)
	case Through:
		of := m.by[x.Target]
		if of == nil || len(m.relays) >= mostRelays {
			m.count("not asked for another")
			return
		}
		nonce := m.rand.Uint64()
		m.relays[nonce] = relay{of: e.claim.Addr, at: m.now, nonce: x.Nonce, target: x.Target}
		m.send(of.claim.Addr, Message{Kind: Ping, Nonce: nonce, Claims: m.take(claimRoom, m.accusations(of)...)})
	case Ask:
		m.tell(x)
	case Word:
		m.do(Spoken{e.claim.Number, x.Text})
	case Digests:
		m.differs(in)
	case Differs:
		if len(x.Buckets) > 0 && in.Stream != 0 {
			m.nextExchange = min(m.nextExchange, m.now+m.jitter(m.t.Seek)) // until views are found the same
			m.do(Answer{in.Stream, m.sealed(Message{Kind: Rest, Claims: m.claimsOf(x.Buckets)}), true})
		}
	}
}

// accusations are what a member has to refute, for whatever is sent to it.
func (m *Members) accusations(e *entry) []Claim {
	if e.claim.State == Doubted || e.claim.State == Gone {
		return []Claim{m.aged(e)}
	}
	return nil
}

// nudge tells a process that speaks what is said of it: it alone can refute that, or learns that another has its name.
func (m *Members) nudge(e *entry, addr string) {
	if m.now-e.nudged < askEvery || m.phase != serving {
		return
	}
	e.nudged = m.now
	m.send(addr, Message{Kind: Gossip, Claims: []Claim{m.aged(e)}})
}

// tell answers what is known of the asker's name.
func (m *Members) tell(x Message) {
	answer := Message{Kind: Tell, Nonce: x.Nonce, Unsure: m.phase != serving && m.phase != leaving}
	if c, ok := m.current(x.From.Name); ok && c.Incarnation > 0 {
		if e := m.by[x.From.Name]; e != nil {
			c = m.aged(e)
		}
		answer.Claims = []Claim{c}
	}
	m.send(x.From.Addr, answer)
}

// toldOf takes what is known of this name.
func (m *Members) toldOf(x Message) {
	if x.Nonce != m.nonce {
		m.count("answer to nothing")
		return
	}
	for _, c := range x.Claims {
		if c.Name == m.me.Name && valid(c) {
			m.known = Join(m.known, c)
		}
	}
	sure := !x.Unsure && x.From.Incarnation > 0
	if sure && valid(x.From) {
		m.merge(x.From)
	}
	k := m.known
	held := k.Incarnation > 0 && k.Life != m.me.Life && !k.State.Ended()
	switch {
	case m.phase == asking && held:
		// Whoever was away gives way to whoever is here, whichever came first: the others have gone on without it.
		m.superseded(k)
	case !sure: // it knows no more than this one
	case m.phase == joining:
		m.settle()
	case m.phase == asking && k.Life.compare(m.me.Life) > 0:
		m.settle()
	case m.phase == asking:
		m.back()
	case m.phase == standing && !held:
		m.do(Noted{"the name is free", k.Name})
		m.settle()
	}
}

// aboutMe refutes what is said of this process, or finds out that it is not the only one of its name.
func (m *Members) aboutMe(c Claim) {
	if m.phase != serving {
		return
	}
	switch life := c.Life.compare(m.me.Life); {
	case life < 0 && c.Incarnation == m.me.Incarnation:
		m.relive(c.Incarnation) // taken without knowing of that one; an incarnation is one process's
	case life < 0:
	case life > 0 && c.State.Ended():
		m.relive(c.Incarnation)
	case life > 0:
		m.fight(c)
	case c.State == Left: // its heir had left, and this one resumed
		m.relive(c.Incarnation)
	case c.State >= Doubted && c.Turn >= m.me.Turn:
		m.count("refuted")
		m.do(Noted{"refuted that it is " + c.State.String(), c.By})
		m.me.Turn = c.Turn + 1
		m.renew()
	case c.Turn > m.me.Turn:
		m.me.Turn = c.Turn
		m.renew()
	}
}

// fight asks a later process of the same name whether it lives. A claim alone proves nothing: it may be all that is left of one
// that ended before a restart of the whole cluster.
func (m *Members) fight(with Claim) {
	if m.duel != nil && m.duel.with.Life.compare(with.Life) >= 0 {
		return
	}
	if with.Addr == m.me.Addr {
		m.relive(with.Incarnation) // nobody else can be there
		return
	}
	m.duel = &duel{with: with, nonce: m.rand.Uint64(), next: m.now, until: m.now + duelSpan}
}

// namesake hears another process of this name.
func (m *Members) namesake(in Heard) {
	x := in.Message
	other := x.From.Life != m.me.Life
	switch {
	case m.phase == asking && other && valid(x.From) && !x.From.State.Ended():
		m.superseded(x.From)
	case m.phase != serving || !other:
		m.count("own message")
	case x.Kind == Ask:
		m.tell(x)
	case !valid(x.From) || x.From.State.Ended():
		m.count("garbled")
	case x.Kind == Tell && m.duel != nil && x.Nonce == m.duel.nonce:
		if x.From.Life.compare(m.me.Life) > 0 {
			m.superseded(x.From)
		} else {
			m.duel = nil
		}
	default:
		if x.Kind == Duel {
			m.send(x.From.Addr, Message{Kind: Tell, Nonce: x.Nonce, Claims: []Claim{m.me}})
		}
		if x.From.Life.compare(m.me.Life) > 0 {
			m.fight(x.From)
		} else if m.now-m.lastTold >= askEvery {
			m.lastTold = m.now
			m.do(Noted{"another process uses this name, and is told that it is superseded", x.From.Addr})
			m.send(x.From.Addr, Message{Kind: Gossip, Claims: []Claim{m.me}})
		}
	}
}

// acked takes an answer to a ping.
func (m *Members) acked(x Message, from *entry, stream bool) {
	if r, ok := m.relays[x.Nonce]; ok && r.target == from.claim.Name {
		delete(m.relays, x.Nonce)
		m.send(r.of, Message{Kind: Ack, Nonce: r.nonce, Target: r.target, Claims: []Claim{from.claim}})
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
func (m *Members) lost1(lost bool) {
	x := 0.0
	if lost {
		x = 1
	}
	m.loss += (x - m.loss) / 32
}

// open begins a full exchange.
func (m *Members) open(e *entry) {
	m.lastOpen = m.now
	m.do(Open{e.claim.Addr, m.sealed(Message{Kind: Digests, Digests: m.digests[:len(m.digests):len(m.digests)]})})
}

// exchange begins one with somebody.
func (m *Members) exchange() {
	for _, e := range m.pick(1, nil) {
		m.open(e)
	}
}

// differs answers the digests of another view with the claims of the buckets that differ.
func (m *Members) differs(in Heard) {
	if len(in.Digests) != buckets || in.Stream == 0 {
		m.count("garbled")
		return
	}
	x := Message{Kind: Differs}
	for i, d := range in.Digests {
		if d != m.digests[i] {
			x.Buckets = append(x.Buckets, i)
		}
	}
	x.Claims = m.claimsOf(x.Buckets)
	m.do(Answer{in.Stream, m.sealed(x), len(x.Buckets) == 0})
}

// claimsOf are the claims of some buckets, the own one among them.
func (m *Members) claimsOf(some []int) (claims []Claim) {
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
