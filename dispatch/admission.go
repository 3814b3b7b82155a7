package dispatch

import "math"

// Which ops a worker is sought for, by the time that they have to spare and by the capacity of the fleet.

const (
	// maxProbeRounds is the number of pairs probed before an op without a place in time is given up.
	maxProbeRounds = 3
	// maxNarrowSlots is below what a wide op takes: such ops lack capacity on quiet days too.
	maxNarrowSlots = 1.5
	// Chances that an op finds no place, ordinarily and while capacity is short.
	placementOrdinaryFailure, placementShortFailure = 0.1, 0.5
	maxPlacementAge                                 = maxVerdictAge / 3
)

// AddOp admits a new op. It returns false for a category that the settings do not name and the host has
// not retained.
func (d *Dispatcher) AddOp(i int, spec OpSpec) bool {
	c := d.categories.acceptingAt(spec.Category)
	if c == nil {
		return false
	}
	// A client's TTL runs over all its tries: one that comes with less of it than others has come before.
	c.longestTTL = max(c.longestTTL, spec.TTL-d.now)
	c.openOps++
	o := &op{
		index: i, category: spec.Category, maxAttempts: d.settings.MaxAttempts,
		ttl: spec.TTL, arrivedAt: spec.TTL - c.longestTTL, work: spec.Work,
		slots: spec.Slots, memory: spec.Memory, affinityKey: spec.AffinityKey,
	}
	d.ops.add(o)
	if o.affinityKey != noKey {
		d.halveCounters()
		d.keys.count(o.affinityKey)
	}
	if p := spec.PriorAttempt; p != nil {
		o.run = firstRun{possible: true, sentAt: p.StartedAt, zone: p.Zone, group: p.Group}
	}
	return true
}

// spareTime is how long the op may still wait and end within its objective, if it runs like the median
// one of its category.
func (d *Dispatcher) spareTime(o *op) Time {
	c := &d.categories.all[o.category]
	stretch := Time(max(c.Stretch-1, 0) * float64(d.expectedServiceTime(o)))
	return o.arrivedAt + c.LatencyObjective + stretch - d.now
}

// patience is the longest predicted wait for which an op is pushed: half of the spare time, as other
// schedulers fill queues unseen; less for ops of low priority weight, since the places they take are
// lacking to others; and bounded by the least objective, so that ops with much spare time don't fill the
// queues that short ones need.
func (d *Dispatcher) patience(o *op) Time {
	weighted := Time(d.relativeWeight(o) / 2 * float64(d.spareTime(o)))
	return max(min(weighted, 2*d.categories.minObjective), 0)
}

// relativeWeight is an op's priority weight over the highest one; 1 while weights are unknown.
func (d *Dispatcher) relativeWeight(o *op) float64 {
	highest, allKnown := d.categories.highestWeight(d.settings.BenefitPerWork)
	own, known := d.categories.all[o.category].weight(d.settings.BenefitPerWork)
	if !allKnown || !known {
		return 1
	}
	return own / max(highest, own)
}

// recordPlacement counts whether an op has found a place. Of those that are given all probe rounds only
// narrow ones say something of the fleet.
func (d *Dispatcher) recordPlacement(o *op, found bool) {
	if o.attempts == 0 && o.slots < maxNarrowSlots && d.allowedProbeRounds(o) == maxProbeRounds {
		d.placements.Add(d.now, found)
		d.digest.valid = false
	}
}

// allowedProbeRounds is how many pairs are probed for an op before it is given up. While capacity is
// short, ops of low priority weight probe less: else the probes of all ops and of their clients' retries
// take a part of the workers' time, and a free slot goes to whichever op came first.
func (d *Dispatcher) allowedProbeRounds(o *op) int {
	if !d.currentDigest().capacityShort {
		return maxProbeRounds
	}
	return 1 + int((maxProbeRounds-1)*d.relativeWeight(o))
}

// shed reports whether an op is to be given up unprobed: while capacity is short, with a probability that
// falls with its priority weight.
func (d *Dispatcher) shed(o *op) bool {
	return o.firstLook() && o.probes.notBefore == 0 && d.currentDigest().capacityShort &&
		d.random.Float64() > d.relativeWeight(o)
}

// giveUp answers at once: a nack with its Retry-After where a retry is harmless, else a dead letter.
func (d *Dispatcher) giveUp(o *op, retryAfter Time, reason RejectionReason) Decision {
	o.finished = true
	if !d.retryIsHarmless(o) || len(o.calledInvalidBy) > 1 {
		return Decision{Kind: DeadLetter, Reason: reason}
	}
	return Decision{Kind: Nack, Duration: min(max(retryAfter, 0), d.settings.MaxRetryAfter), Reason: reason}
}

// expectedServiceTime is how long the op would run on an ordinary worker.
func (d *Dispatcher) expectedServiceTime(o *op) Time {
	if o.work > 0 {
		return o.work
	}
	c := &d.categories.all[o.category]
	if len(c.serviceTimes) == 0 {
		return c.LatencyObjective
	}
	return c.medianServiceTime
}

// predictWait is how long an op would wait at a worker: its position in the queue, times how long a
// position took of late. The worker's own samples count four times, as there are few of them.
func (d *Dispatcher) predictWait(o *op, i int) Time {
	const ownWeight = 3 // besides their part of the total
	waits, positions := d.samples.queue.waits, d.samples.queue.positions
	for _, s := range d.fleet.workers[i].queueSamples {
		waits += ownWeight * s.wait
		positions += ownWeight * s.position
	}
	return Time(d.queuePosition(o, i) / max(positions, 1) * float64(waits))
}

// queuePosition is where in a worker's queue the op would stand; 0 if it starts at once.
func (d *Dispatcher) queuePosition(o *op, i int) float64 {
	w := &d.fleet.workers[i]
	if jobs, slots, ok := d.peerTally(i); ok {
		return max(jobs+o.slots-slots, 0)
	}
	if d.currentDigest().reportsStale {
		return float64(unstarted(w.inFlight))
	}
	r := w.lastReading()
	if r == nil || d.hasCapacity(o, i) {
		return 0
	}
	queue := math.Round(max(r.load.QueuedJobs, 0)) + float64(len(d.pushedSince(i, r.sentAt)))
	if queue == 0 && r.load.FreeSlots >= 0 && r.load.FreeSlots < o.slots-0.5 {
		return (o.slots - r.load.FreeSlots) / o.slots // one busy slot of four is not a whole job to wait for
	}
	return queue + 1
}

// unstarted counts the attempts that no start was reported of.
func unstarted(ops []*op) (n int) {
	for _, o := range ops {
		if o.last.startedAt == 0 {
			n++
		}
	}
	return n
}
