package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

// What is awaited of a push that is out, and when silence about it counts against its worker.

func (d *Dispatcher) judge(i int, ok bool) {
	w := &d.workers[i]
	d.zones[w.zone].Add(d.now, ok)
	w.health.Add(d.now, ok)
}

// What is awaited of a push: that its worker takes it, that the job starts, and word of it once it has.
const (
	taking = iota
	starting
	progress
)

func (d *Dispatcher) awaited(o *op) int {
	switch {
	case d.untaken(o):
		return taking
	case o.started == 0:
		return starting
	}
	return progress
}

func (d *Dispatcher) await(o *op) { d.out[d.awaited(o)].Add(o) }

// silentFrom is the moment from which on silence about a push is measured.
func (d *Dispatcher) silentFrom(o *op, awaited int) Time {
	if awaited == starting {
		return max(o.sentAt, d.workers[o.worker].heard) + 2*o.foretold
	}
	return o.heard // what its worker says of other pushes tells nothing of this one's connection
}

// allowance is how much silence about a push is let pass. It is measured by the longest starts of late, so
// that pauses and slowness of the whole fleet aren't read as many sick workers.
func (d *Dispatcher) allowance(awaited int) Time {
	every := d.settings.ProgressInterval
	switch {
	case awaited == taking:
		return 2 * d.settings.AcknowledgeTimeout // a dial, and as long again
	case !d.settings.ReportsStarts || len(d.starts) < stats.Few/4 || awaited == progress && every <= 0:
		return never
	case awaited == starting:
		return 2*d.figures().longest + second/10 + every
	}
	return 3 * every
}

// overdue is when silence about a push that is out speaks against its worker.
func (d *Dispatcher) overdue(o *op) Time {
	k := d.awaited(o)
	return d.silentFrom(o, k) + d.allowance(k)
}

// untaken tells of a push whose worker has not said that it has it, where that is the first thing said.
func (d *Dispatcher) untaken(o *op) bool { return d.takes && o.heard == o.sentAt }

// never is a span that no push outlasts, and can be added to.
const never Time = math.MaxInt64 / 4
