package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// Which workers an op probes, and what their answers bring.

// pairSize is the number of workers probed in a round.
const pairSize = 2

// ProbeAnswered takes a load report: the answer to a probe, or one that came with an attempt's end.
func (d *Dispatcher) ProbeAnswered(i int, elapsed Time, load LoadReport) {
	d.samples.probeRTTs = stats.AppendRecent(d.samples.probeRTTs, elapsed)
	d.digest.valid = false
	d.endProbe(i, elapsed, Succeeded)
	w := &d.fleet.workers[i]
	d.fleet.zones[w.zone].Add(d.now, true)
	kind := &d.fleet.kinds[w.kind]
	kind.maxFreeSlots = max(kind.maxFreeSlots, math.Round(load.FreeSlots))
	if load.RunningJobs < 0 && load.FreeSlots >= 0 && load.QueuedJobs >= 0 {
		// Without a count each reading would be one of no jobs, T would stay 0 and all would be Low.
		load.RunningJobs = load.QueuedJobs + max(kind.maxFreeSlots-load.FreeSlots, 0)
	}
	r := reading{load: load, answeredAt: d.now, sentAt: d.now - elapsed}
	d.learnThreshold(w, r)
	w.readings = stats.AppendRecent(w.readings, r)
}

// ProbeFailed is a probe without a report. An unreachable zone shows in probes first: over many workers
// each scheduler has too few outcomes of any one to notice. A rejected probe has reached its worker.
func (d *Dispatcher) ProbeFailed(i int, elapsed Time, how Outcome) {
	if how != LocalExhaustion {
		d.fleet.zones[d.fleet.workers[i].zone].Add(d.now, how == Rejected)
	}
	d.endProbe(i, elapsed, how)
}

// endProbe notes the end of a probe for each op that waits for one of this worker.
func (d *Dispatcher) endProbe(i int, elapsed Time, how Outcome) {
	for _, o := range d.ops.pending {
		k := slices.Index(o.probes.pair, i)
		if o.finished || k < 0 || d.now-elapsed < o.probes.sentAt {
			continue
		}
		if o.probes.answered[k] = how == Succeeded; how != Succeeded {
			d.dropProbed(o, k, how)
		}
	}
}

// candidates are the workers that the op may be pushed to. Of suspected workers and zones only some, by
// chance; all of them where no other is left.
func (d *Dispatcher) candidates(o *op) []int {
	var eligible, admitted []int
	open := make([]bool, len(d.fleet.zones))
	for z := range open {
		open[z] = d.fleet.zones[z].Admitted(d.now, &d.random)
	}
	for i := range d.fleet.workers {
		if !d.mayPush(o, i) {
			continue
		}
		eligible = append(eligible, i)
		w := &d.fleet.workers[i]
		if (o.attempts == 0 || i != o.last.worker) && open[w.zone] && d.admits(w) {
			admitted = append(admitted, i)
		}
	}
	if len(admitted) > 0 {
		return admitted
	}
	return eligible
}

// samplePair draws the workers to probe from some of all candidates. Where crossing zones is paid for,
// one of them comes from the own zone: else most ops of a small zone would meet only workers of other
// zones.
func (d *Dispatcher) samplePair(o *op, from []int, all int) (pair []int) {
	inZone, total := d.partitionByZone(from), len(from)
	for len(pair) < pairSize && len(from) > 0 {
		k, n := d.random.IntN(len(from)), all
		if inZone > 0 && len(from) == total {
			// A small zone's workers are probed more than others, so each one's part of the ops is larger.
			k, n = d.random.IntN(inZone), min(all, inZone*len(d.fleet.zones))
		}
		i := from[k]
		from = slices.Delete(from, k, k+1)
		if d.excludedBySlowStart(o, &d.fleet.workers[i], n) {
			// Another one that is warming up, in its place, would be probed more than its probability
			// says.
			from = d.withoutWarmingUp(from)
			continue
		}
		pair = append(pair, i)
	}
	return pair
}

// partitionByZone moves the workers of the own zone to the front and returns their number. It is 0 where
// crossing costs nothing, where all are in the own zone, and where that is clearly busier than the
// others: a zone with more than its part of the schedulers would do all their work.
func (d *Dispatcher) partitionByZone(from []int) (inZone int) {
	if d.settings.CrossZonePrice <= 0 {
		return 0
	}
	var jobs, readings [2]float64 // of other zones, of the own zone
	for k, i := range from {
		near := stats.Bit(d.inOwnZone(i))
		if r := d.fleet.workers[i].lastReading(); r != nil {
			jobs[near] += max(r.load.RunningJobs, 0)
			readings[near]++
		}
		if near > 0 {
			from[k], from[inZone] = from[inZone], i
			inZone++
		}
	}
	if inZone == len(from) || jobs[1]*readings[0] > finishNoiseRatio*jobs[0]*readings[1] {
		return 0
	}
	return inZone
}

// probeTimeout is how long an op waits for its probes: twice the median round trip, and a step.
func (d *Dispatcher) probeTimeout() Time {
	if len(d.samples.probeRTTs) == 0 {
		return d.categories.minObjective / 4
	}
	return min(2*d.currentDigest().probeRTT+d.settings.TickInterval, d.categories.minObjective/2)
}

// queueTooLong reports whether a worker was read too lately for its queue to be short enough for the op by
// now.
func (d *Dispatcher) queueTooLong(o *op, i int) bool {
	if _, _, ok := d.peerTally(i); ok {
		return d.predictWait(o, i) > d.patience(o)
	}
	r := d.fleet.workers[i].lastReading()
	return r != nil && d.now < r.answeredAt+d.predictWait(o, i)-d.patience(o)
}
