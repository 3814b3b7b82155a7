package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

// Queue samples that a worker drops must also be removed from the totals. Otherwise predicted waits drift
// permanently.
func TestQueueTotalsFollowTheWorkersSamples(t *testing.T) {
	d := testDispatcher(2, nil)
	for i := range 2 * stats.MaxRecent {
		d.addQueueSample(&d.fleet.workers[0], queueSample{float64(i), Time(10 * i)})
	}
	d.addQueueSample(&d.fleet.workers[1], queueSample{5, 70})
	var want queueTotals
	for i := range d.fleet.workers {
		for _, s := range d.fleet.workers[i].queueSamples {
			want.add(s)
		}
	}
	if d.samples.queue != want {
		t.Errorf("totals %+v, want the samples' sum %+v", d.samples.queue, want)
	}
	d.ForgetWorker(0)
	if want = (queueTotals{positions: 5, waits: 70}); d.samples.queue != want {
		t.Errorf("totals %+v after the first worker was forgotten, want %+v", d.samples.queue, want)
	}
}

// The summary must be computed again after each input that it depends on. Otherwise decisions use old
// samples.
func TestTheSummaryIsRecomputedAfterEachInput(t *testing.T) {
	d := testDispatcher(2, nil)
	if rtt := d.currentSummary().probeRTT; rtt != 0 {
		t.Fatalf("round-trip time %d without a probe", rtt)
	}
	d.ProbeAnswered(0, 70, loadWithJobs(0))
	if rtt := d.currentSummary().probeRTT; rtt != 70 {
		t.Errorf("round-trip time %d after a probe of 70", rtt)
	}
	for range minStartSamples {
		d.samples.addStart(startSample{d.now, 9_000})
	}
	d.AdvanceClock(d.now + 1)
	if g := d.currentSummary(); !g.reportsStale || g.maxStartDelay != 9_000 || g.reportAccuracy != 0 {
		t.Errorf("after late starts only: %+v", *g)
	}
}
