// Package metrics counts what the console shows: how requests ended, by category, and what a scheduler
// has and knows now. Counts run from the start of the process. It does no input or output and reads no
// clock.
package metrics

import (
	"maps"
	"slices"
	"sync"
)

// maxCategories is how many categories have counts of their own, those first that are served. The others'
// requests count as other.
const maxCategories = 2048

// OpCounts are the counts of one category's ops.
type OpCounts struct {
	Succeeded    int `json:"served"`   // acked
	Rejected     int `json:"refused"`  // rejected or nacked: a retry is harmless
	Failed       int `json:"failed"`   // any other answer
	Disconnected int `json:"gone"`     // the client disconnected before its answer was written
	Attempts     int `json:"attempts"` // completely written to workers
}

// Metrics are all that the console shows, at one moment.
type Metrics struct {
	Requests        map[string]OpCounts `json:"requests"`       // by category
	RequestsRead    int                 `json:"requests_taken"` // ended or in flight, of all categories
	Other           OpCounts            `json:"other"`          // of requests without a known category
	Attempts        int                 `json:"attempts"`       // of all categories
	Goroutines      int                 `json:"goroutines"`
	OpsInFlight     int                 `json:"in_flight"`
	WorkersKnown    int                 `json:"workers_known"`
	WorkersExcluded int                 `json:"workers_excluded"`
	ReloadsOK       int                 `json:"reloads_ok"`
	ReloadsFailed   int                 `json:"reloads_failed"`
	AcceptFailures  int                 `json:"accept_failures"` // after which accepting went on
	Violations      map[string]uint64   `json:"violations"`      // of invariants, by rule
	LogLinesLost    uint64              `json:"log_lines_lost"`
	Members         *MemberCounts       `json:"members,omitempty"` // nil where this scheduler is no member
}

// MemberCounts counts the other schedulers by their state in this one's view.
type MemberCounts struct {
	Alive     int `json:"here"`
	Suspect   int `json:"doubted"`
	Dead      int `json:"gone"`
	Left      int `json:"left"`
	Reachable int `json:"reachable"` // from here, directly
}

// RequestEnd is how a request ended for its client.
type RequestEnd int

// The ends of a request.
const (
	Succeeded    RequestEnd = iota
	Rejected                // a retry is harmless
	Failed                  // a retry may not be
	Disconnected            // before the answer was written
)

// Recorder counts. Its methods may be called from any goroutine, and wait only for one another's few
// instructions.
type Recorder struct {
	mu                sync.Mutex
	metrics           Metrics
	servedCategories  map[string]bool
	droppedCategories []string // that still have counts, in the order of their drop
}

// New returns a recorder for the categories that are served: each has counts from the start.
func New(categories []string) *Recorder {
	r := &Recorder{metrics: Metrics{Requests: map[string]OpCounts{}}}
	r.SetCategories(categories)
	return r
}

// SetCategories sets the categories that are served. One that is dropped keeps its counts, as they run
// from the start, until others need the space: then those of the one that was dropped first are added to
// other.
func (r *Recorder) SetCategories(categories []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.servedCategories
	r.servedCategories = make(map[string]bool, len(categories))
	for _, category := range categories[:min(len(categories), maxCategories)] {
		r.servedCategories[category] = true
		if _, known := r.metrics.Requests[category]; !known {
			r.metrics.Requests[category] = OpCounts{}
		} else if !before[category] {
			r.removeDropped(category)
		}
	}
	for _, category := range slices.Sorted(maps.Keys(before)) {
		if !r.servedCategories[category] {
			r.droppedCategories = append(r.droppedCategories, category)
		}
	}
	for len(r.metrics.Requests) > maxCategories {
		r.mergeFirstDropped()
	}
}

// removeDropped takes a category that is served again off the dropped ones.
func (r *Recorder) removeDropped(category string) {
	isCategory := func(dropped string) bool { return dropped == category }
	r.droppedCategories = slices.DeleteFunc(r.droppedCategories, isCategory)
}

// mergeFirstDropped adds the counts of the category that was dropped first to other.
func (r *Recorder) mergeFirstDropped() {
	category := r.droppedCategories[0]
	r.metrics.Other.add(r.metrics.Requests[category])
	delete(r.metrics.Requests, category)
	r.droppedCategories = r.droppedCategories[1:]
}

func (o *OpCounts) add(x OpCounts) {
	o.Succeeded += x.Succeeded
	o.Rejected += x.Rejected
	o.Failed += x.Failed
	o.Disconnected += x.Disconnected
	o.Attempts += x.Attempts
}

// RequestStarted counts a request as in flight until RequestEnded.
func (r *Recorder) RequestStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.OpsInFlight++
	r.metrics.RequestsRead++
}

// RequestEnded counts the end of a request.
func (r *Recorder) RequestEnded(category string, end RequestEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.OpsInFlight--
	r.update(category, func(counts *OpCounts) { counts.addEnd(end) })
}

func (o *OpCounts) addEnd(end RequestEnd) {
	switch end {
	case Succeeded:
		o.Succeeded++
	case Rejected:
		o.Rejected++
	case Disconnected:
		o.Disconnected++
	default:
		o.Failed++
	}
}

// update changes the counts of a category, with the lock held; of an unknown one, those of other. Clients
// choose the names, so that counts for each would fill the memory.
func (r *Recorder) update(category string, change func(*OpCounts)) {
	counts, known := r.metrics.Requests[category]
	if !known {
		change(&r.metrics.Other)
		return
	}
	change(&counts)
	r.metrics.Requests[category] = counts
}

// AttemptSent counts an attempt that was written completely.
func (r *Recorder) AttemptSent(category string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.Attempts++
	r.update(category, func(counts *OpCounts) { counts.Attempts++ })
}

// SetWorkers sets how many workers the endpoint list has, and how many of them are avoided.
func (r *Recorder) SetWorkers(known, excluded int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.WorkersKnown = known
	r.metrics.WorkersExcluded = excluded
}

// ConfigReloaded counts a configuration that was applied, or rejected.
func (r *Recorder) ConfigReloaded(applied bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if applied {
		r.metrics.ReloadsOK++
	} else {
		r.metrics.ReloadsFailed++
	}
}

// AcceptFailed counts a failure of accept, and returns how many there were.
func (r *Recorder) AcceptFailed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.AcceptFailures++
	return r.metrics.AcceptFailures
}

// Snapshot returns the counts of now.
func (r *Recorder) Snapshot() Metrics {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.metrics
	snapshot.Requests = maps.Clone(snapshot.Requests)
	return snapshot
}
