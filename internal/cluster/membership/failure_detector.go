package membership

import (
	"math/rand/v2"
	"slices"
)

// failureDetector pings one member after another. A member that does not answer in time is pinged by others
// and on a stream as well; one that answers nobody becomes suspect.
type failureDetector struct {
	health        localHealth
	order         []*member // whom to probe in the present round; the last is next
	probes        []probe   // that are not answered yet
	indirectPings map[uint64]indirectPing
	nextProbe     Time
	lastHeard     Time // when any member was heard last
	isolated      bool // a probe failed, and nobody at all was heard since it was sent
	loss          float64
}

// probe is a ping of this process's own that is not answered yet.
type probe struct {
	nonce        uint64
	target       *member
	sentAt       Time
	indirectSent bool // others were asked to ping the target
	resent       bool // the target was pinged again
}

// indirectPing is a ping for another member that is not answered yet.
type indirectPing struct {
	requester    string // its address
	sentAt       Time
	requestNonce uint64
	target       string
}

func (d *failureDetector) cancelProbes() {
	d.probes = nil
	clear(d.indirectPings)
}

// schedule puts a member at a random place of the present round, so that different processes probe it at
// different times.
func (d *failureDetector) schedule(m *member, random *rand.Rand) {
	d.order = append(d.order, m)
	last := len(d.order) - 1
	i := random.IntN(len(d.order))
	d.order[i], d.order[last] = d.order[last], d.order[i]
}

// unschedule takes a member out of the present round.
func (d *failureDetector) unschedule(m *member) {
	if i := slices.Index(d.order, m); i >= 0 {
		d.order = slices.Delete(d.order, i, i+1)
	}
}

// updateLoss takes whether a direct ping of a live member, or its answer, was lost into the moving average.
func (d *failureDetector) updateLoss(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	d.loss += (sample - d.loss) / lossSamples
}

// lossFactor is by how much lost messages lengthen suspicions and probes, and multiply what is sent: 1 to
// 2.
func (d *failureDetector) lossFactor() float64 { return 1 + min(2*d.loss, 1) }

// removeProbe removes the probe that an ack answers.
func (d *failureDetector) removeProbe(ack Message, from *member) (probe, bool) {
	i := slices.IndexFunc(d.probes, func(p probe) bool {
		return p.nonce == ack.Nonce && (p.target == from || p.target.record.Name == ack.Target)
	})
	if i < 0 {
		return probe{}, false
	}
	answered := d.probes[i]
	d.probes = append(d.probes[:i:i], d.probes[i+1:]...)
	return answered, true
}

// expireIndirectPings drops pings for others that nobody awaits any more.
func (d *failureDetector) expireIndirectPings(sentBefore Time) {
	for nonce, ping := range d.indirectPings {
		if ping.sentAt <= sentBefore {
			delete(d.indirectPings, nonce)
		}
	}
}

// probeTimeout is for how long a probe waits for an answer, direct or through others.
func (n *Node) probeTimeout() Time {
	return Time(float64(n.config.ProbeTimeout) * n.detector.lossFactor())
}

// directTimeout is for how long a direct answer may take before others are asked.
func (n *Node) directTimeout(m *member) Time { return m.rtt.timeout(n.config.ProbeTimeout) }

