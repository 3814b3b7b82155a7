package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

func durationOf(t Time) time.Duration { return time.Duration(t) * Tenth }

// queuedRecord is a claim that is being told, and how often it has been.
type queuedRecord struct {
	record    MemberRecord
	transmits int
}

// bucketOf and identity are of what two views must agree on: who says so and since when may differ.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

func recordHash(c MemberRecord) uint64 {
	room := make([]byte, 0, 96)
	room = append(room, c.Name...)
	for _, n := range []uint64{c.Generation, c.Nonce, c.Refutations, uint64(c.State)} {
		room = binary.LittleEndian.AppendUint64(room, n)
	}
	return xxhash.Sum64(room)
}

// toggleDigest and unmark keep the digests: what is put in twice is taken out, so both are the same.
func (m *Node) toggleDigest(c MemberRecord) { m.digests[bucketOf(c.Name)] ^= recordHash(c) }
func (m *Node) removeDigest(c MemberRecord) { m.toggleDigest(c) }

// updateSelfDigest puts the own claim into the digests as it is now, in place of the one before.
func (m *Node) updateSelfDigest() {
	if m.digestedSelf.Generation > 0 {
		m.removeDigest(m.digestedSelf)
	}
	if m.digestedSelf = m.self; m.self.State == Replaced {
		m.digestedSelf = MemberRecord{} // the name is another's
	} else {
		m.toggleDigest(m.self)
	}
}

// replaceRecord replaces what has been said of a member.
func (m *Node) replaceRecord(e *member, c MemberRecord) {
	if c.Incarnation != e.record.Incarnation {
		e.replay = replayWindow{}
	}
	m.removeDigest(e.record)
	m.toggleDigest(c)
	e.record = c
}

// recordWithAge is what is told of a member: how long ago it ended goes with it, so that nobody remembers it longer than the others.
func (m *Node) recordWithAge(e *member) MemberRecord {
	c := e.record
	if c.State.Ended() {
		c.Age = uint64(max(m.now-e.endedAt, 0) / second)
	}
	return c
}

// enqueue has a claim told to the others.
func (m *Node) enqueue(c MemberRecord) {
	if len(m.queue) >= maxQueuedRecords {
		m.count("queue full")
		return
	}
	m.queue = slices.Insert(m.queue, 0, queuedRecord{record: c})
}

// estimatedSize is about how many bytes a claim takes in a message.
func estimatedSize(c MemberRecord) int { return len(c.Name) + len(c.Addr) + len(c.ReportedBy) + 32 }

// takeRecords draws from the queue what fits, least told first, and counts it as told once more.
func (m *Node) takeRecords(room int, first ...MemberRecord) (claims []MemberRecord) {
	for _, c := range first {
		claims = append(claims, c)
		room -= estimatedSize(c)
	}
	most := int(math.Ceil(transmitFactor * math.Log2(float64(len(m.live)+2)) * m.lossFactor()))
	k := 0
	var again []queuedRecord
	for ; k < len(m.queue) && room > 0; k++ {
		q := m.queue[k]
		if now, ok := m.recordOf(q.record.Name); !ok || compareState(q.record, now) < 0 {
			continue // something newer is known
		}
		if room -= estimatedSize(q.record); room < 0 {
			break
		}
		if claims = append(claims, q.record); q.transmits+1 < most {
			again = append(again, queuedRecord{q.record, q.transmits + 1})
		}
	}
	m.queue = append(m.queue[k:len(m.queue):len(m.queue)], again...)
	return claims
}

// recordOf is what is said of a name now.
func (m *Node) recordOf(name string) (MemberRecord, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	e := m.byName[name]
	if e == nil {
		return MemberRecord{}, false
	}
	return e.record, true
}

// setState changes what is held of a member.
func (m *Node) setState(e *member, s State, fresh bool) {
	before := e.state
	if !fresh && before == s {
		return
	}
	m.remove(e)
	e.state, e.changedAt = s, m.now
	if s != Suspect {
		e.confirmations, e.foundHere, e.reportedDead, e.finalProbeSent = nil, false, false, false
	}
	if s == Alive {
		e.unansweredPings, e.private = 0, false
	}
	if s.Ended() && !before.Ended() || fresh && s.Ended() {
		e.endedAt = m.now - Time(min(e.record.Age, uint64(m.config.DeadRetention/second)))*second
	}
	m.insert(e)
	m.do(MemberChanged{m.viewOf(e), before, fresh})
}

