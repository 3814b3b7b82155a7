package dispatch

import (
	"testing"

	"woaddyke/internal/base/stats"
)

// The totals of queue samples must lose what a worker's samples lose, or predicted waits drift for good.
func TestQueueTotalsFollowTheWorkersSamples(t *testing.T) {
	d := fleet(2, nil)
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
		t.Errorf("totals %+v, the samples' sum is %+v", d.samples.queue, want)
	}
	d.ForgetWorker(0)
	if want = (queueTotals{positions: 5, waits: 70}); d.samples.queue != want {
		t.Errorf("totals %+v without the first worker, want %+v", d.samples.queue, want)
	}
}

// The digest is worked out again after each input that it depends on, or decisions follow old samples.
func TestDigestFollowsItsInputs(t *testing.T) {
	d := fleet(2, nil)
	if rtt := d.currentDigest().probeRTT; rtt != 0 {
		t.Fatalf("a round trip of %d without a probe", rtt)
	}
	d.ProbeAnswered(0, 70, jobs(0))
	if rtt := d.currentDigest().probeRTT; rtt != 70 {
		t.Errorf("round trip %d after one of 70", rtt)
	}
	for range minStartSamples {
		d.samples.addStart(startSample{d.now, 9_000})
	}
	d.AdvanceClock(d.now + 1)
	if g := d.currentDigest(); !g.reportsStale || g.maxStartDelay != 9_000 || g.reportAccuracy != 0 {
		t.Errorf("after late starts alone: %+v", *g)
	}
}
