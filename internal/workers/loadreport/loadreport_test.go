package loadreport

import (
	"testing"

	"woaddyke/dispatch"
)

// A value that a report lacks, and one that is no number, must not be taken for no jobs or no free slots.
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
		"a row":      {"[1]", none, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := format.FromJSON([]byte(c.object))
			if got != c.want || (err != nil) != c.fails {
				t.Errorf("%+v, error %v; want %+v, an error: %v", got, err, c.want, c.fails)
			}
		})
	}
	for length, want := range map[int]dispatch.LoadReport{
		0: none,
		1: {RunningJobs: -1, QueuedJobs: 9, FreeSlots: -1, FreeMemory: -1},
		6: {RunningJobs: 8, QueuedJobs: 9, FreeSlots: 6, FreeMemory: 7},
	} {
		if got := format.FromRow([]float64{9, 8, 7, 6, 5, 4}[:length]); got != want {
			t.Errorf("a row of %d values: %+v, want %+v", length, got, want)
		}
	}
}
