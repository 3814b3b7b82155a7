package membership

// conflictState is what this process knows of other processes that use its name.
type conflictState struct {
	open       *nameConflict // nil if no conflict is open
	lastNotice Time          // when another process was last notified that this one has replaced it
}

// nameConflict is a check whether a later process of this name, the rival, is alive. This process remains
// a member until the rival answers.
type nameConflict struct {
	rival     MemberRecord
	nonce     uint64
	nextQuery Time
	deadline  Time // the rival is assumed to have ended if it has not answered by then
}

// startNameConflict starts to ask a later process of this name whether it is alive. Its record is no
// proof: the record may be older than a restart of the complete cluster, and that process may have ended.
func (n *Node) startNameConflict(rival MemberRecord) {
	if open := n.conflict.open; open != nil && open.rival.Incarnation.compare(rival.Incarnation) >= 0 {
		return
	}
	if rival.Addr == n.self.Addr {
		n.startIncarnationAfter(rival.Generation) // no other process can use this address
		return
	}
	n.conflict.open = &nameConflict{
		rival:     rival,
		nonce:     n.rand.Uint64(),
		nextQuery: n.now,
		deadline:  n.now + conflictTimeout,
	}
}

// continueNameConflict asks the rival again. After the deadline, this process takes a later incarnation
// than the rival's.
func (n *Node) continueNameConflict() {
	conflict := n.conflict.open
	if n.now < conflict.deadline {
		conflict.nextQuery = n.now + queryInterval
		n.send(conflict.rival.Addr, Message{Kind: NameConflict, Nonce: conflict.nonce})
		return
	}
	n.conflict.open = nil
	if conflict.rival.Incarnation.compare(n.self.Incarnation) > 0 {
		n.startIncarnationAfter(conflict.rival.Generation)
	}
}

// receiveFromSameName handles a message of a process that uses this process's name.
func (n *Node) receiveFromSameName(in MessageReceived) {
	message := in.Message
	rival := message.From
	otherProcess := rival.Incarnation != n.self.Incarnation
	alive := validRecord(rival) && !rival.State.Ended()
	switch {
	case n.phase == catchingUp && otherProcess && alive:
		n.markReplaced(rival)
	case n.phase != serving || !otherProcess:
		n.count(countOwnName)
	case message.Kind == RecordQuery:
		n.replyToQuery(message)
	case !alive:
		n.count(countInvalid)
	case message.Kind == RecordReply && n.conflict.open != nil && message.Nonce == n.conflict.open.nonce:
		n.resolveNameConflict(rival)
	default:
		n.assertName(message)
	}
}

// resolveNameConflict ends the conflict with a rival that has proved that it is alive: the later process
// keeps the name.
func (n *Node) resolveNameConflict(rival MemberRecord) {
	if rival.Incarnation.compare(n.self.Incarnation) > 0 {
		n.markReplaced(rival)
	} else {
		n.conflict.open = nil
	}
}

// assertName answers another process of this name. It asks a later process whether that process is alive,
// and notifies an earlier process that it is replaced.
func (n *Node) assertName(message Message) {
	rival := message.From
	if message.Kind == NameConflict {
		reply := Message{Kind: RecordReply, Nonce: message.Nonce, Records: []MemberRecord{n.self}}
		n.send(rival.Addr, reply)
	}
	if rival.Incarnation.compare(n.self.Incarnation) > 0 {
		n.startNameConflict(rival)
		return
	}
	if n.now-n.conflict.lastNotice >= queryInterval {
		n.conflict.lastNotice = n.now
		n.emit(Event{"notified another process of this name that it is replaced", rival.Addr})
		n.send(rival.Addr, Message{Kind: Gossip, Records: []MemberRecord{n.self}})
	}
}
