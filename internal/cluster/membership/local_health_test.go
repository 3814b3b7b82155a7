package membership

import "testing"

// A process whose own timers were late may have missed acks, so its suspicions must last longer.
func TestOwnLatenessExtendsSuspicions(t *testing.T) {
	var health localHealth
	health.recordLateTick(10*second, second)
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
			t.Errorf("%s: the extension is %v, want %v", c.name, got.Duration(), c.want.Duration())
		}
	}
	health.recordLateTick(10*second, 60*second)
	health.recordLateTick(10*second, 100*ms)
	if got := health.suspicionExtension(10 * second); got != maxSuspicionExtension {
		t.Errorf("the extension is %v, want at most %v", got.Duration(), maxSuspicionExtension.Duration())
	}
	if health.lateness != 100*ms || health.maxLateness != 60*second {
		t.Errorf("lateness %v, want 100ms; maximum %v, want 1m0s",
			health.lateness.Duration(), health.maxLateness.Duration())
	}
}
