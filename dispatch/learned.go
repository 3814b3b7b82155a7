package dispatch

import (
	"math"

	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
)

// Verdict is an observation of a worker, of the connection to a zone, or of whether an op could be placed.
type Verdict = sprt.Verdict[Time]

// Learned is what a dispatcher has learned, for the dispatcher of its process's successor on the same
// machine.
type Learned struct {
	ThresholdCounts    [2][maxState + 1]float64   `json:"counts"` // a_l and b_l of the paper
	HalvedAt           Time                       `json:"halved"`
	StartDelays        []Time                     `json:"taus"`
	ProbeRTTs          []Time                     `json:"trips"`
	StartSamples       [][2]Time                  `json:"starts"` // time of the start, and delay after the push
	PlacementVerdicts  []Verdict                  `json:"room"`
	Zones              [][]Verdict                `json:"zones"`
	Categories         map[string]LearnedCategory `json:"categories"` // by name
	Workers            map[uint64]*LearnedWorker  `json:"workers"`    // by identity hash
	WorkersAcknowledge bool                       `json:"takes"`
}

// LearnedCategory is what was learned from a category's ops.
type LearnedCategory struct {
	LongestTTL   Time   `json:"longest"`
	ServiceTimes []Time `json:"runs"`
}

// LearnedWorker is what was learned about a worker since its last start.
type LearnedWorker struct {
	StartedAt         Time         `json:"since"`
	MaxFreeSlots      float64      `json:"slots"` // most free slots that a worker of its kind reported
	ServiceTimeRatios []float64    `json:"strides"`
	QueueSamples      [][2]float64 `json:"places"` // position in its queue, and wait
	Health            []Verdict    `json:"health"`
}

// Learned returns what this dispatcher has learned. The slices in it may be read while the dispatcher goes
// on: they only grow at their ends.
func (d *Dispatcher) Learned() Learned {
	l := Learned{
		ThresholdCounts:    [2][maxState + 1]float64{d.estimator.observed, d.estimator.idleAfter},
		HalvedAt:           d.halvedAt,
		StartDelays:        d.estimator.startDelays,
		ProbeRTTs:          d.samples.probeRTTs,
		PlacementVerdicts:  d.placements.Verdicts(),
		Categories:         map[string]LearnedCategory{},
		Workers:            map[uint64]*LearnedWorker{},
		WorkersAcknowledge: d.workersAcknowledge,
	}
	for _, s := range d.samples.startSamples {
		l.StartSamples = append(l.StartSamples, [2]Time{s.at, s.delay})
	}
	for z := range d.fleet.zones {
		l.Zones = append(l.Zones, d.fleet.zones[z].Verdicts())
	}
	for k := range d.categories.all {
		if c := &d.categories.all[k]; c.inForce {
			l.Categories[c.Name] = LearnedCategory{c.longestTTL, c.serviceTimes}
		}
	}
	for i := range d.fleet.workers {
		if w := &d.fleet.workers[i]; w.listed {
			l.Workers[w.identityHash] = w.learned(d.fleet.slots(w))
		}
	}
	return l
}

func (w *worker) learned(slots float64) *LearnedWorker {
	l := &LearnedWorker{StartedAt: w.startedAt, MaxFreeSlots: slots, ServiceTimeRatios: w.serviceTimeRatios,
		Health: w.health.Verdicts()}
	for _, s := range w.queueSamples {
		l.QueueSamples = append(l.QueueSamples, [2]float64{s.position, float64(s.wait)})
	}
	return l
}

// Shift moves all times by an offset, to the clock of another dispatcher.
func (l *Learned) Shift(offset Time) {
	l.HalvedAt += offset
	for i := range l.StartSamples {
		l.StartSamples[i][0] += offset
	}
	shiftVerdicts(l.PlacementVerdicts, offset)
	for _, verdicts := range l.Zones {
		shiftVerdicts(verdicts, offset)
	}
	for _, w := range l.Workers {
		if w == nil {
			continue
		}
		if w.StartedAt > 0 {
			w.StartedAt += offset
		}
		shiftVerdicts(w.Health, offset)
	}
}

