package membership

// receive takes a message. What is dropped is counted by cause.
func (m *Node) receive(in MessageReceived) {
	x := in.Message
	switch {
	case m.phase == stopped:
		return
	case x.Cluster != m.config.Cluster:
		m.count("wrong cluster")
		return
	case x.From.Name == "" || len(x.From.Name) > maxNameBytes || x.From.Addr == "":
		m.count("garbled")
		return
	case x.From.Name == m.self.Name:
		m.receiveFromNamesake(in)
		return
	}
	e := m.byName[x.From.Name]
	if x.From.Generation > 0 && e != nil {
		c := x.From.Incarnation.compare(e.record.Incarnation)
		if c < 0 {
			m.count("superseded")
			m.sendCorrection(e, x.From.Addr)
			return
		}
		if c == 0 && !e.replay.accept(x.Seq) {
			m.count("replayed")
			return
		}
	}
	if m.phase == joining || m.phase == catchingUp || m.phase == standingBy {
		switch x.Kind {
		case RecordQuery:
			m.replyToQuery(x)
		case RecordReply:
			m.receiveRecordReply(x)
		}
		return
	}
	m.noteHeard()
	if x.From.Generation == 0 {
		if x.Kind == RecordQuery {
			m.replyToQuery(x)
		}
		return
	}
	if !validRecord(x.From) {
		m.count("garbled")
		return
	}
	was := e == nil || e.state.Ended()
	other := e == nil || e.record.Incarnation != x.From.Incarnation
	m.merge(x.From)
	if e = m.byName[x.From.Name]; e == nil {
		return // there is no room for it
	}
	if other {
		e.replay.accept(x.Seq)
	}
	for _, c := range x.Records {
		m.merge(c)
	}
	if e.state == Dead && x.From.Incarnation == e.record.Incarnation {
		m.sendCorrection(e, e.record.Addr)
	} else if was && !e.state.Ended() && m.phase == serving && m.now-m.lastPushPull >= minPushPullInterval {
		m.startPushPull(e)
	}
	m.handle(in, e)
}

// handle does what a message is for.
func (m *Node) handle(in MessageReceived, e *member) {
	x := in.Message
	switch x.Kind {
	case Ping:
		ack := Message{Kind: Ack, Nonce: x.Nonce, Records: m.takeRecords(maxRecordBytes, m.recordToRefute(e)...)}
		if in.Stream != 0 {
			m.do(StreamReply{in.Stream, m.stamped(ack), true})
		} else {
			m.send(e.record.Addr, ack)
		}
	case Ack:
		m.receiveAck(x, e, in.Stream != 0)
	case IndirectPing:
		of := m.byName[x.Target]
		if of == nil || len(m.indirectPings) >= maxIndirectPings {
			m.count("not asked for another")
			return
		}
		nonce := m.rand.Uint64()
		m.indirectPings[nonce] = indirectPing{requester: e.record.Addr, sentAt: m.now, requestNonce: x.Nonce, target: x.Target}
		m.send(of.record.Addr, Message{Kind: Ping, Nonce: nonce, Records: m.takeRecords(maxRecordBytes, m.recordToRefute(of)...)})
	case RecordQuery:
		m.replyToQuery(x)
	case UserMessage:
		m.do(UserMessageReceived{e.record.Number, x.Text})
	case Digests:
		m.replyToDigests(in)
	case DigestDiff:
		if len(x.Buckets) > 0 && in.Stream != 0 {
			m.nextPushPull = min(m.nextPushPull, m.now+m.jitter(m.config.JoinInterval)) // until views are found the same
			m.do(StreamReply{in.Stream, m.stamped(Message{Kind: DigestDiffReply, Records: m.recordsInBuckets(x.Buckets)}), true})
		}
	}
}

// recordToRefute are what a member has to refute, for whatever is sent to it.
func (m *Node) recordToRefute(e *member) []MemberRecord {
	if e.record.State == Suspect || e.record.State == Dead {
		return []MemberRecord{m.recordWithAge(e)}
	}
	return nil
}

