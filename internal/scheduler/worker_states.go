package scheduler

import (
	"sync"
	"time"

	"woaddyke/internal/scheduler/reducer"
)

// minSweepSize is the number of workers above twice the count after the last sweep at which a delta starts
// the next sweep.
const minSweepSize = 1024

// workerStates records since when each worker has been draining. The loop updates it, and goroutines that
// write to workers query it.
type workerStates struct {
	drainGrace time.Duration

	mu            sync.Mutex
	drainingSince map[string]time.Time // zero for a worker that is ready
	sweepSize     int                  // number of workers that starts a sweep
}

func newWorkerStates(drainGrace time.Duration) *workerStates {
	return &workerStates{drainGrace: drainGrace, drainingSince: map[string]time.Time{}}
}

// update applies an endpoint list. The cost of a delta is proportional to its changes, except for an
// occasional sweep.
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

// sweep marks workers that a snapshot no longer lists as draining, and deletes those that have been draining
// for longer than MaxTTL: no attempt can be waiting for them.
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

// accepts reports whether a worker accepts attempts, or has been draining for no longer than the grace.
func (w *workerStates) accepts(worker string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.drainingSince[worker]
	return since.IsZero() || now.Sub(since) <= w.drainGrace
}
