package dispatch

import "woaddyke/internal/base/sprt"

// This file decides when a worker, or the connection to a zone, is suspected, and how often it is still
// used then.

const (
	// maxVerdictAge is the age up to which a verdict on a worker, a zone or the fleet counts.
	maxVerdictAge = 15 * second
	// admissionDraws is the number of random draws for a worker. A suspected worker is a candidate for an op
	// only if its sequential test admits it in each draw.
	admissionDraws = 2
)

// Failure rates that the sequential tests distinguish. Those of a zone are far apart, as a few failed
// workers in it do not make the zone unreachable.
const (
	workerNormalFailureRate, workerSuspectedFailureRate = 0.05, 0.5
	zoneNormalFailureRate, zoneSuspectedFailureRate     = 0.2, 0.9
)

func newWorkerTest() sprt.Test[Time] {
	return sprt.New(workerNormalFailureRate, workerSuspectedFailureRate, maxVerdictAge)
}

func newZoneTest() sprt.Test[Time] {
	return sprt.New(zoneNormalFailureRate, zoneSuspectedFailureRate, maxVerdictAge)
}

// recordVerdict counts an outcome for or against a worker and the connection to its zone.
func (t *workerTable) recordVerdict(now Time, i int, ok bool) {
	w := &t.workers[i]
	t.zones[w.zone].Add(now, ok)
	w.health.Add(now, ok)
}

// admits draws whether a worker is a candidate. It draws twice: a worker that fails its ops at once has few
// jobs, so it always looks Low.
func (d *Dispatcher) admits(w *worker) bool {
	for range admissionDraws {
		if !w.health.Admitted(d.now, &d.random) {
			return false
		}
	}
	return true
}
