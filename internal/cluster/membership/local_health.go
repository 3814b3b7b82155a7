package membership

// localHealth records how late this process's timers were. As in Lifeguard, a process that was late
// relies less on its own failure detection: it extends each suspicion. The extension decays linearly to 0
// over extensionDecay.
type localHealth struct {
	extension   Time // time added to suspicions at extendedAt
	extendedAt  Time
	lateness    Time // of the latest late tick
	maxLateness Time
}

// recordLateTick adds the lateness of a tick to the extension.
func (h *localHealth) recordLateTick(now, late Time) {
	h.extension = min(h.suspicionExtension(now)+late, maxSuspicionExtension)
	h.extendedAt = now
	h.lateness = late
	h.maxLateness = max(h.maxLateness, late)
}

// suspicionExtension returns the time that is added to suspicions at the given time.
func (h *localHealth) suspicionExtension(now Time) Time {
	remaining := 1 - float64(now-h.extendedAt)/float64(extensionDecay)
	return Time(float64(h.extension) * max(remaining, 0))
}

// checkLateness detects that this process was paused. Acks that it missed during the pause are no evidence
// against other members, so probes are cancelled and suspicions are extended.
func (n *Node) checkLateness() {
	late := n.now - n.due
	if n.due == 0 || late <= maxTimerLateness || n.phase == stopped {
		return
	}
	n.count(countLateTick)
	n.detector.health.recordLateTick(n.now, late)
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
	n.recoverFromPause(late)
}

// recoverFromPause handles the effects of a pause on other members' views: they may suspect this process
// or have declared it dead.
func (n *Node) recoverFromPause(late Time) {
	switch n.phase {
	case serving:
		if late >= n.config.MinSuspicion {
			n.emit(Event{"paused for longer than a suspicion lasts", late.Duration().String()})
			n.startCatchingUp()
		} else if late >= n.config.ProbeTimeout {
			n.self.Refutations++ // other members may suspect this process already
			n.announceSelf()
		}
	case joining, catchingUp:
		n.join.queryDeadline += late
	}
}
