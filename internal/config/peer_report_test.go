package config

import "testing"

// A peer report that is truncated, or about an unknown worker, must not be counted for another worker.
func TestInvalidPeerReportsAreRejected(t *testing.T) {
	tags := map[string]int{WorkerTag("w1"): 1, WorkerTag("w2"): 2}
	for _, n := range []int{0, 1, 35, 63, 900} {
		if i, got, ok := DecodePeerReport(EncodePeerReport("w2", n), tags); i != 2 || got != min(n, 63) || !ok {
			t.Errorf("count %d is decoded as worker %d, count %d, %v", n, i, got, ok)
		}
	}
	w1 := WorkerTag("w1")
	for _, text := range []string{"", "w", w1, w1 + "!", w1 + "11", EncodePeerReport("w3", 1)} {
		if _, _, ok := DecodePeerReport(text, tags); ok {
			t.Errorf("%q is decoded as a peer report", text)
		}
	}
}
