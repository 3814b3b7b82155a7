package membership

import "testing"

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
			t.Errorf("%s: %v, want %v", c.name, got.Duration(), c.want.Duration())
		}
	}
	health.noteLate(10*second, 60*second)
	health.noteLate(10*second, 100*ms)
	if got := health.suspicionExtension(10 * second); got != maxExtension {
		t.Errorf("the extension is %v, at most %v", got.Duration(), maxExtension.Duration())
	}
	if health.lateness != 100*ms || health.maxLateness != 60*second {
		t.Errorf("late by %v, at most %v", health.lateness.Duration(), health.maxLateness.Duration())
	}
}
