package simulation

import (
	"fmt"

	"woaddyke/internal/cluster/membership"
)

// Grace is for how long two places must have reached each other before a report that the other is dead is
// false: an earlier report may have been true, and the longest way from a report to a death is a suspicion
// of the greatest length.
const Grace = 15 * Second

const maxViolations = 20 // that are kept

// belief is what a process holds of a name.
type belief struct {
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

// checkChange checks what a process holds of another one against what is true.
func (c *Cluster) checkChange(p *process, e membership.MemberChanged) {
	if c.OnChange != nil {
		c.OnChange(c.Now(), p.name, e.Name, e.State)
	}
	before, known := p.beliefs[e.Name]
	now := belief{e.State, e.Incarnation, e.Refutations, e.Private}
	p.beliefs[e.Name] = now
	unchanged := before.incarnation == now.incarnation && before.refutations == now.refutations
	if known && !before.private && unchanged && before.state > now.state {
		c.violation("%s holds %s %v after %v in the same turn", p.name, e.Name, now.state, before.state)
	}
	for _, other := range c.byName[e.Name] {
		if other.nonce != e.Nonce {
			continue
		}
		c.recordReachability()
		if e.State == membership.Dead {
			c.checkDeath(p, other, e)
		}
	}
}

// checkDeath checks a report that a process is dead.
func (c *Cluster) checkDeath(by, of *process, e membership.MemberChanged) {
	if c.checksReachability() && c.responsive(of.index) {
		unreachableAt := c.truth.unreachableAt[by.index][of.index]
		if c.Now()-max(unreachableAt, of.startedAt, by.startedAt) > Grace {
			c.violation("%s calls %s gone, by %s, and could reach it since %.3f s",
				by.name, e.Name, e.ReportedBy, seconds(unreachableAt))
		}
	}
	if !of.running {
		c.Detected = append(c.Detected, c.Now()-of.endedAt)
	}
}

// Disagreements returns in which ways the views of live processes that reach each other differ from one
// another, or from what is true.
func (c *Cluster) Disagreements() (found []string) {
	for _, by := range c.processes {
		if !by.live() {
			continue
		}
		for _, of := range c.processes {
			if by != of && !c.nameTaken(of) {
				found = append(found, c.disagreementsOf(by, of)...)
			}
		}
	}
	return found
}

func (c *Cluster) disagreementsOf(by, of *process) (found []string) {
	held := by.beliefs[of.name]
	reachable := c.mutuallyReachable(by.index, of.index)
	heldAlive := held.state == membership.Alive && held.incarnation.Nonce == of.nonce
	heldLive := held.state != membership.Joining && !held.state.Ended()
	switch {
	case of.live() && reachable && !heldAlive:
		found = append(found, fmt.Sprintf("%s holds %s %v, which is here", by.name, of.name, held.state))
	case !of.running && of.node != nil && heldLive:
		found = append(found, fmt.Sprintf("%s holds %s %v, which is no more", by.name, of.name, held.state))
	}
	if by.index < of.index && reachable && by.node.Digest() != of.node.Digest() {
		found = append(found, fmt.Sprintf("the digests of %s and %s differ", by.name, of.name))
	}
	return found
}

// nameTaken tells whether a later process of the same name runs at another place.
func (c *Cluster) nameTaken(p *process) bool {
	for _, other := range c.byName[p.name] {
		if other == p || !other.running || other.stopped {
			continue
		}
		if other.startedAt > p.startedAt || p.stopped || !p.running {
			return true
		}
	}
	return false
}
