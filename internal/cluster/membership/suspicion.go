package membership

import (
	"math"
	"slices"
)

// suspicion is the time in which a suspect member can refute. Confirmations of other members shorten it,
// as in Lifeguard.
type suspicion struct {
	startedAt      Time
	confirmations  []string // names of the members that reported it, the first of them included
	foundLocally   bool     // by a probe of this process, not only by a report
	reportedDead   bool     // another member reports the member dead
	finalProbeSent bool
}

// suspicionDeadline returns when a suspect member is declared dead.
func (n *Node) suspicionDeadline(m *member) Time {
	span := Time(n.suspicionSpan(&m.suspicion) * n.detector.lossFactor())
	deadline := m.suspicion.startedAt + span + n.detector.health.suspicionExtension(n.now)
	if !m.suspicion.foundLocally && !m.suspicion.reportedDead {
		deadline += reportedSuspicionDelay
	}
	return deadline
}

// suspicionSpan returns how long a suspicion lasts. It falls from MaxSuspicion to MinSuspicion with the
// logarithm of the confirmations.
func (n *Node) suspicionSpan(s *suspicion) float64 {
	shortest, longest := float64(n.config.MinSuspicion), float64(n.config.MaxSuspicion)
	possible := min(maxConfirmations, len(n.members.live)-2) // without the suspect and its first reporter
	if possible <= 0 || s.reportedDead {
		return shortest
	}
	confirmed := min(len(s.confirmations)-1, possible)
	fraction := math.Log(float64(confirmed+1)) / math.Log(float64(possible+1))
	return longest - fraction*(longest-shortest)
}

// confirmSuspicion counts a further member that reports the suspicion.
func (n *Node) confirmSuspicion(m *member, reporter string) {
	if m.state != Suspect || len(m.suspicion.confirmations) > maxConfirmations ||
		slices.Contains(m.suspicion.confirmations, reporter) {
		return
	}
	m.suspicion.confirmations = append(m.suspicion.confirmations, reporter)
	record := m.record
	record.State = Suspect
	record.ReportedBy = reporter
	n.enqueue(record)
}

// checkSuspects declares the suspects dead whose deadline has passed, and probes those once more whose
// deadline is near.
func (n *Node) checkSuspects() {
	for _, m := range slices.Clone(n.members.suspects) {
		deadline := n.suspicionDeadline(m)
		switch {
		case n.now >= deadline:
			n.expireSuspicion(m)
		case m.suspicion.foundLocally && !m.suspicion.finalProbeSent && n.now >= deadline-finalProbeLead:
			m.suspicion.finalProbeSent = true
			nonce := n.rand.Uint64()
			n.send(m.record.Addr, Message{Kind: Ping, Nonce: nonce, Records: n.recordToRefute(m)})
			n.sendIndirectPings(m, nonce)
		}
	}
}

// expireSuspicion declares a suspect dead. While this process is isolated, the new state is private.
func (n *Node) expireSuspicion(m *member) {
	if n.detector.isolated || m.private {
		m.private = true
	} else if m.record.State < Dead {
		m.record.Age = 0
		n.reportState(m, Dead)
	}
	n.markDead(m)
}

// probeFailed handles a probe without an ack, direct or through an indirect ping.
func (n *Node) probeFailed(m *member) {
	m.unansweredPings++
	switch {
	case m.state.Ended():
	case n.detector.isolated:
		if m.state == Alive {
			m.private = true
			n.markSuspect(m, n.self.Name, true)
		}
	case m.state == Suspect:
		m.suspicion.foundLocally = true
		n.confirmSuspicion(m, n.self.Name)
	default:
		n.reportState(m, Suspect)
		n.markSuspect(m, n.self.Name, true)
	}
}