// sendCorrection tells a process that speaks what is said of it: it alone can refute that, or learns that another has its name.
func (m *Node) sendCorrection(e *member, addr string) {
	if m.now-e.correctedAt < queryInterval || m.phase != serving {
		return
	}
	e.correctedAt = m.now
	m.send(addr, Message{Kind: Gossip, Records: []MemberRecord{m.recordWithAge(e)}})
}

// replyToQuery answers what is known of the asker's name.
func (m *Node) replyToQuery(x Message) {
	answer := Message{Kind: RecordReply, Nonce: x.Nonce, SenderCatchingUp: m.phase != serving && m.phase != leaving}
	if c, ok := m.recordOf(x.From.Name); ok && c.Generation > 0 {
		if e := m.byName[x.From.Name]; e != nil {
			c = m.recordWithAge(e)
		}
		answer.Records = []MemberRecord{c}
	}
	m.send(x.From.Addr, answer)
}

// receiveRecordReply takes what is known of this name.
func (m *Node) receiveRecordReply(x Message) {
	if x.Nonce != m.queryNonce {
		m.count("answer to nothing")
		return
	}
	for _, c := range x.Records {
		if c.Name == m.self.Name && validRecord(c) {
			m.reportedSelf = Join(m.reportedSelf, c)
		}
	}
	sure := !x.SenderCatchingUp && x.From.Generation > 0
	if sure && validRecord(x.From) {
		m.merge(x.From)
	}
	k := m.reportedSelf
	held := k.Generation > 0 && k.Incarnation != m.self.Incarnation && !k.State.Ended()
	switch {
	case m.phase == catchingUp && held:
		// Whoever was away gives way to whoever is here, whichever came first: the others have gone on without it.
		m.markReplaced(k)
	case !sure: // it knows no more than this one
	case m.phase == joining:
		m.startServing()
	case m.phase == catchingUp && k.Incarnation.compare(m.self.Incarnation) > 0:
		m.startServing()
	case m.phase == catchingUp:
		m.resumeServing()
	case m.phase == standingBy && !held:
		m.do(Event{"the name is free", k.Name})
		m.startServing()
	}
}

// mergeSelfRecord refutes what is said of this process, or finds out that it is not the only one of its name.
func (m *Node) mergeSelfRecord(c MemberRecord) {
	if m.phase != serving {
		return
	}
	switch life := c.Incarnation.compare(m.self.Incarnation); {
	case life < 0 && c.Generation == m.self.Generation:
		m.startIncarnationAfter(c.Generation) // taken without knowing of that one; an incarnation is one process's
	case life < 0:
	case life > 0 && c.State.Ended():
		m.startIncarnationAfter(c.Generation)
	case life > 0:
		m.startNameConflict(c)
	case c.State == Left: // its heir had left, and this one resumed
		m.startIncarnationAfter(c.Generation)
	case c.State >= Suspect && c.Refutations >= m.self.Refutations:
		m.count("refuted")
		m.do(Event{"refuted that it is " + c.State.String(), c.ReportedBy})
		m.self.Refutations = c.Refutations + 1
		m.announceSelf()
	case c.Refutations > m.self.Refutations:
		m.self.Refutations = c.Refutations
		m.announceSelf()
	}
}

// startNameConflict asks a later process of the same name whether it lives. A claim alone proves nothing: it may be all that is left of one
// that ended before a restart of the whole cluster.
func (m *Node) startNameConflict(with MemberRecord) {
	if m.conflict != nil && m.conflict.rival.Incarnation.compare(with.Incarnation) >= 0 {
		return
	}
	if with.Addr == m.self.Addr {
		m.startIncarnationAfter(with.Generation) // nobody else can be there
		return
	}
	m.conflict = &nameConflict{rival: with, nonce: m.rand.Uint64(), nextQuery: m.now, deadline: m.now + conflictTimeout}
}

