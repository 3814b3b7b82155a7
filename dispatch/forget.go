package dispatch

// Which workers nothing refers to any more. Their indices are the host's to give out anew: a fleet that is replaced day by day names ever
// new workers, and each decision walks over all that are known.

// WorkersInUse returns the workers that an op or a message refers to: one of them must keep its index though it has left the list.
func (d *Dispatcher) WorkersInUse() map[int]bool {
	used := map[int]bool{}
	for _, o := range d.ops {
		if o == nil {
			continue
		}
		if o.legs > 0 {
			used[o.worker] = true
		}
		for _, i := range o.pair {
			used[i] = true
		}
		for _, i := range o.unfit {
			used[i] = true
		}
	}
	for _, t := range d.tells {
		used[t[1]] = true
	}
	return used
}

// ForgetWorker frees the index of a worker that has left the list and is not in use.
func (d *Dispatcher) ForgetWorker(i int) {
	w := &d.workers[i]
	d.unlearn(w)
	*w = worker{}
	d.fresh = false
}

// unlearn takes a worker's samples out of what all workers share.
func (d *Dispatcher) unlearn(w *worker) {
	for _, p := range w.places {
		d.placed, d.took = d.placed-p.place, d.took-p.took
	}
	w.strides.Leave(&d.kinds[w.kind].strides)
}
