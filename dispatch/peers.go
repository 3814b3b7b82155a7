package dispatch

import (
	"slices"

	"woaddyke/internal/base/stats"
)

const (
	// workersPerSubscriber is the number of workers that a scheduler subscribes to: the first ones in its
	// own order. The other schedulers report their attempts at these workers to it.
	workersPerSubscriber = 4
	// maxPeerReportAge is the age up to which a peer report counts.
	maxPeerReportAge = 10 * second
)

// peerReport is a report to a peer that Next has not returned yet.
type peerReport struct{ peer, worker int }

// assignSubscribers determines the schedulers that are notified of each worker's attempts.
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
		for _, i := range ready[:min(workersPerSubscriber, len(ready))] {
			w := &d.fleet.workers[i]
			w.subscribers = append(w.subscribers, s)
		}
	}
}

// reportToPeers queues reports to the other subscribers of a worker whose attempts in flight have changed.
func (d *Dispatcher) reportToPeers(i int) {
	for _, s := range d.fleet.workers[i].subscribers {
		switch {
		case s == d.settings.Scheduler:
		case d.settings.PeerMessages:
			d.pendingPeerReports = append(d.pendingPeerReports, peerReport{s, i})
		default: // only the shadow settings call for subscribers and for this report
			d.shadow.divergence[ShadowedReport]++
		}
	}
}

// PeerReport handles another scheduler's report of how many attempts it has in flight at a worker.
func (d *Dispatcher) PeerReport(peer, i, inFlight int) {
	if peer < 0 || peer >= d.settings.Schedulers || peer == d.settings.Scheduler || inFlight < 0 {
		return
	}
	d.fleet.workers[i].peerReports.Set(peer, inFlight, d.now)
}

// PeerLost drops the reports of a dead scheduler, whose attempts no longer count.
func (d *Dispatcher) PeerLost(peer int) {
	for i := range d.fleet.workers {
		d.fleet.workers[i].peerReports.Remove(peer)
	}
}

// PeerJoined queues reports to a new scheduler for all workers that it subscribes to and that have attempts
// in flight.
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

// peerReportedLoad returns a worker's jobs, as the sum of all schedulers' attempts in flight, and its
// slots. ok is false if this scheduler does not subscribe to the worker, or must not rely on peer reports.
func (d *Dispatcher) peerReportedLoad(i int) (jobs, slots float64, ok bool) {
	w := &d.fleet.workers[i]
	_, subscribed := slices.BinarySearch(w.subscribers, d.settings.Scheduler)
	jobs = float64(w.peerReports.Sum(d.now, maxPeerReportAge) + len(w.inFlight))
	slots = d.fleet.slots(w)
	return jobs, slots, subscribed && d.settings.PeerMessages && slots > 0 && !d.warmingUp(w)
}
