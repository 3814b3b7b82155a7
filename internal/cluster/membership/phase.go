package membership

import "slices"

// phase is the phase of this process's own membership.
type phase int

const (
	joining    phase = iota // queries other processes for the record of its name, to choose its incarnation
	serving                 // is a member
	catchingUp              // was paused, so others may have declared it dead; sends only queries
	leaving                 // notifies other members that it leaves
	standingBy              // was replaced by another process; queries whether its name is free again
	stopped                 // has left, or was replaced and does not stand by
)

// phaseTransitions lists the phases that may follow each phase.
//
//	from        to          by
//	joining     serving     startServing: a member answered, or no member answered in time
//	joining     stopped     startLeaving
//	serving     catchingUp  checkLateness: the process was paused for MinSuspicion or longer
//	serving     leaving     startLeaving
//	serving     standingBy  markReplaced, if the process stands by
//	serving     stopped     markReplaced, if the process does not stand by
//	catchingUp  serving     resumeServing; startServing, if a later incarnation has ended
//	catchingUp  standingBy  markReplaced, if the process stands by
//	catchingUp  stopped     markReplaced, if the process does not stand by; startLeaving
//	leaving     stopped     sendLeaveNotices: all notices are sent; startLeaving, if called again
//	standingBy  serving     startServing: the name is free
//	standingBy  stopped     startLeaving
//	stopped     stopped     startLeaving
var phaseTransitions = [...][]phase{
	joining:    {serving, stopped},
	serving:    {catchingUp, leaving, standingBy, stopped},
	catchingUp: {serving, standingBy, stopped},
	leaving:    {stopped},
	standingBy: {serving, stopped},
	stopped:    {stopped},
}

// enter changes the phase. A change that phaseTransitions does not list is counted as a violated invariant.
func (n *Node) enter(next phase) {
	if !slices.Contains(phaseTransitions[n.phase], next) {
		n.count(countInvalidPhase)
	}
	n.phase = next
}

// startServing makes this process a member. Its incarnation is later than any that was reported for its
// name.
func (n *Node) startServing() {
	n.enter(serving)
	n.self.Incarnation = Incarnation{Generation: n.join.reportedSelf.Generation + 1, Nonce: n.config.Nonce}
	n.self.Refutations = 0
	n.self.State = Alive
	n.completeJoin()
}

// resumeServing makes this process a member again after it has caught up, in its present incarnation.
func (n *Node) resumeServing() {
	reported := n.join.reportedSelf
	if reported.Incarnation == n.self.Incarnation && reported.State >= Suspect {
		description := "the subject reported this process " + reported.State.String() + " while it was paused"
		n.emit(Event{description, reported.ReportedBy})
		n.self.Refutations = max(n.self.Refutations, reported.Refutations)
	}
	n.enter(serving)
	n.self.Refutations++
	n.completeJoin()
}

// completeJoin gossips the record of this process after it has become a member, and fetches other
// records by push-pull.
func (n *Node) completeJoin() {
	n.detector.lastHeard = n.now
	n.announceSelf()
	n.emit(Joined{})
	n.pushPullWithRandomMember()
}

// startCatchingUp makes this process query others for its own record before it sends anything else.
func (n *Node) startCatchingUp() {
	n.enter(catchingUp)
	n.startQuery()
}

// markReplaced ends this process's membership because another process has its name.
func (n *Node) markReplaced(by MemberRecord) {
	n.emit(Event{"replaced by another process of this name", by.Addr})
	n.self.State = Replaced
	n.conflict.open = nil
	n.gossip.queue = nil
	n.detector.cancelProbes()
	n.updateSelfDigest()
	if n.config.StandByWhenReplaced {
		n.enter(standingBy)
		n.join.queryNonce = n.rand.Uint64()
		n.join.reportedSelf = by
	} else {
		n.enter(stopped)
	}
	n.emit(Stopped{Replaced: true})
}

// stop ends this process's membership by its own decision.
func (n *Node) stop() {
	n.enter(stopped)
	n.emit(Stopped{})
}
