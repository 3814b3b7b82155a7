// Package metrics holds the figures of a scheduler that its staff read: what became of ops, by category, and what the
// scheduler holds and knows now. Counts run from the start of the process. It does no input or output and reads no clock.
package metrics

import (
	"maps"
	"slices"
	"sync"
)

// maxCategories have figures of their own, those that are served before those that were; ops of the others count as other.
const maxCategories = 2048

// OpCounts are the counts of one category's ops.
type OpCounts struct {
	Succeeded    int `json:"served"`   // acked
	Rejected     int `json:"refused"`  // turned away or nacked: trying again is harmless
	Failed       int `json:"failed"`   // any other answer
	Disconnected int `json:"gone"`     // the client had left before its answer was written
	Attempts     int `json:"attempts"` // pushes written whole to workers
}

// Metrics are all that staff read, at one moment.
type Metrics struct {
	Requests        map[string]OpCounts `json:"requests"`       // by category
	RequestsRead    int                 `json:"requests_taken"` // requests whose fate is in the other figures, of all categories and none
	Other           OpCounts            `json:"other"`          // of what has no category that is known
	Attempts        int                 `json:"attempts"`       // of all categories
	Goroutines      int                 `json:"goroutines"`
	OpsInFlight     int                 `json:"in_flight"`
	WorkersKnown    int                 `json:"workers_known"`
	WorkersExcluded int                 `json:"workers_excluded"`
	ReloadsOK       int                 `json:"reloads_ok"`
	ReloadsFailed   int                 `json:"reloads_failed"`
	AcceptFailures  int                 `json:"accept_failures"` // of the system, waited out
	Violations      map[string]uint64   `json:"violations"`      // of rules that are guarded while it runs, by rule
	LogLinesLost    uint64              `json:"log_lines_lost"`
	Members         *MemberCounts       `json:"members,omitempty"` // the other schedulers, where this one is a member
}

// MemberCounts counts the other schedulers by how they are held here.
type MemberCounts struct {
	Alive     int `json:"here"`
	Suspect   int `json:"doubted"`
	Dead      int `json:"gone"`
	Left      int `json:"left"`
	Reachable int `json:"reachable"` // from here, directly
}

// RequestEnd is how an op ended for its client.
type RequestEnd int

// A refusal promises that trying again is harmless.
const (
	Succeeded RequestEnd = iota
	Rejected
	Failed
	Disconnected
)

// Recorder keeps the figures. Its methods may be called from any goroutine, and none of them waits for more than the
// others' few instructions.
type Recorder struct {
	mu                sync.Mutex
	metrics           Metrics
	servedCategories  map[string]bool
	droppedCategories []string // that have figures and are served no more, the last one last
}

// New starts with the categories that are served now: one without an op yet has figures too.
func New(categories []string) *Recorder {
	t := &Recorder{metrics: Metrics{Requests: map[string]OpCounts{}}}
	t.SetCategories(categories)
	return t
}

// SetCategories has figures for these categories. One that is served no more keeps its counts, since they run from the start, until
// others need the room: then those of the one that was dropped first become other.
func (t *Recorder) SetCategories(categories []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.servedCategories
	t.servedCategories = make(map[string]bool, len(categories))
	for _, c := range categories[:min(len(categories), maxCategories)] {
		t.servedCategories[c] = true
		if _, known := t.metrics.Requests[c]; !known {
			t.metrics.Requests[c] = OpCounts{}
		} else if !before[c] {
			t.droppedCategories = slices.DeleteFunc(t.droppedCategories, func(x string) bool { return x == c })
		}
	}
	for _, c := range slices.Sorted(maps.Keys(before)) {
		if !t.servedCategories[c] {
			t.droppedCategories = append(t.droppedCategories, c)
		}
	}
	for len(t.metrics.Requests) > maxCategories {
		t.metrics.Other.add(t.metrics.Requests[t.droppedCategories[0]])
		delete(t.metrics.Requests, t.droppedCategories[0])
		t.droppedCategories = t.droppedCategories[1:]
	}
}

func (o *OpCounts) add(x OpCounts) {
	o.Succeeded, o.Rejected, o.Failed, o.Disconnected = o.Succeeded+x.Succeeded, o.Rejected+x.Rejected, o.Failed+x.Failed, o.Disconnected+x.Disconnected
	o.Attempts += x.Attempts
}

// RequestStarted counts an op as held until Ended.
func (t *Recorder) RequestStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.OpsInFlight++
	t.metrics.RequestsRead++
}

// RequestEnded counts an op's one answer.
func (t *Recorder) RequestEnded(category string, how RequestEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.OpsInFlight--
	o, known := t.metrics.Requests[category]
	if !known { // one by one strangers' names would fill the memory
		o = t.metrics.Other
	}
	switch how {
	case Succeeded:
		o.Succeeded++
	case Rejected:
		o.Rejected++
	case Disconnected:
		o.Disconnected++
	default:
		o.Failed++
	}
	if known {
		t.metrics.Requests[category] = o
	} else {
		t.metrics.Other = o
	}
}

// AttemptSent counts a push that was written whole.
func (t *Recorder) AttemptSent(category string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.Attempts++
	if o, known := t.metrics.Requests[category]; known {
		o.Attempts++
		t.metrics.Requests[category] = o
	} else {
		t.metrics.Other.Attempts++
	}
}

// SetWorkers sets the workers in the list, and those of them that are avoided.
func (t *Recorder) SetWorkers(known, excluded int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.WorkersKnown, t.metrics.WorkersExcluded = known, excluded
}

// ConfigReloaded counts a configuration that was taken up or turned down.
func (t *Recorder) ConfigReloaded(taken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if taken {
		t.metrics.ReloadsOK++
	} else {
		t.metrics.ReloadsFailed++
	}
}

// AcceptFailed counts a failure of accept; it tells how many there were.
func (t *Recorder) AcceptFailed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.AcceptFailures++
	return t.metrics.AcceptFailures
}

// Snapshot are those of now.
func (t *Recorder) Snapshot() Metrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.metrics
	f.Requests = maps.Clone(f.Requests)
	return f
}
