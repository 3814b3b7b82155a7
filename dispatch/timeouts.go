package dispatch

// What is awaited of an attempt in flight, and when silence about it counts against its worker.

// awaited is the event that an attempt in flight waits for.
type awaited int

const (
	awaitingAcknowledgement awaited = iota // the worker reports that it has the attempt
	awaitingStart                          // the job starts
	awaitingProgress                       // the running job reports its progress or its end
	awaitedEvents
)

func (d *Dispatcher) awaited(o *op) awaited {
	switch {
	case d.unacknowledged(o):
		return awaitingAcknowledgement
	case o.last.startedAt == 0:
		return awaitingStart
	}
	return awaitingProgress
}

// unacknowledged reports whether the worker has not acknowledged an attempt, where workers do.
func (d *Dispatcher) unacknowledged(o *op) bool {
	return d.workersAcknowledge && o.last.heardAt == o.last.sentAt
}

// track adds an attempt to those of which the same event is awaited.
func (d *Dispatcher) track(o *op) { d.ops.inFlight[d.awaited(o)].Add(o) }

// silenceSince is the moment from which silence about an attempt is measured.
func (d *Dispatcher) silenceSince(o *op, event awaited) Time {
	if event == awaitingStart {
		heardAt := d.fleet.workers[o.last.worker].heardAt
		return max(o.last.sentAt, heardAt) + 2*o.last.predictedWait
	}
	return o.last.heardAt // reports of other attempts say nothing of this one's connection
}

// silenceAllowance is how much silence about an attempt is allowed. For a start it is measured by the
// longest ones of late, so that a pause or slowness of the whole fleet does not count as many failed
// workers.
func (d *Dispatcher) silenceAllowance(event awaited) Time {
	interval := d.settings.ProgressInterval
	switch event {
	case awaitingAcknowledgement:
		return 2 * d.settings.AcknowledgeTimeout
	case awaitingStart:
		if !d.startsAreKnown() {
			return never
		}
		return 2*d.currentDigest().maxStartDelay + second/10 + interval
	}
	if !d.startsAreKnown() || interval <= 0 {
		return never
	}
	return 3 * interval
}

// startsAreKnown reports whether workers report starts, and enough of them were seen.
func (d *Dispatcher) startsAreKnown() bool {
	return d.settings.ReportsStarts && len(d.samples.startSamples) >= minStartSamples
}

// silenceLimit is the moment from which silence about an attempt in flight counts against the worker.
func (d *Dispatcher) silenceLimit(o *op) Time {
	event := d.awaited(o)
	return d.silenceSince(o, event) + d.silenceAllowance(event)
}

// collectOverdue finds this round's attempts that are overdue.
func (d *Dispatcher) collectOverdue() {
	d.ops.overdueCollected = true
	for event, attempts := range d.ops.inFlight {
		overdue := attempts.Overdue(d.now, d.silenceAllowance(awaited(event)))
		d.ops.overdue = append(d.ops.overdue, overdue...)
	}
	d.ops.sortOverdue()
}
