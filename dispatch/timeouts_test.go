package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

// workerSuspectedAfterSilence pushes n ops to worker 0, which never answers or, if reports is set, reports
// one start repeatedly. It returns whether the worker is suspected long after any start was due.
func workerSuspectedAfterSilence(t *testing.T, n int, reports bool) bool {
	t.Helper()
	d := testDispatcher(2, nil)
	for range stats.MaxRecent {
		d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, 100})
	}
	for i := range n {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		pullDecisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 0, loadWithJobs(float64(i)/4)) // worker 1 does not answer the probe
		if expectPush(t, d) != 0 {
			t.Fatal("setup: not pushed to worker 0")
		}
	}
	for range 40 {
		d.AdvanceClock(d.now + 100)
		if reports {
			d.AttemptProgress(0, 0, Progress{Started: true})
		}
		pullDecisions(d)
	}
	return d.fleet.workers[0].health.Suspected(d.now)
}

// A hung worker must be suspected, or it still gets ops. A worker whose queue is behind a wide job must not
// be suspected of hanging.
func TestSilentWorkerIsSuspectedBusyOneIsNot(t *testing.T) {
	if !workerSuspectedAfterSilence(t, 3, false) {
		t.Error("a worker silent about three attempts is not suspected")
	}
	if workerSuspectedAfterSilence(t, 3, true) {
		t.Error("a worker that still reports is suspected")
	}
	if workerSuspectedAfterSilence(t, 1, false) {
		t.Error("a worker silent about one attempt is suspected")
	}
}

// An attempt must be cancelled if its worker reports nothing after the start. If the answer of an ended job
// is lost, the op is otherwise in flight until its TTL, and its client has no time left for a retry.
func TestSilentStartedAttemptIsCancelled(t *testing.T) {
	// an at-most-once op can't be pushed again
	for category, want := range []bool{true, true, true, true, false} {
		d := testDispatcher(8, func(s *Settings) { s.ProgressInterval = 10_000 })
		d.categories.all[category].DedupWindow = 50_000
		for range stats.MaxRecent {
			d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, 100})
		}
		x, y := admitAndProbe(t, d, 0, category)
		first := answerAndPush(t, d, x, loadWithJobs(0), y, loadWithJobs(0))
		d.AdvanceClock(d.now + 100)
		d.AttemptProgress(0, 0, Progress{Started: true})
		for range 29 {
			if d.AdvanceClock(d.now + 1_000); len(pullDecisions(d)) > 0 {
				t.Fatal("cancelled within three progress intervals")
			}
		}
		d.AdvanceClock(d.now + 1_000)
		all := pullDecisions(d)
		if cancelled := len(all) > 0 && all[0].Kind == CancelAttempt; cancelled != want {
			t.Fatalf("category %d: %v", category, all)
		}
		if !want {
			continue
		}
		if !d.fleet.workers[first].health.Failed() {
			t.Error("the worker got no failure verdict")
		}
		d.AttemptEnded(0, 0, Cancelled, false)
		d.AdvanceClock(d.now + 10)
		if all = pullDecisions(d); len(all) == 0 || all[0].Kind != Probe || all[0].Worker == first {
			t.Errorf("category %d: decisions %v, want a probe of another worker", category, all)
		}
	}
}

// An attempt must be cancelled if its acknowledgement is missing, once workers are known to acknowledge.
// Otherwise a silent connection blocks its op until the TTL.
func TestUnacknowledgedAttemptIsCancelled(t *testing.T) {
	for category, want := range []bool{true, true, true, true, false} {
		d := testDispatcher(8, func(s *Settings) { s.DialTimeout, s.AcknowledgeTimeout = 2_000, 2_000 })
		x, y := admitAndProbe(t, d, 0, category)
		answerAndPush(t, d, x, loadWithJobs(0), y, loadWithJobs(0))
		d.AdvanceClock(d.now + 5_000)
		if all := pullDecisions(d); len(all) > 0 {
			t.Fatalf("cancelled before any acknowledgement was seen: %v", all)
		}
		d.AttemptProgress(0, 0, Progress{Acknowledged: true})
		x, y = admitAndProbe(t, d, 1, category)
		answerAndPush(t, d, x, loadWithJobs(0), y, loadWithJobs(0))
		d.AdvanceClock(d.now + 3_900)
		if all := pullDecisions(d); len(all) > 0 {
			t.Fatalf("cancelled before twice the acknowledge timeout: %v", all)
		}
		d.AdvanceClock(d.now + 100)
		all := pullDecisions(d)
		if cancelled := len(all) > 0 && all[0].Kind == CancelAttempt &&
			all[0].Op == 1; cancelled != want || len(all) > 1 {
			t.Errorf("category %d: %v", category, all)
		}
	}
}
