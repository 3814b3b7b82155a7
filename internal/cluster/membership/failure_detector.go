package membership

import (
	"math/rand/v2"
	"slices"
)

// failureDetector pings one member after another. If a member does not answer in time, this process pings
// it on a stream, and other members ping it too. If the member still does not answer, it becomes suspect.
type failureDetector struct {
	health        localHealth
	probeOrder    []*member // members still to be probed in this round; the last is next
	probes        []probe   // probes that wait for an ack
	indirectPings map[uint64]indirectPing
	nextProbe     Time
	lastHeard     Time // when the latest message of any member arrived
	isolated      bool // no message of any member has arrived since a failed probe was sent
	loss          float64
}

// probe is a ping of this process that waits for an ack.
type probe struct {
	nonce        uint64
	target       *member
	sentAt       Time
	indirectSent bool // others were asked to ping the target
	resent       bool // the target was pinged again
}

// indirectPing is a ping on behalf of another member that waits for an ack.
type indirectPing struct {
	requester    string // address of the member that asked for the ping
	sentAt       Time
	requestNonce uint64
	target       string
}

func (d *failureDetector) cancelProbes() {
	d.probes = nil
	clear(d.indirectPings)
}

// schedule inserts a member at a random position of the present round, so that different processes probe
// the member at different times.
func (d *failureDetector) schedule(m *member, random *rand.Rand) {
	d.probeOrder = append(d.probeOrder, m)
	last := len(d.probeOrder) - 1
	i := random.IntN(len(d.probeOrder))
	d.probeOrder[i], d.probeOrder[last] = d.probeOrder[last], d.probeOrder[i]
}

// unschedule removes a member from the present round.
func (d *failureDetector) unschedule(m *member) {
	if i := slices.Index(d.probeOrder, m); i >= 0 {
		d.probeOrder = slices.Delete(d.probeOrder, i, i+1)
	}
}

// updateLoss adds a sample to the moving average of the message loss. A sample is lost if a direct ping of
// a live member, or the ack of that ping, was lost.
func (d *failureDetector) updateLoss(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	d.loss += (sample - d.loss) / lossSamples
}

// lossFactor returns the factor, from 1 to 2, by which message loss lengthens suspicions and probes and
// increases the number of transmissions.
func (d *failureDetector) lossFactor() float64 { return 1 + min(2*d.loss, 1) }

// removeProbe removes and returns the probe that an ack answers.
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

// expireIndirectPings drops indirect pings whose requester no longer waits for an ack.
func (d *failureDetector) expireIndirectPings(sentBefore Time) {
	for nonce, ping := range d.indirectPings {
		if ping.sentAt <= sentBefore {
			delete(d.indirectPings, nonce)
		}
	}
}

// probeTimeout returns how long a probe waits for an ack, direct or through an indirect ping.
func (n *Node) probeTimeout() Time {
	return Time(float64(n.config.ProbeTimeout) * n.detector.lossFactor())
}

// directTimeout returns how long a direct ack may take before other members are asked to ping the member.
func (n *Node) directTimeout(m *member) Time { return m.rtt.timeout(n.config.ProbeTimeout) }

// probeNext pings the next member of the round, and starts a new round after the last one.
func (n *Node) probeNext() {
	d := &n.detector
	if len(d.probeOrder) == 0 {
		d.probeOrder = append(d.probeOrder, n.members.live...)
		n.rand.Shuffle(len(d.probeOrder), func(i, j int) {
			d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i]
		})
	}
	if len(d.probeOrder) == 0 || len(d.probes) >= maxProbes {
		return
	}
	last := len(d.probeOrder) - 1
	m := d.probeOrder[last]
	d.probeOrder = d.probeOrder[:last]
	nonce := n.rand.Uint64()
	d.probes = append(d.probes, probe{nonce: nonce, target: m, sentAt: n.now})
	n.send(m.record.Addr, Message{Kind: Ping, Nonce: nonce, Records: n.takeRecords(n.recordToRefute(m)...)})
}

// checkProbes escalates the probes whose ack is late, and treats those that have timed out as failed.
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

// escalate tries further ways to reach a member that has not answered yet: first through other members
// and on a stream, then directly again.
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

// sendIndirectPings asks up to indirectProbes random members to ping a member.
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

// replyToPing sends an ack, on the stream of the ping if it came on one.
func (n *Node) replyToPing(in MessageReceived, from *member) {
	ack := Message{Kind: Ack, Nonce: in.Nonce, Records: n.takeRecords(n.recordToRefute(from)...)}
	if in.Stream != 0 {
		n.emit(StreamReply{Stream: in.Stream, Message: n.stamped(ack), Last: true})
		return
	}
	n.send(from.record.Addr, ack)
}

// relayPing pings the target of an IndirectPing on behalf of its sender.
func (n *Node) relayPing(request Message, from *member) {
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

// receiveAck handles an ack. It forwards the ack of an indirect ping to the requester, and ends the
// probe that the ack answers.
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

// checkIsolation marks this process as isolated if no message of any member has arrived since a failed
// probe was sent.
func (n *Node) checkIsolation(failed probe) {
	if !n.detector.isolated && n.detector.lastHeard <= failed.sentAt {
		n.detector.isolated = true
		n.emit(Event{"isolated: no member is heard", ""})
	}
}

// markHeard records that a message of a member arrived. If this process was isolated, the isolation ends,
// and the states that were found during it are discarded.
func (n *Node) markHeard() {
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
