package dispatch

// This file decides whether and where an op may be pushed again, and when a nack may promise that a retry
// is harmless.

// mayPush reports whether the op may be pushed to a worker now. An op has at most one attempt in flight, and
// takes effect no more often than its category allows. A worker that drains or is gone is not ready, and no
// op is pushed to it. excludedBySlowStart and chooseWorker limit the load on workers that are warming up.
func (d *Dispatcher) mayPush(o *op, i int) bool {
	w := &d.fleet.workers[i]
	if !w.ready || o.lastAttempt.inFlight || o.finished || !d.mayAttempt(o) {
		return false
	}
	c := &d.categories.all[o.category]
	if !o.firstRun.possible || c.Effect != Deduplicated || c.DedupScope == DedupEverywhere {
		return true
	}
	if c.DedupScope == DedupInZone && w.zone == o.firstRun.zone {
		return true
	}
	return w.group == o.firstRun.group // a group lies within one zone
}

// mayAttempt reports whether a further attempt is allowed. The dial of this attempt must not outlast the
// deduplication window. An op that two workers reported as invalid gets no further attempt: each one would
// count against a healthy worker.
func (d *Dispatcher) mayAttempt(o *op) bool {
	c := &d.categories.all[o.category]
	if o.attempts >= o.maxAttempts || len(o.reportedInvalidBy) > 1 {
		return false
	}
	if !o.firstRun.possible && !o.lastAttempt.inFlight || c.Effect == Idempotent {
		return true
	}
	firstSentAt := o.lastAttempt.sentAt // the attempt in flight may be the first that runs
	if o.firstRun.possible {
		firstSentAt = o.firstRun.sentAt
	}
	return c.Effect == Deduplicated && d.now+d.settings.DialTimeout < firstSentAt+c.DedupWindow
}

// retryIsHarmless reports whether a nack may promise that a retry does not make the op run more often than
// its effect allows.
func (d *Dispatcher) retryIsHarmless(o *op) bool {
	c := &d.categories.all[o.category]
	if !o.firstRun.possible || c.Effect == Idempotent {
		return true
	}
	return c.Effect == Deduplicated && c.DedupScope == DedupEverywhere && d.now < o.firstRun.sentAt+c.DedupWindow
}
