package peerload

import "testing"

// A scheduler that has died left its pushes in the others' counts for good.
func TestOnlyLastAndYoungWordsCount(t *testing.T) {
	var w Reports[int64]
	w.Set(3, 5, 10)
	w.Set(1, 2, 20)
	w.Set(3, 1, 30)
	for _, x := range []struct {
		now  int64
		want int
	}{{30, 3}, {45, 1}, {60, 0}} {
		if got := w.Sum(x.now, 20); got != x.want {
			t.Errorf("at %d: %d, want %d", x.now, got, x.want)
		}
	}
}
