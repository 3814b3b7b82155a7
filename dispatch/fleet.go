package dispatch

import "slices"

// Doubted tells staff whether a listed worker, or the way to its zone, is in doubt: it gets ops by chance only. Nothing is
// decided by this.
func (d *Dispatcher) Doubted(i int, now Time) bool {
	w := &d.workers[i]
	return w.health.Doubtful(now) || d.zones[w.zone].Doubtful(now)
}

// Fell voids what another scheduler has said: it is no more, and so are its pushes.
func (d *Dispatcher) Fell(by int) {
	for i := range d.workers {
		d.workers[i].words.Drop(by)
	}
}

// Came tells a scheduler that is new all that it would have been told, had it been here.
func (d *Dispatcher) Came(s int) {
	if !d.site.peers || s == d.site.me {
		return
	}
	for i := range d.workers {
		if w := &d.workers[i]; len(w.out) > 0 && slices.Contains(w.audience, s) {
			d.tells = append(d.tells, [2]int{s, i})
		}
	}
}

// Effect is how often ops of a category may run, by its place.
func (d *Dispatcher) Effect(place int) string { return d.categories[place].effect }
