package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// Which of the workers that were asked an op goes to, and how long it is to wait there.

// patience is the longest wait worth a push: half the time to spare, as other schedulers fill queues unseen;
// less for cheap ops, since each place they take is one that a dear op lacks; and little enough that ops with
// much time to spare don't fill the queues that short ones need.
func (d *Dispatcher) patience(o *op) Time {
	return max(min(Time(d.relativeWeight(o)/2*float64(d.spareTime(o))), 2*d.minObjective), 0)
}

// predictWait is how long an op would wait at a worker: its place in the queue, and how long a place took of late.
func (d *Dispatcher) predictWait(o *op, i int) Time {
	took, n := d.queueWaits, d.queuePositions
	for _, p := range d.workers[i].queueSamples {
		took, n = took+3*p.wait, n+3*p.position // its own places tell more than those of the others, but there are few
	}
	return Time(d.queuePosition(o, i) / max(n, 1) * float64(took))
}

// queuePosition is where in a worker's queue the op would stand; 0 if it starts at once.
func (d *Dispatcher) queuePosition(o *op, i int) float64 {
	w := &d.workers[i]
	if n, slots, ok := d.peerTally(i); ok {
		return max(n+o.slots-slots, 0)
	}
	if d.currentDigest().reportsStale {
		n := 0
		for _, p := range w.inFlight {
			n += stats.Bit(p.startedAt == 0)
		}
		return float64(n)
	}
	r := w.last()
	if r == nil || d.hasCapacity(o, i) {
		return 0
	}
	lack, queue := 1.0, math.Round(max(r.load.QueuedJobs, 0))+float64(len(d.pushedSince(i, r.sentAt)))
	if queue == 0 && r.load.FreeSlots >= 0 && r.load.FreeSlots < o.slots-0.5 {
		lack = (o.slots - r.load.FreeSlots) / o.slots // one busy slot of four is not a whole place to wait for
	}
	return queue + lack
}

// chooseWorker is the design's placement: Low before High, random among two Low; else the lower count; else
// the worker that answered; else a random ready one.
func (d *Dispatcher) chooseWorker(o *op) int {
	var may []int
	for k, i := range o.pair {
		w := &d.workers[i]
		if o.answered[k] && d.mayPush(o, i) && (!d.warmingUp(w) || w.last() != nil && d.hasCapacity(o, i)) {
			may = append(may, i)
		}
	}
	switch len(may) {
	case 0:
		from := d.candidates(o)
		warm := slices.DeleteFunc(slices.Clone(from), func(i int) bool { return d.warmingUp(&d.workers[i]) })
		if n := len(from); n > 0 && !d.settings.Probes { // asked once, or twice as in a pair where all are cold
			if i := from[d.random.Below(n)]; !d.excludedBySlowStart(o, &d.workers[i], n*(1+stats.Bit(len(warm) == 0))) {
				return i
			}
		}
		if len(warm) > 0 {
			return warm[d.random.Below(len(warm))]
		}
		return -1
	case 1:
		return may[0]
	}
	t := float64(d.threshold())
	if _, _, ok := d.peerTally(may[0]); d.currentDigest().reportsStale && !ok {
		t = -1 // nobody is known to be Low: the lower count of own pushes wins, else the draw
	}
	x, y := d.jobCount(may[0]), d.jobCount(may[1])
	lowX, lowY := x <= t && d.hasCapacity(o, may[0]), y <= t && d.hasCapacity(o, may[1])
	if lowX == lowY {
		// A slow worker with a short queue still counts as Low, and what it takes finishes late.
		x, y := d.predictFinish(o, may[0]), d.predictFinish(o, may[1])
		if float64(max(x, y)) > finishNoiseRatio*float64(min(x, y)) {
			return may[stats.Bit(y < x)]
		}
	}
	nearX, nearY := d.inOwnZone(may[0]), d.inOwnZone(may[1])
	switch {
	case lowX && lowY && nearX != nearY:
		return may[stats.Bit(nearY)] // crossing is paid for, and buys nothing while both are Low
	case lowX && lowY || lowX == lowY && x == y:
		return may[d.random.Below(2)]
	}
	return may[stats.Bit(lowY || !lowX && y < x)]
}

// predictFinish is when the op would end on a worker, from now.
func (d *Dispatcher) predictFinish(o *op, i int) Time {
	return d.predictWait(o, i) + Time(d.serviceTimeRatio(i)*float64(d.expectedServiceTime(o)))
}

// expectedServiceTime is how long the op would run on an ordinary worker.
func (d *Dispatcher) expectedServiceTime(o *op) Time {
	if o.work > 0 {
		return o.work
	}
	if c := &d.categories[o.category]; len(c.serviceTimes) == 0 {
		return c.LatencyObjective
	}
	return d.categories[o.category].medianServiceTime
}

// serviceTimeRatio is how much longer than expected jobs run on a worker; while samples are few, its kind's weigh in.
func (d *Dispatcher) serviceTimeRatio(i int) float64 {
	w := &d.workers[i]
	return d.kinds[w.kind].serviceTimeRatios.Middle(w.serviceTimeRatios)
}

// hasCapacity guards against Low workers on which a wide op must wait for room while others wait behind it.
func (d *Dispatcher) hasCapacity(o *op, i int) bool {
	if n, slots, ok := d.peerTally(i); ok {
		return n+o.slots < slots+0.5
	}
	r := d.workers[i].last()
	if r == nil {
		return true
	}
	free, memory := r.load.FreeSlots, r.load.FreeMemory
	own := d.pushedSince(i, r.sentAt)
	if len(own) == 0 && r.load.RunningJobs >= 0 && r.load.RunningJobs < 0.5 {
		return true // a noisy count of free slots made wide ops pass by workers that hold nothing
	}
	for _, p := range own {
		free, memory = free-p.slots, memory-p.memory
	}
	return (r.load.FreeSlots < 0 || free > o.slots-0.5) && (r.load.FreeMemory < 0 || memory >= o.memory) &&
		r.load.QueuedJobs < 0.5
}

// last is a worker's newest reading, nil before there is one.
func (w *worker) last() *reading {
	if len(w.readings) == 0 {
		return nil
	}
	return &w.readings[len(w.readings)-1]
}

// pushedSince are this scheduler's pushes to a worker that a report asked for then need not show.
func (d *Dispatcher) pushedSince(i int, asked Time) (out []*op) {
	for _, o := range d.workers[i].inFlight {
		if o.sentAt >= asked-reportLag {
			out = append(out, o)
		}
	}
	return out
}

// jobCount is a worker's jobs: its last report and this scheduler's own pushes since.
func (d *Dispatcher) jobCount(i int) float64 {
	w := &d.workers[i]
	if n, _, ok := d.peerTally(i); ok || d.currentDigest().reportsStale {
		return n
	}
	r := w.last()
	if r == nil {
		return 0
	}
	return math.Round(r.load.RunningJobs) + float64(len(d.pushedSince(i, r.sentAt)))
}
