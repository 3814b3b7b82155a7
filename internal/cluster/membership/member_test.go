package membership

import "testing"

// A probe that waits shorter than a member takes to answer would suspect it; one that waits too long finds
// its death late.
func TestRTTEstimateBoundsTheTimeout(t *testing.T) {
	const probeTimeout = 250 * ms
	var r rttEstimate
	if got := r.timeout(probeTimeout); got != probeTimeout/2 {
		t.Errorf("without a measurement it is %v", got.Duration())
	}
	for range 100 {
		r.add(2 * ms)
	}
	if got := r.timeout(probeTimeout); got != probeTimeout/8 {
		t.Errorf("after short round trips it is %v", got.Duration())
	}
	for range 100 {
		r.add(50 * ms)
	}
	if got := r.timeout(probeTimeout); got < 50*ms || got > probeTimeout/2 {
		t.Errorf("after round trips of 50 ms it is %v", got.Duration())
	}
}
