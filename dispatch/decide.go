package dispatch

import (
	"slices"
)

// answerMargin returns the time reserved for the final answer before the TTL: an attempt's timeout and the
// answer that follows take one tick interval each.
func (d *Dispatcher) answerMargin() Time { return 2*d.settings.TickInterval + 1 }

// answerIsDue reports whether an op's TTL leaves time for the final answer only.
func (d *Dispatcher) answerIsDue(o *op) bool { return d.now >= o.ttl-d.answerMargin() }

// decide returns the next decision for one op. The caller adds the op's index.
func (d *Dispatcher) decide(o *op) Decision {
	switch {
	case o.finished && !o.lastAttempt.inFlight:
		return Decision{Kind: Forget}
	case o.finished:
		return Decision{}
	case o.lastAttempt.inFlight:
		return d.checkSilence(o)
	case d.answerIsDue(o):
		return d.reject(o, 0, DeadlineExceeded)
	case !d.mayAttempt(o):
		return d.reject(o, 0, AttemptsExhausted)
	}
	if o.probes.pair == nil {
		if next, drawn := d.drawPair(o); !drawn {
			return next
		}
	}
	if d.settings.Probes && o.probes.sent < len(o.probes.pair) {
		o.probes.sent++
		return Decision{Kind: Probe, Worker: o.probes.pair[o.probes.sent-1]}
	}
	if d.awaitsProbes(o) {
		return Decision{}
	}
	return d.placeOp(o)
}

// awaitsProbes reports whether the op still waits for the answer to a probe.
func (d *Dispatcher) awaitsProbes(o *op) bool {
	p := &o.probes
	return p.sent > 0 && slices.Contains(p.answered, false) && d.now < p.drawnAt+d.probeTimeout()
}

// checkSilence counts an overdue attempt against its worker, once, and cancels it if another attempt is
// allowed: a silent connection or a lost answer would otherwise block the op until its TTL, too late for a
// retry.
func (d *Dispatcher) checkSilence(o *op) Decision {
	if o.lastAttempt.silenceCounted || d.now < d.silenceDeadline(o) {
		return Decision{}
	}
	o.lastAttempt.silenceCounted = true
	d.fleet.recordVerdict(d.now, o.lastAttempt.worker, false)
	cancellable := o.lastAttempt.startedAt > 0 || d.unacknowledged(o)
	if cancellable && d.settings.CancelsAttempts && d.mayAttempt(o) {
		return Decision{Kind: CancelAttempt}
	}
	return Decision{}
}

// drawPair draws the workers to probe. If drawn is false, the op waits or is rejected.
func (d *Dispatcher) drawPair(o *op) (next Decision, drawn bool) {
	if d.now < o.probes.notBefore {
		return Decision{}, false
	}
	if d.shouldShed(o) {
		return d.reject(o, d.spareTime(o)/2, CapacityShort), false
	}
	from := d.candidates(o)
	if o.probes.rounds > 0 || d.settings.PeerMessages {
		// Probing a worker that has just reported a queue costs a probe and finds the queue still there.
		from = slices.DeleteFunc(from, func(i int) bool { return d.queueTooLong(o, i) })
		if len(from) == 0 {
			d.recordPlacement(o, false)
			return d.reject(o, d.spareTime(o)/2, QueuesTooLong), false
		}
	}
	if len(from) == 0 {
		return d.awaitWorkers(o), false
	}
	o.probes.pair = d.withShadow(ShadowedPair, func() []int {
		return d.samplePair(o, d.preferredWorkers(o, slices.Clone(from)), len(from))
	})
	o.probes.answered = make([]bool, len(o.probes.pair))
	o.probes.drawnAt = d.now
	if len(o.probes.pair) > 0 && o.inFirstRound() {
		d.demandCounts.addDrawn()
	}
	return Decision{}, true
}

// awaitWorkers keeps an op without an eligible worker waiting until its latency objective has passed, and
// then rejects it.
func (d *Dispatcher) awaitWorkers(o *op) Decision {
	if d.now > o.arrivedAt+d.categories.all[o.category].LatencyObjective {
		return d.reject(o, 0, NoEligibleWorker)
	}
	return Decision{}
}

// placeOp pushes the op to the worker chosen from its pair, delays the draw of another pair, or rejects the
// op.
func (d *Dispatcher) placeOp(o *op) Decision {
	chosen := d.withShadow(ShadowedPlacement, func() []int { return []int{d.chooseWorker(o)} })[0]
	spare, wait := d.spareTime(o), Time(0)
	excess := max(spare, 1)
	if chosen != noWorker {
		wait = d.predictWait(o, chosen)
		excess = wait - d.maxWait(o)
	}
	if excess <= 0 {
		return d.push(o, chosen, wait)
	}
	// An op that is queued for longer than its spare time would end late, and so would the ops queued after
	// it.
	o.probes.rounds++
	if spare <= 0 || o.probes.rounds >= d.allowedProbeRounds(o) {
		d.recordPlacement(o, false)
		return d.reject(o, min(excess, spare/2), StartTooLate)
	}
	o.discardPair()
	o.probes.notBefore = d.now + spare/4 + 1
	return Decision{}
}

// push starts an attempt at a worker; wait is the predicted wait there.
func (d *Dispatcher) push(o *op, i int, wait Time) Decision {
	d.recordPlacement(o, true)
	o.lastAttempt = attempt{inFlight: true, worker: i, sentAt: d.now, lastHeardAt: d.now,
		queuePosition: d.queuePosition(o, i), predictedWait: wait, reportedIdle: d.hasCapacity(o, i)}
	o.attempts++
	w := &d.fleet.workers[i]
	w.inFlight = append(w.inFlight, o)
	d.reportToPeers(i)
	d.trackDeadline(o)
	timeout := o.ttl - d.now - d.answerMargin() + d.settings.TickInterval
	return Decision{Kind: Push, Worker: i, Duration: max(timeout, 1)}
}

// applyDecision removes an op that is pushed or forgotten from the pending ops.
func (d *Dispatcher) applyDecision(o *op, kind DecisionKind) {
	if kind != Forget && kind != Push {
		return
	}
	d.ops.removePending(o)
	if kind == Forget {
		d.ops.byIndex[o.index] = nil
		d.categories.all[o.category].openOps--
	}
}

// nextDeadline returns the next time at which a decision may be due without an input.
func (d *Dispatcher) nextDeadline() Time {
	deadline := noDeadline
	for event, attempts := range d.ops.inFlight {
		if limit, ok := attempts.Next(d.silenceTimeout(awaitedEvent(event))); ok {
			deadline = min(deadline, max(limit, d.now+1))
		}
	}
	for _, o := range d.ops.pending {
		if !o.finished {
			deadline = min(deadline, d.nextDeadlineOf(o))
		}
	}
	return deadline
}

// nextDeadlineOf returns the next time at which a decision may be due for a pending op. A wait for probes
// must not outlast the TTL.
func (d *Dispatcher) nextDeadlineOf(o *op) Time {
	const retryInterval = second / 20 // while there is no worker to probe
	due := o.probes.drawnAt + d.probeTimeout()
	if o.probes.pair == nil {
		due = max(o.probes.notBefore, d.now+retryInterval)
	}
	return min(due, max(o.ttl-d.answerMargin(), d.now+1))
}
