package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

// How the threshold on a worker's job count is learned, by Entropy Minimax from how often a count led to idleness one delay later.

// pairUp counts each reading with the next one that comes 0.5 tau to 2 tau later (design: a_l, b_l).
func (d *Dispatcher) pairUp(w *worker, next reading) {
	if len(d.taus) == 0 {
		return
	}
	d.age()
	tau := stats.Mean(d.taus)
	for k := range w.readings {
		r := &w.readings[k]
		if gap := next.at - r.at; r.paired || 2*gap < tau || gap > 2*tau {
			continue
		}
		r.paired = true
		l := cell(r.load)
		d.a[l]++
		d.b[l] += float64(stats.Bit(idle(next.load)))
	}
}

func (d *Dispatcher) age() {
	d.halved = max(d.halved, d.now-99*ageing) // what is older than that is nothing
	for ; d.now-d.halved >= ageing; d.halved += ageing {
		for l := range d.a {
			d.a[l] /= 2
			d.b[l] /= 2
		}
		d.askedBefore, d.asks = d.asks, map[uint64]float64{}
	}
}

// idle extends "holds no jobs" to workers of several slots, which hardly ever hold none.
func idle(l LoadReport) bool {
	if l.FreeSlots < 0 {
		return l.RunningJobs < 0.5
	}
	return l.FreeSlots >= 0.5 && l.QueuedJobs < 0.5
}

func cell(l LoadReport) int { return min(max(int(math.Round(l.RunningJobs)), 0), maxCount) }

// threshold is T: the count that parts the readings with the least conditional entropy.
func (d *Dispatcher) threshold() int {
	d.age()
	var allA, allB, a, b float64
	for l := range d.a {
		allA += d.a[l]
		allB += d.b[l]
	}
	best, t := math.Inf(1), 0
	for l := range d.a {
		a += d.a[l]
		b += d.b[l]
		h := (a*stats.Entropy(b/a) + (allA-a)*stats.Entropy((allB-b)/(allA-a))) / allA
		// The paper leaves T open where no cut tells much. A cut is no threshold if counts above it mostly lead to
		// idleness too: a quiet fleet would have T = 0, and call idle workers High.
		if allA-a > 0 && 2*(allB-b) > allA-a {
			continue
		}
		if h < best-1e-12 {
			best, t = h, l
		}
	}
	return t
}
