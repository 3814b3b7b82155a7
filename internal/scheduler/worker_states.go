package scheduler

import (
	"sync"
	"time"

	"woaddyke/internal/scheduler/reducer"
)

// minSweepSize is the number of workers, beyond twice those of the last sweep, from which on a delta
// starts a sweep.
const minSweepSize = 1024

// workerStates knows since when each worker accepts nothing new. The loop updates it, and writers to
// workers ask it.
type workerStates struct {
	drainGrace time.Duration

	mu            sync.Mutex
	drainingSince map[string]time.Time // zero for a worker that is ready
	sweepSize     int                  // number of workers at which those that are gone for long are deleted
}

func newWorkerStates(drainGrace time.Duration) *workerStates {
	return &workerStates{drainGrace: drainGrace, drainingSince: map[string]time.Time{}}
}

// update applies an endpoint list. A delta costs what has changed, except for a sweep now and then.
func (w *workerStates) update(in reducer.EndpointsChanged, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range in.Endpoints {
		listed[e.Worker] = true
		switch since, known := w.drainingSince[e.Worker]; {
		case e.Ready:
			w.drainingSince[e.Worker] = time.Time{}
		case !known || since.IsZero():
			w.drainingSince[e.Worker] = now
		}
	}
	if in.Snapshot || len(w.drainingSince) >= w.sweepSize {
		w.sweep(in.Snapshot, listed, now)
	}
}

// sweep marks workers that a snapshot no longer lists, and deletes those for which no attempt can be waiting.
func (w *workerStates) sweep(snapshot bool, listed map[string]bool, now time.Time) {
	for worker, since := range w.drainingSince {
		switch {
		case snapshot && !listed[worker] && since.IsZero():
			w.drainingSince[worker] = now
		case !since.IsZero() && now.Sub(since) > MaxTTL:
			delete(w.drainingSince, worker)
		}
	}
	w.sweepSize = 2*len(w.drainingSince) + minSweepSize
}

// accepts tells whether a worker accepts attempts, or has been draining for less than the grace.
func (w *workerStates) accepts(worker string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.drainingSince[worker]
	return since.IsZero() || now.Sub(since) <= w.drainGrace
}
