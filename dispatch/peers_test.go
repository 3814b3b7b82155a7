package dispatch

import (
	"slices"
	"testing"
)

// Hundreds of schedulers saw the same free slot in reports that were seconds old: those that share a worker
// report their attempts there.
func TestPeerReportsCountAtSubscribedWorkers(t *testing.T) {
	shape := func(s *Settings) { s.ConnectionPrice, s.PeerMessages, s.Schedulers = 0.05, true, 12 }
	at := func(number int) *Dispatcher {
		d := fleet(8, func(s *Settings) {
			shape(s)
			s.Scheduler = number
		})
		for i := range 8 {
			identify(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, 0)
		}
		d.EndUpdate()
		return d
	}
	d := at(1)
	d.ProbeAnswered(0, 50, jobs(0)) // the kind has four slots
	x, y := probed(t, d, 0, 0)
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, jobs(0))
	d.ProbeAnswered(y, 50, jobs(0))
	told, worker := map[int]int{}, -1
	for _, a := range decisions(d) {
		switch a.Kind {
		case Push:
			worker = a.Worker
		case ReportToPeer:
			if a.Worker != worker {
				t.Errorf("told of worker %d, pushed to %d", a.Worker, worker)
			}
			told[a.Peer] = a.InFlight
		}
	}
	for s := range 12 {
		other := at(s)
		if want := slices.Contains(other.fleet.workers[worker].subscribers, s) && s != 1; want != (told[s] == 1) {
			t.Errorf("scheduler %d meets the worker: %v; told of %d", s, want, told[s])
		}
		if !slices.Contains(other.fleet.workers[worker].subscribers, s) || s == 1 {
			continue
		}
		other.ProbeAnswered(worker, 50, jobs(0))
		for by := range 12 {
			other.PeerReport(by, worker, 1) // its own number and this among them
		}
		other.PeerReport(12, worker, 40)
		if n, _, ok := other.peerTally(worker); !ok || n != 11 {
			t.Errorf("scheduler %d counts %g jobs by word of eleven others", s, n)
		}
		if o := (&op{slots: 1}); other.hasCapacity(o, worker) || other.queuePosition(o, worker) == 0 {
			t.Error("a report of free slots outweighs the others' word")
		}
		other.AdvanceClock(other.now + maxPeerReportAge)
		if n, _, _ := other.peerTally(worker); n != 0 {
			t.Errorf("%g jobs by word that is old", n)
		}
	}
}
