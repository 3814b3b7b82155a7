package membership

import "testing"

// Each confirmation by another member must shorten a suspicion. Without confirmations the suspect must
// have MaxSuspicion to refute it.
func TestConfirmationsShortenASuspicion(t *testing.T) {
	n, m := newPeerInState(t, Alive)
	for _, name := range []string{"c", "d", "e", "f"} {
		n.merge(aliveRecord(name, 1))
	}
	n.probeFailed(m)
	span := func() Time { return n.suspicionDeadline(m) - m.suspicion.startedAt }
	if got := span(); got != n.config.MaxSuspicion {
		t.Errorf("without a confirmation the span is %v, want %v", got.Duration(), n.config.MaxSuspicion.Duration())
	}
	before := span()
	for _, reporter := range []string{"c", "d", "e"} {
		n.confirmSuspicion(m, reporter)
		if got := span(); got >= before {
			t.Errorf("with %s's confirmation the span is %v, before %v", reporter, got.Duration(), before.Duration())
		}
		before = span()
	}
	if before != n.config.MinSuspicion {
		t.Errorf("with all confirmations the span is %v, want %v", before.Duration(), n.config.MinSuspicion.Duration())
	}
	n.confirmSuspicion(m, "e")
	n.confirmSuspicion(m, "f")
	if len(m.suspicion.confirmations) != 1+maxConfirmations {
		t.Errorf("confirmations of %v are counted, want at most 1 + maxConfirmations", m.suspicion.confirmations)
	}
}
