package dispatch

import (
	"slices"

	"woaddyke/internal/base/stats"
)

// What schedulers tell one another of their pushes.

// assignSubscribers works out which schedulers are told of which worker.
func (d *Dispatcher) assignSubscribers() {
	var ready []int
	for i := range d.workers {
		if d.workers[i].subscribers = nil; d.workers[i].ready {
			ready = append(ready, i)
		}
	}
	for s := range d.settings.Schedulers {
		stats.Order(schedulerKey(s), ready, d.identityHash)
		for _, i := range ready[:min(subscribersPerWorker, len(ready))] {
			d.workers[i].subscribers = append(d.workers[i].subscribers, s)
		}
	}
}

// reportToPeers lets the others know that meet the worker too.
func (d *Dispatcher) reportToPeers(i int) {
	for _, s := range d.workers[i].subscribers {
		if d.divergence[ShadowedReport] += stats.Bit(s != d.settings.Scheduler && !d.settings.PeerMessages); s != d.settings.Scheduler && d.settings.PeerMessages {
			d.pendingPeerReports = append(d.pendingPeerReports, [2]int{s, i})
		}
	}
}

// PeerReport is another scheduler's word of how many pushes it has out at a worker.
func (d *Dispatcher) PeerReport(by, i, n int) {
	if by < 0 || by >= d.settings.Schedulers || by == d.settings.Scheduler || n < 0 {
		return
	}
	d.workers[i].peerReports.Set(by, n, d.now)
}

// peerTally is a worker's jobs by all schedulers' word, and its slots; false where it is none of the regulars.
func (d *Dispatcher) peerTally(i int) (n, slots float64, ok bool) {
	w := &d.workers[i]
	_, ok = slices.BinarySearch(w.subscribers, d.settings.Scheduler)
	slots = d.kinds[w.kind].maxFreeSlots
	return float64(w.peerReports.Sum(d.now, maxPeerReportAge) + len(w.inFlight)), slots, ok && d.settings.PeerMessages && slots > 0 && !d.warmingUp(w)
}
