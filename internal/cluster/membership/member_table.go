package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// memberTable indexes all other members by name, and lists the alive, suspect and dead ones by state. The
// caller removes a member before it changes the member's state, and inserts the member again afterwards.
// Random draws depend on the order of the lists.
type memberTable struct {
	byName    map[string]*member
	live      []*member // alive or suspect
	dead      []*member // members that have left are not listed
	suspects  []*member
	nextPrune Time
}

// sortedNames returns the names of all members.
func (t *memberTable) sortedNames() []string { return slices.Sorted(maps.Keys(t.byName)) }

// insert adds a member to the lists of its state.
func (t *memberTable) insert(m *member) {
	switch {
	case !m.state.Ended():
		m.index = len(t.live)
		t.live = append(t.live, m)
		if m.state == Suspect {
			t.suspects = append(t.suspects, m)
		}
	case m.state == Dead:
		m.index = len(t.dead)
		t.dead = append(t.dead, m)
	}
}

// remove removes a member from the lists of its state.
func (t *memberTable) remove(m *member) {
	switch {
	case m.index == notListed:
	case !m.state.Ended():
		t.live = swapRemove(t.live, m.index)
		if m.state == Suspect {
			t.suspects = slices.DeleteFunc(t.suspects, func(other *member) bool { return other == m })
		}
	case m.state == Dead:
		t.dead = swapRemove(t.dead, m.index)
	}
}

// swapRemove removes a member and moves the last one to its position.
func swapRemove(list []*member, index int) []*member {
	last := len(list) - 1
	list[index] = list[last]
	list[index].index = index
	return list[:last]
}

// hasLiveAddress reports whether a member at an address is alive or suspect.
func (t *memberTable) hasLiveAddress(addr string) bool {
	return slices.ContainsFunc(t.live, func(m *member) bool { return m.record.Addr == addr })
}

// randomLive returns up to count random members that are alive or suspect. except is never returned.
func (t *memberTable) randomLive(random *rand.Rand, count int, except *member) (drawn []*member) {
	if len(t.live) <= count+1 {
		for _, m := range t.live {
			if m != except {
				drawn = append(drawn, m)
			}
		}
		random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
		return drawn[:min(count, len(drawn))]
	}
	for len(drawn) < count {
		m := t.live[random.IntN(len(t.live))]
		if m != except && !slices.Contains(drawn, m) {
			drawn = append(drawn, m)
		}
	}
	return drawn
}

func (n *Node) randomMembers(count int, except *member) []*member {
	return n.members.randomLive(n.rand, count, except)
}

// pruneEnded removes members that ended DeadRetention ago.
func (n *Node) pruneEnded() {
	for _, name := range n.members.sortedNames() {
		m := n.members.byName[name]
		if m.state.Ended() && !m.private && n.now-m.endedAt >= n.config.DeadRetention {
			n.members.remove(m)
			n.gossip.digest.remove(m.record)
			delete(n.members.byName, name)
		}
	}
}
