package dispatch

import "woaddyke/internal/base/stats"

const (
	// minStartSamples is the least number of start samples that decisions rely on.
	minStartSamples = stats.MaxRecent / 4
	// maxStartSampleAge is the age up to which start samples show whether load reports are stale. Without
	// this limit, load reports that were stale once would be ignored for good.
	maxStartSampleAge = maxVerdictAge / 3
)

// loadSamples holds the latest measurements of the whole fleet.
type loadSamples struct {
	probeRTTs    []Time        // the most recent
	startSamples []startSample // the most recent, of jobs whose worker had reported capacity for them
	queue        queueTotals   // the sum of all workers' queue samples
}

func (s *loadSamples) addStart(sample startSample) {
	s.startSamples = stats.AppendRecent(s.startSamples, sample)
}

// startSample is when a job started, and its delay after the push.
type startSample struct{ at, delay Time }

// queueTotals is a sum of queue samples.
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

// sampleSummary caches what is computed from the samples: over a large fleet, computing it for each worker
// of each op took more CPU time than a scheduler has.
type sampleSummary struct {
	valid          bool
	probeRTT       Time    // the median
	maxStartDelay  Time    // longest delay of the start samples
	reportsStale   bool    // load reports are too old to be used
	reportAccuracy float64 // fraction of the start samples that were prompt
	capacityShort  bool    // narrow ops cannot be placed in all their probe rounds
}

// currentSummary returns the summary. It computes the summary again if an input has invalidated it.
func (d *Dispatcher) currentSummary() *sampleSummary {
	g := &d.summary
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
			late += stats.BoolToInt(s.delay > promptDelay)
			n++
		}
	}
	// Reports that are seconds old make all schedulers push to the workers that look idle.
	g.reportsStale = len(d.samples.probeRTTs) > 0 && n >= minStartSamples && 3*late > n
	g.reportAccuracy = float64(n-late) / float64(n+1)
	return g
}
