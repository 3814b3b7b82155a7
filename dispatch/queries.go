package dispatch

// Suspected reports to operators whether a listed worker, or the way to its zone, is suspected: it gets
// ops by chance only. Nothing is decided by this.
func (d *Dispatcher) Suspected(i int, now Time) bool {
	w := &d.fleet.workers[i]
	return w.health.Suspected(now) || d.fleet.zones[w.zone].Suspected(now)
}

// CategoryEffect is how often ops of the category at a place may run.
func (d *Dispatcher) CategoryEffect(place int) Effect { return d.categories.all[place].Effect }
