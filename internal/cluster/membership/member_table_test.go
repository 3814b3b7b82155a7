package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A member that stands on a list of another state, or twice, would be pinged for ever or never.
func TestMemberTableListsMembersByState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := memberTable{byName: map[string]*member{}}
		all := make([]*member, 6)
		for i := range all {
			all[i] = &member{record: MemberRecord{Name: fmt.Sprint(i)}, state: Alive, index: notListed}
			table.byName[all[i].record.Name] = all[i]
			table.insert(all[i])
		}
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			m := all[rapid.IntRange(0, len(all)-1).Draw(t, "member")]
			table.remove(m)
			m.state = State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state"))
			table.insert(m)
		}
		for _, m := range all {
			listed := []int{count(table.live, m), count(table.dead, m), count(table.suspects, m)}
			want := map[State][]int{Alive: {1, 0, 0}, Suspect: {1, 0, 1}, Dead: {0, 1, 0}, Left: {0, 0, 0}}[m.state]
			if !slices.Equal(listed, want) {
				t.Fatalf("a member that is %v stands %v times on the lists, want %v", m.state, listed, want)
			}
		}
	})
}

func count(list []*member, wanted *member) (times int) {
	for _, m := range list {
		if m == wanted {
			times++
		}
	}
	return times
}

// The members that are drawn differ from one another, and the one that is left out is not among them.
func TestRandomLiveDrawsDistinctMembers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for size := range 10 {
		table := memberTable{}
		for range size {
			table.insert(&member{state: Alive, index: notListed})
		}
		var without *member
		if size > 0 {
			without = table.live[size/2]
		}
		for wanted := range 5 {
			drawn := table.randomLive(random, wanted, without)
			if len(drawn) != max(0, min(wanted, size-1)) || slices.Contains(drawn, without) {
				t.Errorf("of %d members %d are drawn, %d are wanted", size, len(drawn), wanted)
			}
			for _, m := range drawn {
				if count(drawn, m) != 1 {
					t.Errorf("a member is drawn twice")
				}
			}
		}
	}
}
