package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

// What a scheduler can tell by itself of how much a cold worker bears and of how much all of them ask. The lot is drawn in
// dispatch.go; docs/design.md has the sum of what all send, and how far it is spread.

// capacityReached is the share of its capacity that a worker has reached for sure.
func (d *Dispatcher) capacityReached(w *worker) float64 {
	if !d.warmingUp(w) {
		return 1
	}
	return d.settings.SlowStart.InitialCapacity + (1-d.settings.SlowStart.InitialCapacity)*float64(d.now-w.startedAt)/float64(d.settings.SlowStart.WarmAfter)
}

// slowStartBudget is how many ops like this one the terms let all schedulers together send to a worker in the span after which it
// falls: the stated multiple of what it can do by now. Nobody tells its capacity: that is the most slots that its kind has
// shown, each busy with one such op after the other.
func (d *Dispatcher) slowStartBudget(o *op, w *worker) float64 {
	slots := max(d.kinds[w.kind].maxFreeSlots, 1)
	return d.settings.SlowStart.OverloadFactor * d.capacityReached(w) * slots * float64(d.settings.SlowStart.OverloadWindow) / float64(max(d.expectedServiceTime(o), 1))
}

// meanWithinBudget is how much of a budget of n the mean may be, so that chance does not pass n + 2 sqrt(n) + 2, at which a worker falls.
// That is about (sqrt(n) + 1)^2, and a Poisson sum's spread is a half on the scale of square roots, whatever its mean.
func meanWithinBudget(n float64) float64 {
	root := math.Sqrt(n)
	return root / (root + 1) * root / (root + 1)
}

// countDemand counts ops that have asked some worker, and such that were served. Only the last few dozen tell of now.
func (d *Dispatcher) countDemand(asked, served int) {
	if d.opsAsking += float64(asked); d.opsAsking > 2*stats.Few {
		d.opsAsking, d.opsServed = d.opsAsking/2, d.opsServed/2
	}
	d.opsServed += float64(served)
}

// demand is the ops that come over what the fleet can do, 1 at least. Who sees a part of them sees their ratio: ops for each
// that is served, times the share of their capacity that the ready workers have reached. Ops that the lot kept from asking
// anybody don't count: a fleet that was all cold would have seen ever more demand, and been asked ever less.
func (d *Dispatcher) demand() float64 {
	able := 0.0
	for i := range d.workers {
		if w := &d.workers[i]; w.ready {
			able += d.capacityReached(w)
		}
	}
	return max((d.opsAsking+1)/(d.opsServed+1)*able/float64(max(d.ready, 1)), 1)
}

func (d *Dispatcher) warmingUp(w *worker) bool {
	return w.startedAt > 0 && d.now < w.startedAt+d.settings.SlowStart.WarmAfter
}

// excludedBySlowStart draws whether a cold worker is kept out of an op's pair. An equal share of the budget was under one
// op a span among hundreds of schedulers, most of them quiet: new workers lay idle. But all ops ask a worker
// for twice what a fleet at full load can do there, whoever sends them: a lot for each op keeps their sum to
// the part of the budget that leaves room for chance, and for half as many again; to all of it where reports
// prove true, as most that ask are then told of no room: at half a zone that was back lay idle. Later pairs
// of an op, more ops than the fleet can do, and fewer workers to draw from, ask more.
func (d *Dispatcher) excludedBySlowStart(o *op, w *worker, from int) bool {
	if !d.warmingUp(w) {
		return false
	}
	proven := min(4*d.currentDigest().reportAccuracy-2.8, 1) // 1 from 19 starts in 20 on, and nothing below 14
	part := max(meanWithinBudget(d.slowStartBudget(o, w))/(demandHeadroom*d.demand()), proven)
	lot := d.settings.SlowStart.OverloadFactor / 2 * d.capacityReached(w) * part * float64(from) / float64(max(d.ready, 1)*(1+o.probeRounds+o.attempts))
	return d.random.Uniform() >= lot
}
