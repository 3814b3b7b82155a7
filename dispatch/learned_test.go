package dispatch

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"

	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
)

// dispatcherWithSamples creates a dispatcher that has seen worker 0 fail most ops, and worker 1 succeed.
func dispatcherWithSamples(t *testing.T) *Dispatcher {
	d := testDispatcher(2, func(s *Settings) { s.Categories[0].Name = "look" })
	for i := range 2 {
		setIdentity(d, i, uint64(i+1), 0)
	}
	for i := range 80 {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		pullDecisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 3, loadWithJobs(float64(i%3)))
		failed := expectPush(t, d) == 0 && i%5 > 0
		d.AdvanceClock(d.now + 10)
		d.AttemptProgress(i, 0, Progress{Started: true})
		d.AdvanceClock(d.now + 200)
		outcome := Outcome(stats.BoolToInt(failed) * int(Failed))
		d.AttemptEnded(i, 0, outcome, outcome == Succeeded)
		pullDecisions(d)
	}
	return d
}

// A successor process must start with what its predecessor learned. Otherwise it has to find every failing
// worker again, and starts with threshold T = 0.
func TestLearnedStateSurvivesARoundTrip(t *testing.T) {
	source := dispatcherWithSamples(t)
	text, err := json.Marshal(source.Learned())
	if err != nil {
		t.Fatal(err)
	}
	var learned Learned
	if err := json.Unmarshal(text, &learned); err != nil {
		t.Fatal(err)
	}
	restored := testDispatcher(2, func(s *Settings) { s.Categories[0].Name = "look" })
	for i := range 2 {
		setIdentity(restored, i, uint64(i+1), 0)
	}
	restored.AdvanceClock(source.now + 5)
	restored.RestoreLearned(learned)
	if !restored.Suspected(0, restored.now) || restored.Suspected(1, restored.now) ||
		restored.threshold() != source.threshold() || restored.estimator.observed != source.estimator.observed {
		t.Errorf("suspected: %v and %v, want true and false; T = %d, want %d", restored.Suspected(0, restored.now),
			restored.Suspected(1, restored.now), restored.threshold(), source.threshold())
	}
	source.AdvanceClock(restored.now)
	o := &op{maxAttempts: 1}
	for i := range 2 {
		if restored.predictFinish(o, i) != source.predictFinish(o, i) ||
			restored.probeTimeout() != source.probeTimeout() {
			t.Errorf("worker %d: predicted finish %d, want %d; probe timeout %d", i, restored.predictFinish(o, i),
				source.predictFinish(o, i), restored.probeTimeout())
		}
	}
	if again := restored.Learned(); !reflect.DeepEqual(again.Workers, learned.Workers) ||
		!reflect.DeepEqual(again.Categories, learned.Categories) {
		t.Error("what the restored dispatcher has learned differs")
	}
}

// What was learned about a worker's previous process must not be applied to its present process. Impossible
// values must not reach a decision.
func TestImpossibleLearnedValuesAreLeftOut(t *testing.T) {
	l := dispatcherWithSamples(t).Learned()
	d := testDispatcher(2, func(s *Settings) { s.Categories[0].Name = "look" })
	d.AdvanceClock(1 << 40)
	d.UpsertWorker(0, WorkerEntry{Ready: true, StartedAt: 1<<40 - 5})
	for i := range 2 {
		setIdentity(d, i, uint64(i+1), 0)
	}
	l.ThresholdCounts[0][0], l.ThresholdCounts[1][0], l.ThresholdCounts[1][1] = -5, 3, math.MaxFloat64
	l.HalvedAt, l.StartDelays, l.ProbeRTTs = 1<<50, []Time{-4, math.MaxInt64, 30}, make([]Time, 9000)
	l.StartSamples = [][2]Time{{1 << 60, 3}, {4, -1}}
	l.Zones = append(l.Zones, make([]sprt.Verdict[Time], 70))
	l.Categories = map[string]LearnedCategory{"look": {LongestTTL: math.MaxInt64, ServiceTimes: []Time{-1, 5}},
		"gone": {}}
	l.Workers[2].ServiceTimeRatios = []float64{-1, math.Inf(1), 2}
	l.Workers[2].QueueSamples = [][2]float64{{-1, 5}, {1, math.Inf(1)}, {1, 5}}
	l.Workers[2].Health = append(l.Workers[2].Health, sprt.Verdict[Time]{At: 1 << 60})
	d.RestoreLearned(l)
	if len(d.fleet.workers[0].serviceTimeRatios) > 0 || d.Suspected(0, d.now) {
		t.Error("what was learned before the restart is applied to the worker")
	}
	for _, v := range d.fleet.workers[1].health.Verdicts() {
		if v.At > d.now {
			t.Error("a verdict in the future was restored")
		}
	}
	if w := d.fleet.workers[1]; len(w.serviceTimeRatios) != 1 || len(w.queueSamples) != 1 ||
		len(d.estimator.startDelays) != 1 || len(d.samples.probeRTTs) > stats.MaxRecent ||
		len(d.samples.startSamples) > 0 || d.estimator.observed[0] != 0 ||
		d.estimator.idleAfter[1] > d.estimator.observed[1] || d.halvedAt > d.now {
		t.Errorf("%+v, start delays %v, %d round trips, %d starts, a %v, b %v", w, d.estimator.startDelays,
			len(d.samples.probeRTTs), len(d.samples.startSamples), d.estimator.observed, d.estimator.idleAfter)
	}
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	pullDecisions(d) // must not panic on any of the values
}
