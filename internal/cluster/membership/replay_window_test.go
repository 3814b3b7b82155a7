package membership

import "testing"

// A message that arrives twice, or too late, must not be accepted as new.
func TestReplayWindowRejectsRepeats(t *testing.T) {
	var w replayWindow
	for _, x := range []struct {
		n    uint64
		want bool
	}{
		{5, true}, {5, false}, {4, true}, {300, true}, {4, false}, {299, true}, {44, false}, {45, true},
		{1 << 40, true}, {300, false},
	} {
		if got := w.accept(x.n); got != x.want {
			t.Errorf("sequence number %d: accept returned %v, want the opposite", x.n, got)
		}
	}
}
