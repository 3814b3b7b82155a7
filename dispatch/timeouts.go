package dispatch

import (
	"math"

	"woaddyke/internal/base/stats"
)

// What is awaited of a push that is out, and when silence about it counts against its worker.

func (d *Dispatcher) recordVerdict(i int, ok bool) {
	w := &d.workers[i]
	d.zones[w.zone].Add(d.now, ok)
	w.health.Add(d.now, ok)
}

// What is awaited of a push: that its worker takes it, that the job starts, and word of it once it has.
const (
	awaitingAcknowledgement = iota
	awaitingStart
	awaitingProgress
)

func (d *Dispatcher) awaited(o *op) int {
	switch {
	case d.unacknowledged(o):
		return awaitingAcknowledgement
	case o.startedAt == 0:
		return awaitingStart
	}
	return awaitingProgress
}

func (d *Dispatcher) track(o *op) { d.inFlight[d.awaited(o)].Add(o) }

// silenceSince is the moment from which on silence about a push is measured.
func (d *Dispatcher) silenceSince(o *op, awaited int) Time {
	if awaited == awaitingStart {
		return max(o.sentAt, d.workers[o.worker].heardAt) + 2*o.predictedWait
	}
	return o.heardAt // what its worker says of other pushes tells nothing of this one's connection
}

// silenceAllowance is how much silence about a push is let pass. It is measured by the longest starts of late, so
// that pauses and slowness of the whole fleet aren't read as many sick workers.
func (d *Dispatcher) silenceAllowance(awaited int) Time {
	every := d.settings.ProgressInterval
	switch {
	case awaited == awaitingAcknowledgement:
		return 2 * d.settings.AcknowledgeTimeout // a dial, and as long again
	case !d.settings.ReportsStarts || len(d.startSamples) < stats.Few/4 || awaited == awaitingProgress && every <= 0:
		return never
	case awaited == awaitingStart:
		return 2*d.currentDigest().maxStartDelay + second/10 + every
	}
	return 3 * every
}

// silenceLimit is when silence about a push that is out speaks against its worker.
func (d *Dispatcher) silenceLimit(o *op) Time {
	k := d.awaited(o)
	return d.silenceSince(o, k) + d.silenceAllowance(k)
}

// unacknowledged tells of a push whose worker has not said that it has it, where that is the first thing said.
func (d *Dispatcher) unacknowledged(o *op) bool { return d.workersAcknowledge && o.heardAt == o.sentAt }

// never is a span that no push outlasts, and can be added to.
const never Time = math.MaxInt64 / 4
