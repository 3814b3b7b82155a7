package membership

// receive handles a message. Dropped messages are counted by cause.
func (n *Node) receive(in MessageReceived) {
	message := in.Message
	from := message.From
	switch {
	case n.phase == stopped:
		return
	case message.Cluster != n.config.Cluster:
		n.count(countWrongCluster)
		return
	case from.Name == "" || len(from.Name) > maxNameBytes || from.Addr == "":
		n.count(countInvalid)
		return
	case from.Name == n.self.Name:
		n.receiveFromSameName(in)
		return
	}
	sender := n.members.byName[from.Name]
	if sender != nil && !n.acceptMessage(sender, message) {
		return
	}
	if n.phase == joining || n.phase == catchingUp || n.phase == standingBy {
		n.receiveWhileNotMember(message)
		return
	}
	n.markHeard()
	switch {
	case from.Generation == 0: // the sender is no member yet
		if message.Kind == RecordQuery {
			n.replyToQuery(message)
		}
	case !validRecord(from):
		n.count(countInvalid)
	default:
		n.receiveFromMember(in, sender)
	}
}

// acceptMessage reports whether a message of a known name is new and not from an earlier incarnation.
func (n *Node) acceptMessage(sender *member, message Message) bool {
	if message.From.Generation == 0 {
		return true
	}
	order := message.From.Incarnation.compare(sender.record.Incarnation)
	if order < 0 {
		n.count(countEarlierIncarnation)
		n.sendCorrection(sender, message.From.Addr)
		return false
	}
	if order == 0 && !sender.replay.accept(message.Seq) {
		n.count(countReplayed)
		return false
	}
	return true
}

// receiveWhileNotMember handles a message before this process is a member, or while it does not know
// whether it still is one.
func (n *Node) receiveWhileNotMember(message Message) {
	switch message.Kind {
	case RecordQuery:
		n.replyToQuery(message)
	case RecordReply:
		n.receiveRecordReply(message)
	}
}

// receiveFromMember merges the records of a message and does what the message asks for. sender is nil if
// the view did not contain the sender before this message.
func (n *Node) receiveFromMember(in MessageReceived, sender *member) {
	from := in.From
	wasLive := sender != nil && !sender.state.Ended()
	newIncarnation := sender == nil || sender.record.Incarnation != from.Incarnation
	n.merge(from)
	sender = n.members.byName[from.Name]
	if sender == nil {
		return // the view is full
	}
	if newIncarnation {
		sender.replay.accept(in.Seq)
	}
	for _, record := range in.Records {
		n.merge(record)
	}
	switch {
	case sender.state == Dead && from.Incarnation == sender.record.Incarnation:
		n.sendCorrection(sender, sender.record.Addr)
	case !wasLive && !sender.state.Ended():
		n.pushPullWithNewMember(sender)
	}
	n.handle(in, sender)
}

// handle does what a member's message asks for.
func (n *Node) handle(in MessageReceived, from *member) {
	switch in.Kind {
	case Ping:
		n.replyToPing(in, from)
	case Ack:
		n.receiveAck(in.Message, from, in.Stream != 0)
	case IndirectPing:
		n.relayPing(in.Message, from)
	case RecordQuery:
		n.replyToQuery(in.Message)
	case UserMessage:
		n.emit(UserMessageReceived{from.record.Number, in.Text})
	case Digests:
		n.replyToDigests(in)
	case DigestDiff:
		n.replyToDigestDiff(in)
	}
}
