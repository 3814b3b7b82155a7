package simclock

import (
	"slices"
	"testing"
)

// A simulation is reproducible only if its calls run in a fixed order: by time, and calls for the same time
// in the order in which they were scheduled.
func TestCallsRunByTimeThenInTheOrderOfScheduling(t *testing.T) {
	var c Clock[int64]
	var order []string
	record := func(name string) func() { return func() { order = append(order, name) } }
	c.At(20, record("late"))
	c.At(10, func() {
		order = append(order, "first")
		c.At(5, record("scheduled for the past"))
		c.At(10, record("scheduled for now"))
		if c.Now() != 10 {
			t.Errorf("the time of a call is %d, want 10", c.Now())
		}
	})
	c.At(10, record("second"))
	c.At(21, record("never"))
	c.Run(20)
	want := []string{"first", "second", "scheduled for the past", "scheduled for now", "late"}
	if !slices.Equal(order, want) {
		t.Errorf("ran %v, want %v", order, want)
	}
	if c.Now() != 20 {
		t.Errorf("the time is %d after a run until 20", c.Now())
	}
}
