package dispatch

import "slices"

// Suspected tells staff whether a listed worker, or the way to its zone, is in doubt: it gets ops by chance only. Nothing is
// decided by this.
func (d *Dispatcher) Suspected(i int, now Time) bool {
	w := &d.workers[i]
	return w.health.Doubtful(now) || d.zones[w.zone].Doubtful(now)
}

// PeerLost voids what another scheduler has said: it is no more, and so are its pushes.
func (d *Dispatcher) PeerLost(by int) {
	for i := range d.workers {
		d.workers[i].peerReports.Drop(by)
	}
}

// PeerJoined tells a scheduler that is new all that it would have been told, had it been here.
func (d *Dispatcher) PeerJoined(s int) {
	if !d.settings.PeerMessages || s == d.settings.Scheduler {
		return
	}
	for i := range d.workers {
		if w := &d.workers[i]; len(w.inFlight) > 0 && slices.Contains(w.subscribers, s) {
			d.pendingPeerReports = append(d.pendingPeerReports, [2]int{s, i})
		}
	}
}

// CategoryEffect is how often ops of a category may run, by its place.
func (d *Dispatcher) CategoryEffect(place int) Effect { return d.categories[place].Effect }
