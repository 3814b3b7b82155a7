package dispatch

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"

	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
)

// dispatcherWithSamples is a dispatcher that has seen worker 0 fail, and both serve.
func dispatcherWithSamples(t *testing.T) *Dispatcher {
	d := fleet(2, func(s *Settings) { s.Categories[0].Name = "look" })
	for i := range 2 {
		identify(d, i, uint64(i+1), 0)
	}
	for i := range 80 {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		decisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 3, jobs(float64(i%3)))
		bad := push(t, d) == 0 && i%5 > 0
		d.AdvanceClock(d.now + 10)
		d.AttemptProgress(i, 0, Progress{Started: true})
		d.AdvanceClock(d.now + 200)
		how := Outcome(stats.Bit(bad) * int(Failed))
		d.AttemptEnded(i, 0, how, how == Succeeded)
		decisions(d)
	}
	return d
}

// The process that took over met every bad worker anew, and had T at 0.
func TestLearnedSurvivesARoundTrip(t *testing.T) {
	was := dispatcherWithSamples(t)
	text, err := json.Marshal(was.Learned())
	if err != nil {
		t.Fatal(err)
	}
	var l Learned
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	is := fleet(2, func(s *Settings) { s.Categories[0].Name = "look" })
	for i := range 2 {
		identify(is, i, uint64(i+1), 0)
	}
	is.AdvanceClock(was.now + 5)
	is.RestoreLearned(l)
	if !is.Suspected(0, is.now) || is.Suspected(1, is.now) || is.threshold() != was.threshold() || is.estimator.observed != was.estimator.observed {
		t.Errorf("doubts %v and %v, T %d for %d", is.Suspected(0, is.now), is.Suspected(1, is.now), is.threshold(), was.threshold())
	}
	was.AdvanceClock(is.now)
	o := &op{maxAttempts: 1}
	for i := range 2 {
		if is.predictFinish(o, i) != was.predictFinish(o, i) || is.probeTimeout() != was.probeTimeout() {
			t.Errorf("worker %d: foretold %d for %d, probes awaited for %d", i, is.predictFinish(o, i), was.predictFinish(o, i), is.probeTimeout())
		}
	}
	if again := is.Learned(); !reflect.DeepEqual(again.Workers, l.Workers) || !reflect.DeepEqual(again.Categories, l.Categories) {
		t.Error("handed on it is another")
	}
}

// A worker that has restarted is another under the same name, and what can't be must not reach a decision.
func TestImpossibleLearnedValuesAreLeftOut(t *testing.T) {
	l := dispatcherWithSamples(t).Learned()
	d := fleet(2, func(s *Settings) { s.Categories[0].Name = "look" })
	d.AdvanceClock(1 << 40)
	d.UpsertWorker(0, WorkerEntry{Ready: true, StartedAt: 1<<40 - 5})
	for i := range 2 {
		identify(d, i, uint64(i+1), 0)
	}
	l.ThresholdCounts[0][0], l.ThresholdCounts[1][0], l.ThresholdCounts[1][1] = -5, 3, math.MaxFloat64
	l.HalvedAt, l.StartDelays, l.ProbeRTTs = 1<<50, []Time{-4, math.MaxInt64, 30}, make([]Time, 9000)
	l.StartSamples = [][2]Time{{1 << 60, 3}, {4, -1}}
	l.Zones = append(l.Zones, make([]sprt.Verdict[Time], 70))
	l.Categories = map[string]LearnedCategory{"look": {LongestTTL: math.MaxInt64, ServiceTimes: []Time{-1, 5}}, "gone": {}}
	l.Workers[2].ServiceTimeRatios = []float64{-1, math.Inf(1), 2}
	l.Workers[2].QueueSamples = [][2]float64{{-1, 5}, {1, math.Inf(1)}, {1, 5}}
	l.Workers[2].Health = append(l.Workers[2].Health, sprt.Verdict[Time]{At: 1 << 60})
	d.RestoreLearned(l)
	if len(d.fleet.workers[0].serviceTimeRatios) > 0 || d.Suspected(0, d.now) {
		t.Error("the worker that has restarted is judged by its past")
	}
	for _, v := range d.fleet.workers[1].health.Verdicts() {
		if v.At > d.now {
			t.Error("a verdict of a time to come is kept")
		}
	}
	if w := d.fleet.workers[1]; len(w.serviceTimeRatios) != 1 || len(w.queueSamples) != 1 || len(d.estimator.startDelays) != 1 || len(d.samples.probeRTTs) > stats.MaxRecent ||
		len(d.samples.startSamples) > 0 || d.estimator.observed[0] != 0 || d.estimator.idleAfter[1] > d.estimator.observed[1] || d.halvedAt > d.now {
		t.Errorf("%+v, taus %v, %d trips, %d starts, a %v, b %v", w, d.estimator.startDelays, len(d.samples.probeRTTs), len(d.samples.startSamples), d.estimator.observed, d.estimator.idleAfter)
	}
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	decisions(d) // it must not panic on any of it
}
