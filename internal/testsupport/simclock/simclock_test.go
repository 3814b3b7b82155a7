package simclock

import (
	"slices"
	"testing"
)

// A simulation is reproducible only if its calls run in one order: by time, and of one moment as they were
// planned.
func TestCallsRunInOneOrder(t *testing.T) {
	var c Clock[int64]
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	c.At(20, note("late"))
	c.At(10, func() {
		order = append(order, "first")
		c.At(5, note("planned for the past"))
		c.At(10, note("planned for now"))
		if c.Now() != 10 {
			t.Errorf("the time of a call is %d, want 10", c.Now())
		}
	})
	c.At(10, note("second"))
	c.At(21, note("never"))
	c.Run(20)
	want := []string{"first", "second", "planned for the past", "planned for now", "late"}
	if !slices.Equal(order, want) {
		t.Errorf("ran %v, want %v", order, want)
	}
	if c.Now() != 20 {
		t.Errorf("the time is %d after a run until 20", c.Now())
	}
}