func shiftVerdicts(verdicts []Verdict, offset Time) {
	for i := range verdicts {
		verdicts[i].At += offset
	}
}

// RestoreLearned restores what another process's dispatcher had learned. It is called once the workers are
// listed. Impossible values, such as a negative duration or a time in the future, are left out: the other
// process may run a build with a fault that this build does not have.
func (d *Dispatcher) RestoreLearned(l Learned) {
	d.estimator.restore(&l)
	d.halvedAt = min(max(l.HalvedAt, 0), d.now)
	d.workersAcknowledge = l.WorkersAcknowledge
	d.samples.restore(&l, d.now)
	restoreVerdicts(&d.placements, l.PlacementVerdicts, d.now)
	for z := range min(len(l.Zones), len(d.fleet.zones)) {
		restoreVerdicts(&d.fleet.zones[z], l.Zones[z], d.now)
	}
	d.categories.restore(l.Categories)
	for i := range d.fleet.workers {
		w := &d.fleet.workers[i]
		known := l.Workers[w.identityHash]
		if known == nil || known.StartedAt != w.startedAt || len(w.serviceTimeRatios) > 0 {
			continue // unknown to the other process, restarted since, or already sampled by this one
		}
		d.restoreWorker(w, known)
	}
	d.summary.valid = false
}

func (e *thresholdEstimator) restore(l *Learned) {
	for state, a := range l.ThresholdCounts[0] {
		if b := l.ThresholdCounts[1][state]; usable(a) && usable(b) && b <= a {
			e.observed[state], e.idleAfter[state] = a, b
		}
	}
	e.startDelays = usableDurations(l.StartDelays)
}

func (s *loadSamples) restore(l *Learned, now Time) {
	s.probeRTTs = usableDurations(l.ProbeRTTs)
	for _, sample := range l.StartSamples {
		at, delay := sample[0], sample[1]
		if at > 0 && at <= now && usableDuration(delay) {
			s.addStart(startSample{at, delay})
		}
	}
}

func (t *categoryTable) restore(known map[string]LearnedCategory) {
	for k := range t.all {
		c := &t.all[k]
		if learned, ok := known[c.Name]; ok {
			c.longestTTL = min(max(learned.LongestTTL, 0), unlimitedDuration)
			c.setServiceTimes(usableDurations(learned.ServiceTimes))
		}
	}
	t.highest.valid = false
}

func (d *Dispatcher) restoreWorker(w *worker, known *LearnedWorker) {
	kind := &d.fleet.kinds[w.kind]
	if usable(known.MaxFreeSlots) {
		kind.maxFreeSlots = max(kind.maxFreeSlots, known.MaxFreeSlots)
	}
	for _, ratio := range known.ServiceTimeRatios {
		if usable(ratio) {
			w.serviceTimeRatios.Add(&kind.serviceTimeRatios, ratio)
		}
	}
	for _, s := range known.QueueSamples {
		if position, wait := s[0], s[1]; usable(position) && usable(wait) {
			d.addQueueSample(w, queueSample{position, Time(wait)})
		}
	}
	restoreVerdicts(&w.health, known.Health, d.now)
}

// restoreVerdicts adds the most recent verdicts that are not in the future.
func restoreVerdicts(t *sprt.Test[Time], verdicts []Verdict, now Time) {
	for _, v := range verdicts[max(0, len(verdicts)-stats.MaxRecent):] {
		if v.At > 0 && v.At <= now {
			t.Add(v.At, v.OK)
		}
	}
}

func usable(x float64) bool { return x >= 0 && x < math.MaxInt32 }

func usableDuration(t Time) bool { return t >= 0 && t < unlimitedDuration }

func usableDurations(all []Time) (usable []Time) {
	for _, t := range all {
		if usableDuration(t) {
			usable = stats.AppendRecent(usable, t)
		}
	}
	return usable
}
