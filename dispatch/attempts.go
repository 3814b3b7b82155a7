package dispatch

import "slices"

// This file handles the progress and the end of attempts.

// AttemptProgress handles a worker's report on an attempt in flight.
func (d *Dispatcher) AttemptProgress(i, attempt int, progress Progress) {
	o := d.ops.attemptAt(i, attempt)
	if o == nil {
		return
	}
	before := d.awaitedEvent(o)
	o.lastAttempt.lastHeardAt = max(d.now, o.lastAttempt.sentAt+1)
	d.fleet.workers[o.lastAttempt.worker].lastHeardAt = d.now
	d.summary.valid = false
	if progress.Acknowledged && !d.workersAcknowledge {
		d.expectAcknowledgements(o)
	}
	if progress.Started && o.lastAttempt.startedAt == 0 {
		d.attemptStarted(o)
	}
	if d.awaitedEvent(o) != before {
		d.trackDeadline(o)
	}
}

// expectAcknowledgements is called at the first acknowledgement. From then on every attempt in flight,
// except for the acknowledged one, waits for its own acknowledgement.
func (d *Dispatcher) expectAcknowledgements(acknowledged *op) {
	d.workersAcknowledge = true
	for _, o := range d.ops.byIndex {
		if o != nil && o.lastAttempt.inFlight && o != acknowledged {
			d.trackDeadline(o)
		}
	}
}

// attemptStarted updates the samples when a job starts. A start is a success for the connection to the
// worker's zone, but not for the worker, which may fail every job that it starts.
func (d *Dispatcher) attemptStarted(o *op) {
	a, w := &o.lastAttempt, &d.fleet.workers[o.lastAttempt.worker]
	a.startedAt = d.now
	if a.reportedIdle {
		d.samples.addStart(startSample{d.now, d.now - a.sentAt})
	}
	d.addStartDelay(d.now - o.probes.drawnAt)
	d.fleet.zones[w.zone].Add(d.now, true)
	if a.queuePosition > 0 {
		d.addQueueSample(w, queueSample{a.queuePosition, d.now - a.sentAt})
	}
}

// AttemptEnded handles the end of an attempt. finished means that the op needs no further attempt.
func (d *Dispatcher) AttemptEnded(i, attempt int, outcome Outcome, finished bool) {
	o := d.ops.attemptAt(i, attempt)
	if o == nil {
		return
	}
	d.endAttempt(o)
	o.finished = o.finished || finished
	if outcome.heardFromWorker() {
		d.fleet.workers[o.lastAttempt.worker].lastHeardAt = d.now
	}
	switch {
	case outcome == Succeeded:
		d.attemptSucceeded(o)
	case outcome == LocalExhaustion:
		d.refundAttempt(o)
	case !outcome.neverRan() && !o.firstRun.possible:
		w := &d.fleet.workers[o.lastAttempt.worker]
		o.firstRun = firstRun{possible: true, sentAt: o.lastAttempt.sentAt, zone: w.zone, group: w.group}
	}
	if outcome == InvalidRequest {
		o.reportedInvalidBy = append(o.reportedInvalidBy, o.lastAttempt.worker)
	}
	if outcome.workerAtFault() {
		d.fleet.recordVerdict(d.now, o.lastAttempt.worker, false)
	}
	o.probes.rounds = 0
	o.discardPair()
}

// endAttempt makes the op pending again and removes it from its worker.
func (d *Dispatcher) endAttempt(o *op) {
	o.lastAttempt.inFlight = false
	d.ops.insertPending(o)
	w := &d.fleet.workers[o.lastAttempt.worker]
	w.inFlight = slices.DeleteFunc(w.inFlight, func(other *op) bool { return other == o })
	d.reportToPeers(o.lastAttempt.worker)
}

// attemptSucceeded updates the samples after a success. A success proves that the op is valid, so workers
// that reported it as invalid are at fault.
func (d *Dispatcher) attemptSucceeded(o *op) {
	for _, i := range o.reportedInvalidBy {
		d.fleet.recordVerdict(d.now, i, false)
	}
	if o.lastAttempt.startedAt > 0 {
		d.addServiceTime(o, d.now-o.lastAttempt.startedAt)
	} else if !d.settings.ReportsStarts {
		d.addStartDelay(d.now - o.probes.drawnAt)
	}
	d.fleet.recordVerdict(d.now, o.lastAttempt.worker, true)
	d.demandCounts.addSucceeded()
}

// addServiceTime adds the service time of a job to the samples of its worker, machine kind and category.
func (d *Dispatcher) addServiceTime(o *op, serviceTime Time) {
	w := &d.fleet.workers[o.lastAttempt.worker]
	ratio := float64(serviceTime) / float64(max(d.expectedServiceTime(o), 1))
	w.serviceTimeRatios.Add(&d.fleet.kinds[w.kind].serviceTimeRatios, ratio)
	d.categories.addServiceTime(o.category, serviceTime, d.settings.BenefitPerWork)
	d.summary.valid = false
}
