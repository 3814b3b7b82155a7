package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// Which of the workers that were probed an op is pushed to.

const (
	// finishNoiseRatio is the ratio up to which two predicted finishes count as equal.
	finishNoiseRatio = 1.3
	// reportLag is how old an attempt may be that a load report does not show yet.
	reportLag = second / 10
	// noWorker is the index of none.
	noWorker = -1
	// unknownThreshold makes no worker Low.
	unknownThreshold = -1
)

// chooseWorker places the op as the design does: Low before High, a random one of two Low, else the one
// with fewer jobs; the one that answered, if one did; else a random ready one. It returns noWorker where
// there is none.
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

// safeWhileWarmingUp reports whether a worker has its full capacity, or its last report shows capacity for
// the op.
func (d *Dispatcher) safeWhileWarmingUp(o *op, i int) bool {
	w := &d.fleet.workers[i]
	return !d.warmingUp(w) || w.lastReading() != nil && d.hasCapacity(o, i)
}

// chooseUnprobed draws among all ready workers, without those that are warming up. Where probes are not
// allowed one of these is asked once, or twice as in a pair where all are warming up.
func (d *Dispatcher) chooseUnprobed(o *op) int {
	from := d.candidates(o)
	warm := d.withoutWarmingUp(slices.Clone(from))
	if n := len(from); n > 0 && !d.settings.Probes {
		draws := 1 + stats.Bit(len(warm) == 0)
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

// chooseOfTwo compares the two workers of a pair.
func (d *Dispatcher) chooseOfTwo(o *op, x, y int) int {
	pick := func(second bool) int { return [2]int{x, y}[stats.Bit(second)] }
	threshold := float64(d.threshold())
	if _, _, ok := d.peerTally(x); d.currentDigest().reportsStale && !ok {
		threshold = unknownThreshold
	}
	jobsX, jobsY := d.jobCount(x), d.jobCount(y)
	lowX := jobsX <= threshold && d.hasCapacity(o, x)
	lowY := jobsY <= threshold && d.hasCapacity(o, y)
	if lowX == lowY {
		// A slow worker with a short queue still counts as Low, and what it takes finishes late.
		finishX, finishY := d.predictFinish(o, x), d.predictFinish(o, y)
		if float64(max(finishX, finishY)) > finishNoiseRatio*float64(min(finishX, finishY)) {
			return pick(finishY < finishX)
		}
	}
	nearX, nearY := d.inOwnZone(x), d.inOwnZone(y)
	switch {
	case lowX && lowY && nearX != nearY:
		return pick(nearY) // crossing is paid for, and gains nothing while both are Low
	case lowX && lowY || lowX == lowY && jobsX == jobsY:
		return pick(d.random.IntN(2) == 1)
	}
	return pick(lowY || !lowX && jobsY < jobsX)
}

// predictFinish is when the op would end on a worker, from now.
func (d *Dispatcher) predictFinish(o *op, i int) Time {
	return d.predictWait(o, i) + Time(d.fleet.serviceTimeRatio(i)*float64(d.expectedServiceTime(o)))
}

// hasCapacity reports whether the op would start at once. It guards against Low workers on which a wide op
// must wait for slots while others wait behind it.
func (d *Dispatcher) hasCapacity(o *op, i int) bool {
	if jobs, slots, ok := d.peerTally(i); ok {
		return jobs+o.slots < slots+0.5
	}
	r := d.fleet.workers[i].lastReading()
	if r == nil {
		return true
	}
	pushed := d.pushedSince(i, r.sentAt)
	if len(pushed) == 0 && r.load.RunningJobs >= 0 && r.load.RunningJobs < 0.5 {
		return true // reported free slots are noisy; a worker without jobs has all of them
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

// pushedSince are this scheduler's attempts at a worker that a report whose probe was sent then need not
// show.
func (d *Dispatcher) pushedSince(i int, probeSentAt Time) (pushed []*op) {
	for _, o := range d.fleet.workers[i].inFlight {
		if o.last.sentAt >= probeSentAt-reportLag {
			pushed = append(pushed, o)
		}
	}
	return pushed
}

// jobCount is a worker's jobs: those of its last report and this scheduler's own attempts since.
func (d *Dispatcher) jobCount(i int) float64 {
	w := &d.fleet.workers[i]
	if n, _, ok := d.peerTally(i); ok || d.currentDigest().reportsStale {
		return n
	}
	r := w.lastReading()
	if r == nil {
		return 0
	}
	return math.Round(r.load.RunningJobs) + float64(len(d.pushedSince(i, r.sentAt)))
}

// inOwnZone reports whether a worker is reached without a crossing that is paid for.
func (d *Dispatcher) inOwnZone(i int) bool {
	return d.settings.CrossZonePrice == 0 || d.fleet.workers[i].zone == d.settings.Zone
}
