package dispatch

import (
	"woaddyke/internal/base/stats"
)

// What may be pushed again, where, and when a nack keeps its promise.

// mayPush keeps rules 2 and 3: may this op be pushed to this worker now? Rule 4 is kept by spared and choose.
func (d *Dispatcher) mayPush(o *op, i int) bool {
	w := &d.workers[i]
	if !w.ready || o.inFlight || o.finished || !d.mayAttempt(o) {
		return false
	}
	c := &d.categories[o.category]
	if !o.mayHaveRun || c.Effect != Deduplicated || c.DedupScope == DedupEverywhere {
		return true
	}
	return c.DedupScope == DedupInZone && w.zone == o.ranZone || w.group == o.ranGroup // no two zones share a cell
}

// mayAttempt tells whether a further push may be sent at all; a dial must not outlast the window. An op that
// two workers call unfit is: six pushes of each such op had its workers taken for sick.
func (d *Dispatcher) mayAttempt(o *op) bool {
	c := &d.categories[o.category]
	if o.attempts >= o.maxAttempts || len(o.calledInvalidBy) > 1 {
		return false
	}
	if !o.mayHaveRun && !o.inFlight || c.Effect == Idempotent {
		return true
	}
	ranAt := [2]Time{o.sentAt, o.ranAt}[stats.Bit(o.mayHaveRun)] // the push that is out may be the first that runs
	return c.Effect == Deduplicated && d.now+d.settings.DialTimeout < ranAt+c.DedupWindow
}

// retryIsHarmless tells whether a nack keeps its promise.
func (d *Dispatcher) retryIsHarmless(o *op) bool {
	c := &d.categories[o.category]
	if !o.mayHaveRun || c.Effect == Idempotent {
		return true
	}
	return c.Effect == Deduplicated && c.DedupScope == DedupEverywhere && d.now < o.ranAt+c.DedupWindow
}
