package loadreport

import (
	"testing"

	"woaddyke/dispatch"
)

// A missing value, or one that is not a number, must not be read as no jobs or no free slots.
func TestMissingFieldsAreUnreported(t *testing.T) {
	format := NewFormat([]Field{{"pending", "pending"}, {"busy_reqs", "busy_reqs"}, {"x0", "free memory"}, {"x1", "free slots"}, {"age", "age"}})
	none := dispatch.LoadReport{RunningJobs: -1, QueuedJobs: -1, FreeSlots: -1, FreeMemory: -1}
	for name, c := range map[string]struct {
		object string
		want   dispatch.LoadReport
		fails  bool
	}{
		"all":        {`{"pending":1,"busy_reqs":2,"x0":3,"x1":4,"age":5}`, dispatch.LoadReport{RunningJobs: 2, QueuedJobs: 1, FreeSlots: 4, FreeMemory: 3}, false},
		"some":       {`{"busy_reqs":0,"other":7}`, dispatch.LoadReport{RunningJobs: 0, QueuedJobs: -1, FreeSlots: -1, FreeMemory: -1}, false},
		"null":       {`{"busy_reqs":null}`, none, false},
		"empty text": {"", none, false},
		"an array":   {"[1]", none, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := format.FromJSON([]byte(c.object))
			if got != c.want || (err != nil) != c.fails {
				t.Errorf("got %+v, error %v; want %+v, error %v", got, err, c.want, c.fails)
			}
		})
	}
	for length, want := range map[int]dispatch.LoadReport{
		0: none,
		1: {RunningJobs: -1, QueuedJobs: 9, FreeSlots: -1, FreeMemory: -1},
		6: {RunningJobs: 8, QueuedJobs: 9, FreeSlots: 6, FreeMemory: 7},
	} {
		if got := format.FromRow([]float64{9, 8, 7, 6, 5, 4}[:length]); got != want {
			t.Errorf("row of %d values: %+v, want %+v", length, got, want)
		}
	}
}
