package simwire

import (
	"encoding/json"

	"woaddyke/dispatch"
)

// batch is one line of input: what schedulers get at a moment.
type batch struct {
	WallNs *int64  `json:"wallNs"`
	Groups []group `json:"groups"`
}

// group is what one scheduler gets.
type group struct {
	SchedulerID string            `json:"schedulerId"`
	Items       []json.RawMessage `json:"items"`
}

// item is one input of any kind. The wire's words stand in the tags alone.
type item struct {
	M           string         `json:"m"` // its kind
	Seed        json.Number    `json:"prng"`
	Settings    map[string]any `json:"setup"`
	Scope       string         `json:"scope"`
	Records     []record       `json:"records"`
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
	How         int            `json:"how"` // a code of outcomeOf
	ElapsedNs   int64          `json:"elapsedNs"`
	Finished    bool           `json:"over"`
	Done        float64        `json:"level"`
	Topic       int            `json:"topic"` // startTopic, or a report of progress
	LoadReport  []float64      `json:"healthInfo"`
}

// record is one worker of an endpoint list.
type record struct {
	Zone         int    `json:"locality"`
	Worker       string `json:"worker"`
	Availability string `json:"availability"`
	WorkerGroup  int    `json:"unitGroup"`
	StartedNs    int64  `json:"sinceNs"`
	MachineKind  int    `json:"classOfHost"`
}

const (
	scopeChanges = "changes" // a delta
	scopeRefused = "refused" // no list; every other scope is a snapshot
	available    = "ready"
	startTopic   = 1  // the job has started
	succeeded    = 10 // the code of an attempt or a probe that was served
)

// outcomeOf maps the wire's code of how an attempt or a probe ended.
func outcomeOf(how int) dispatch.Outcome {
	switch how {
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
	return dispatch.Failed // an outcome that is not known here may have run
}
