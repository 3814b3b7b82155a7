package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

// suspectedAfterSilence pushes n ops to worker 0, which never answers, and reports whether it is suspected
// well past any start.
func suspectedAfterSilence(t *testing.T, n int, speaks bool) bool {
	t.Helper()
	d := fleet(2, nil)
	for range stats.MaxRecent {
		d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, 100})
	}
	for i := range n {
		d.AddOp(i, OpSpec{TTL: d.now + 50_000, Slots: 1})
		decisions(d)
		d.AdvanceClock(d.now + d.probeTimeout())
		d.ProbeAnswered(0, 0, jobs(float64(i)/4)) // worker 1 does not answer the probe
		if push(t, d) != 0 {
			t.Fatal("set-up: not pushed to worker 0")
		}
	}
	for range 40 {
		d.AdvanceClock(d.now + 100)
		if speaks {
			d.AttemptProgress(0, 0, Progress{Started: true})
		}
		decisions(d)
	}
	return d.fleet.workers[0].health.Suspected(d.now)
}

// A hung worker went on getting ops; a worker behind a wide job was suspected as a hung one.
func TestSilentWorkerIsSuspectedBusyOneIsNot(t *testing.T) {
	if !suspectedAfterSilence(t, 3, false) {
		t.Error("a worker silent on three pushes is not doubted")
	}
	if suspectedAfterSilence(t, 3, true) {
		t.Error("a worker that still speaks is doubted")
	}
	if suspectedAfterSilence(t, 1, false) {
		t.Error("one silent push is no verdict")
	}
}

// Jobs ended and their answers were lost: each such op was in flight until its TTL, and its client had no
// time left.
func TestSilentStartedAttemptIsCancelled(t *testing.T) {
	for cat, want := range []bool{true, true, true, true, false} { // an at-most-once op can't be pushed again
		d := fleet(8, func(s *Settings) { s.ProgressInterval = 10_000 })
		d.categories.all[cat].DedupWindow = 50_000
		for range stats.MaxRecent {
			d.samples.startSamples = append(d.samples.startSamples, startSample{d.now, 100})
		}
		x, y := probed(t, d, 0, cat)
		first := pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + 100)
		d.AttemptProgress(0, 0, Progress{Started: true})
		for range 29 {
			if d.AdvanceClock(d.now + 1_000); len(decisions(d)) > 0 {
				t.Fatal("called off within three intervals of progress")
			}
		}
		d.AdvanceClock(d.now + 1_000)
		all := decisions(d)
		if called := len(all) > 0 && all[0].Kind == CancelAttempt; called != want {
			t.Fatalf("category %d: %v", cat, all)
		}
		if !want {
			continue
		}
		if !d.fleet.workers[first].health.Failed() {
			t.Error("no verdict on the worker")
		}
		d.AttemptEnded(0, 0, Cancelled, false)
		d.AdvanceClock(d.now + 10)
		if all = decisions(d); len(all) == 0 || all[0].Kind != Probe || all[0].Worker == first {
			t.Errorf("category %d is not tried elsewhere: %v", cat, all)
		}
	}
}

// A silent connection held its op until the TTL, though workers acknowledge attempts at once.
func TestUnacknowledgedAttemptIsCancelled(t *testing.T) {
	for cat, want := range []bool{true, true, true, true, false} {
		d := fleet(8, func(s *Settings) { s.DialTimeout, s.AcknowledgeTimeout = 2_000, 2_000 })
		x, y := probed(t, d, 0, cat)
		pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + 5_000)
		if all := decisions(d); len(all) > 0 {
			t.Fatalf("called off though nobody was seen to say so: %v", all)
		}
		d.AttemptProgress(0, 0, Progress{Acknowledged: true})
		x, y = probed(t, d, 1, cat)
		pushed(t, d, x, jobs(0), y, jobs(0))
		d.AdvanceClock(d.now + 3_900)
		if all := decisions(d); len(all) > 0 {
			t.Fatalf("called off before a dial and as long again: %v", all)
		}
		d.AdvanceClock(d.now + 100)
		all := decisions(d)
		if called := len(all) > 0 && all[0].Kind == CancelAttempt && all[0].Op == 1; called != want || len(all) > 1 {
			t.Errorf("category %d: %v", cat, all)
		}
	}
}
