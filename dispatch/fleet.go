package dispatch

// Doubted tells staff whether a listed worker, or the way to its zone, is in doubt: it gets ops by chance only. Nothing is
// decided by this.
func (d *Dispatcher) Doubted(i int, now Time) bool {
	w := &d.workers[i]
	return w.health.Doubtful(now) || d.zones[w.zone].Doubtful(now)
}
