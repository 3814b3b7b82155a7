package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

// This file limits what this scheduler sends to a worker that is warming up, without knowledge of what the
// others send. docs/design.md describes the sum over all schedulers and its dispersion.

const (
	// demandHeadroom is the factor by which arrivals may grow before the ratio of ops that succeed shows
	// it.
	demandHeadroom = 1.5
	// maxCountedOps limits the ops that demandCounts covers, so that the ratio of drawn to succeeded ops
	// follows the present demand.
	maxCountedOps = 2 * stats.MaxRecent
)

// demandCounts counts the ops for which a worker was drawn, and those that succeeded.
type demandCounts struct{ drawn, succeeded float64 }

func (c *demandCounts) addDrawn() {
	c.drawn++
	if c.drawn > maxCountedOps {
		c.drawn /= 2
		c.succeeded /= 2
	}
}

func (c *demandCounts) addSucceeded() { c.succeeded++ }

// warmingUp reports whether a worker's process has started too recently to have its full capacity.
func (d *Dispatcher) warmingUp(w *worker) bool {
	return w.startedAt > 0 && d.now < w.startedAt+d.settings.SlowStart.WarmAfter
}

// capacityReached returns the fraction of its full capacity that a worker is certain to have.
func (d *Dispatcher) capacityReached(w *worker) float64 {
	if !d.warmingUp(w) {
		return 1
	}
	s := &d.settings.SlowStart
	return s.InitialCapacity + (1-s.InitialCapacity)*float64(d.now-w.startedAt)/float64(s.WarmAfter)
}

// slowStartBudget returns how many ops like this one the settings allow all schedulers together to send to
// a worker within the overload window: OverloadFactor times what the worker can do by now. Workers do not
// report their capacity. It is taken as the most slots seen at a worker of its kind, each busy with one
// such op after the other.
func (d *Dispatcher) slowStartBudget(o *op, w *worker) float64 {
	s := &d.settings.SlowStart
	slots := max(d.fleet.slots(w), 1)
	serviceTime := float64(max(d.expectedServiceTime(o), 1))
	return s.OverloadFactor * d.capacityReached(w) * slots * float64(s.OverloadWindow) / serviceTime
}

// meanWithinBudget returns the highest mean number of ops, as a fraction of a budget of n ops, at which
// random variation does not exceed n + 2 sqrt(n) + 2. Above that number a worker fails. It is about
// (sqrt(n) + 1)^2, and the standard deviation of the square root of a Poisson variable is about a half,
// whatever the mean of the variable.
func meanWithinBudget(n float64) float64 {
	root := math.Sqrt(n)
	return root / (root + 1) * root / (root + 1)
}

// demand returns the ratio of the arriving ops to what the fleet can do, at least 1. A scheduler that sees
// only a part of the ops can still measure this ratio: it is the number of ops per op that succeeds, times
// the fraction of their capacity that the ready workers have reached. Ops for which no worker was drawn are
// not counted: otherwise a fleet whose workers are all warming up would show ever more demand, and get ever
// fewer ops.
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

// admissionProbability returns the probability with which a warming worker is admitted to a pair that is
// drawn from the given number of workers. With hundreds of schedulers, most of them nearly idle, an equal
// part of the budget for each scheduler would be under one op per window, and new workers would be idle.
// But at full load, the ops of all schedulers together draw a worker for twice as many ops as it can do. A
// probability per op therefore limits the sum of all schedulers' ops. It limits the sum to the part of the
// budget that leaves a margin for random variation and for demandHeadroom. Where load reports prove
// accurate, it limits the sum to the whole budget, as most ops that probe the worker then find no capacity
// reported. A worker is drawn more often by later pairs of an op, while more ops arrive than the fleet can
// do, and when there are fewer workers to draw from. The probability is lower in these cases.
func (d *Dispatcher) admissionProbability(o *op, w *worker, from int) float64 {
	accurate := min(4*d.currentSummary().reportAccuracy-2.8, 1) // 1 if 19 of 20 starts were prompt, 0 at 14
	budgetPart := max(meanWithinBudget(d.slowStartBudget(o, w))/(demandHeadroom*d.demand()), accurate)
	draws := float64(max(d.fleet.ready, 1) * (1 + o.probes.rounds + o.attempts))
	return d.settings.SlowStart.OverloadFactor / 2 * d.capacityReached(w) * budgetPart * float64(from) / draws
}

// excludedBySlowStart draws whether a worker is excluded from an op's pair because it is warming up.
func (d *Dispatcher) excludedBySlowStart(o *op, w *worker, from int) bool {
	return d.warmingUp(w) && d.random.Float64() >= d.admissionProbability(o, w, from)
}
