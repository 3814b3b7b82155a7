package dispatch

import "woaddyke/internal/base/stats"

const (
	// minStartSamples are needed before anything is concluded from start samples.
	minStartSamples = stats.MaxRecent / 4
	// maxStartSampleAge bounds the start samples that tell whether reports are stale: old staleness must
	// not keep reports out.
	maxStartSampleAge = maxVerdictAge / 3
)

// loadSamples are the latest measurements of the whole fleet.
type loadSamples struct {
	probeRTTs    []Time        // the last few
	startSamples []startSample // the last few, of jobs that by a report were to start at once
	queue        queueTotals   // of all workers' queue samples
}

func (s *loadSamples) addStart(sample startSample) {
	s.startSamples = stats.AppendRecent(s.startSamples, sample)
}

// startSample is when a job started, and how long after its push.
type startSample struct{ at, delay Time }

// queueTotals sums queue samples up.
type queueTotals struct {
	positions float64
	waits     Time
}

func (q *queueTotals) add(s queueSample) {
	q.positions += s.position
	q.waits += s.wait
}

func (q *queueTotals) remove(s queueSample) {
	q.positions -= s.position
	q.waits -= s.wait
}

// digest caches what is worked out of the samples: over a large fleet, working it out for each worker of
// each op took more CPU time than a scheduler has.
type digest struct {
	valid          bool
	probeRTT       Time    // the median
	maxStartDelay  Time    // the longest of the start samples
	reportsStale   bool    // load reports come late
	reportAccuracy float64 // the fraction of the jobs reported to start at once that did
	capacityShort  bool    // ops that were given all probe rounds find no place
}

// currentDigest works the digest out where inputs have come since.
func (d *Dispatcher) currentDigest() *digest {
	g := &d.digest
	if g.valid {
		return g
	}
	g.valid = true
	if len(d.samples.probeRTTs) > 0 {
		g.probeRTT = stats.Quantile(d.samples.probeRTTs, 0.5)
	}
	g.capacityShort = d.placements.Suspected(d.now)
	late, n := 0, 0
	promptDelay := 5*g.probeRTT + 4*d.settings.TickInterval
	g.maxStartDelay = 0
	for _, s := range d.samples.startSamples {
		g.maxStartDelay = max(g.maxStartDelay, s.delay)
		if d.now-s.at < maxStartSampleAge {
			late += stats.Bit(s.delay > promptDelay)
			n++
		}
	}
	// Reports that are seconds old send all schedulers to the workers that look idle.
	g.reportsStale = len(d.samples.probeRTTs) > 0 && n >= minStartSamples && 3*late > n
	g.reportAccuracy = float64(n-late) / float64(n+1)
	return g
}
