package dispatch

import (
	"slices"

	"woaddyke/internal/base/stats"
)

const (
	// subscribersPerWorker is the number of workers, the first of a scheduler's own order, of whose
	// attempts the others notify that scheduler.
	subscribersPerWorker = 4
	// maxPeerReportAge bounds the peer reports that count.
	maxPeerReportAge = 10 * second
)

// peerReport is a report that Next has not returned yet.
type peerReport struct{ peer, worker int }

// assignSubscribers works out which schedulers are notified of which worker's attempts.
func (d *Dispatcher) assignSubscribers() {
	var ready []int
	for i := range d.fleet.workers {
		w := &d.fleet.workers[i]
		w.subscribers = nil
		if w.ready {
			ready = append(ready, i)
		}
	}
	for s := range d.settings.Schedulers {
		stats.RendezvousOrder(schedulerKey(s), ready, d.fleet.identityHash)
		for _, i := range ready[:min(subscribersPerWorker, len(ready))] {
			w := &d.fleet.workers[i]
			w.subscribers = append(w.subscribers, s)
		}
	}
}

// reportToPeers notifies the other subscribers of a worker that its attempts have changed.
func (d *Dispatcher) reportToPeers(i int) {
	for _, s := range d.fleet.workers[i].subscribers {
		switch {
		case s == d.settings.Scheduler:
		case d.settings.PeerMessages:
			d.pendingPeerReports = append(d.pendingPeerReports, peerReport{s, i})
		default: // there are subscribers, so the shadow settings would have reported
			d.shadow.divergence[ShadowedReport]++
		}
	}
}

// PeerReport is another scheduler's report of how many attempts it has in flight at a worker.
func (d *Dispatcher) PeerReport(peer, i, inFlight int) {
	if peer < 0 || peer >= d.settings.Schedulers || peer == d.settings.Scheduler || inFlight < 0 {
		return
	}
	d.fleet.workers[i].peerReports.Set(peer, inFlight, d.now)
}

// PeerLost voids the reports of a scheduler that is dead: its attempts are void too.
func (d *Dispatcher) PeerLost(peer int) {
	for i := range d.fleet.workers {
		d.fleet.workers[i].peerReports.Remove(peer)
	}
}

// PeerJoined reports to a scheduler that is new all that it would have been notified of.
func (d *Dispatcher) PeerJoined(peer int) {
	if !d.settings.PeerMessages || peer == d.settings.Scheduler {
		return
	}
	for i := range d.fleet.workers {
		if w := &d.fleet.workers[i]; len(w.inFlight) > 0 && slices.Contains(w.subscribers, peer) {
			d.pendingPeerReports = append(d.pendingPeerReports, peerReport{peer, i})
		}
	}
}

// peerTally is a worker's jobs as the sum of all schedulers' attempts, and its slots. It returns false
// where this scheduler is not notified of the worker's attempts, or must not rely on them.
func (d *Dispatcher) peerTally(i int) (jobs, slots float64, ok bool) {
	w := &d.fleet.workers[i]
	_, subscribed := slices.BinarySearch(w.subscribers, d.settings.Scheduler)
	jobs = float64(w.peerReports.Sum(d.now, maxPeerReportAge) + len(w.inFlight))
	slots = d.fleet.slots(w)
	return jobs, slots, subscribed && d.settings.PeerMessages && slots > 0 && !d.warmingUp(w)
}
