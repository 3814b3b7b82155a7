package membership

// leaveState is the state of a process that leaves.
type leaveState struct {
	noticesLeft int // rounds of leave notices that are still to be sent
	nextNotice  Time
}

// startLeaving starts to notify other members that this process leaves. If this process is not a member,
// it stops immediately.
func (n *Node) startLeaving() {
	if n.phase != serving {
		n.stop()
		return
	}
	n.enter(leaving)
	n.leave = leaveState{noticesLeft: maxLeaveNotices, nextNotice: n.now}
	n.self.State = Left
	n.updateSelfDigest()
}

// sendLeaveNotices sends the next round of leave notices, and stops the process after the last one.
func (n *Node) sendLeaveNotices() {
	if n.now < n.leave.nextNotice {
		return
	}
	if n.leave.noticesLeft == 0 {
		n.stop()
		return
	}
	n.leave.noticesLeft--
	n.leave.nextNotice = n.now + leaveNoticeInterval
	for _, m := range n.randomMembers(leaveFanout, nil) {
		n.send(m.record.Addr, Message{Kind: Gossip, Records: []MemberRecord{n.self}})
	}
}
