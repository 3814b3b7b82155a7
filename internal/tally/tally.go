// Package tally holds the figures of a scheduler that its staff read: what became of ops, by category, and what the
// scheduler holds and knows now. Counts run from the start of the process. It does no input or output and reads no clock.
package tally

import (
	"maps"
	"sync"
)

const mostCategories = 256 // that have figures of their own; an op of one beyond them is in the sums only

// Ops are the counts of one category's ops.
type Ops struct {
	Served   int `json:"served"`   // acked
	Refused  int `json:"refused"`  // turned away or nacked: trying again is harmless
	Failed   int `json:"failed"`   // any other end
	Attempts int `json:"attempts"` // pushes written whole to workers
}

// Figures are all that staff read, at one moment.
type Figures struct {
	Requests        map[string]Ops `json:"requests"` // by category
	Attempts        int            `json:"attempts"` // of all categories
	InFlight        int            `json:"in_flight"`
	WorkersKnown    int            `json:"workers_known"`
	WorkersExcluded int            `json:"workers_excluded"`
	ReloadsOK       int            `json:"reloads_ok"`
	ReloadsFailed   int            `json:"reloads_failed"`
}

// End is how an op ended for its client.
type End int

// A refusal promises that trying again is harmless.
const (
	Served End = iota
	Refused
	Failed
)

// Tally keeps the figures. Its methods may be called from any goroutine, and none of them waits for more than the
// others' few instructions.
type Tally struct {
	mu sync.Mutex
	f  Figures
}

// New starts with the categories that are served now: one without an op yet has figures too.
func New(categories []string) *Tally {
	t := &Tally{f: Figures{Requests: map[string]Ops{}}}
	t.Serves(categories)
	return t
}

// Serves adds categories. One that is served no more keeps its counts, since they run from the start.
func (t *Tally) Serves(categories []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range categories {
		if _, known := t.f.Requests[c]; !known && len(t.f.Requests) < mostCategories {
			t.f.Requests[c] = Ops{}
		}
	}
}

// Took counts an op as held until Ended.
func (t *Tally) Took() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.InFlight++
}

// Ended counts an op's one answer.
func (t *Tally) Ended(category string, how End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.InFlight--
	t.count(category, how)
}

// TurnedAway counts an op that was answered at the door and never held.
func (t *Tally) TurnedAway(category string, how End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(category, how)
}

// count is of a category that is known: strangers' names would fill the memory.
func (t *Tally) count(category string, how End) {
	o, known := t.f.Requests[category]
	if !known {
		return
	}
	switch how {
	case Served:
		o.Served++
	case Refused:
		o.Refused++
	default:
		o.Failed++
	}
	t.f.Requests[category] = o
}

// Pushed counts a push that was written whole.
func (t *Tally) Pushed(category string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.Attempts++
	if o, known := t.f.Requests[category]; known {
		o.Attempts++
		t.f.Requests[category] = o
	}
}

// Fleet sets the workers in the list, and those of them that are avoided.
func (t *Tally) Fleet(known, excluded int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.WorkersKnown, t.f.WorkersExcluded = known, excluded
}

// Reread counts a configuration that was taken up or turned down.
func (t *Tally) Reread(taken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if taken {
		t.f.ReloadsOK++
	} else {
		t.f.ReloadsFailed++
	}
}

// Figures are those of now.
func (t *Tally) Figures() Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.f
	f.Requests = maps.Clone(f.Requests)
	return f
}
