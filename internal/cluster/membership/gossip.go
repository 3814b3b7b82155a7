package membership

import (
	"math"
	"slices"
)

// dissemination is what this process spreads: records by gossip, and complete views by push-pull.
type dissemination struct {
	queue        []queuedRecord // by how often they were sent
	digest       viewDigest
	nextRound    Time // of gossip
	nextPushPull Time
	lastPushPull Time // when this process last started one
}

// queuedRecord is a record that is being spread.
type queuedRecord struct {
	record    MemberRecord
	transmits int // how often it was sent
}

// enqueue has a record sent to others. A record that the full queue drops reaches them by push-pull.
func (n *Node) enqueue(record MemberRecord) {
	if len(n.gossip.queue) >= maxQueuedRecords {
		n.count(countQueueFull)
		return
	}
	n.gossip.queue = slices.Insert(n.gossip.queue, 0, queuedRecord{record: record})
}

// estimatedSize is about how many bytes a record takes in a message.
func estimatedSize(r MemberRecord) int { return len(r.Name) + len(r.Addr) + len(r.ReportedBy) + 32 }

// maxTransmits is how often each record is sent: it grows with the logarithm of the cluster and with the
// loss of messages.
func (n *Node) maxTransmits() int {
	log := math.Log2(float64(len(n.members.live) + 2))
	return int(math.Ceil(transmitFactor * log * n.detector.lossFactor()))
}

// takeRecords returns the given records and those of the queue that fit a datagram beside them, the least
// sent first. Outdated records are dropped from the queue, and so are those that were sent often enough.
func (n *Node) takeRecords(first ...MemberRecord) (records []MemberRecord) {
	remaining := maxRecordBytes
	for _, record := range first {
		records = append(records, record)
		remaining -= estimatedSize(record)
	}
	maxTransmits := n.maxTransmits()
	taken := 0
	var again []queuedRecord
	for ; taken < len(n.gossip.queue) && remaining > 0; taken++ {
		queued := n.gossip.queue[taken]
		if n.outdated(queued.record) {
			continue
		}
		remaining -= estimatedSize(queued.record)
		if remaining < 0 {
			break
		}
		records = append(records, queued.record)
		queued.transmits++
		if queued.transmits < maxTransmits {
			again = append(again, queued)
		}
	}
	rest := n.gossip.queue[taken:len(n.gossip.queue):len(n.gossip.queue)]
	n.gossip.queue = append(rest, again...)
	return records
}

// outdated tells whether a greater record of the same name is known, or the name was forgotten.
func (n *Node) outdated(record MemberRecord) bool {
	current, known := n.recordOf(record.Name)
	return !known || compareState(record, current) < 0
}

// recordOf returns the present record of a name, which may be this process's own.
func (n *Node) recordOf(name string) (MemberRecord, bool) {
	if name == n.self.Name {
		return n.self, true
	}
	m := n.members.byName[name]
	if m == nil {
		return MemberRecord{}, false
	}
	return m.record, true
}

// recordWithAge returns a member's record as it is sent: the age of an ended one goes with it, so that all
// forget it at one time.
func (n *Node) recordWithAge(m *member) MemberRecord {
	record := m.record
	if record.State.Ended() {
		record.Age = uint64(max(n.now-m.endedAt, 0) / second)
	}
	return record
}

// recordToRefute returns the record of a member that is reported suspect or dead. It goes with whatever is
// sent to that member.
func (n *Node) recordToRefute(m *member) []MemberRecord {
	if m.record.State == Suspect || m.record.State == Dead {
		return []MemberRecord{n.recordWithAge(m)}
	}
	return nil
}

// sendCorrection sends a process what is reported of it: it alone can refute that, or it learns that
// another has its name.
func (n *Node) sendCorrection(m *member, addr string) {
	if n.now-m.correctedAt < queryInterval || n.phase != serving {
		return
	}
	m.correctedAt = n.now
	n.send(addr, Message{Kind: Gossip, Records: []MemberRecord{n.recordWithAge(m)}})
}

// runGossipRound sends queued records to some members.
func (n *Node) runGossipRound() {
	n.gossip.nextRound = n.now + gossipInterval
	for _, m := range n.randomMembers(gossipFanout, nil) {
		records := n.takeRecords(n.recordToRefute(m)...)
		if len(records) > 0 {
			n.send(m.record.Addr, Message{Kind: Gossip, Records: records})
		}
	}
}