// insert puts an entry where its state belongs.
func (m *Node) insert(e *member) {
	switch {
	case !e.state.Ended():
		e.index = len(m.live)
		m.live = append(m.live, e)
		m.probeOrder = append(m.probeOrder, e) // somewhere in the round that is on, so that it is not the last whom all ask
		i := m.rand.IntN(len(m.probeOrder))
		m.probeOrder[i], m.probeOrder[len(m.probeOrder)-1] = m.probeOrder[len(m.probeOrder)-1], m.probeOrder[i]
		if e.state == Suspect {
			m.suspects = append(m.suspects, e)
		}
	case e.state == Dead:
		e.index = len(m.dead)
		m.dead = append(m.dead, e)
	}
}

func (m *Node) remove(e *member) {
	if e.index < 0 {
		return // it is new
	}
	out := func(list []*member) []*member {
		last := len(list) - 1
		list[e.index] = list[last]
		list[e.index].index = e.index
		return list[:last]
	}
	switch {
	case !e.state.Ended():
		m.live = out(m.live)
		if i := slices.Index(m.probeOrder, e); i >= 0 {
			m.probeOrder = slices.Delete(m.probeOrder, i, i+1)
		}
		if e.state == Suspect {
			m.suspects = slices.DeleteFunc(m.suspects, func(x *member) bool { return x == e })
		}
	case e.state == Dead:
		m.dead = out(m.dead)
	}
}

// validRecord tells whether a claim can be one.
func validRecord(c MemberRecord) bool {
	return c.Name != "" && len(c.Name) <= maxNameBytes && c.Addr != "" && len(c.Addr) <= maxNameBytes && len(c.ReportedBy) <= maxNameBytes &&
		c.Generation > 0 && c.Generation < math.MaxUint64/2 && c.Refutations < math.MaxUint64/2 && c.State >= Alive && c.State <= Left &&
		c.Number >= -1
}

// merge takes what is said of a member.
func (m *Node) merge(c MemberRecord) {
	switch e := m.byName[c.Name]; {
	case !validRecord(c):
		m.count("garbled")
	case c.Name == m.self.Name:
		m.mergeSelfRecord(c)
	case e == nil:
		m.addMember(c)
	case compareState(c, e.record) == 0:
		if c.State == Suspect {
			m.confirmSuspicion(e, c.ReportedBy)
		}
		if c.Age > 0 && e.state.Ended() {
			e.endedAt = min(e.endedAt, m.now-Time(min(c.Age, uint64(m.config.DeadRetention/second)))*second)
		}
		e.record = Join(e.record, c)
	case compareState(c, e.record) > 0:
		m.applyNewer(e, c)
	}
}

func (m *Node) addMember(c MemberRecord) {
	if c.State.Ended() && c.Age >= uint64(m.config.DeadRetention/second) {
		return
	}
	if len(m.byName) >= m.config.MaxMembers-1 {
		m.count("no room in the view")
		m.do(Event{"no room in the view", c.Name})
		return
	}
	e := &member{record: c, index: -1}
	m.byName[c.Name] = e
	m.toggleDigest(c)
	m.enqueue(c)
	m.setState(e, c.State, true)
	if c.State == Suspect {
		m.startSuspicion(e, c.ReportedBy, false)
	}
}

// applyNewer takes what stands over what was said before.
func (m *Node) applyNewer(e *member, c MemberRecord) {
	other, turn := c.Incarnation != e.record.Incarnation, c.Refutations != e.record.Refutations
	m.replaceRecord(e, c)
	m.enqueue(c)
	switch {
	case c.State == Alive, c.State == Left, c.State == Dead && (other || e.is(Dead)):
		m.setState(e, c.State, other)
	case c.State == Suspect && !other && !turn && e.is(Suspect):
		m.confirmSuspicion(e, c.ReportedBy) // it was found here first
	case c.State == Suspect:
		m.setState(e, Suspect, other)
		m.startSuspicion(e, c.ReportedBy, false)
	default: // called gone, and held to be here or doubted: it has time to refute that to this process too
		if !e.is(Suspect) || turn {
			m.setState(e, Suspect, false)
			m.startSuspicion(e, c.ReportedBy, false)
		}
		e.reportedDead = true
	}
}

