package boottime

import (
	"testing"
	"time"
)

// Between two starts of the machine, or with a clock that went back, nothing is known of how long it
// was.
func TestHowLongIsKnownWithinOneStartAlone(t *testing.T) {
	at := Reading{"a", 5 * time.Second}
	for _, c := range []struct {
		before Reading
		want   time.Duration
		known  bool
	}{
		{Reading{"a", 2 * time.Second}, 3 * time.Second, true},
		{Reading{"a", 5 * time.Second}, 0, true},
		{Reading{"a", 6 * time.Second}, 0, false},
		{Reading{"b", 2 * time.Second}, 0, false},
		{Reading{"", 2 * time.Second}, 0, false},
	} {
		if got, known := at.After(c.before); got != c.want || known != c.known {
			t.Errorf("%v after %v: %v, %v", at, c.before, got, known)
		}
	}
	if _, known := (Reading{"", 2}).After(Reading{"", 1}); known {
		t.Error("two starts that can't be told apart are taken for one")
	}
}

func TestTheMachinesClockGoesOn(t *testing.T) {
	first := Now()
	time.Sleep(time.Millisecond)
	if span, known := Now().After(first); first.BootID != "" && (!known || span < time.Millisecond || span > time.Minute) {
		t.Errorf("%v, %v", span, known)
	}
}
