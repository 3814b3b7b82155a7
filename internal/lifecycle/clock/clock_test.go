package clock

import (
	"testing"
	"time"
)

// The difference between the offsets of two clocks converts a reading of one clock to a reading of the other.
func TestTimesConvertByTheDifferenceOfOffsets(t *testing.T) {
	first := New()
	time.Sleep(20 * time.Millisecond)
	second := New()
	now := time.Now()
	converted := first.FromTime(now) + int64(second.Offset()-first.Offset())
	if difference := time.Duration(converted - second.FromTime(now)); difference.Abs() > 5*time.Millisecond {
		t.Errorf("the converted reading differs by %v", difference)
	}
	if first.FromTime(now)-second.FromTime(now) < int64(20*time.Millisecond) {
		t.Error("the clock that was started later is not behind")
	}
}
