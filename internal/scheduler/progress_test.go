package scheduler

import (
	"testing"

	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/workerconn"
)

// A progress below 0 means an acknowledgement only within this process: in a job line of a worker it counts
// as 0.
func TestAShareBelowZeroIsNoAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		line workerconn.JobLine
		want reducer.AttemptProgressed
	}{
		"the head of an answer": {
			workerconn.JobLine{State: workerconn.StateAcknowledged, Progress: -1},
			reducer.AttemptProgressed{Op: 7, FractionDone: -1},
		},
		"a start": {
			workerconn.JobLine{State: "started"},
			reducer.AttemptProgressed{Op: 7, Started: true},
		},
		"a start with a progress below 0": {
			workerconn.JobLine{State: "started", Progress: -0.5},
			reducer.AttemptProgressed{Op: 7, Started: true},
		},
		"progress": {
			workerconn.JobLine{State: "running", Progress: 0.5},
			reducer.AttemptProgressed{Op: 7, FractionDone: 0.5},
		},
	} {
		if got := progressInput(7, c.line); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
