package scheduler

import (
	"sync"
	"time"

	"woaddyke/internal/scheduler/reducer"
)

// A delta starts a sweep once the number of workers reaches twice the number left after the last sweep, plus
// sweepMargin.
const sweepMargin = 1024

// workerStates records since when each worker has been draining. The loop updates it, and goroutines that
// write to workers query it.
type workerStates struct {
	drainGrace time.Duration

	mu            sync.Mutex
	drainingSince map[string]time.Time // zero for a worker that is ready
	sweepAt       int                  // number of workers at which a delta starts a sweep
}

func newWorkerStates(drainGrace time.Duration) *workerStates {
	return &workerStates{drainGrace: drainGrace, drainingSince: map[string]time.Time{}}
}

// update applies an endpoint list. The cost of a delta is proportional to its changes, unless it starts a
// sweep.
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
	if in.Snapshot || len(w.drainingSince) >= w.sweepAt {
		w.sweep(in.Snapshot, listed, now)
	}
}

// sweep marks a worker as draining if a snapshot no longer lists it. It deletes the workers that have been
// draining for longer than MaxTTL: no attempt can be waiting for them.
func (w *workerStates) sweep(snapshot bool, listed map[string]bool, now time.Time) {
	for worker, since := range w.drainingSince {
		switch {
		case snapshot && !listed[worker] && since.IsZero():
			w.drainingSince[worker] = now
		case !since.IsZero() && now.Sub(since) > MaxTTL:
			delete(w.drainingSince, worker)
		}
	}
	w.sweepAt = 2*len(w.drainingSince) + sweepMargin
}

// accepts reports whether attempts may go to a worker: the worker is not draining, or it has been draining
// for no longer than the grace.
func (w *workerStates) accepts(worker string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.drainingSince[worker]
	return since.IsZero() || now.Sub(since) <= w.drainGrace
}
