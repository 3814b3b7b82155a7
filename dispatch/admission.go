package dispatch

import (
	"woaddyke/internal/base/stats"
)

// Which ops are tried on and which are given up, by the time they have to spare and by what the fleet has room for.

// spare is how long the op may still wait and end in time, if it runs like the middle one of its category.
func (d *Dispatcher) spare(o *op) Time {
	c := &d.categories[o.cat]
	return o.came + c.LatencyObjective + Time(max(c.Stretch-1, 0)*float64(d.expected(o))) - d.now
}

// figures works the digest out where inputs have come since.
func (d *Dispatcher) figures() *digest {
	g := &d.digest
	if d.fresh {
		return g
	}
	d.fresh = true
	if len(d.trips) > 0 {
		g.trip = stats.Quantile(d.trips, 0.5)
	}
	// Reports seconds late send all schedulers to the workers that look idle. They are taken for late while many
	// of the last pushes that were to start at once did not; old lateness must not keep reports out.
	g.scarce = d.room.Doubtful(d.now)
	late, n, prompt := 0, 0, 5*g.trip+4*d.settings.Step
	g.longest = 0
	for _, s := range d.starts {
		if g.longest = max(g.longest, s.took); d.now-s.at < healthMax/3 {
			late, n = late+stats.Bit(s.took > prompt), n+1
		}
	}
	g.misled, g.truth = len(d.trips) > 0 && n >= stats.Few/4 && 3*late > n, float64(n-late)/float64(n+1)
	return g
}

// rank is an op's benefit for the work it takes, over that of the dearest category.
func (d *Dispatcher) rank(o *op) float64 {
	most, ok := d.most()
	own, known := d.worth(&d.categories[o.cat])
	if !ok || !known {
		return 1
	}
	return own / max(most, own)
}

// found tells whether an op has found a place. Of those that are given all looks only narrow ones say
// something of the fleet: wide ops lack room on quiet days too.
func (d *Dispatcher) found(o *op, ok bool) {
	if o.legs == 0 && o.slots < 1.5 && d.looks(o) == maxLooks {
		d.room.Add(d.now, ok)
		d.fresh = false
	}
}

// looks is how many pairs are probed for an op before it is given up. Where even the dearest find no place,
// cheap ones probe less, and some not at all: with a quarter of the fleet left all ops and their clients'
// repeats asked for every free slot, workers spent a tenth of their time on probes, and a slot went to
// whoever came first.
func (d *Dispatcher) looks(o *op) int {
	if !d.figures().scarce {
		return maxLooks
	}
	return 1 + int((maxLooks-1)*d.rank(o))
}

// giveUp answers at once: a nack with its Retry-After where a retry is harmless, else a dead letter.
func (d *Dispatcher) giveUp(o *op, retryAfter Time, reason RejectionReason) Decision {
	o.over = true
	if !d.harmless(o) || len(o.unfit) > 1 {
		return Decision{Kind: DeadLetter, Reason: reason}
	}
	return Decision{Kind: Nack, Duration: min(max(retryAfter, 0), d.settings.MaxRetryAfter), Reason: reason}
}
