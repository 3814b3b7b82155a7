// Package metrics has the counters and gauges that the console shows: how requests ended, by category, and
// the current state of the scheduler. Counters start with the process. The package does no input or output
// and reads no clock.
package metrics

import (
	"maps"
	"slices"
	"sync"
)

// maxCategories is the maximum number of categories with separate counts. If more categories are set, the
// first maxCategories of them get counts, and requests of the others are counted in Metrics.Other.
const maxCategories = 2048

// OpCounts are the counts of the ops of a category.
type OpCounts struct {
	Succeeded    int `json:"served"`   // acked
	Rejected     int `json:"refused"`  // rejected or nacked; a retry is harmless
	Failed       int `json:"failed"`   // any other answer
	Disconnected int `json:"gone"`     // the client disconnected before its answer was written
	Attempts     int `json:"attempts"` // attempts written completely to workers
}

// Metrics is a snapshot of all values that the console shows.
type Metrics struct {
	Requests        map[string]OpCounts `json:"requests"`       // by category
	RequestsRead    int                 `json:"requests_taken"` // ended or in flight, of all categories
	Other           OpCounts            `json:"other"`          // counts of requests without a known category
	Attempts        int                 `json:"attempts"`       // attempts of all categories
	Goroutines      int                 `json:"goroutines"`
	OpsInFlight     int                 `json:"in_flight"`
	WorkersKnown    int                 `json:"workers_known"`
	WorkersExcluded int                 `json:"workers_excluded"`
	ReloadsOK       int                 `json:"reloads_ok"`
	ReloadsFailed   int                 `json:"reloads_failed"`
	AcceptFailures  int                 `json:"accept_failures"` // temporary failures of accept
	Violations      map[string]uint64   `json:"violations"`      // violations of invariants, by rule
	LogLinesLost    uint64              `json:"log_lines_lost"`
	Members         *MemberCounts       `json:"members,omitempty"` // nil if this scheduler is not a member
}

// MemberCounts counts the other schedulers by their state as this scheduler sees it.
type MemberCounts struct {
	Alive     int `json:"here"`
	Suspect   int `json:"doubted"`
	Dead      int `json:"gone"`
	Left      int `json:"left"`
	Reachable int `json:"reachable"` // schedulers that this one reaches directly
}

// RequestEnd says how a request ended for its client.
type RequestEnd int

// The ends of a request.
const (
	Succeeded    RequestEnd = iota
	Rejected                // a retry is harmless
	Failed                  // a retry may cause harm
	Disconnected            // the client disconnected before the answer was written
)

// Recorder updates the metrics. Its methods may be called from any goroutine. They wait only for its mutex,
// which each method holds for a short time.
type Recorder struct {
	mu                sync.Mutex
	metrics           Metrics
	servedCategories  map[string]bool
	droppedCategories []string // no longer served but with counts, in the order of dropping
}

// New returns a recorder with counts for the categories.
func New(categories []string) *Recorder {
	r := &Recorder{metrics: Metrics{Requests: map[string]OpCounts{}}}
	r.SetCategories(categories)
	return r
}

// SetCategories sets the categories that are served. A dropped category keeps its counts, since counters run
// from the start of the process. If more than maxCategories categories have counts, the counts of those that
// were dropped first are moved to Metrics.Other.
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

// removeDropped removes a category that is served again from the dropped categories.
func (r *Recorder) removeDropped(category string) {
	isCategory := func(dropped string) bool { return dropped == category }
	r.droppedCategories = slices.DeleteFunc(r.droppedCategories, isCategory)
}

// mergeFirstDropped moves the counts of the category that was dropped first to Metrics.Other.
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

// RequestStarted counts a request, which is in flight until RequestEnded.
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

// update changes the counts of a category, or Metrics.Other if the category is unknown. Clients choose the
// names of categories, so counts for each name could fill the memory. The caller holds the mutex.
func (r *Recorder) update(category string, change func(*OpCounts)) {
	counts, known := r.metrics.Requests[category]
	if !known {
		change(&r.metrics.Other)
		return
	}
	change(&counts)
	r.metrics.Requests[category] = counts
}

// AttemptSent counts an attempt that was written completely to a worker.
func (r *Recorder) AttemptSent(category string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.Attempts++
	r.update(category, func(counts *OpCounts) { counts.Attempts++ })
}

// SetWorkers sets the number of workers in the endpoint list, and the number of them that are excluded.
func (r *Recorder) SetWorkers(known, excluded int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.WorkersKnown = known
	r.metrics.WorkersExcluded = excluded
}

// ConfigReloaded counts a reload, whose configuration was applied or rejected.
func (r *Recorder) ConfigReloaded(applied bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if applied {
		r.metrics.ReloadsOK++
	} else {
		r.metrics.ReloadsFailed++
	}
}

// AcceptFailed counts a failure of accept and returns the number of failures so far.
func (r *Recorder) AcceptFailed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.AcceptFailures++
	return r.metrics.AcceptFailures
}

// Snapshot returns a copy of the current metrics.
func (r *Recorder) Snapshot() Metrics {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.metrics
	snapshot.Requests = maps.Clone(snapshot.Requests)
	return snapshot
}
