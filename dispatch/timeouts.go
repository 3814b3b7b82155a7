package dispatch

// This file defines the event that an attempt in flight waits for, and when silence about it counts against
// its worker.

// awaitedEvent is the event that an attempt in flight waits for.
type awaitedEvent int

const (
	awaitingAcknowledgement awaitedEvent = iota // the worker acknowledges the attempt
	awaitingStart                               // the job starts
	awaitingProgress                            // the running job reports its progress or its end
	awaitedEventCount
)

func (d *Dispatcher) awaitedEvent(o *op) awaitedEvent {
	switch {
	case d.unacknowledged(o):
		return awaitingAcknowledgement
	case o.lastAttempt.startedAt == 0:
		return awaitingStart
	}
	return awaitingProgress
}

// unacknowledged reports whether workers acknowledge attempts and this one has not been acknowledged.
func (d *Dispatcher) unacknowledged(o *op) bool {
	return d.workersAcknowledge && o.lastAttempt.lastHeardAt == o.lastAttempt.sentAt
}

// trackDeadline adds an op to the deadline queue of the event that its attempt waits for.
func (d *Dispatcher) trackDeadline(o *op) { d.ops.inFlight[d.awaitedEvent(o)].Add(o) }

// silenceStart returns the time from which silence about an attempt is measured.
func (d *Dispatcher) silenceStart(o *op, event awaitedEvent) Time {
	if event == awaitingStart {
		heardAt := d.fleet.workers[o.lastAttempt.worker].lastHeardAt
		return max(o.lastAttempt.sentAt, heardAt) + 2*o.lastAttempt.predictedWait
	}
	return o.lastAttempt.lastHeardAt // other attempts say nothing about this attempt's connection
}

// silenceTimeout returns how long a worker may be silent about an attempt. The timeout for a start follows
// the longest recent start delay, so that a pause or slowdown of the whole fleet does not count as the
// failure of many workers.
func (d *Dispatcher) silenceTimeout(event awaitedEvent) Time {
	interval := d.settings.ProgressInterval
	switch event {
	case awaitingAcknowledgement:
		return 2 * d.settings.AcknowledgeTimeout
	case awaitingStart:
		if !d.hasStartSamples() {
			return unlimitedDuration
		}
		return 2*d.currentSummary().maxStartDelay + second/10 + interval
	}
	if !d.hasStartSamples() || interval <= 0 {
		return unlimitedDuration
	}
	return 3 * interval
}

// hasStartSamples reports whether workers report starts, and enough of them have been seen.
func (d *Dispatcher) hasStartSamples() bool {
	return d.settings.ReportsStarts && len(d.samples.startSamples) >= minStartSamples
}

// silenceDeadline returns the time from which silence about an attempt in flight counts against its worker.
func (d *Dispatcher) silenceDeadline(o *op) Time {
	event := d.awaitedEvent(o)
	return d.silenceStart(o, event) + d.silenceTimeout(event)
}

// collectOverdue collects the ops whose attempts are overdue in this round.
func (d *Dispatcher) collectOverdue() {
	d.ops.overdueCollected = true
	for event, attempts := range d.ops.inFlight {
		overdue := attempts.Overdue(d.now, d.silenceTimeout(awaitedEvent(event)))
		d.ops.overdue = append(d.ops.overdue, overdue...)
	}
	d.ops.sortOverdue()
}
