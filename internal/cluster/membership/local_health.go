package membership

// localHealth is how late this process's own timers were. As in Lifeguard, a process that was late trusts
// its own findings less: each suspicion lasts longer, by an extension that decays linearly to 0 over
// extensionDecay.
type localHealth struct {
	extension   Time // of suspicions, at extendedAt
	extendedAt  Time
	lateness    Time // of the latest late tick
	maxLateness Time
}

// noteLate records a tick that was late.
func (h *localHealth) noteLate(now, late Time) {
	h.extension = min(h.suspicionExtension(now)+late, maxExtension)
	h.extendedAt = now
	h.lateness = late
	h.maxLateness = max(h.maxLateness, late)
}

// suspicionExtension returns by how much suspicions last longer at a moment.
func (h *localHealth) suspicionExtension(now Time) Time {
	remaining := 1 - float64(now-h.extendedAt)/float64(extensionDecay)
	return Time(float64(h.extension) * max(remaining, 0))
}

// noteLateness finds out by how much this process is late. Answers that it missed while it did not run are
// no evidence against others, so probes are dropped and suspicions are extended.
func (n *Node) noteLateness() {
	late := n.now - n.due
	if n.due == 0 || late <= maxTimerLateness || n.phase == stopped {
		return
	}
	n.count(countLate)
	n.detector.health.noteLate(n.now, late)
	n.detector.cancelProbes()
	n.detector.lastHeard += late
	n.detector.nextProbe = n.now
	n.gossip.nextRound = n.now
	n.join.nextAttempt = max(n.join.nextAttempt, n.now)
	for _, m := range n.members.suspects {
		m.suspicion.startedAt += late
	}
	if n.conflict.open != nil {
		n.conflict.open.deadline += late
	}
	n.reconsiderSelf(late)
}

// reconsiderSelf allows for what others may have concluded while this process did not run.
func (n *Node) reconsiderSelf(late Time) {
	switch n.phase {
	case serving:
		if late >= n.config.MinSuspicion {
			n.emit(Event{"was stopped for longer than a suspicion lasts", late.Duration().String()})
			n.startCatchingUp()
		} else if late >= n.config.ProbeTimeout {
			n.self.Refutations++ // others may suspect it already
			n.announceSelf()
		}
	case joining, catchingUp:
		n.join.queryDeadline += late
	}
}
