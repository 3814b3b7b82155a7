package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

// How much a worker that is warming up is sent by this scheduler alone, without knowledge of what the
// others send. docs/design.md has the sum of what all send, and how far it is spread.

const (
	// demandHeadroom is by how much arrivals may grow before it shows in the ratio of ops that succeed.
	demandHeadroom = 1.5
	// maxCountedOps bounds the ops in the demand's ratio, so that it follows the present demand.
	maxCountedOps = 2 * stats.MaxRecent
)

// demandCounts counts ops for which a worker was drawn, and those that succeeded.
type demandCounts struct{ drawn, succeeded float64 }

func (c *demandCounts) addDrawn() {
	c.drawn++
	if c.drawn > maxCountedOps {
		c.drawn /= 2
		c.succeeded /= 2
	}
}

func (c *demandCounts) addSucceeded() { c.succeeded++ }

// warmingUp reports whether a worker's process has started too lately to have its full capacity.
func (d *Dispatcher) warmingUp(w *worker) bool {
	return w.startedAt > 0 && d.now < w.startedAt+d.settings.SlowStart.WarmAfter
}

// capacityReached is the fraction of its capacity that a worker has for sure.
func (d *Dispatcher) capacityReached(w *worker) float64 {
	if !d.warmingUp(w) {
		return 1
	}
	s := &d.settings.SlowStart
	return s.InitialCapacity + (1-s.InitialCapacity)*float64(d.now-w.startedAt)/float64(s.WarmAfter)
}

// slowStartBudget is how many ops like this one the settings allow all schedulers together to send to a
// worker within the overload window: the stated multiple of what it can do by now. Its capacity is
// reported nowhere; it is taken as the most slots that its kind has shown, each busy with one such op
// after the other.
func (d *Dispatcher) slowStartBudget(o *op, w *worker) float64 {
	s := &d.settings.SlowStart
	slots := max(d.fleet.slots(w), 1)
	serviceTime := float64(max(d.expectedServiceTime(o), 1))
	return s.OverloadFactor * d.capacityReached(w) * slots * float64(s.OverloadWindow) / serviceTime
}

// meanWithinBudget is the fraction of a budget of n that the mean may be, so that chance does not pass n
// + 2 sqrt(n) + 2, at which a worker fails. That is about (sqrt(n) + 1)^2, and a Poisson sum's deviation
// is a half on the scale of square roots, whatever its mean.
func meanWithinBudget(n float64) float64 {
	root := math.Sqrt(n)
	return root / (root + 1) * root / (root + 1)
}

// demand is the ops that arrive over what the fleet can do, 1 at least. A scheduler that sees a part of
// them sees their ratio: ops for each one that succeeds, times the fraction of their capacity that the
// ready workers have reached. Ops for which no worker was drawn don't count: a fleet that is all warming
// up would show ever more demand, and be sent ever less.
func (d *Dispatcher) demand() float64 {
	reached := 0.0
	for i := range d.fleet.workers {
		if w := &d.fleet.workers[i]; w.ready {
			reached += d.capacityReached(w)
		}
	}
	ratio := (d.demandCounts.drawn + 1) / (d.demandCounts.succeeded + 1)
	return max(ratio*reached/float64(max(d.fleet.ready, 1)), 1)
}

// admissionProbability is the chance with which a worker that is warming up takes part in a pair drawn
// from so many workers. Equal parts of the budget for all schedulers would be under one op a window among
// hundreds of them, most of which are quiet, and new workers would lie idle. But all ops ask a worker for
// twice what a fleet at full load can do there, whichever scheduler has them: a probability for each op
// keeps their sum to the part of the budget that leaves room for chance, and for demandHeadroom; to all
// of it where reports prove accurate, as most ops that probe then find no capacity reported. Later pairs
// of an op, more ops than the fleet can do, and fewer workers to draw from, ask more.
func (d *Dispatcher) admissionProbability(o *op, w *worker, from int) float64 {
	accurate := min(4*d.currentDigest().reportAccuracy-2.8, 1) // 1 from 19 starts in 20 on, none below 14
	part := max(meanWithinBudget(d.slowStartBudget(o, w))/(demandHeadroom*d.demand()), accurate)
	asking := float64(max(d.fleet.ready, 1) * (1 + o.probes.rounds + o.attempts))
	return d.settings.SlowStart.OverloadFactor / 2 * d.capacityReached(w) * part * float64(from) / asking
}

// excludedBySlowStart draws whether a worker is kept out of an op's pair, as it is warming up.
func (d *Dispatcher) excludedBySlowStart(o *op, w *worker, from int) bool {
	return d.warmingUp(w) && d.random.Float64() >= d.admissionProbability(o, w, from)
}
