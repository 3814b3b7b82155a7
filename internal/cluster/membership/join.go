package membership

import (
	"maps"
	"slices"
)

// joinState is the state of this process's queries for its own record, and of its attempts to reach dead
// members and seeds.
type joinState struct {
	queryNonce    uint64
	nextQuery     Time
	queryDeadline Time         // when the process continues without a reply from a serving or leaving member
	reportedSelf  MemberRecord // the greatest record of this process's name that was reported
	nextAttempt   Time         // when to try next to reach a dead member and a seed
	lastSeedIndex int          // index in Config.Seeds of the seed that was tried last
}

// startQuery starts to query other processes for this process's record.
func (n *Node) startQuery() {
	n.join.queryNonce = n.rand.Uint64()
	n.join.reportedSelf = MemberRecord{}
	n.join.nextQuery = n.now
	n.join.queryDeadline = n.now + queryTimeout
}

// runQuery sends the next queries. After the deadline, this process becomes a member even without an
// authoritative reply, that is, a reply from a member that serves or leaves. If another process has its
// name, or it was declared dead, members that it reaches later notify it.
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

// queryAddrs returns the sorted addresses of up to queryFanout live members, as many dead members and as
// many seeds.
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

// replyToQuery replies to a query with the record of the sender's name, if one is known.
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

// receiveRecordReply handles a reply with the record of this process's name.
func (n *Node) receiveRecordReply(reply Message) {
	if reply.Nonce != n.join.queryNonce {
		n.count(countStaleReply)
		return
	}
	for _, record := range reply.Records {
		if record.Name == n.self.Name && validRecord(record) {
			n.join.reportedSelf = GreaterRecord(n.join.reportedSelf, record)
		}
	}
	// A sender that is no member itself knows no more than this process.
	authoritative := !reply.SenderCatchingUp && reply.From.Generation > 0
	if authoritative && validRecord(reply.From) {
		n.merge(reply.From)
	}
	n.concludeQuery(authoritative)
}

// concludeQuery decides how this process continues after a reply.
func (n *Node) concludeQuery(authoritative bool) {
	reported := n.join.reportedSelf
	otherProcess := reported.Generation > 0 && reported.Incarnation != n.self.Incarnation
	nameTaken := otherProcess && !reported.State.Ended()
	switch {
	case n.phase == catchingUp && nameTaken:
		// The running process takes precedence over this one, which was paused, whichever is older: the
		// other members already use the running process.
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

// queryWhetherNameIsFree asks a random member whether the name of this replaced process is in use.
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

// pingDeadMemberAndSeed pings a dead member and a seed that is no live member, so that the sides of a
// network partition find each other when it ends.
func (n *Node) pingDeadMemberAndSeed() {
	if dead := n.members.dead; len(dead) > 0 {
		m := dead[n.rand.IntN(len(dead))]
		n.send(m.record.Addr, Message{Kind: Ping, Nonce: n.rand.Uint64(), Records: n.recordToRefute(m)})
	}
	seeds := n.config.Seeds
	for range seeds {
		n.join.lastSeedIndex = (n.join.lastSeedIndex + 1) % len(seeds)
		seed := seeds[n.join.lastSeedIndex]
		if seed != n.self.Addr && !n.members.hasLiveAddress(seed) {
			n.send(seed, Message{Kind: Ping, Nonce: n.rand.Uint64()})
			return
		}
	}
}
