package membership

// conflictState is what this process knows of others that use its name.
type conflictState struct {
	open       *nameConflict // nil: none
	lastNotice Time          // when another process was last notified that this one has replaced it
}

// nameConflict is the question whether a later process of this name lives. Until it answers, this process
// remains a member.
type nameConflict struct {
	rival     MemberRecord
	nonce     uint64
	nextQuery Time
	deadline  Time // the rival is held to have ended if it has not answered by then
}

// startNameConflict asks a later process of this name whether it lives. A record alone proves nothing: it
// may be all that is left of a process that ended before a restart of the whole cluster.
func (n *Node) startNameConflict(rival MemberRecord) {
	if open := n.conflict.open; open != nil && open.rival.Incarnation.compare(rival.Incarnation) >= 0 {
		return
	}
	if rival.Addr == n.self.Addr {
		n.startIncarnationAfter(rival.Generation) // nobody else can be at this address
		return
	}
	n.conflict.open = &nameConflict{
		rival:     rival,
		nonce:     n.rand.Uint64(),
		nextQuery: n.now,
		deadline:  n.now + conflictTimeout,
	}
}

// continueNameConflict asks the rival again, or goes beyond its incarnation after the deadline.
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

// receiveFromNamesake takes a message of a process that uses this name.
func (n *Node) receiveFromNamesake(in MessageReceived) {
	message := in.Message
	rival := message.From
	another := rival.Incarnation != n.self.Incarnation
	alive := validRecord(rival) && !rival.State.Ended()
	switch {
	case n.phase == catchingUp && another && alive:
		n.markReplaced(rival)
	case n.phase != serving || !another:
		n.count(countOwnMessage)
	case message.Kind == RecordQuery:
		n.replyToQuery(message)
	case !alive:
		n.count(countGarbled)
	case message.Kind == RecordReply && n.conflict.open != nil && message.Nonce == n.conflict.open.nonce:
		n.endNameConflict(rival)
	default:
		n.assertName(message)
	}
}

// endNameConflict gives way to a rival that has proved that it lives, if it is the later process.
func (n *Node) endNameConflict(rival MemberRecord) {
	if rival.Incarnation.compare(n.self.Incarnation) > 0 {
		n.markReplaced(rival)
	} else {
		n.conflict.open = nil
	}
}

// assertName answers a rival: it asks a later one whether it lives, and notifies an earlier one that it is
// replaced.
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
		n.emit(Event{"another process uses this name, notified that it is replaced", rival.Addr})
		n.send(rival.Addr, Message{Kind: Gossip, Records: []MemberRecord{n.self}})
	}
}
