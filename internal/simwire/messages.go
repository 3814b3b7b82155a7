package simwire

import (
	"encoding/json"

	"woaddyke/dispatch"
)

// batch is one line of input: the inputs of several schedulers at one point in time.
type batch struct {
	WallNs *int64  `json:"wallNs"`
	Groups []group `json:"groups"`
}

// group holds the inputs of one scheduler.
type group struct {
	SchedulerID string            `json:"schedulerId"`
	Items       []json.RawMessage `json:"items"`
}

// item is one input of any kind. The Go names are the terms of this project; the tags are the names in the
// protocol. Text is the peer message that the scheduler Sender sent.
type item struct {
	M           string         `json:"m"` // the kind of input
	Seed        json.Number    `json:"prng"`
	Settings    map[string]any `json:"setup"`
	Scope       string         `json:"scope"`
	Records     []workerRecord `json:"records"`
	Op          string         `json:"req"`
	Category    int            `json:"lane"`
	TTLNs       int64          `json:"validUntilNs"` // the moment at which the client gives up
	Slots       float64        `json:"slots"`
	Memory      float64        `json:"memory"`
	WorkNs      int64          `json:"workNs"`
	Sender      int            `json:"by"`
	Text        string         `json:"contents"`
	AffinityKey string         `json:"routeKey"`
	Attempt     int            `json:"leg"`
	Worker      string         `json:"worker"`
	OutcomeCode int            `json:"how"` // see parseOutcome
	ElapsedNs   int64          `json:"elapsedNs"`
	Finished    bool           `json:"over"`
	Done        float64        `json:"level"`
	Topic       int            `json:"topic"` // startTopic, or any other topic for a progress report
	LoadReport  []float64      `json:"healthInfo"`
}

// workerRecord is one worker of an endpoint list.
type workerRecord struct {
	Zone         int    `json:"locality"`
	Worker       string `json:"worker"`
	Availability string `json:"availability"`
	WorkerGroup  int    `json:"unitGroup"`
	StartedNs    int64  `json:"sinceNs"`
	MachineKind  int    `json:"classOfHost"`
}

const (
	scopeChanges = "changes" // a delta
	scopeRefused = "refused" // discovery has no list. Any scope but these two is a snapshot
	available    = "ready"
	startTopic   = 1  // the worker has started the job
	succeeded    = 10 // outcome code of a successful attempt or probe
)

// parseOutcome maps an outcome code of the protocol to the outcome of an attempt or a probe.
func parseOutcome(code int) dispatch.Outcome {
	switch code {
	case succeeded:
		return dispatch.Succeeded
	case 30:
		return dispatch.Rejected
	case 40:
		return dispatch.TimedOut
	case 50:
		return dispatch.Unreachable
	case 60:
		return dispatch.ConnectionLost
	case 70:
		return dispatch.Cancelled
	case 80:
		return dispatch.NotSent
	}
	return dispatch.Failed // after an unknown outcome the op may have run
}
