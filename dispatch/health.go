package dispatch

import "woaddyke/internal/base/sprt"

// When a worker, or the way to a zone, is suspected, and how often it is then still used.

const (
	// maxVerdictAge bounds the verdicts on a worker, a zone or the fleet that say something about now.
	maxVerdictAge = 15 * second
	// admissionDraws is how often a suspected worker has to be admitted by its sequential test.
	admissionDraws = 2
)

// Probabilities of failure that the sequential tests distinguish. A zone's are far apart, as a few failed
// workers in it do not make the zone unreachable.
const (
	workerOrdinaryFailure, workerSuspectedFailure = 0.05, 0.5
	zoneOrdinaryFailure, zoneSuspectedFailure     = 0.2, 0.9
)

func newWorkerTest() sprt.Test[Time] {
	return sprt.New(workerOrdinaryFailure, workerSuspectedFailure, maxVerdictAge)
}

func newZoneTest() sprt.Test[Time] {
	return sprt.New(zoneOrdinaryFailure, zoneSuspectedFailure, maxVerdictAge)
}

// recordVerdict counts an outcome for or against a worker and the way to its zone.
func (t *workerTable) recordVerdict(now Time, i int, ok bool) {
	w := &t.workers[i]
	t.zones[w.zone].Add(now, ok)
	w.health.Add(now, ok)
}

// admits draws whether a worker takes part. It draws twice: one that fails its ops at once holds few
// jobs, so it always looks Low.
func (d *Dispatcher) admits(w *worker) bool {
	for range admissionDraws {
		if !w.health.Admitted(d.now, &d.random) {
			return false
		}
	}
	return true
}
