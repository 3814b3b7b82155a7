package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// Which workers an op asks, and what their answers bring.

// ProbeAnswered is the answer to a probe.
func (d *Dispatcher) ProbeAnswered(i int, elapsed Time, load LoadReport) {
	d.probeRTTs, d.digestValid = stats.Keep(d.probeRTTs, elapsed), false
	d.endProbe(i, elapsed, Succeeded)
	w := &d.workers[i]
	d.zones[w.zone].Add(d.now, true)
	k := &d.kinds[w.kind]
	if k.maxFreeSlots = max(k.maxFreeSlots, math.Round(load.FreeSlots)); load.RunningJobs < 0 && load.FreeSlots >= 0 && load.QueuedJobs >= 0 {
		// Without a count each reading was one of no jobs: T stayed 0 and all were Low. A slot not free is busy.
		load.RunningJobs = load.QueuedJobs + max(k.maxFreeSlots-load.FreeSlots, 0)
	}
	r := reading{load: load, answeredAt: d.now, sentAt: d.now - elapsed}
	d.pairUp(w, r)
	w.readings = stats.Keep(w.readings, r)
}

// ProbeFailed is a probe that failed. A zone that is cut off shows in probes first: over many workers each
// scheduler has too few outcomes of any one to notice. A probe turned away has reached its worker.
func (d *Dispatcher) ProbeFailed(i int, elapsed Time, how Outcome) {
	d.judgeZone(i, how)
	d.endProbe(i, elapsed, how)
}

// endProbe notes the end of a probe; a report came where it was served.
func (d *Dispatcher) endProbe(i int, elapsed Time, how Outcome) {
	for _, o := range d.pending {
		k := slices.Index(o.pair, i)
		if o.finished || k < 0 || d.now-elapsed < o.probedAt {
			continue
		}
		if o.answered[k] = how == Succeeded; how != Succeeded {
			d.dropProbed(o, k, how) // waiting on for an answer that has failed only holds the op
		}
	}
}

// candidates are the workers that the op may be pushed to; the doubtful among them by lot.
func (d *Dispatcher) candidates(o *op) []int {
	var may, sound []int
	open := make([]bool, len(d.zones))
	for z := range open {
		open[z] = d.zones[z].Admitted(d.now, &d.random)
	}
	for i := range d.workers {
		if d.mayPush(o, i) {
			may = append(may, i)
			h := &d.workers[i].health // drawn twice: what fails its ops at once always looks Low
			if (o.attempts == 0 || i != o.worker) && open[d.workers[i].zone] &&
				h.Admitted(d.now, &d.random) && h.Admitted(d.now, &d.random) {
				sound = append(sound, i)
			}
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return may
}

// preferredWorkers are the workers that an op's pair is drawn from. With a key: the first of the key's own order, as
// many as its share of the ops fills and two more; over a whole fleet workers fetched most keys anew, and the
// store stalled. Else, where connections cost, the regulars: each scheduler kept one to half of the fleet.
func (d *Dispatcher) preferredWorkers(o *op, from []int) []int {
	key, n := o.key, 2.0
	switch {
	case key > 0 && d.settings.AffinityKeys:
		share := (d.keyCounts[key] + d.previousKeyCounts[key]) / max(d.keyCounts[allKeys]+d.previousKeyCounts[allKeys], 1)
		n += keyWorkersFactor * share * float64(d.ready)
	case d.settings.ConnectionPrice > 0:
		key, n = schedulerKey(d.settings.Scheduler), subscribersPerWorker
	default:
		return from
	}
	stats.Order(key, from, d.identityHash)
	return from[:min(len(from), int(n))]
}

func (d *Dispatcher) identityHash(i int) uint64 { return d.workers[i].identityHash }

func schedulerKey(scheduler int) uint64 { return uint64(scheduler+1) * 0x9e3779b97f4a7c15 }

// samplePair draws the two workers to probe; one of them from the own zone where crossing is paid for. Among all of
// them most ops of a small zone met only workers that cost a crossing.
func (d *Dispatcher) samplePair(o *op, from []int, all int) (pair []int) {
	own, some := 0, len(from)
	var jobs, seen [2]float64
	if d.settings.CrossZonePrice > 0 {
		for k, i := range from {
			near := stats.Bit(d.inOwnZone(i))
			if r := d.workers[i].last(); r != nil {
				jobs[near], seen[near] = jobs[near]+max(r.load.RunningJobs, 0), seen[near]+1
			}
			if near > 0 {
				from[k], from[own] = from[own], i
				own++
			}
		}
	}
	if own == some || jobs[1]*seen[0] > finishNoiseRatio*jobs[0]*seen[1] {
		own = 0 // a zone with more than its share of the schedulers would do all their work
	}
	for len(pair) < 2 && len(from) > 0 {
		k, n := d.random.Below(len(from)), all
		if own > 0 && len(from) == some {
			k, n = d.random.Below(own), min(all, own*len(d.zones)) // a small zone's workers are asked more than others
		}
		i := from[k]
		if from = slices.Delete(from, k, k+1); d.excludedBySlowStart(o, &d.workers[i], n) {
			// Another cold one in its place would be asked more than its lot says.
			from = slices.DeleteFunc(from, func(j int) bool { return d.warmingUp(&d.workers[j]) })
			continue
		}
		pair = append(pair, i)
	}
	return pair
}

// shortWait is how long an op waits for its probes: what they took of late, and a little more.
func (d *Dispatcher) shortWait() Time {
	if len(d.probeRTTs) == 0 {
		return d.minObjective / 4
	}
	return min(2*d.currentDigest().probeRTT+d.settings.Step, d.minObjective/2)
}

// queueTooLong tells of a worker that was read too lately for its queue to be short enough by now.
func (d *Dispatcher) queueTooLong(o *op, i int) bool {
	if _, _, ok := d.peerTally(i); ok {
		return d.predictWait(o, i) > d.patience(o)
	}
	r := d.workers[i].last()
	return r != nil && d.now < r.answeredAt+d.predictWait(o, i)-d.patience(o)
}

func (d *Dispatcher) inOwnZone(i int) bool {
	return d.settings.CrossZonePrice == 0 || d.workers[i].zone == d.settings.Zone
}
