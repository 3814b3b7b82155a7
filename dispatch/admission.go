package dispatch

import "math"

// This file decides whether to look for a worker for an op, from the op's spare time and the fleet's
// capacity.

const (
	// maxProbeRounds is the number of pairs probed before an op that cannot start in time is rejected.
	maxProbeRounds = 3
	// An op with fewer slots than maxNarrowSlots is narrow. Wide ops lack capacity even under low load.
	maxNarrowSlots = 1.5
	// Probabilities that an op cannot be placed, normally and while capacity is short.
	placementNormalFailureRate, placementShortageFailureRate = 0.1, 0.5
	maxPlacementVerdictAge                                   = maxVerdictAge / 3
)

// AddOp admits a new op. It returns false if the category is neither in the settings nor retained by the
// host.
func (d *Dispatcher) AddOp(i int, spec OpSpec) bool {
	c := d.categories.acceptingCategory(spec.Category)
	if c == nil {
		return false
	}
	// A client's TTL covers its first request and its retries. An op that arrives with less of the TTL left
	// than others is a retry.
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
		o.firstRun = firstRun{possible: true, sentAt: p.StartedAt, zone: p.Zone, group: p.Group}
	}
	return true
}

// spareTime returns how long the op may still wait and meet its latency objective, if its service time is
// the median of its category.
func (d *Dispatcher) spareTime(o *op) Time {
	c := &d.categories.all[o.category]
	stretch := Time(max(c.Stretch-1, 0) * float64(d.expectedServiceTime(o)))
	return o.arrivedAt + c.LatencyObjective + stretch - d.now
}

// maxWait returns the longest predicted wait with which the op is pushed. It is half of the spare time, as
// other schedulers may add to the queue unseen. It is less for ops of low priority weight, which would take
// slots that other ops need. It is at most twice the lowest latency objective, so that ops with much spare
// time do not fill the queues that ops with little of it need.
func (d *Dispatcher) maxWait(o *op) Time {
	weighted := Time(d.relativeWeight(o) / 2 * float64(d.spareTime(o)))
	return max(min(weighted, 2*d.categories.minObjective), 0)
}

// relativeWeight returns an op's priority weight relative to the highest one, or 1 while weights are
// unknown.
func (d *Dispatcher) relativeWeight(o *op) float64 {
	highest, allKnown := d.categories.highestWeight(d.settings.BenefitPerWork)
	own, known := d.categories.all[o.category].weight(d.settings.BenefitPerWork)
	if !allKnown || !known {
		return 1
	}
	return own / max(highest, own)
}

// recordPlacement counts whether an op could be placed for its first attempt. It counts only narrow ops
// that are allowed all probe rounds, as a wide op may lack capacity under low load too.
func (d *Dispatcher) recordPlacement(o *op, found bool) {
	if o.attempts == 0 && o.slots < maxNarrowSlots && d.allowedProbeRounds(o) == maxProbeRounds {
		d.placements.Add(d.now, found)
		d.summary.valid = false
	}
}

// allowedProbeRounds returns how many pairs are probed for an op before it is rejected. While capacity is
// short, ops of low priority weight probe less: otherwise the probes of all ops and of their clients'
// retries take up workers' time, and a free slot goes to whichever op comes first.
func (d *Dispatcher) allowedProbeRounds(o *op) int {
	if !d.currentSummary().capacityShort {
		return maxProbeRounds
	}
	return 1 + int((maxProbeRounds-1)*d.relativeWeight(o))
}

// shouldShed draws whether an op is rejected without probing: while capacity is short, with a probability
// that falls with its priority weight.
func (d *Dispatcher) shouldShed(o *op) bool {
	return o.inFirstRound() && o.probes.notBefore == 0 && d.currentSummary().capacityShort &&
		d.random.Float64() > d.relativeWeight(o)
}

// reject ends an op at once: with a nack and its Retry-After if a retry is harmless and fewer than two
// workers reported the op as invalid, else with a dead letter.
func (d *Dispatcher) reject(o *op, retryAfter Time, reason RejectionReason) Decision {
	o.finished = true
	if !d.retryIsHarmless(o) || len(o.reportedInvalidBy) > 1 {
		return Decision{Kind: DeadLetter, Reason: reason}
	}
	return Decision{Kind: Nack, Duration: min(max(retryAfter, 0), d.settings.MaxRetryAfter), Reason: reason}
}

// expectedServiceTime returns how long the op would run on a typical worker.
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

// predictWait returns how long an op would wait at a worker: its position in the queue times the recent
// wait per position. The worker's own samples count four times, as there are few of them.
func (d *Dispatcher) predictWait(o *op, i int) Time {
	const ownWeight = 3 // in addition to 1, as the totals include these samples
	waits, positions := d.samples.queue.waits, d.samples.queue.positions
	for _, s := range d.fleet.workers[i].queueSamples {
		waits += ownWeight * s.wait
		positions += ownWeight * s.position
	}
	return Time(d.queuePosition(o, i) / max(positions, 1) * float64(waits))
}

// queuePosition returns the op's position in a worker's queue if it is pushed there; 0 if it starts at
// once.
func (d *Dispatcher) queuePosition(o *op, i int) float64 {
	w := &d.fleet.workers[i]
	if jobs, slots, ok := d.peerReportedLoad(i); ok {
		return max(jobs+o.slots-slots, 0)
	}
	if d.currentSummary().reportsStale {
		return float64(countUnstarted(w.inFlight))
	}
	r := w.lastReading()
	if r == nil || d.hasCapacity(o, i) {
		return 0
	}
	queue := math.Round(max(r.load.QueuedJobs, 0)) + float64(len(d.pushedSince(i, r.sentAt)))
	if queue == 0 && r.load.FreeSlots >= 0 && r.load.FreeSlots < o.slots-0.5 {
		return (o.slots - r.load.FreeSlots) / o.slots // one missing slot of four is less than a whole job
	}
	return queue + 1
}

// countUnstarted counts the attempts whose start has not been reported.
func countUnstarted(ops []*op) (n int) {
	for _, o := range ops {
		if o.lastAttempt.startedAt == 0 {
			n++
		}
	}
	return n
}
