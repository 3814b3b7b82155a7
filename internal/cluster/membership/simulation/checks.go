package simulation

import (
	"fmt"

	"woaddyke/internal/cluster/membership"
)

// DeathReportGrace is how long two hosts must have been able to reach each other before a report that
// one of them is dead counts as false: an earlier report may have been true, and it becomes a death only
// after a suspicion of up to MaxSuspicion.
const DeathReportGrace = 15 * Second

const maxViolations = 20 // that are recorded

// observedState is the state of a name in a process's view.
type observedState struct {
	state       membership.State
	incarnation membership.Incarnation
	refutations uint64
	private     bool
}

func seconds(t Time) float64 { return float64(t) / float64(Second) }

func (c *Cluster) violation(format string, values ...any) {
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
		c.violation("%s reports %s %v after %v with the same refutations", h.name, e.Name, now.state, before.state)
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

// checkDeath checks a report that a process is dead.
func (c *Cluster) checkDeath(by, of *host, e membership.MemberChanged) {
	if c.checksReachability() && c.responsive(of.index) {
		unreachableAt := c.reachability.unreachableAt[by.index][of.index]
		if c.Now()-max(unreachableAt, of.startedAt, by.startedAt) > DeathReportGrace {
			c.violation("%s declares %s dead, as %s reports, but could reach it since %.3f s",
				by.name, e.Name, e.ReportedBy, seconds(unreachableAt))
		}
	}
	if !of.running {
		c.DetectionTimes = append(c.DetectionTimes, c.Now()-of.endedAt)
	}
}

// Disagreements returns the differences between the views of live processes that reach each other, and
// between these views and the real states.
func (c *Cluster) Disagreements() (found []string) {
	for _, by := range c.hosts {
		if !by.live() {
			continue
		}
		for _, of := range c.hosts {
			if by != of && !c.nameTaken(of) {
				found = append(found, c.disagreementsOf(by, of)...)
			}
		}
	}
	return found
}

func (c *Cluster) disagreementsOf(by, of *host) (found []string) {
	observed := by.observed[of.name]
	reachable := c.mutuallyReachable(by.index, of.index)
	observedAlive := observed.state == membership.Alive && observed.incarnation.Nonce == of.nonce
	observedLive := observed.state != membership.Joining && !observed.state.Ended()
	switch {
	case of.live() && reachable && !observedAlive:
		found = append(found, fmt.Sprintf("%s reports %s %v, but it is alive", by.name, of.name, observed.state))
	case !of.running && of.node != nil && observedLive:
		found = append(found, fmt.Sprintf("%s reports %s %v, but it has ended", by.name, of.name, observed.state))
	}
	if by.index < of.index && reachable && by.node.Digest() != of.node.Digest() {
		found = append(found, fmt.Sprintf("the digests of %s and %s differ", by.name, of.name))
	}
	return found
}

// nameTaken reports whether a later process of the same name runs at another host.
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
