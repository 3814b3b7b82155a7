package scheduler

import (
	"testing"

	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/workerconn"
)

// Within this process, a progress below 0 stands for a worker's acknowledgement. If a worker itself sends a
// negative progress in a job line, it counts as 0 and not as an acknowledgement.
func TestANegativeProgressInAJobLineIsNoAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		line workerconn.JobLine
		want reducer.AttemptProgressed
	}{
		"an acknowledgement": {
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
