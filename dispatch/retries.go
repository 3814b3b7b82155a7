package dispatch

// What may be pushed again, where, and when a nack keeps its promise.

// mayPush keeps rules 2 and 3: may this op be pushed to this worker now? Rule 4 is kept by
// excludedBySlowStart and chooseWorker.
func (d *Dispatcher) mayPush(o *op, i int) bool {
	w := &d.fleet.workers[i]
	if !w.ready || o.last.inFlight || o.finished || !d.mayAttempt(o) {
		return false
	}
	c := &d.categories.all[o.category]
	if !o.run.possible || c.Effect != Deduplicated || c.DedupScope == DedupEverywhere {
		return true
	}
	if c.DedupScope == DedupInZone && w.zone == o.run.zone {
		return true
	}
	return w.group == o.run.group // no two zones share a group
}

// mayAttempt reports whether a further attempt is allowed at all; a dial must not outlast the window. An
// op that two workers call invalid is: each of its attempts would count against a sound worker.
func (d *Dispatcher) mayAttempt(o *op) bool {
	c := &d.categories.all[o.category]
	if o.attempts >= o.maxAttempts || len(o.calledInvalidBy) > 1 {
		return false
	}
	if !o.run.possible && !o.last.inFlight || c.Effect == Idempotent {
		return true
	}
	firstSentAt := o.last.sentAt // the attempt in flight may be the first that runs
	if o.run.possible {
		firstSentAt = o.run.sentAt
	}
	return c.Effect == Deduplicated && d.now+d.settings.DialTimeout < firstSentAt+c.DedupWindow
}

// retryIsHarmless reports whether a nack keeps its promise.
func (d *Dispatcher) retryIsHarmless(o *op) bool {
	c := &d.categories.all[o.category]
	if !o.run.possible || c.Effect == Idempotent {
		return true
	}
	return c.Effect == Deduplicated && c.DedupScope == DedupEverywhere && d.now < o.run.sentAt+c.DedupWindow
}