// receiveFromNamesake hears another process of this name.
func (m *Node) receiveFromNamesake(in MessageReceived) {
	x := in.Message
	other := x.From.Incarnation != m.self.Incarnation
	switch {
	case m.phase == catchingUp && other && validRecord(x.From) && !x.From.State.Ended():
		m.markReplaced(x.From)
	case m.phase != serving || !other:
		m.count("own message")
	case x.Kind == RecordQuery:
		m.replyToQuery(x)
	case !validRecord(x.From) || x.From.State.Ended():
		m.count("garbled")
	case x.Kind == RecordReply && m.conflict != nil && x.Nonce == m.conflict.nonce:
		if x.From.Incarnation.compare(m.self.Incarnation) > 0 {
			m.markReplaced(x.From)
		} else {
			m.conflict = nil
		}
	default:
		if x.Kind == NameConflict {
			m.send(x.From.Addr, Message{Kind: RecordReply, Nonce: x.Nonce, Records: []MemberRecord{m.self}})
		}
		if x.From.Incarnation.compare(m.self.Incarnation) > 0 {
			m.startNameConflict(x.From)
		} else if m.now-m.lastReplacedNotice >= queryInterval {
			m.lastReplacedNotice = m.now
			m.do(Event{"another process uses this name, and is told that it is superseded", x.From.Addr})
			m.send(x.From.Addr, Message{Kind: Gossip, Records: []MemberRecord{m.self}})
		}
	}
}

// receiveAck takes an answer to a ping.
func (m *Node) receiveAck(x Message, from *member, stream bool) {
	if r, ok := m.indirectPings[x.Nonce]; ok && r.target == from.record.Name {
		delete(m.indirectPings, x.Nonce)
		m.send(r.requester, Message{Kind: Ack, Nonce: r.requestNonce, Target: r.target, Records: []MemberRecord{from.record}})
		return
	}
	for i, p := range m.probes {
		if p.nonce != x.Nonce || p.target != from && p.target.record.Name != x.Target {
			continue
		}
		m.probes = append(m.probes[:i:i], m.probes[i+1:]...)
		e := p.target
		direct := e == from && !stream
		if m.updateLoss(!direct); direct {
			took := max(m.now-p.sentAt, 1)
			if e.rtt == 0 {
				e.rtt, e.rttDeviation = took, took/2
			} else {
				e.rttDeviation += (max(took-e.rtt, e.rtt-took) - e.rttDeviation) / 4
				e.rtt += (took - e.rtt) / 8
			}
		}
		if e == from {
			e.unansweredPings = 0
		} else {
			e.unansweredPings++
		}
		return
	}
}

// updateLoss notes whether a direct ping to a member that lives, or its answer, was lost.
func (m *Node) updateLoss(lost bool) {
	x := 0.0
	if lost {
		x = 1
	}
	m.loss += (x - m.loss) / 32
}

// startPushPull begins a full exchange.
func (m *Node) startPushPull(e *member) {
	m.lastPushPull = m.now
	m.do(OpenStream{e.record.Addr, m.stamped(Message{Kind: Digests, Digests: m.digests[:len(m.digests):len(m.digests)]})})
}

// pushPullWithRandomMember begins one with somebody.
func (m *Node) pushPullWithRandomMember() {
	for _, e := range m.randomMembers(1, nil) {
		m.startPushPull(e)
	}
}

// replyToDigests answers the digests of another view with the claims of the buckets that differ.
func (m *Node) replyToDigests(in MessageReceived) {
	if len(in.Digests) != digestBuckets || in.Stream == 0 {
		m.count("garbled")
		return
	}
	x := Message{Kind: DigestDiff}
	for i, d := range in.Digests {
		if d != m.digests[i] {
			x.Buckets = append(x.Buckets, i)
		}
	}
	x.Records = m.recordsInBuckets(x.Buckets)
	m.do(StreamReply{in.Stream, m.stamped(x), len(x.Buckets) == 0})
}

// recordsInBuckets are the claims of some buckets, the own one among them.
func (m *Node) recordsInBuckets(some []int) (claims []MemberRecord) {
	var in [digestBuckets]bool
	for _, i := range some {
		if i >= 0 && i < digestBuckets {
			in[i] = true
		}
	}
	if in[bucketOf(m.self.Name)] {
		claims = append(claims, m.self)
	}
	for _, name := range m.sortedNames() {
		if in[bucketOf(name)] {
			claims = append(claims, m.recordWithAge(m.byName[name]))
		}
	}
	return claims
}
