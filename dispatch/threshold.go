package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

// How the threshold on a worker's job count is learned, by Entropy Minimax from how often a count led to idleness one delay later.

// pairUp counts each reading with the next one that comes 0.5 tau to 2 tau later (design: a_l, b_l).
func (d *Dispatcher) pairUp(w *worker, next reading) {
	if len(d.startDelays) == 0 {
		return
	}
	d.halveCounters()
	tau := stats.Mean(d.startDelays)
	for k := range w.readings {
		r := &w.readings[k]
		if gap := next.answeredAt - r.answeredAt; r.paired || 2*gap < tau || gap > 2*tau {
			continue
		}
		r.paired = true
		l := stateOf(r.load)
		d.observed[l]++
		d.idleAfter[l] += float64(stats.Bit(isIdle(next.load)))
	}
}

func (d *Dispatcher) halveCounters() {
	d.halvedAt = max(d.halvedAt, d.now-99*counterHalfLife) // what is older than that is nothing
	for ; d.now-d.halvedAt >= counterHalfLife; d.halvedAt += counterHalfLife {
		for l := range d.observed {
			d.observed[l] /= 2
			d.idleAfter[l] /= 2
		}
		d.previousKeyCounts, d.keyCounts = d.keyCounts, map[uint64]float64{}
	}
}

// isIdle extends "holds no jobs" to workers of several slots, which hardly ever hold none.
func isIdle(l LoadReport) bool {
	if l.FreeSlots < 0 {
		return l.RunningJobs < 0.5
	}
	return l.FreeSlots >= 0.5 && l.QueuedJobs < 0.5
}

func stateOf(l LoadReport) int { return min(max(int(math.Round(l.RunningJobs)), 0), maxState) }

// threshold is T: the count that parts the readings with the least conditional entropy.
func (d *Dispatcher) threshold() int {
	d.halveCounters()
	var allA, allB, a, b float64
	for l := range d.observed {
		allA += d.observed[l]
		allB += d.idleAfter[l]
	}
	best, t := math.Inf(1), 0
	for l := range d.observed {
		a += d.observed[l]
		b += d.idleAfter[l]
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
