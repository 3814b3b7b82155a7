// Package metrics holds the figures of a scheduler that its staff read: what became of ops, by category, and what the
// scheduler holds and knows now. Counts run from the start of the process. It does no input or output and reads no clock.
package metrics

import (
	"maps"
	"slices"
	"sync"
)

// mostCategories have figures of their own, those that are served before those that were; ops of the others count as other.
const mostCategories = 2048

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
	mu      sync.Mutex
	f       Metrics
	served  map[string]bool
	dropped []string // that have figures and are served no more, the last one last
}

// New starts with the categories that are served now: one without an op yet has figures too.
func New(categories []string) *Recorder {
	t := &Recorder{f: Metrics{Requests: map[string]OpCounts{}}}
	t.SetCategories(categories)
	return t
}

// SetCategories has figures for these categories. One that is served no more keeps its counts, since they run from the start, until
// others need the room: then those of the one that was dropped first become other.
func (t *Recorder) SetCategories(categories []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.served
	t.served = make(map[string]bool, len(categories))
	for _, c := range categories[:min(len(categories), mostCategories)] {
		t.served[c] = true
		if _, known := t.f.Requests[c]; !known {
			t.f.Requests[c] = OpCounts{}
		} else if !before[c] {
			t.dropped = slices.DeleteFunc(t.dropped, func(x string) bool { return x == c })
		}
	}
	for _, c := range slices.Sorted(maps.Keys(before)) {
		if !t.served[c] {
			t.dropped = append(t.dropped, c)
		}
	}
	for len(t.f.Requests) > mostCategories {
		t.f.Other.add(t.f.Requests[t.dropped[0]])
		delete(t.f.Requests, t.dropped[0])
		t.dropped = t.dropped[1:]
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
	t.f.OpsInFlight++
	t.f.RequestsRead++
}

// RequestEnded counts an op's one answer.
func (t *Recorder) RequestEnded(category string, how RequestEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.OpsInFlight--
	o, known := t.f.Requests[category]
	if !known { // one by one strangers' names would fill the memory
		o = t.f.Other
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
		t.f.Requests[category] = o
	} else {
		t.f.Other = o
	}
}

// AttemptSent counts a push that was written whole.
func (t *Recorder) AttemptSent(category string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.Attempts++
	if o, known := t.f.Requests[category]; known {
		o.Attempts++
		t.f.Requests[category] = o
	} else {
		t.f.Other.Attempts++
	}
}

// SetWorkers sets the workers in the list, and those of them that are avoided.
func (t *Recorder) SetWorkers(known, excluded int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.WorkersKnown, t.f.WorkersExcluded = known, excluded
}

// ConfigReloaded counts a configuration that was taken up or turned down.
func (t *Recorder) ConfigReloaded(taken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if taken {
		t.f.ReloadsOK++
	} else {
		t.f.ReloadsFailed++
	}
}

// AcceptFailed counts a failure of accept; it tells how many there were.
func (t *Recorder) AcceptFailed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.AcceptFailures++
	return t.f.AcceptFailures
}

// Snapshot are those of now.
func (t *Recorder) Snapshot() Metrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.f
	f.Requests = maps.Clone(f.Requests)
	return f
}
