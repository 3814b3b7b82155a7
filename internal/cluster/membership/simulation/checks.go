package simulation

import (
	"fmt"

	"woaddyke/internal/cluster/membership"
)

// DeathReportGrace is how long two hosts must have been able to reach each other before a report that
// one of them is dead counts as false. A suspicion may have begun while they could not reach each other,
// and it becomes a death only after up to MaxSuspicion.
const DeathReportGrace = 15 * Second

const maxViolations = 20 // violations that are recorded at most

// observedState is the state of a name in a process's view.
type observedState struct {
	state       membership.State
	incarnation membership.Incarnation
	refutations uint64
	private     bool
}

func seconds(t Time) float64 { return float64(t) / float64(Second) }

func (c *Cluster) addViolation(format string, values ...any) {
	if len(c.Violations) < maxViolations {
		text := fmt.Sprintf("at %.3f s: ", seconds(c.Now())) + fmt.Sprintf(format, values...)
		c.Violations = append(c.Violations, text)
	}
}

// checkChange checks a new state in a process's view against the real state.
func (c *Cluster) checkChange(h *host, e membership.MemberChanged) {
	if c.OnChange != nil {
		c.OnChange(c.Now(), h.name, e.Name, e.State)
	}
	before, known := h.observed[e.Name]
	now := observedState{e.State, e.Incarnation, e.Refutations, e.Private}
	h.observed[e.Name] = now
	unchanged := before.incarnation == now.incarnation && before.refutations == now.refutations
	if known && !before.private && unchanged && before.state > now.state {
		c.addViolation("%s reports %s %v after %v with the same refutations", h.name, e.Name, now.state,
			before.state)
	}
	for _, other := range c.byName[e.Name] {
		if other.nonce != e.Nonce {
			continue
		}
		c.recordReachability()
		if e.State == membership.Dead {
			c.checkDeath(h, other, e)
		}
	}
}

// checkDeath checks the observer's report that a process, the subject, is dead.
func (c *Cluster) checkDeath(observer, subject *host, e membership.MemberChanged) {
	if c.checksReachability() && c.responsive(subject.index) {
		unreachableAt := c.reachability.unreachableAt[observer.index][subject.index]
		if c.Now()-max(unreachableAt, subject.startedAt, observer.startedAt) > DeathReportGrace {
			c.addViolation("%s declares %s dead, as %s reports, but was last unable to reach it at %.3f s",
				observer.name, e.Name, e.ReportedBy, seconds(unreachableAt))
		}
	}
	if !subject.running {
		c.DetectionTimes = append(c.DetectionTimes, c.Now()-subject.endedAt)
	}
}

// Disagreements returns the differences between the views of live processes that can reach each other, and
// the differences between these views and the real states.
func (c *Cluster) Disagreements() (found []string) {
	for _, observer := range c.hosts {
		if !observer.live() {
			continue
		}
		for _, subject := range c.hosts {
			if observer != subject && !c.nameTaken(subject) {
				found = append(found, c.disagreementsOf(observer, subject)...)
			}
		}
	}
	return found
}

func (c *Cluster) disagreementsOf(observer, subject *host) (found []string) {
	observed := observer.observed[subject.name]
	reachable := c.mutuallyReachable(observer.index, subject.index)
	observedAlive := observed.state == membership.Alive && observed.incarnation.Nonce == subject.nonce
	observedLive := observed.state != membership.Joining && !observed.state.Ended()
	switch {
	case subject.live() && reachable && !observedAlive:
		found = append(found, fmt.Sprintf("%s reports %s %v, but it is alive", observer.name, subject.name, observed.state))
	case !subject.running && subject.node != nil && observedLive:
		found = append(found, fmt.Sprintf("%s reports %s %v, but it has ended", observer.name, subject.name, observed.state))
	}
	if observer.index < subject.index && reachable && observer.node.Digest() != subject.node.Digest() {
		found = append(found, fmt.Sprintf("the digests of %s and %s differ", observer.name, subject.name))
	}
	return found
}

// nameTaken reports whether another host has the name of h: a process of that name runs there, and it
// started later than the process of h, or h runs no member.
func (c *Cluster) nameTaken(h *host) bool {
	for _, other := range c.byName[h.name] {
		if other == h || !other.running || other.stopped {
			continue
		}
		if other.startedAt > h.startedAt || h.stopped || !h.running {
			return true
		}
	}
	return false
}
