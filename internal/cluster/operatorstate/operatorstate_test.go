package operatorstate

import (
	"slices"
	"testing"
)

// Words come late, twice and of processes that are no more: what is newest by the member's own count stands.
func TestNewestStateIsKept(t *testing.T) {
	b := New(0)
	if !b.SetOwn(7, false) || b.SetOwn(7, false) || !b.SetOwn(7, true) || b.Own().Sequence != 2 {
		t.Error("the own word is news when it differs, and only then")
	}
	for _, x := range []struct {
		life uint64
		w    State
	}{{2, State{8, true, 3}}, {2, State{7, false, 2}}, {1, State{9, false, 9}}, {2, State{9, false, 3}}} {
		b.Receive("n", x.life, x.w)
	}
	if !slices.Equal(b.DifferingMembers(), []string{"n"}) || !slices.Equal(b.DrainedMembers(), []string{"n"}) {
		t.Errorf("an older word stands: %v, %v", b.DifferingMembers(), b.DrainedMembers())
	}
	if b.Receive("n", 3, State{7, false, 1}); len(b.DifferingMembers())+len(b.DrainedMembers()) > 0 {
		t.Errorf("a later process counts from 1: %v, %v", b.DifferingMembers(), b.DrainedMembers())
	}
	b.Receive("m", 1, State{6, false, 1})
	if b.Forget("m"); len(b.DifferingMembers()) > 0 {
		t.Error("one that is gone differs still")
	}
}
