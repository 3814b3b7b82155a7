package dispatch

import (
	"slices"
	"testing"
)

// Schedulers that share a worker must count each other's attempts there, by peer reports. Otherwise
// hundreds of schedulers push to the same free slot, because load reports are seconds old.
func TestPeerReportsCountAtSubscribedWorkers(t *testing.T) {
	changeSettings := func(s *Settings) { s.ConnectionPrice, s.PeerMessages, s.Schedulers = 0.05, true, 12 }
	dispatcherOf := func(scheduler int) *Dispatcher {
		d := testDispatcher(8, func(s *Settings) {
			changeSettings(s)
			s.Scheduler = scheduler
		})
		for i := range 8 {
			setIdentity(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, 0)
		}
		d.EndUpdate()
		return d
	}
	d := dispatcherOf(1)
	d.ProbeAnswered(0, 50, loadWithJobs(0)) // the kind has four slots
	x, y := admitAndProbe(t, d, 0, 0)
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, loadWithJobs(0))
	d.ProbeAnswered(y, 50, loadWithJobs(0))
	reported, worker := map[int]int{}, -1
	for _, a := range pullDecisions(d) {
		switch a.Kind {
		case Push:
			worker = a.Worker
		case ReportToPeer:
			if a.Worker != worker {
				t.Errorf("peer report about worker %d, but the push went to %d", a.Worker, worker)
			}
			reported[a.Peer] = a.InFlight
		}
	}
	for scheduler := range 12 {
		other := dispatcherOf(scheduler)
		if want := slices.Contains(other.fleet.workers[worker].subscribers, scheduler) && scheduler != 1; want !=
			(reported[scheduler] == 1) {
			t.Errorf("scheduler %d subscribes to the worker: %v; reported attempts: %d",
				scheduler, want, reported[scheduler])
		}
		if !slices.Contains(other.fleet.workers[worker].subscribers, scheduler) || scheduler == 1 {
			continue
		}
		other.ProbeAnswered(worker, 50, loadWithJobs(0))
		for peer := range 12 {
			other.PeerReport(peer, worker, 1) // also from itself and from the scheduler that pushed
		}
		other.PeerReport(12, worker, 40)
		if n, _, ok := other.peerReportedLoad(worker); !ok || n != 11 {
			t.Errorf("scheduler %d counts %g jobs after reports of eleven peers", scheduler, n)
		}
		if o := (&op{slots: 1}); other.hasCapacity(o, worker) || other.queuePosition(o, worker) == 0 {
			t.Error("a load report with free slots overrides the peer reports")
		}
		other.AdvanceClock(other.now + maxPeerReportAge)
		if n, _, _ := other.peerReportedLoad(worker); n != 0 {
			t.Errorf("%g jobs counted from expired peer reports", n)
		}
	}
}
