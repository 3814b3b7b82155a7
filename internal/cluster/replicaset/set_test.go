package replicaset

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Members that learn of the same sets in any order end with the same set. A later epoch replaces an earlier
// epoch of the same group, and an agreed set replaces a configured set. Sets of two groups never replace each
// other.
func TestTheOrderOfLearnedSetsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Set
		for range rapid.IntRange(1, 8).Draw(t, "sets") {
			s := Set{New: []string{"a", "b", "c"}}
			if epoch := rapid.Uint64Range(0, 5).Draw(t, "epoch"); epoch > 0 {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
				s = Set{GroupID: 7, Epoch: epoch, New: []string{name}}
			}
			all = append(all, s)
		}
		latest := func(order []Set) (epoch uint64) {
			s := ConfiguredSet([]string{"a", "b", "c"})
			for _, x := range order {
				if x.Supersedes(s) {
					s = x
				}
			}
			return s.Epoch
		}
		if a, b := latest(all), latest(rapid.Permutation(all).Draw(t, "order")); a != b {
			t.Errorf("epoch %d, in another order %d", a, b)
		}
	})
	a, b := Set{GroupID: 1, Epoch: 9, New: []string{"a"}}, Set{GroupID: 2, Epoch: 3, New: []string{"a"}}
	if a.Supersedes(b) || b.Supersedes(a) || a.Supersedes(a) {
		t.Error("a set supersedes itself or the set of another group")
	}
	next := a
	next.Epoch++
	if a.ID() == next.ID() {
		t.Error("two epochs with the same replicas have the same ID")
	}
}

// A majority of a joint set is a majority of each part. A member of both parts counts in both.
func TestAJointSetNeedsAMajorityOfEachPart(t *testing.T) {
	s := Set{GroupID: 1, Epoch: 2, Old: []string{"a", "b", "c"}, New: []string{"c", "d", "e"}}
	for names, want := range map[string]bool{
		"abc": false, "ab": false, "cde": false, "acd": true, "abde": true, "abcd": true, "ade": false,
	} {
		got := s.HasMajority(func(name string) bool { return strings.Contains(names, name) })
		if got != want {
			t.Errorf("%s: %v", names, got)
		}
	}
}
