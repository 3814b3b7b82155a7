package peerload

import "testing"

// Only the latest report of a sender counts, and only until it reaches the maximum age. Otherwise the pushes
// of a scheduler that has died would stay in the sums of the others forever.
func TestSumCountsLatestAndRecentReportsOnly(t *testing.T) {
	var r Reports[int64]
	r.Set(3, 5, 10)
	r.Set(1, 2, 20)
	r.Set(3, 1, 30)
	for _, x := range []struct {
		now  int64
		want int
	}{{30, 3}, {45, 1}, {60, 0}} {
		if got := r.Sum(x.now, 20); got != x.want {
			t.Errorf("at %d: %d, want %d", x.now, got, x.want)
		}
	}
}
