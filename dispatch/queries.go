package dispatch

// Suspected reports whether a listed worker, or the connection to its zone, is suspected. Ops are then sent
// to the worker at random only. Suspected is meant for operators; no decision depends on it.
func (d *Dispatcher) Suspected(i int, now Time) bool {
	w := &d.fleet.workers[i]
	return w.health.Suspected(now) || d.fleet.zones[w.zone].Suspected(now)
}

// CategoryEffect returns the effect of the category at an index.
func (d *Dispatcher) CategoryEffect(index int) Effect { return d.categories.all[index].Effect }
