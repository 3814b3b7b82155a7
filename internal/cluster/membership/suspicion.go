package membership

import (
	"math"
	"slices"
)

// suspicion is the state of a suspicion. The suspect has a limited time to refute it. As in Lifeguard,
// confirmations of other members shorten that time.
type suspicion struct {
	startedAt      Time
	confirmations  []string // names of the members that reported the suspicion, its first reporter included
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

// suspicionSpan returns how long a suspicion lasts. The time falls from MaxSuspicion to MinSuspicion with
// the logarithm of the number of confirmations.
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

// confirmSuspicion adds a member that also reports the suspicion, and gossips its report.
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

// checkSuspects declares a suspect dead when its deadline has passed. If this process has found the
// suspicion itself, it probes the suspect once more before the deadline.
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

// probeFailed handles a probe that received no ack, neither directly nor through an indirect ping.
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
