package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// This file chooses the worker that an op is pushed to, from those that were probed.

const (
	// finishNoiseRatio is the ratio up to which two predicted finish times count as equal.
	finishNoiseRatio = 1.3
	// A load report may still lack attempts that were sent up to maxReportLag before its probe.
	maxReportLag = second / 10
	// noWorker stands for the index of a worker if there is none to choose.
	noWorker = -1
	// unknownThreshold is below every job count, so that no worker is Low.
	unknownThreshold = -1
)

// chooseWorker chooses the worker for an op as docs/design.md describes. A Low worker is chosen before a
// High one. Of two Low workers a random one is chosen, and of two High workers the one with fewer jobs. If
// only one of the pair answered, it is chosen; if none did, a random ready worker. chooseWorker returns
// noWorker if no worker can be chosen.
func (d *Dispatcher) chooseWorker(o *op) int {
	var eligible []int
	for k, i := range o.probes.pair {
		if o.probes.answered[k] && d.mayPush(o, i) && d.safeWhileWarmingUp(o, i) {
			eligible = append(eligible, i)
		}
	}
	switch len(eligible) {
	case 0:
		return d.chooseUnprobed(o)
	case 1:
		return eligible[0]
	}
	return d.chooseOfTwo(o, eligible[0], eligible[1])
}

// safeWhileWarmingUp reports whether a worker is warm, or its last load report shows capacity for the op.
func (d *Dispatcher) safeWhileWarmingUp(o *op, i int) bool {
	w := &d.fleet.workers[i]
	return !d.warmingUp(w) || w.lastReading() != nil && d.hasCapacity(o, i)
}

// chooseUnprobed draws one of the ready workers that are warm. Where probes are not allowed, it first draws
// one of all ready workers, and returns it unless slow start excludes it. If all of them are warming up,
// the admission probability of this worker is doubled, as a pair would draw two workers.
func (d *Dispatcher) chooseUnprobed(o *op) int {
	from := d.candidates(o)
	warm := d.withoutWarmingUp(slices.Clone(from))
	if n := len(from); n > 0 && !d.settings.Probes {
		draws := 1 + stats.BoolToInt(len(warm) == 0)
		if i := from[d.random.IntN(n)]; !d.excludedBySlowStart(o, &d.fleet.workers[i], n*draws) {
			return i
		}
	}
	if len(warm) > 0 {
		return warm[d.random.IntN(len(warm))]
	}
	return noWorker
}

// withoutWarmingUp removes the workers that are warming up.
func (d *Dispatcher) withoutWarmingUp(from []int) []int {
	return slices.DeleteFunc(from, func(i int) bool { return d.warmingUp(&d.fleet.workers[i]) })
}

// chooseOfTwo chooses one of the two workers of a pair.
func (d *Dispatcher) chooseOfTwo(o *op, x, y int) int {
	pick := func(second bool) int { return [2]int{x, y}[stats.BoolToInt(second)] }
	threshold := float64(d.threshold())
	if _, _, ok := d.peerReportedLoad(x); d.currentSummary().reportsStale && !ok {
		threshold = unknownThreshold
	}
	jobsX, jobsY := d.jobCount(x), d.jobCount(y)
	lowX := jobsX <= threshold && d.hasCapacity(o, x)
	lowY := jobsY <= threshold && d.hasCapacity(o, y)
	if lowX == lowY {
		// A slow worker with a short queue counts as Low, but its jobs finish late.
		finishX, finishY := d.predictFinish(o, x), d.predictFinish(o, y)
		if float64(max(finishX, finishY)) > finishNoiseRatio*float64(min(finishX, finishY)) {
			return pick(finishY < finishX)
		}
	}
	nearX, nearY := d.inOwnZone(x), d.inOwnZone(y)
	switch {
	case lowX && lowY && nearX != nearY:
		return pick(nearY) // crossing zones has a price, and gains nothing while both are Low
	case lowX && lowY || lowX == lowY && jobsX == jobsY:
		return pick(d.random.IntN(2) == 1)
	}
	return pick(lowY || !lowX && jobsY < jobsX)
}

// predictFinish returns the predicted time until the op ends, if it is pushed to a worker now.
func (d *Dispatcher) predictFinish(o *op, i int) Time {
	return d.predictWait(o, i) + Time(d.fleet.serviceTimeRatio(i)*float64(d.expectedServiceTime(o)))
}

// hasCapacity reports whether a worker would start the op at once. A Low worker may lack slots for a wide
// op, which would wait there and block the ops queued behind it.
func (d *Dispatcher) hasCapacity(o *op, i int) bool {
	if jobs, slots, ok := d.peerReportedLoad(i); ok {
		return jobs+o.slots < slots+0.5
	}
	r := d.fleet.workers[i].lastReading()
	if r == nil {
		return true
	}
	pushed := d.pushedSince(i, r.sentAt)
	if len(pushed) == 0 && r.load.RunningJobs >= 0 && r.load.RunningJobs < 0.5 {
		return true // reported free slots are noisy; a worker without jobs has all its slots free
	}
	slots, memory := r.load.FreeSlots, r.load.FreeMemory
	for _, p := range pushed {
		slots -= p.slots
		memory -= p.memory
	}
	enoughSlots := r.load.FreeSlots < 0 || slots > o.slots-0.5
	enoughMemory := r.load.FreeMemory < 0 || memory >= o.memory
	return enoughSlots && enoughMemory && r.load.QueuedJobs < 0.5
}

// pushedSince returns this scheduler's attempts at a worker that may be missing from a load report whose
// probe was sent at probeSentAt.
func (d *Dispatcher) pushedSince(i int, probeSentAt Time) (pushed []*op) {
	for _, o := range d.fleet.workers[i].inFlight {
		if o.lastAttempt.sentAt >= probeSentAt-maxReportLag {
			pushed = append(pushed, o)
		}
	}
	return pushed
}

// jobCount returns a worker's number of jobs: the running jobs of its last load report, and this
// scheduler's attempts since then.
func (d *Dispatcher) jobCount(i int) float64 {
	w := &d.fleet.workers[i]
	if n, _, ok := d.peerReportedLoad(i); ok || d.currentSummary().reportsStale {
		return n
	}
	r := w.lastReading()
	if r == nil {
		return 0
	}
	return math.Round(r.load.RunningJobs) + float64(len(d.pushedSince(i, r.sentAt)))
}

// inOwnZone reports whether a worker is in the scheduler's own zone. If crossing zones has no price, every
// worker counts as in the own zone.
func (d *Dispatcher) inOwnZone(i int) bool {
	return d.settings.CrossZonePrice == 0 || d.fleet.workers[i].zone == d.settings.Zone
}
