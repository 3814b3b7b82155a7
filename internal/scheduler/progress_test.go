package scheduler

import (
	"testing"

	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/workerconn"
)

// A share below 0 means an acknowledgement inside the program alone: a worker that reports one has started, and no more.
func TestAShareBelowZeroIsNoAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		line workerconn.JobLine
		want reducer.AttemptProgressed
	}{
		"the head of an answer": {workerconn.JobLine{State: workerconn.StateAcknowledged, Progress: -1}, reducer.AttemptProgressed{Op: 7, Done: -1}},
		"a start":               {workerconn.JobLine{State: "started"}, reducer.AttemptProgressed{Op: 7, Started: true}},
		"a start below 0":       {workerconn.JobLine{State: "started", Progress: -0.5}, reducer.AttemptProgressed{Op: 7, Started: true}},
		"progress":              {workerconn.JobLine{State: "running", Progress: 0.5}, reducer.AttemptProgressed{Op: 7, Done: 0.5}},
	} {
		if got := progress(7, c.line); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
