package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// This file chooses the workers that an op probes and handles their answers.

// pairSize is the number of workers probed in a round.
const pairSize = 2

// ProbeAnswered handles a load report: the answer to a probe, or a report that came with the end of an
// attempt.
func (d *Dispatcher) ProbeAnswered(i int, elapsed Time, load LoadReport) {
	d.samples.probeRTTs = stats.AppendRecent(d.samples.probeRTTs, elapsed)
	d.summary.valid = false
	d.endProbe(i, elapsed, Succeeded)
	w := &d.fleet.workers[i]
	d.fleet.zones[w.zone].Add(d.now, true)
	kind := &d.fleet.kinds[w.kind]
	kind.maxFreeSlots = max(kind.maxFreeSlots, math.Round(load.FreeSlots))
	if load.RunningJobs < 0 && load.FreeSlots >= 0 && load.QueuedJobs >= 0 {
		// Without a job count each reading would show no jobs, T would stay 0 and all workers would be Low.
		load.RunningJobs = load.QueuedJobs + max(kind.maxFreeSlots-load.FreeSlots, 0)
	}
	r := reading{load: load, answeredAt: d.now, sentAt: d.now - elapsed}
	d.learnThreshold(w, r)
	w.readings = stats.AppendRecent(w.readings, r)
}

// ProbeFailed handles a probe that ended without a load report. An unreachable zone shows in probes first:
// with many workers, a scheduler sees too few outcomes of each worker to notice. A rejected probe has
// reached its worker, so it shows that the zone can be reached.
func (d *Dispatcher) ProbeFailed(i int, elapsed Time, outcome Outcome) {
	if outcome != LocalExhaustion {
		d.fleet.zones[d.fleet.workers[i].zone].Add(d.now, outcome == Rejected)
	}
	d.endProbe(i, elapsed, outcome)
}

// endProbe records the end of a probe in each op that waits for a probe of worker i.
func (d *Dispatcher) endProbe(i int, elapsed Time, outcome Outcome) {
	for _, o := range d.ops.pending {
		k := slices.Index(o.probes.pair, i)
		if o.finished || k < 0 || d.now-elapsed < o.probes.drawnAt {
			continue
		}
		if o.probes.answered[k] = outcome == Succeeded; outcome != Succeeded {
			d.dropFromPair(o, k, outcome)
		}
	}
}

// candidates returns the workers that the op may be pushed to. The worker of the op's last attempt is left
// out. Suspected workers, and workers in suspected zones, are included at random. If no worker is left, all
// that the op may be pushed to are returned.
func (d *Dispatcher) candidates(o *op) []int {
	var eligible, admitted []int
	zoneAdmitted := make([]bool, len(d.fleet.zones))
	for z := range zoneAdmitted {
		zoneAdmitted[z] = d.fleet.zones[z].Admitted(d.now, &d.random)
	}
	for i := range d.fleet.workers {
		if !d.mayPush(o, i) {
			continue
		}
		eligible = append(eligible, i)
		w := &d.fleet.workers[i]
		if (o.attempts == 0 || i != o.lastAttempt.worker) && zoneAdmitted[w.zone] && d.admits(w) {
			admitted = append(admitted, i)
		}
	}
	if len(admitted) > 0 {
		return admitted
	}
	return eligible
}

// samplePair draws the workers to probe from the preferred ones of all candidates. If crossing zones has a
// price, the first draw is from the own zone: otherwise most ops of a small zone would probe workers
// of other zones only.
func (d *Dispatcher) samplePair(o *op, from []int, candidateCount int) (pair []int) {
	inZone, total := d.partitionByZone(from), len(from)
	for len(pair) < pairSize && len(from) > 0 {
		k, n := d.random.IntN(len(from)), candidateCount
		if inZone > 0 && len(from) == total {
			// The workers of a small zone are probed more often than others, so each one gets a larger part
			// of the ops.
			k, n = d.random.IntN(inZone), min(candidateCount, inZone*len(d.fleet.zones))
		}
		i := from[k]
		from = slices.Delete(from, k, k+1)
		if d.excludedBySlowStart(o, &d.fleet.workers[i], n) {
			// Another warming worker, drawn in its place, would be probed more often than its admission
			// probability allows.
			from = d.withoutWarmingUp(from)
			continue
		}
		pair = append(pair, i)
	}
	return pair
}

// partitionByZone moves the workers of the own zone to the front and returns their number. It returns 0 if
// crossing zones has no price, if all workers are in the own zone, or if that zone is clearly busier than
// the others. Otherwise, the workers of a zone with more than its part of the schedulers would do all the
// work of these schedulers.
func (d *Dispatcher) partitionByZone(from []int) (inZone int) {
	if d.settings.CrossZonePrice <= 0 {
		return 0
	}
	var jobs, readings [2]float64 // 0: other zones, 1: the own zone
	for k, i := range from {
		near := stats.BoolToInt(d.inOwnZone(i))
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

// probeTimeout returns how long an op waits for its probes: twice the median round-trip time, and a tick
// interval.
func (d *Dispatcher) probeTimeout() Time {
	if len(d.samples.probeRTTs) == 0 {
		return d.categories.minObjective / 4
	}
	return min(2*d.currentSummary().probeRTT+d.settings.TickInterval, d.categories.minObjective/2)
}

// queueTooLong reports whether a worker's queue is too long for the op, by peer reports or by a load report
// that is so recent that the queue must still be too long.
func (d *Dispatcher) queueTooLong(o *op, i int) bool {
	if _, _, ok := d.peerReportedLoad(i); ok {
		return d.predictWait(o, i) > d.maxWait(o)
	}
	r := d.fleet.workers[i].lastReading()
	return r != nil && d.now < r.answeredAt+d.predictWait(o, i)-d.maxWait(o)
}
