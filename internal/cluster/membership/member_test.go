package membership

import "testing"

// A timeout shorter than a member's round trip causes false suspicions. A timeout that is too long delays
// the detection of the member's death.
func TestRTTEstimateBoundsTheTimeout(t *testing.T) {
	const probeTimeout = 250 * ms
	var r rttEstimate
	if got := r.timeout(probeTimeout); got != probeTimeout/2 {
		t.Errorf("without a measurement the timeout is %v, want half the probe timeout", got.Duration())
	}
	for range 100 {
		r.add(2 * ms)
	}
	if got := r.timeout(probeTimeout); got != probeTimeout/8 {
		t.Errorf("after round trips of 2 ms the timeout is %v, want an eighth of the probe timeout", got.Duration())
	}
	for range 100 {
		r.add(50 * ms)
	}
	if got := r.timeout(probeTimeout); got < 50*ms || got > probeTimeout/2 {
		t.Errorf("after round trips of 50 ms the timeout is %v", got.Duration())
	}
}
