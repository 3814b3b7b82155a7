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
		if o.attempts > 0 {
			used[o.worker] = true
		}
		for _, i := range o.pair {
			used[i] = true
		}
		for _, i := range o.calledInvalidBy {
			used[i] = true
		}
	}
	for _, t := range d.pendingPeerReports {
		used[t[1]] = true
	}
	return used
}

// ForgetWorker frees the index of a worker that has left the list and is not in use.
func (d *Dispatcher) ForgetWorker(i int) {
	w := &d.workers[i]
	d.discardSamples(w)
	*w = worker{}
	d.digestValid = false
}

// discardSamples takes a worker's samples out of what all workers share.
func (d *Dispatcher) discardSamples(w *worker) {
	for _, p := range w.queueSamples {
		d.queuePositions, d.queueWaits = d.queuePositions-p.position, d.queueWaits-p.wait
	}
	w.serviceTimeRatios.Leave(&d.kinds[w.kind].serviceTimeRatios)
}