// startSuspicion begins the span in which a member can refute.
func (m *Node) startSuspicion(e *member, by string, own bool) {
	e.suspectedAt, e.confirmations, e.foundHere, e.reportedDead, e.finalProbeSent = m.now, []string{by}, own, false, false
}

// confirmSuspicion counts those who got no answer themselves: each makes it likelier that it is not their own fault.
func (m *Node) confirmSuspicion(e *member, by string) {
	if !e.is(Suspect) || len(e.confirmations) > maxConfirmations || slices.Contains(e.confirmations, by) {
		return
	}
	e.confirmations = append(e.confirmations, by)
	c := e.record
	c.State, c.ReportedBy = Suspect, by
	m.enqueue(c)
}

// probeFailed is a probe that neither the member itself nor anybody who asked it has answered.
func (m *Node) probeFailed(e *member) {
	if e.unansweredPings++; e.state.Ended() {
		return
	}
	if m.isolated {
		if e.is(Alive) {
			e.private = true
			m.setState(e, Suspect, false)
			m.startSuspicion(e, m.self.Name, true)
		}
		return
	}
	if e.is(Suspect) {
		e.foundHere = true
		m.confirmSuspicion(e, m.self.Name)
		return
	}
	c := e.record
	c.State, c.ReportedBy = Suspect, m.self.Name
	m.replaceRecord(e, c)
	m.enqueue(c)
	m.setState(e, Suspect, false)
	m.startSuspicion(e, m.self.Name, true)
}

// suspicionExpired holds a doubted member to be gone.
func (m *Node) suspicionExpired(e *member) {
	if m.isolated || e.private {
		e.private = true
		m.setState(e, Dead, false)
		return
	}
	c := e.record
	if c.State < Dead {
		c.State, c.ReportedBy, c.Age = Dead, m.self.Name, 0
		m.replaceRecord(e, c)
		m.enqueue(c)
	}
	m.setState(e, Dead, false)
}

// noteHeard ends a time in which nobody was heard: what was found in it counts no more.
func (m *Node) noteHeard() {
	m.lastHeard = m.now
	if !m.isolated {
		return
	}
	m.isolated = false
	m.do(Event{"hears others again", ""})
	for _, name := range m.sortedNames() {
		if e := m.byName[name]; e.private {
			e.private = false
			if m.setState(e, e.record.State, false); e.is(Suspect) {
				m.startSuspicion(e, e.record.ReportedBy, false)
			}
		}
	}
}

// pruneEnded drops those that have been gone or have left for longer than they are remembered.
func (m *Node) pruneEnded() {
	for _, name := range m.sortedNames() {
		if e := m.byName[name]; e.state.Ended() && !e.private && m.now-e.endedAt >= m.config.DeadRetention {
			m.remove(e)
			m.removeDigest(e.record)
			delete(m.byName, name)
		}
	}
}

// replayWindow tells messages that come twice, or from long ago, by their numbers.
type replayWindow struct {
	highest uint64
	seen    [4]uint64
}

const replayWindowSize = 256

// accept tells whether a number is new, and remembers it.
func (w *replayWindow) accept(n uint64) bool {
	if n > w.highest {
		for i := range min(n-w.highest, replayWindowSize) {
			x := (w.highest + 1 + i) % replayWindowSize
			w.seen[x/64] &^= 1 << (x % 64)
		}
		w.highest = n
	} else if w.highest-n >= replayWindowSize {
		return false
	}
	x := n % replayWindowSize
	if w.seen[x/64]&(1<<(x%64)) != 0 {
		return false
	}
	w.seen[x/64] |= 1 << (x % 64)
	return true
}
