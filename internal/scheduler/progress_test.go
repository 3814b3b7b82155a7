package scheduler

import (
	"testing"

	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/workerconn"
)

// A share below 0 means an acknowledgement inside the program alone: a worker that reports one has started, and no more.
func TestAShareBelowZeroIsNoAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		line workerconn.Line
		want reducer.AttemptProgressed
	}{
		"the head of an answer": {workerconn.Line{State: workerconn.StateAcknowledged, Share: -1}, reducer.AttemptProgressed{Op: 7, Done: -1}},
		"a start":               {workerconn.Line{State: "started"}, reducer.AttemptProgressed{Op: 7, Started: true}},
		"a start below 0":       {workerconn.Line{State: "started", Share: -0.5}, reducer.AttemptProgressed{Op: 7, Started: true}},
		"progress":              {workerconn.Line{State: "running", Share: 0.5}, reducer.AttemptProgressed{Op: 7, Done: 0.5}},
	} {
		if got := progress(7, c.line); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
