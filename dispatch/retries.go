package dispatch

import (
	"woaddyke/internal/base/stats"
)

// What may be pushed again, where, and when a nack keeps its promise.

// allowed keeps rules 2 and 3: may this op be pushed to this worker now? Rule 4 is kept by spared and choose.
func (d *Dispatcher) allowed(o *op, i int) bool {
	w := &d.workers[i]
	if !w.ready || o.out || o.over || !d.repeatable(o) {
		return false
	}
	c := &d.categories[o.cat]
	if !o.ran || c.Effect != Deduplicated || c.DedupScope == DedupEverywhere {
		return true
	}
	return c.DedupScope == DedupInZone && w.zone == o.ranZone || w.cell == o.ranGrp // no two zones share a cell
}

// repeatable tells whether a further push may be sent at all; a dial must not outlast the window. An op that
// two workers call unfit is: six pushes of each such op had its workers taken for sick.
func (d *Dispatcher) repeatable(o *op) bool {
	c := &d.categories[o.cat]
	if o.legs >= o.most || len(o.unfit) > 1 {
		return false
	}
	if !o.ran && !o.out || c.Effect == Idempotent {
		return true
	}
	ranAt := [2]Time{o.sentAt, o.ranAt}[stats.Bit(o.ran)] // the push that is out may be the first that runs
	return c.Effect == Deduplicated && d.now+d.settings.DialTimeout < ranAt+c.DedupWindow
}

// harmless tells whether a nack keeps its promise.
func (d *Dispatcher) harmless(o *op) bool {
	c := &d.categories[o.cat]
	if !o.ran || c.Effect == Idempotent {
		return true
	}
	return c.Effect == Deduplicated && c.DedupScope == DedupEverywhere && d.now < o.ranAt+c.DedupWindow
}
