package dispatch

import (
	"slices"
)

// margin is kept before the TTL for the final answer: a timeout and the answer to it take a step each.
func (d *Dispatcher) margin() Time { return 2*d.settings.TickInterval + 1 }

// deadlinePassed reports whether an op's TTL leaves time for the answer only.
func (d *Dispatcher) deadlinePassed(o *op) bool { return d.now >= o.ttl-d.margin() }

// decide returns what is due for one op, without its index.
func (d *Dispatcher) decide(o *op) Decision {
	switch {
	case o.finished && !o.last.inFlight:
		return Decision{Kind: Forget}
	case o.finished:
		return Decision{}
	case o.last.inFlight:
		return d.checkSilence(o)
	case d.deadlinePassed(o):
		return d.giveUp(o, 0, DeadlineExceeded)
	case !d.mayAttempt(o):
		return d.giveUp(o, 0, AttemptsExhausted)
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

// awaitsProbes reports whether the op still waits for a probe.
func (d *Dispatcher) awaitsProbes(o *op) bool {
	p := &o.probes
	return p.sent > 0 && slices.Contains(p.answered, false) && d.now < p.sentAt+d.probeTimeout()
}

// checkSilence counts an overdue attempt against its worker, once, and cancels it where another one may
// follow: a silent connection or a lost answer would occupy the op until its TTL, too late for a retry.
func (d *Dispatcher) checkSilence(o *op) Decision {
	if o.last.silenceCounted || d.now < d.silenceLimit(o) {
		return Decision{}
	}
	o.last.silenceCounted = true
	d.fleet.recordVerdict(d.now, o.last.worker, false)
	cancellable := o.last.startedAt > 0 || d.unacknowledged(o)
	if cancellable && d.settings.CancelsAttempts && d.mayAttempt(o) {
		return Decision{Kind: CancelAttempt}
	}
	return Decision{}
}

// drawPair draws the workers to probe; not drawn, the op waits or is given up.
func (d *Dispatcher) drawPair(o *op) (next Decision, drawn bool) {
	if d.now < o.probes.notBefore {
		return Decision{}, false
	}
	if d.shed(o) {
		return d.giveUp(o, d.spareTime(o)/2, CapacityShort), false
	}
	from := d.candidates(o)
	if o.probes.rounds > 0 || d.settings.PeerMessages {
		// Probing again where a queue was just seen costs probes and finds it still there.
		from = slices.DeleteFunc(from, func(i int) bool { return d.queueTooLong(o, i) })
		if len(from) == 0 {
			d.recordPlacement(o, false)
			return d.giveUp(o, d.spareTime(o)/2, QueuesTooLong), false
		}
	}
	if len(from) == 0 {
		return d.awaitWorkers(o), false
	}
	o.probes.pair = d.withShadow(ShadowedPair, func() []int {
		return d.samplePair(o, d.preferredWorkers(o, slices.Clone(from)), len(from))
	})
	o.probes.answered = make([]bool, len(o.probes.pair))
	o.probes.sentAt = d.now
	if len(o.probes.pair) > 0 && o.firstLook() {
		d.demandCounts.addDrawn()
	}
	return Decision{}, true
}

// awaitWorkers holds an op that no worker may be probed for, until its objective has passed.
func (d *Dispatcher) awaitWorkers(o *op) Decision {
	if d.now > o.arrivedAt+d.categories.all[o.category].LatencyObjective {
		return d.giveUp(o, 0, NoEligibleWorker)
	}
	return Decision{}
}

// placeOp pushes the op to the worker chosen of its pair, has another pair drawn, or gives the op up.
func (d *Dispatcher) placeOp(o *op) Decision {
	chosen := d.withShadow(ShadowedPlacement, func() []int { return []int{d.chooseWorker(o)} })[0]
	spare, wait := d.spareTime(o), Time(0)
	excess := max(spare, 1)
	if chosen != noWorker {
		wait = d.predictWait(o, chosen)
		excess = wait - d.patience(o)
	}
	if excess <= 0 {
		return d.push(o, chosen, wait)
	}
	// A queue that outlasts the op's time would make it late there, and those behind it too.
	o.probes.rounds++
	if spare <= 0 || o.probes.rounds >= d.allowedProbeRounds(o) {
		d.recordPlacement(o, false)
		return d.giveUp(o, min(excess, spare/2), StartTooLate)
	}
	o.discardPair()
	o.probes.notBefore = d.now + spare/4 + 1
	return Decision{}
}

// push starts an attempt at a worker, where the op is predicted to wait for so long.
func (d *Dispatcher) push(o *op, i int, wait Time) Decision {
	d.recordPlacement(o, true)
	o.last = attempt{inFlight: true, worker: i, sentAt: d.now, heardAt: d.now,
		queuePosition: d.queuePosition(o, i), predictedWait: wait, reportedIdle: d.hasCapacity(o, i)}
	o.attempts++
	w := &d.fleet.workers[i]
	w.inFlight = append(w.inFlight, o)
	d.reportToPeers(i)
	d.track(o)
	timeout := o.ttl - d.now - d.margin() + d.settings.TickInterval
	return Decision{Kind: Push, Worker: i, Duration: max(timeout, 1)}
}

// carryOut takes an op that is pushed or forgotten out of the pending ones.
func (d *Dispatcher) carryOut(o *op, kind DecisionKind) {
	if kind != Forget && kind != Push {
		return
	}
	d.ops.removePending(o)
	if kind == Forget {
		d.ops.byIndex[o.index] = nil
		d.categories.all[o.category].openOps--
	}
}

// nextDeadline is the next moment at which something may be decided without an input.
func (d *Dispatcher) nextDeadline() Time {
	deadline := noDeadline
	for event, attempts := range d.ops.inFlight {
		if limit, ok := attempts.Next(d.silenceAllowance(awaited(event))); ok {
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

// nextDeadlineOf is the next moment at which something may be decided for a pending op. A wait for probes
// must not outlast the TTL.
func (d *Dispatcher) nextDeadlineOf(o *op) Time {
	const retryInterval = second / 20 // while there is no worker to probe
	probing := o.probes.sentAt + d.probeTimeout()
	if o.probes.pair == nil {
		probing = max(o.probes.notBefore, d.now+retryInterval)
	}
	return min(probing, max(o.ttl-d.margin(), d.now+1))
}
