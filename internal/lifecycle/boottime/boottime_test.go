package boottime

import (
	"testing"
	"time"
)

// The time between two readings is unknown if the machine was started in between, or the earlier reading is
// ahead of the later one.
func TestElapsedTimeIsKnownOnlyWithinOneBoot(t *testing.T) {
	at := Reading{"a", 5 * time.Second}
	for _, c := range []struct {
		earlier Reading
		want    time.Duration
		known   bool
	}{
		{Reading{"a", 2 * time.Second}, 3 * time.Second, true},
		{Reading{"a", 5 * time.Second}, 0, true},
		{Reading{"a", 6 * time.Second}, 0, false},
		{Reading{"b", 2 * time.Second}, 0, false},
		{Reading{"", 2 * time.Second}, 0, false},
	} {
		if got, known := at.After(c.earlier); got != c.want || known != c.known {
			t.Errorf("%v after %v: %v, %v", at, c.earlier, got, known)
		}
	}
	if _, known := (Reading{"", 2}).After(Reading{"", 1}); known {
		t.Error("readings without a boot ID are treated as readings of the same boot")
	}
}

func TestReadingsAdvance(t *testing.T) {
	first := Now()
	time.Sleep(time.Millisecond)
	if elapsed, known := Now().After(first); first.BootID != "" && (!known || elapsed < time.Millisecond || elapsed > time.Minute) {
		t.Errorf("elapsed %v, known %v", elapsed, known)
	}
}
