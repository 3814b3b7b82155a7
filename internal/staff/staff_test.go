package staff

import (
	"slices"
	"testing"
)

// Words come late, twice and of processes that are no more: what is newest by the member's own count stands.
func TestTheNewestWordStands(t *testing.T) {
	b := New(0)
	if !b.Mine(7, false) || b.Mine(7, false) || !b.Mine(7, true) || b.Own().N != 2 {
		t.Error("the own word is news when it differs, and only then")
	}
	for _, x := range []struct {
		life uint64
		w    Word
	}{{2, Word{8, true, 3}}, {2, Word{7, false, 2}}, {1, Word{9, false, 9}}, {2, Word{9, false, 3}}} {
		b.Heard("n", x.life, x.w)
	}
	if !slices.Equal(b.Differ(), []string{"n"}) || !slices.Equal(b.Away(), []string{"n"}) {
		t.Errorf("an older word stands: %v, %v", b.Differ(), b.Away())
	}
	if b.Heard("n", 3, Word{7, false, 1}); len(b.Differ())+len(b.Away()) > 0 {
		t.Errorf("a later process counts from 1: %v, %v", b.Differ(), b.Away())
	}
	b.Heard("m", 1, Word{6, false, 1})
	if b.Lost("m"); len(b.Differ()) > 0 {
		t.Error("one that is gone differs still")
	}
}
