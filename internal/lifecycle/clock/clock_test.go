package clock

import (
	"testing"
	"time"
)

// One moment, as two processes read it, is moved from the clock of one to that of the other by the
// difference of their offsets.
func TestMomentsMoveByTheDifferenceOfOffsets(t *testing.T) {
	first := New()
	time.Sleep(20 * time.Millisecond)
	second := New()
	now := time.Now()
	moved := first.FromTime(now) + int64(second.Offset()-first.Offset())
	if off := time.Duration(moved - second.FromTime(now)); off.Abs() > 5*time.Millisecond {
		t.Errorf("off by %v", off)
	}
	if first.FromTime(now)-second.FromTime(now) < int64(20*time.Millisecond) {
		t.Error("the later clock is not behind")
	}
}
