package membership

import (
	"maps"
	"slices"
)

// joinState is the progress of a process that queries others for its own record, and its attempts to reach
// processes that are no members now.
type joinState struct {
	queryNonce    uint64
	nextQuery     Time
	queryDeadline Time         // the process goes on alone where nobody that knows has answered by then
	reportedSelf  MemberRecord // the greatest record that was reported of this name
	nextAttempt   Time         // to reach a dead member and a seed
	lastSeed      int          // that was tried, in Config.Seeds
}

// startQuery begins to query others for this process's record.
func (n *Node) startQuery() {
	n.join.queryNonce = n.rand.Uint64()
	n.join.reportedSelf = MemberRecord{}
	n.join.nextQuery = n.now
	n.join.queryDeadline = n.now + queryTimeout
}

// runQuery sends the next queries, and goes on without an answer after the deadline. If that turns out to
// be wrong, whoever this process meets later reports it.
func (n *Node) runQuery() {
	if n.now < n.join.nextQuery {
		return
	}
	n.join.nextQuery = n.now + queryInterval/2 + Time(n.rand.Int64N(int64(queryInterval)))
	addrs := n.queryAddrs()
	for _, addr := range addrs {
		n.send(addr, Message{Kind: RecordQuery, Nonce: n.join.queryNonce})
	}
	if n.now < n.join.queryDeadline && len(addrs) > 0 {
		return
	}
	if n.phase == joining {
		n.startServing()
	} else {
		n.resumeServing()
	}
}

// queryAddrs draws the addresses of some live members, dead members and seeds, in order.
func (n *Node) queryAddrs() []string {
	addrs := map[string]bool{}
	for _, m := range n.randomMembers(queryFanout, nil) {
		addrs[m.record.Addr] = true
	}
	for _, m := range n.members.dead[:min(len(n.members.dead), queryFanout)] {
		addrs[m.record.Addr] = true
	}
	seeds := n.config.Seeds
	for _, i := range n.rand.Perm(len(seeds))[:min(len(seeds), queryFanout)] {
		addrs[seeds[i]] = true
	}
	delete(addrs, n.self.Addr)
	return slices.Sorted(maps.Keys(addrs))
}

// replyToQuery answers what is known of the sender's name.
func (n *Node) replyToQuery(query Message) {
	isMember := n.phase == serving || n.phase == leaving
	reply := Message{Kind: RecordReply, Nonce: query.Nonce, SenderCatchingUp: !isMember}
	record, known := n.recordOf(query.From.Name)
	if known && record.Generation > 0 {
		if m := n.members.byName[query.From.Name]; m != nil {
			record = n.recordWithAge(m)
		}
		reply.Records = []MemberRecord{record}
	}
	n.send(query.From.Addr, reply)
}

// receiveRecordReply takes what another knows of this process's name.
func (n *Node) receiveRecordReply(reply Message) {
	if reply.Nonce != n.join.queryNonce {
		n.count(countStaleReply)
		return
	}
	for _, record := range reply.Records {
		if record.Name == n.self.Name && validRecord(record) {
			n.join.reportedSelf = Join(n.join.reportedSelf, record)
		}
	}
	// Any other sender knows no more than this process.
	authoritative := !reply.SenderCatchingUp && reply.From.Generation > 0
	if authoritative && validRecord(reply.From) {
		n.merge(reply.From)
	}
	n.concludeQuery(authoritative)
}

// concludeQuery decides how this process goes on after a reply.
func (n *Node) concludeQuery(authoritative bool) {
	reported := n.join.reportedSelf
	another := reported.Generation > 0 && reported.Incarnation != n.self.Incarnation
	nameTaken := another && !reported.State.Ended()
	switch {
	case n.phase == catchingUp && nameTaken:
		// The process that runs goes before the one that was stopped, whichever is older: the others have
		// gone on with it.
		n.markReplaced(reported)
	case !authoritative:
	case n.phase == joining:
		n.startServing()
	case n.phase == catchingUp && reported.Incarnation.compare(n.self.Incarnation) > 0:
		n.startServing()
	case n.phase == catchingUp:
		n.resumeServing()
	case n.phase == standingBy && !nameTaken:
		n.emit(Event{"name is free again", reported.Name})
		n.startServing()
	}
}

// queryWhetherNameIsFree has a replaced process ask a member whether its name is in use.
func (n *Node) queryWhetherNameIsFree() {
	if n.now < n.join.nextAttempt {
		return
	}
	n.join.nextAttempt = n.now + n.jitter(n.config.JoinInterval)
	n.join.reportedSelf = MemberRecord{}
	n.join.queryNonce = n.rand.Uint64()
	for _, m := range n.randomMembers(1, nil) {
		n.send(m.record.Addr, Message{Kind: RecordQuery, Nonce: n.join.queryNonce})
	}
}

// pingDeadMemberAndSeed tries to reach a dead member and a seed that is no live member, so that the sides
// of a network partition find each other when it ends.
func (n *Node) pingDeadMemberAndSeed() {
	if dead := n.members.dead; len(dead) > 0 {
		m := dead[n.rand.IntN(len(dead))]
		n.send(m.record.Addr, Message{Kind: Ping, Nonce: n.rand.Uint64(), Records: n.recordToRefute(m)})
	}
	seeds := n.config.Seeds
	for range seeds {
		n.join.lastSeed = (n.join.lastSeed + 1) % len(seeds)
		seed := seeds[n.join.lastSeed]
		if seed != n.self.Addr && !n.members.hasLiveAddress(seed) {
			n.send(seed, Message{Kind: Ping, Nonce: n.rand.Uint64()})
			return
		}
	}
}
