package membership

import (
	"math"
	"slices"
)

// dissemination is the state of gossip, which spreads changed records, and of push-pull, which compares
// complete views.
type dissemination struct {
	queue        []queuedRecord // in order of transmits, the fewest first
	digest       viewDigest
	nextRound    Time // when the next gossip round is due
	nextPushPull Time
	lastPushPull Time // when this process last opened a push-pull
}

// queuedRecord is a record that is queued for gossip.
type queuedRecord struct {
	record    MemberRecord
	transmits int // how often the record was sent
}

// enqueue queues a record for gossip. If the queue is full, the record spreads by push-pull alone.
func (n *Node) enqueue(record MemberRecord) {
	if len(n.gossip.queue) >= maxQueuedRecords {
		n.count(countQueueFull)
		return
	}
	n.gossip.queue = slices.Insert(n.gossip.queue, 0, queuedRecord{record: record})
}

// estimatedSize estimates the bytes that a record takes in a message.
func estimatedSize(r MemberRecord) int { return len(r.Name) + len(r.Addr) + len(r.ReportedBy) + 32 }

// maxTransmits returns how often each record is sent. It grows with the logarithm of the cluster's size
// and with the message loss.
func (n *Node) maxTransmits() int {
	log := math.Log2(float64(len(n.members.live) + 2))
	return int(math.Ceil(transmitFactor * log * n.detector.lossFactor()))
}

// takeRecords returns the required records, and as many queued records as fit into a datagram with them.
// It takes the records that were sent least often first. It drops a queued record that is outdated or was
// sent maxTransmits times.
func (n *Node) takeRecords(required ...MemberRecord) (records []MemberRecord) {
	remaining := maxRecordBytes
	for _, record := range required {
		records = append(records, record)
		remaining -= estimatedSize(record)
	}
	maxTransmits := n.maxTransmits()
	scanned := 0
	var requeued []queuedRecord
	for ; scanned < len(n.gossip.queue) && remaining > 0; scanned++ {
		queued := n.gossip.queue[scanned]
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
			requeued = append(requeued, queued)
		}
	}
	rest := n.gossip.queue[scanned:len(n.gossip.queue):len(n.gossip.queue)]
	n.gossip.queue = append(rest, requeued...)
	return records
}

// outdated reports whether a greater record of the same name is known, or the name was pruned.
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

// recordWithAge returns a member's record as it is sent. The record of an ended member includes its age,
// so that all members prune it at the same time.
func (n *Node) recordWithAge(m *member) MemberRecord {
	record := m.record
	if record.State.Ended() {
		record.Age = uint64(max(n.now-m.endedAt, 0) / second)
	}
	return record
}

// recordToRefute returns a member's record if it reports the member suspect or dead, and nothing
// otherwise. Messages to the member include the record, so that the member can refute it.
func (n *Node) recordToRefute(m *member) []MemberRecord {
	if m.record.State == Suspect || m.record.State == Dead {
		return []MemberRecord{n.recordWithAge(m)}
	}
	return nil
}

// sendCorrection sends a process the record of its name. The process refutes the record, or learns from it
// that another process has the name.
func (n *Node) sendCorrection(m *member, addr string) {
	if n.now-m.correctedAt < queryInterval || n.phase != serving {
		return
	}
	m.correctedAt = n.now
	n.send(addr, Message{Kind: Gossip, Records: []MemberRecord{n.recordWithAge(m)}})
}

// runGossipRound sends queued records to gossipFanout random members.
func (n *Node) runGossipRound() {
	n.gossip.nextRound = n.now + gossipInterval
	for _, m := range n.randomMembers(gossipFanout, nil) {
		records := n.takeRecords(n.recordToRefute(m)...)
		if len(records) > 0 {
			n.send(m.record.Addr, Message{Kind: Gossip, Records: records})
		}
	}
}
