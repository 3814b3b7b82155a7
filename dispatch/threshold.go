package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

const (
	// maxState is the paper's T_m. A higher job count is counted as maxState.
	maxState = 15
	// counterHalfLife is the period after which the counters are halved.
	counterHalfLife = 10 * second
	// maxHalvings limits the halvings after a long time without any. Counts that were halved so often are
	// negligible.
	maxHalvings = 99
	// entropyTolerance prevents rounding errors from preferring a later cut with the same entropy.
	entropyTolerance = 1e-12
)

// thresholdEstimator learns the paper's threshold T by Entropy Minimax (section 2.2): it counts how often a
// worker with a given number of jobs was idle one start delay later.
type thresholdEstimator struct {
	observed    [maxState + 1]float64 // a_l: readings in state l
	idleAfter   [maxState + 1]float64 // b_l: readings in state l after which the worker was idle
	startDelays []Time                // recent delays from a probe to the start of its job; their mean is tau
}

// pairReadings counts each earlier reading with the next reading, if that comes 0.5 tau to 2 tau later.
func (e *thresholdEstimator) pairReadings(earlier []reading, next reading) {
	tau := stats.Mean(e.startDelays)
	for k := range earlier {
		r := &earlier[k]
		gap := next.answeredAt - r.answeredAt
		if r.paired || 2*gap < tau || gap > 2*tau {
			continue
		}
		r.paired = true
		l := stateOf(r.load)
		e.observed[l]++
		e.idleAfter[l] += float64(stats.BoolToInt(isIdle(next.load)))
	}
}

func (e *thresholdEstimator) halve() {
	for l := range e.observed {
		e.observed[l] /= 2
		e.idleAfter[l] /= 2
	}
}

// threshold returns T: the state at which the partition of the readings has the least conditional entropy
// H(X|Y = l). The paper does not define T if all cuts have nearly the same entropy. A cut is not used if
// the states right of it mostly lead to idleness too: otherwise a fleet under low load would have T = 0,
// and idle workers would be High.
func (e *thresholdEstimator) threshold() (t int) {
	var all, allIdle float64 // A(L) + A(R), B(L) + B(R)
	for l := range e.observed {
		all += e.observed[l]
		allIdle += e.idleAfter[l]
	}
	least := math.Inf(1)
	var left, leftIdle float64 // A(L), B(L)
	for l := range e.observed {
		left += e.observed[l]
		leftIdle += e.idleAfter[l]
		right, rightIdle := all-left, allIdle-leftIdle
		h := (left*stats.Entropy(leftIdle/left) + right*stats.Entropy(rightIdle/right)) / all
		if right > 0 && 2*rightIdle > right {
			continue
		}
		if h < least-entropyTolerance {
			least, t = h, l
		}
	}
	return t
}

// isIdle extends the paper's "holds no jobs" to workers with several slots, which are hardly ever without a
// job.
func isIdle(l LoadReport) bool {
	if l.FreeSlots < 0 {
		return l.RunningJobs < 0.5
	}
	return l.FreeSlots >= 0.5 && l.QueuedJobs < 0.5
}

// stateOf returns the paper's state l, the number of jobs.
func stateOf(l LoadReport) int { return min(max(int(math.Round(l.RunningJobs)), 0), maxState) }

// halveCounters halves the counters of the threshold and of the affinity keys once for each period that has
// passed.
func (d *Dispatcher) halveCounters() {
	d.halvedAt = max(d.halvedAt, d.now-maxHalvings*counterHalfLife)
	for ; d.now-d.halvedAt >= counterHalfLife; d.halvedAt += counterHalfLife {
		d.estimator.halve()
		d.keys.halve()
	}
}

// learnThreshold pairs a worker's earlier readings with its next reading, once a start delay is known.
func (d *Dispatcher) learnThreshold(w *worker, next reading) {
	if len(d.estimator.startDelays) == 0 {
		return
	}
	d.halveCounters()
	d.estimator.pairReadings(w.readings, next)
}

func (d *Dispatcher) addStartDelay(delay Time) {
	d.estimator.startDelays = stats.AppendRecent(d.estimator.startDelays, delay)
}

// threshold returns the current T.
func (d *Dispatcher) threshold() int {
	d.halveCounters()
	return d.estimator.threshold()
}
