package membership

import "math"

// runTimers runs the timers of the present phase that are due.
func (n *Node) runTimers() {
	switch n.phase {
	case joining, catchingUp:
		n.runQuery()
	case serving:
		n.runMemberTimers()
	case leaving:
		n.sendLeaveNotices()
	case standingBy:
		n.queryWhetherNameIsFree()
	case stopped:
	}
}

// runMemberTimers runs the timers that are due while this process is a member.
func (n *Node) runMemberTimers() {
	n.checkProbes()
	n.checkSuspects()
	if n.now >= n.detector.nextProbe {
		interval := n.config.ProbeInterval
		n.detector.nextProbe = n.now + interval*9/10 + Time(n.rand.Int64N(int64(interval/5)+1))
		n.probeNext()
	}
	if n.now >= n.join.nextAttempt {
		n.join.nextAttempt = n.now + n.jitter(n.config.JoinInterval)
		n.pingDeadMemberAndSeed()
	}
	if n.now >= n.gossip.nextPushPull {
		n.gossip.nextPushPull = n.now + n.jitter(n.config.PushPullInterval)
		n.pushPullWithRandomMember()
	}
	if n.now >= n.members.nextPrune {
		n.members.nextPrune = n.now + n.config.DeadRetention/pruningsPerRetention
		n.pruneEnded()
	}
	if conflict := n.conflict.open; conflict != nil && n.now >= conflict.nextQuery {
		n.continueNameConflict()
	}
	if len(n.gossip.queue) > 0 && n.now >= n.gossip.nextRound {
		n.runGossipRound()
	}
}

// nextDue returns when the next timer of the present phase is due. The result is later than now.
func (n *Node) nextDue() Time {
	due := n.now + second
	switch n.phase {
	case joining, catchingUp:
		due = n.join.nextQuery
	case serving:
		due = n.nextMemberTimer()
	case leaving:
		due = n.leave.nextNotice
	case standingBy:
		due = n.join.nextAttempt
	case stopped:
	}
	return max(due, n.now+1)
}

func (n *Node) nextMemberTimer() Time {
	due := min(n.detector.nextProbe, n.join.nextAttempt, n.gossip.nextPushPull, n.members.nextPrune)
	if len(n.gossip.queue) > 0 && len(n.members.live) > 0 {
		due = min(due, n.gossip.nextRound)
	}
	if n.conflict.open != nil {
		due = min(due, n.conflict.open.nextQuery)
	}
	return min(due, n.nextProbeTimer(), n.nextSuspicionTimer())
}

// nextProbeTimer returns when the next open probe must be escalated or times out.
func (n *Node) nextProbeTimer() Time {
	due := Time(math.MaxInt64)
	for _, p := range n.detector.probes {
		due = min(due, p.sentAt+n.probeTimeout())
		wait := n.directTimeout(p.target)
		switch {
		case p.resent:
		case p.indirectSent:
			due = min(due, p.sentAt+2*wait)
		default:
			due = min(due, p.sentAt+wait)
		}
	}
	return due
}

// nextSuspicionTimer returns when the next suspicion ends or the next final probe is due.
func (n *Node) nextSuspicionTimer() Time {
	due := Time(math.MaxInt64)
	for _, m := range n.members.suspects {
		deadline := n.suspicionDeadline(m)
		if m.suspicion.foundLocally && !m.suspicion.finalProbeSent {
			deadline -= finalProbeLead
		}
		due = min(due, deadline)
	}
	return due
}
