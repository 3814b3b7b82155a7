package membership

// A push-pull is an exchange of complete views over a stream. The opener sends the digests of its view.
// The other member replies with the buckets that differ and its records in them. The opener replies with
// its own records in these buckets.

// startPushPull opens a push-pull with a member.
func (n *Node) startPushPull(m *member) {
	n.gossip.lastPushPull = n.now
	n.emit(OpenStream{m.record.Addr, n.stamped(Message{Kind: Digests, Digests: n.gossip.digest.buckets[:]})})
}

// pushPullWithNewMember opens a push-pull with a member that has joined or returned, unless the latest
// push-pull was opened less than minPushPullInterval ago.
func (n *Node) pushPullWithNewMember(m *member) {
	if n.phase == serving && n.now-n.gossip.lastPushPull >= minPushPullInterval {
		n.startPushPull(m)
	}
}

func (n *Node) pushPullWithRandomMember() {
	for _, m := range n.randomMembers(1, nil) {
		n.startPushPull(m)
	}
}

// replyToDigests replies to the digests of another view with the records in the buckets that differ.
func (n *Node) replyToDigests(in MessageReceived) {
	if len(in.Digests) != digestBuckets || in.Stream == 0 {
		n.count(countInvalid)
		return
	}
	differing := n.gossip.digest.differingBuckets(in.Digests)
	reply := Message{Kind: DigestDiff, Buckets: differing, Records: n.recordsInBuckets(differing)}
	n.emit(StreamReply{Stream: in.Stream, Message: n.stamped(reply), Last: len(differing) == 0})
}

// replyToDigestDiff replies with this process's records in the buckets that differ. It also schedules the
// next push-pull soon. This repeats until the views are equal.
func (n *Node) replyToDigestDiff(in MessageReceived) {
	if len(in.Buckets) == 0 || in.Stream == 0 {
		return
	}
	n.gossip.nextPushPull = min(n.gossip.nextPushPull, n.now+n.jitter(n.config.JoinInterval))
	reply := Message{Kind: DigestDiffReply, Records: n.recordsInBuckets(in.Buckets)}
	n.emit(StreamReply{Stream: in.Stream, Message: n.stamped(reply), Last: true})
}

// recordsInBuckets returns the records in the wanted buckets. This process's own record is included.
func (n *Node) recordsInBuckets(wanted []int) (records []MemberRecord) {
	var included [digestBuckets]bool
	for _, bucket := range wanted {
		if bucket >= 0 && bucket < digestBuckets {
			included[bucket] = true
		}
	}
	if included[bucketOf(n.self.Name)] {
		records = append(records, n.self)
	}
	for _, name := range n.members.sortedNames() {
		if included[bucketOf(name)] {
			records = append(records, n.recordWithAge(n.members.byName[name]))
		}
	}
	return records
}
