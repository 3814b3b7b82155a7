package dispatch

import (
	"woaddyke/internal/base/stats"
)

// Which ops are tried on and which are given up, by the time they have to spare and by what the fleet has room for.

// spareTime is how long the op may still wait and end in time, if it runs like the middle one of its category.
func (d *Dispatcher) spareTime(o *op) Time {
	c := &d.categories[o.category]
	return o.arrivedAt + c.LatencyObjective + Time(max(c.Stretch-1, 0)*float64(d.expectedServiceTime(o))) - d.now
}

// currentDigest works the digest out where inputs have come since.
func (d *Dispatcher) currentDigest() *digest {
	g := &d.digest
	if d.digestValid {
		return g
	}
	d.digestValid = true
	if len(d.probeRTTs) > 0 {
		g.probeRTT = stats.Quantile(d.probeRTTs, 0.5)
	}
	// Reports seconds late send all schedulers to the workers that look idle. They are taken for late while many
	// of the last pushes that were to start at once did not; old lateness must not keep reports out.
	g.capacityShort = d.placements.Doubtful(d.now)
	late, n, prompt := 0, 0, 5*g.probeRTT+4*d.settings.Step
	g.maxStartDelay = 0
	for _, s := range d.startSamples {
		if g.maxStartDelay = max(g.maxStartDelay, s.delay); d.now-s.at < maxVerdictAge/3 {
			late, n = late+stats.Bit(s.delay > prompt), n+1
		}
	}
	g.reportsStale, g.reportAccuracy = len(d.probeRTTs) > 0 && n >= stats.Few/4 && 3*late > n, float64(n-late)/float64(n+1)
	return g
}

// relativeWeight is an op's benefit for the work it takes, over that of the dearest category.
func (d *Dispatcher) relativeWeight(o *op) float64 {
	most, ok := d.highestPriorityWeight()
	own, known := d.priorityWeight(&d.categories[o.category])
	if !ok || !known {
		return 1
	}
	return own / max(most, own)
}

// recordPlacement tells whether an op has found a place. Of those that are given all looks only narrow ones say
// something of the fleet: wide ops lack room on quiet days too.
func (d *Dispatcher) recordPlacement(o *op, ok bool) {
	if o.attempts == 0 && o.slots < 1.5 && d.allowedProbeRounds(o) == maxProbeRounds {
		d.placements.Add(d.now, ok)
		d.digestValid = false
	}
}

// allowedProbeRounds is how many pairs are probed for an op before it is given up. Where even the dearest find no place,
// cheap ones probe less, and some not at all: with a quarter of the fleet left all ops and their clients'
// repeats asked for every free slot, workers spent a tenth of their time on probes, and a slot went to
// whoever came first.
func (d *Dispatcher) allowedProbeRounds(o *op) int {
	if !d.currentDigest().capacityShort {
		return maxProbeRounds
	}
	return 1 + int((maxProbeRounds-1)*d.relativeWeight(o))
}

// giveUp answers at once: a nack with its Retry-After where a retry is harmless, else a dead letter.
func (d *Dispatcher) giveUp(o *op, retryAfter Time, reason RejectionReason) Decision {
	o.finished = true
	if !d.retryIsHarmless(o) || len(o.calledInvalidBy) > 1 {
		return Decision{Kind: DeadLetter, Reason: reason}
	}
	return Decision{Kind: Nack, Duration: min(max(retryAfter, 0), d.settings.MaxRetryAfter), Reason: reason}
}
