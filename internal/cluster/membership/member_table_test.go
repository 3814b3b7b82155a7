package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Each member must be once on the lists of its state and on no other list. Otherwise it would never be
// pinged, or would still be pinged after it was removed from a list.
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
			got := []int{occurrences(table.live, m), occurrences(table.dead, m), occurrences(table.suspects, m)}
			want := map[State][]int{Alive: {1, 0, 0}, Suspect: {1, 0, 1}, Dead: {0, 1, 0}, Left: {0, 0, 0}}[m.state]
			if !slices.Equal(got, want) {
				t.Fatalf("a member that is %v is %v times on the live, dead and suspect lists, want %v",
					m.state, got, want)
			}
		}
	})
}

func occurrences(list []*member, wanted *member) (times int) {
	for _, m := range list {
		if m == wanted {
			times++
		}
	}
	return times
}

// The members that are drawn must differ from one another, and must not include the excluded one.
func TestRandomLiveDrawsDistinctMembers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for size := range 10 {
		table := memberTable{}
		for range size {
			table.insert(&member{state: Alive, index: notListed})
		}
		var except *member
		if size > 0 {
			except = table.live[size/2]
		}
		for requested := range 5 {
			drawn := table.randomLive(random, requested, except)
			if len(drawn) != max(0, min(requested, size-1)) || slices.Contains(drawn, except) {
				t.Errorf("of %d members %d are drawn, %d were requested", size, len(drawn), requested)
			}
			for _, m := range drawn {
				if occurrences(drawn, m) != 1 {
					t.Errorf("a member is drawn twice")
				}
			}
		}
	}
}
