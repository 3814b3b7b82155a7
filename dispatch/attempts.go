package dispatch

import "slices"

// What the progress and the end of an attempt prove.

// AttemptProgress takes a worker's report of an attempt in flight.
func (d *Dispatcher) AttemptProgress(i, attempt int, progress Progress) {
	o := d.ops.attemptAt(i, attempt)
	if o == nil {
		return
	}
	before := d.awaited(o)
	o.last.heardAt = max(d.now, o.last.sentAt+1)
	d.fleet.workers[o.last.worker].heardAt = d.now
	d.digest.valid = false
	if progress.Acknowledged && !d.workersAcknowledge {
		d.expectAcknowledgements(o)
	}
	if progress.Started && o.last.startedAt == 0 {
		d.attemptStarted(o)
	}
	if d.awaited(o) != before {
		d.track(o)
	}
}

// expectAcknowledgements starts awaiting them of all attempts in flight, at the first one, which is
// acknowledged.
func (d *Dispatcher) expectAcknowledgements(acknowledged *op) {
	d.workersAcknowledge = true
	for _, o := range d.ops.byIndex {
		if o != nil && o.last.inFlight && o != acknowledged {
			d.track(o)
		}
	}
}

// attemptStarted learns from a start. It is a good verdict on the way to the worker's zone, but none on
// the worker, which may fail all that it starts.
func (d *Dispatcher) attemptStarted(o *op) {
	a, w := &o.last, &d.fleet.workers[o.last.worker]
	a.startedAt = d.now
	if a.reportedIdle {
		d.samples.addStart(startSample{d.now, d.now - a.sentAt})
	}
	d.addStartDelay(d.now - o.probes.sentAt)
	d.fleet.zones[w.zone].Add(d.now, true)
	if a.queuePosition > 0 {
		d.addQueueSample(w, queueSample{a.queuePosition, d.now - a.sentAt})
	}
}

// AttemptEnded ends an attempt; finished says that the op needs no further one.
func (d *Dispatcher) AttemptEnded(i, attempt int, how Outcome, finished bool) {
	o := d.ops.attemptAt(i, attempt)
	if o == nil {
		return
	}
	d.endAttempt(o)
	o.finished = o.finished || finished
	if how.heardFromWorker() {
		d.fleet.workers[o.last.worker].heardAt = d.now
	}
	switch {
	case how == Succeeded:
		d.attemptSucceeded(o)
	case how == LocalExhaustion:
		d.refundAttempt(o)
	case !how.neverRan() && !o.run.possible:
		w := &d.fleet.workers[o.last.worker]
		o.run = firstRun{possible: true, sentAt: o.last.sentAt, zone: w.zone, group: w.group}
	}
	if how == InvalidRequest {
		o.calledInvalidBy = append(o.calledInvalidBy, o.last.worker)
	}
	if how.workerAtFault() {
		d.fleet.recordVerdict(d.now, o.last.worker, false)
	}
	o.probes.rounds = 0
	o.discardPair()
}

// endAttempt makes the op pending again.
func (d *Dispatcher) endAttempt(o *op) {
	o.last.inFlight = false
	d.ops.insertPending(o)
	w := &d.fleet.workers[o.last.worker]
	w.inFlight = slices.DeleteFunc(w.inFlight, func(other *op) bool { return other == o })
	d.reportToPeers(o.last.worker)
}

// attemptSucceeded learns from a success. The op is sound, so workers that called it invalid were at
// fault.
func (d *Dispatcher) attemptSucceeded(o *op) {
	for _, i := range o.calledInvalidBy {
		d.fleet.recordVerdict(d.now, i, false)
	}
	if o.last.startedAt > 0 {
		d.addServiceTime(o, d.now-o.last.startedAt)
	} else if !d.settings.ReportsStarts {
		d.addStartDelay(d.now - o.probes.sentAt)
	}
	d.fleet.recordVerdict(d.now, o.last.worker, true)
	d.demandCounts.addSucceeded()
}

// addServiceTime adds how long a job ran to its worker's, its kind's and its category's samples.
func (d *Dispatcher) addServiceTime(o *op, ran Time) {
	w := &d.fleet.workers[o.last.worker]
	ratio := float64(ran) / float64(max(d.expectedServiceTime(o), 1))
	w.serviceTimeRatios.Add(&d.fleet.kinds[w.kind].serviceTimeRatios, ratio)
	d.categories.addServiceTime(o.category, ran, d.settings.BenefitPerWork)
	d.digest.valid = false
}
