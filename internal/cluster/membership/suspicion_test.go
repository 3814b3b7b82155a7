package membership

import "testing"

// A suspicion that others confirm ends earlier; one that nobody confirms leaves the member the longest time
// to refute.
func TestConfirmationsShortenASuspicion(t *testing.T) {
	n, m := peerIn(t, Alive)
	for _, name := range []string{"c", "d", "e", "f"} {
		n.merge(aliveRecord(name, 1))
	}
	n.probeFailed(m)
	span := func() Time { return n.suspicionDeadline(m) - m.suspicion.startedAt }
	if got := span(); got != n.config.MaxSuspicion {
		t.Errorf("without a confirmation it lasts %v, want %v", durationOf(got), durationOf(n.config.MaxSuspicion))
	}
	before := span()
	for _, reporter := range []string{"c", "d", "e"} {
		n.confirmSuspicion(m, reporter)
		if got := span(); got >= before {
			t.Errorf("with %s's confirmation it lasts %v, before %v", reporter, durationOf(got), durationOf(before))
		}
		before = span()
	}
	if before != n.config.MinSuspicion {
		t.Errorf("with all of them it lasts %v, want %v", durationOf(before), durationOf(n.config.MinSuspicion))
	}
	n.confirmSuspicion(m, "e")
	n.confirmSuspicion(m, "f")
	if len(m.suspicion.confirmations) != 1+maxConfirmations {
		t.Errorf("confirmations of %v are counted", m.suspicion.confirmations)
	}
}

// A process that was late itself must give others more time.
func TestOwnLatenessExtendsSuspicions(t *testing.T) {
	var health localHealth
	health.noteLate(10*second, second)
	for _, c := range []struct {
		name      string
		now, want Time
	}{
		{"at once", 10 * second, second},
		{"after half of the decay", 10*second + extensionDecay/2, second / 2},
		{"after the decay", 10*second + extensionDecay, 0},
		{"long after", 10*second + 2*extensionDecay, 0},
	} {
		if got := health.suspicionExtension(c.now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, durationOf(got), durationOf(c.want))
		}
	}
	health.noteLate(10*second, 60*second)
	health.noteLate(10*second, 100*ms)
	if got := health.suspicionExtension(10 * second); got != maxExtension {
		t.Errorf("the extension is %v, at most %v", durationOf(got), durationOf(maxExtension))
	}
	if health.lateness != 100*ms || health.maxLateness != 60*second {
		t.Errorf("late by %v, at most %v", durationOf(health.lateness), durationOf(health.maxLateness))
	}
}
