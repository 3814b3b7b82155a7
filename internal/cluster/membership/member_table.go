package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// memberTable holds the other members: all by name, and by state those that are alive, suspect or dead. A
// member whose state changes is removed before the change and inserted after it. The order of the lists
// decides what random draws choose.
type memberTable struct {
	byName    map[string]*member
	live      []*member // alive or suspect
	dead      []*member // without those that have left
	suspects  []*member
	nextPrune Time
}

// sortedNames returns the names of all members.
func (t *memberTable) sortedNames() []string { return slices.Sorted(maps.Keys(t.byName)) }

// insert lists a member by its state.
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

// remove takes a member off the lists of its state.
func (t *memberTable) remove(m *member) {
	switch {
	case m.index == notListed:
	case !m.state.Ended():
		t.live = removeAt(t.live, m.index)
		if m.state == Suspect {
			t.suspects = slices.DeleteFunc(t.suspects, func(other *member) bool { return other == m })
		}
	case m.state == Dead:
		t.dead = removeAt(t.dead, m.index)
	}
}

// removeAt puts the last member in the place of another.
func removeAt(list []*member, index int) []*member {
	last := len(list) - 1
	list[index] = list[last]
	list[index].index = index
	return list[:last]
}

// hasLiveAddress tells whether a member at an address is alive or suspect.
func (t *memberTable) hasLiveAddress(addr string) bool {
	return slices.ContainsFunc(t.live, func(m *member) bool { return m.record.Addr == addr })
}

// randomLive draws up to count members that are alive or suspect, without one.
func (t *memberTable) randomLive(random *rand.Rand, count int, without *member) (drawn []*member) {
	if len(t.live) <= count+1 {
		for _, m := range t.live {
			if m != without {
				drawn = append(drawn, m)
			}
		}
		random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
		return drawn[:min(count, len(drawn))]
	}
	for len(drawn) < count {
		m := t.live[random.IntN(len(t.live))]
		if m != without && !slices.Contains(drawn, m) {
			drawn = append(drawn, m)
		}
	}
	return drawn
}

func (n *Node) randomMembers(count int, without *member) []*member {
	return n.members.randomLive(n.rand, count, without)
}

// pruneEnded forgets members that ended DeadRetention ago.
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