// probeNext pings the next member of the round, and begins a new round after the last one.
func (n *Node) probeNext() {
	d := &n.detector
	if len(d.order) == 0 {
		d.order = append(d.order, n.members.live...)
		n.rand.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	if len(d.order) == 0 || len(d.probes) >= maxProbes {
		return
	}
	last := len(d.order) - 1
	m := d.order[last]
	d.order = d.order[:last]
	nonce := n.rand.Uint64()
	d.probes = append(d.probes, probe{nonce: nonce, target: m, sentAt: n.now})
	n.send(m.record.Addr, Message{Kind: Ping, Nonce: nonce, Records: n.takeRecords(n.recordToRefute(m)...)})
}

// checkProbes asks others to ping those that have not answered in time, and gives up the probes whose time
// is over.
func (n *Node) checkProbes() {
	var waiting []probe
	var failed []*member
	for _, p := range n.detector.probes {
		if n.now >= p.sentAt+n.probeTimeout() {
			failed = append(failed, p.target)
			n.checkIsolation(p)
			continue
		}
		n.escalate(&p)
		waiting = append(waiting, p)
	}
	n.detector.probes = waiting
	n.detector.expireIndirectPings(n.now - 2*n.probeTimeout())
	for _, m := range failed {
		n.probeFailed(m)
	}
}

// escalate tries further ways to reach a member that has not answered yet: first through others and on a
// stream, then directly again.
func (n *Node) escalate(p *probe) {
	m := p.target
	waited := n.now - p.sentAt
	switch {
	case !p.indirectSent && waited >= n.directTimeout(m):
		p.indirectSent = true
		n.sendIndirectPings(m, p.nonce)
		ping := Message{Kind: Ping, Nonce: p.nonce, Records: n.recordToRefute(m)}
		n.emit(OpenStream{m.record.Addr, n.stamped(ping)})
	case p.indirectSent && !p.resent && waited >= 2*n.directTimeout(m):
		p.resent = true
		n.send(m.record.Addr, Message{Kind: Ping, Nonce: p.nonce, Records: n.recordToRefute(m)})
	}
}

// sendIndirectPings asks some others to ping a member.
func (n *Node) sendIndirectPings(m *member, nonce uint64) {
	for _, helper := range n.randomMembers(indirectProbes, m) {
		n.send(helper.record.Addr, Message{
			Kind:    IndirectPing,
			Nonce:   nonce,
			Target:  m.record.Name,
			Records: n.recordToRefute(m),
		})
	}
}

// replyToPing answers on the way on which the ping came.
func (n *Node) replyToPing(in MessageReceived, from *member) {
	ack := Message{Kind: Ack, Nonce: in.Nonce, Records: n.takeRecords(n.recordToRefute(from)...)}
	if in.Stream != 0 {
		n.emit(StreamReply{Stream: in.Stream, Message: n.stamped(ack), Last: true})
		return
	}
	n.send(from.record.Addr, ack)
}

// pingForAnother pings a member for the sender of a request.
func (n *Node) pingForAnother(request Message, from *member) {
	target := n.members.byName[request.Target]
	if target == nil || len(n.detector.indirectPings) >= maxIndirectPings {
		n.count(countNotRelayed)
		return
	}
	nonce := n.rand.Uint64()
	n.detector.indirectPings[nonce] = indirectPing{
		requester:    from.record.Addr,
		sentAt:       n.now,
		requestNonce: request.Nonce,
		target:       request.Target,
	}
	ping := Message{Kind: Ping, Nonce: nonce, Records: n.takeRecords(n.recordToRefute(target)...)}
	n.send(target.record.Addr, ping)
}

// receiveAck takes an answer to a ping: one for another member is passed on, one to an own probe ends that.
func (n *Node) receiveAck(ack Message, from *member, onStream bool) {
	if ping, ok := n.detector.indirectPings[ack.Nonce]; ok && ping.target == from.record.Name {
		delete(n.detector.indirectPings, ack.Nonce)
		n.send(ping.requester, Message{
			Kind:    Ack,
			Nonce:   ping.requestNonce,
			Target:  ping.target,
			Records: []MemberRecord{from.record},
		})
		return
	}
	answered, ok := n.detector.removeProbe(ack, from)
	if !ok {
		return
	}
	m := answered.target
	direct := m == from && !onStream
	n.detector.updateLoss(!direct)
	if direct {
		m.rtt.add(max(n.now-answered.sentAt, 1))
	}
	if m == from {
		m.unansweredPings = 0
	} else {
		m.unansweredPings++
	}
}

// checkIsolation finds this process isolated where a probe failed and nobody at all was heard since it was
// sent.
func (n *Node) checkIsolation(failed probe) {
	if !n.detector.isolated && n.detector.lastHeard <= failed.sentAt {
		n.detector.isolated = true
		n.emit(Event{"isolated: no member is heard", ""})
	}
}

// noteHeard records that a member was heard. The end of an isolation voids what was found in it.
func (n *Node) noteHeard() {
	n.detector.lastHeard = n.now
	if !n.detector.isolated {
		return
	}
	n.detector.isolated = false
	n.emit(Event{"no longer isolated", ""})
	for _, name := range n.members.sortedNames() {
		if m := n.members.byName[name]; m.private {
			n.discardPrivateState(m)
		}
	}
}
