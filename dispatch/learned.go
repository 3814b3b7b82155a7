package dispatch

import (
	"math"

	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
)

// Verdict is one on a worker, a zone or the fleet's room.
type Verdict = sprt.Verdict[Time]

// Learned is what a dispatcher has learned, for that of the process that takes its place on the same machine.
type Learned struct {
	ThresholdCounts    [2][maxState + 1]float64   `json:"counts"` // the design's a and b
	HalvedAt           Time                       `json:"halved"`
	StartDelays        []Time                     `json:"taus"`
	ProbeRTTs          []Time                     `json:"trips"`
	StartSamples       [][2]Time                  `json:"starts"` // when, and how long after the push
	PlacementVerdicts  []Verdict                  `json:"room"`
	Zones              [][]Verdict                `json:"zones"`
	Categories         map[string]LearnedCategory `json:"categories"` // by name
	Workers            map[uint64]*LearnedWorker  `json:"workers"`    // by mark
	WorkersAcknowledge bool                       `json:"takes"`
}

// LearnedCategory is what was learned of a category's ops.
type LearnedCategory struct {
	LongestTTL   Time   `json:"longest"`
	ServiceTimes []Time `json:"runs"`
}

// LearnedWorker is what was learned of a worker as of its last start.
type LearnedWorker struct {
	StartedAt         Time         `json:"since"`
	MaxFreeSlots      float64      `json:"slots"` // the most that were seen free at one of its kind
	ServiceTimeRatios []float64    `json:"strides"`
	QueueSamples      [][2]float64 `json:"places"` // in its queue, and how long each took to start
	Health            []Verdict    `json:"health"`
}

// Learned tells what this dispatcher has learned. The lists in it may be read while it goes on: they only grow at their ends.
func (d *Dispatcher) Learned() Learned {
	l := Learned{ThresholdCounts: [2][maxState + 1]float64{d.observed, d.idleAfter}, HalvedAt: d.halvedAt, StartDelays: d.startDelays, ProbeRTTs: d.probeRTTs,
		PlacementVerdicts: d.placements.Verdicts(), Categories: map[string]LearnedCategory{}, Workers: map[uint64]*LearnedWorker{}, WorkersAcknowledge: d.workersAcknowledge}
	for _, s := range d.startSamples {
		l.StartSamples = append(l.StartSamples, [2]Time{s.at, s.delay})
	}
	for z := range d.zones {
		l.Zones = append(l.Zones, d.zones[z].Verdicts())
	}
	for _, c := range d.categories {
		if c.inForce {
			l.Categories[c.Name] = LearnedCategory{c.longestTTL, c.serviceTimes}
		}
	}
	for i := range d.workers {
		w := &d.workers[i]
		if !w.listed {
			continue
		}
		x := &LearnedWorker{StartedAt: w.startedAt, MaxFreeSlots: d.kinds[w.kind].maxFreeSlots, ServiceTimeRatios: w.serviceTimeRatios, Health: w.health.Verdicts()}
		for _, p := range w.queueSamples {
			x.QueueSamples = append(x.QueueSamples, [2]float64{p.position, float64(p.wait)})
		}
		l.Workers[w.identityHash] = x
	}
	return l
}

// Shift moves all moments by a span, to the clock of another dispatcher.
func (l *Learned) Shift(by Time) {
	l.HalvedAt += by
	for i := range l.StartSamples {
		l.StartSamples[i][0] += by
	}
	shift(l.PlacementVerdicts, by)
	for _, verdicts := range l.Zones {
		shift(verdicts, by)
	}
	for _, w := range l.Workers {
		if w == nil {
			continue
		}
		if w.StartedAt > 0 {
			w.StartedAt += by
		}
		shift(w.Health, by)
	}
}

func shift(verdicts []Verdict, by Time) {
	for i := range verdicts {
		verdicts[i].At += by
	}
}

// RestoreLearned starts from what another process's dispatcher had learned, once the workers are listed. What can't be, such as a
// negative span or a moment to come, is left out: the other build may have a fault that this one has not.
func (d *Dispatcher) RestoreLearned(l Learned) {
	spans := func(few []Time) (good []Time) {
		for _, t := range few {
			if t >= 0 && t < never {
				good = stats.Keep(good, t)
			}
		}
		return good
	}
	judge := func(t *sprt.Test[Time], verdicts []Verdict) {
		for _, v := range verdicts[max(0, len(verdicts)-stats.Few):] {
			if v.At > 0 && v.At <= d.now {
				t.Add(v.At, v.OK)
			}
		}
	}
	usable := func(x float64) bool { return x >= 0 && x < math.MaxInt32 }
	for k, a := range l.ThresholdCounts[0] {
		if b := l.ThresholdCounts[1][k]; usable(a) && usable(b) && b <= a {
			d.observed[k], d.idleAfter[k] = a, b
		}
	}
	d.halvedAt = min(max(l.HalvedAt, 0), d.now)
	d.startDelays, d.probeRTTs, d.workersAcknowledge = spans(l.StartDelays), spans(l.ProbeRTTs), l.WorkersAcknowledge
	for _, s := range l.StartSamples {
		if s[0] > 0 && s[0] <= d.now && s[1] >= 0 && s[1] < never {
			d.startSamples = stats.Keep(d.startSamples, startSample{s[0], s[1]})
		}
	}
	judge(&d.placements, l.PlacementVerdicts)
	for z := range min(len(l.Zones), len(d.zones)) {
		judge(&d.zones[z], l.Zones[z])
	}
	for i := range d.categories {
		c := &d.categories[i]
		if r, ok := l.Categories[c.Name]; ok {
			c.longestTTL, c.serviceTimes = min(max(r.LongestTTL, 0), never), spans(r.ServiceTimes)
			c.summarize()
		}
	}
	d.highestWeight.valid = false
	for i := range d.workers {
		w := &d.workers[i]
		x := l.Workers[w.identityHash]
		if x == nil || x.StartedAt != w.startedAt || len(w.serviceTimeRatios) > 0 {
			continue // unknown there, restarted since, or better known here
		}
		k := &d.kinds[w.kind]
		if usable(x.MaxFreeSlots) {
			k.maxFreeSlots = max(k.maxFreeSlots, x.MaxFreeSlots)
		}
		for _, s := range x.ServiceTimeRatios {
			if usable(s) {
				w.serviceTimeRatios.Add(&k.serviceTimeRatios, s)
			}
		}
		for _, p := range x.QueueSamples {
			if usable(p[0]) && usable(p[1]) {
				d.addQueueSample(w, queueSample{p[0], Time(p[1])})
			}
		}
		judge(&w.health, x.Health)
	}
	d.digestValid = false
}
