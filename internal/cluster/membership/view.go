package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

func durationOf(t Time) time.Duration { return time.Duration(t) * Tenth }

// queued is a claim that is being told, and how often it has been.
type queued struct {
	claim MemberRecord
	times int
}

// bucketOf and identity are of what two views must agree on: who says so and since when may differ.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % buckets) }

func identity(c MemberRecord) uint64 {
	room := make([]byte, 0, 96)
	room = append(room, c.Name...)
	for _, n := range []uint64{c.Generation, c.Nonce, c.Refutations, uint64(c.State)} {
		room = binary.LittleEndian.AppendUint64(room, n)
	}
	return xxhash.Sum64(room)
}

// mark and unmark keep the digests: what is put in twice is taken out, so both are the same.
func (m *Node) mark(c MemberRecord)   { m.digests[bucketOf(c.Name)] ^= identity(c) }
func (m *Node) unmark(c MemberRecord) { m.mark(c) }

// remark puts the own claim into the digests as it is now, in place of the one before.
func (m *Node) remark() {
	if m.marked.Generation > 0 {
		m.unmark(m.marked)
	}
	if m.marked = m.me; m.me.State == Replaced {
		m.marked = MemberRecord{} // the name is another's
	} else {
		m.mark(m.me)
	}
}

// set replaces what has been said of a member.
func (m *Node) set(e *entry, c MemberRecord) {
	if c.Incarnation != e.claim.Incarnation {
		e.window = window{}
	}
	m.unmark(e.claim)
	m.mark(c)
	e.claim = c
}

// aged is what is told of a member: how long ago it ended goes with it, so that nobody remembers it longer than the others.
func (m *Node) aged(e *entry) MemberRecord {
	c := e.claim
	if c.State.Ended() {
		c.Age = uint64(max(m.now-e.ended, 0) / second)
	}
	return c
}

// enqueue has a claim told to the others.
func (m *Node) enqueue(c MemberRecord) {
	if len(m.queue) >= mostQueue {
		m.count("queue full")
		return
	}
	m.queue = slices.Insert(m.queue, 0, queued{claim: c})
}

// sizeOf is about how many bytes a claim takes in a message.
func sizeOf(c MemberRecord) int { return len(c.Name) + len(c.Addr) + len(c.ReportedBy) + 32 }

// take draws from the queue what fits, least told first, and counts it as told once more.
func (m *Node) take(room int, first ...MemberRecord) (claims []MemberRecord) {
	for _, c := range first {
		claims = append(claims, c)
		room -= sizeOf(c)
	}
	most := int(math.Ceil(told * math.Log2(float64(len(m.live)+2)) * m.lossy()))
	k := 0
	var again []queued
	for ; k < len(m.queue) && room > 0; k++ {
		q := m.queue[k]
		if now, ok := m.current(q.claim.Name); !ok || compareState(q.claim, now) < 0 {
			continue // something newer is known
		}
		if room -= sizeOf(q.claim); room < 0 {
			break
		}
		if claims = append(claims, q.claim); q.times+1 < most {
			again = append(again, queued{q.claim, q.times + 1})
		}
	}
	m.queue = append(m.queue[k:len(m.queue):len(m.queue)], again...)
	return claims
}

// current is what is said of a name now.
func (m *Node) current(name string) (MemberRecord, bool) {
	if name == m.me.Name {
		return m.me, true
	}
	e := m.by[name]
	if e == nil {
		return MemberRecord{}, false
	}
	return e.claim, true
}

// become changes what is held of a member.
func (m *Node) become(e *entry, s State, fresh bool) {
	before := e.state
	if !fresh && before == s {
		return
	}
	m.unlist(e)
	e.state, e.since = s, m.now
	if s != Suspect {
		e.accusers, e.own, e.gone, e.lastSaid = nil, false, false, false
	}
	if s == Alive {
		e.far, e.private = 0, false
	}
	if s.Ended() && !before.Ended() || fresh && s.Ended() {
		e.ended = m.now - Time(min(e.claim.Age, uint64(m.t.DeadRetention/second)))*second
	}
	m.list(e)
	m.do(MemberChanged{m.seen(e), before, fresh})
}

// list puts an entry where its state belongs.
func (m *Node) list(e *entry) {
	switch {
	case !e.state.Ended():
		e.place = len(m.live)
		m.live = append(m.live, e)
		m.round = append(m.round, e) // somewhere in the round that is on, so that it is not the last whom all ask
		i := m.rand.IntN(len(m.round))
		m.round[i], m.round[len(m.round)-1] = m.round[len(m.round)-1], m.round[i]
		if e.state == Suspect {
			m.doubts = append(m.doubts, e)
		}
	case e.state == Dead:
		e.place = len(m.lost)
		m.lost = append(m.lost, e)
	}
}

func (m *Node) unlist(e *entry) {
	if e.place < 0 {
		return // it is new
	}
	out := func(list []*entry) []*entry {
		last := len(list) - 1
		list[e.place] = list[last]
		list[e.place].place = e.place
		return list[:last]
	}
	switch {
	case !e.state.Ended():
		m.live = out(m.live)
		if i := slices.Index(m.round, e); i >= 0 {
			m.round = slices.Delete(m.round, i, i+1)
		}
		if e.state == Suspect {
			m.doubts = slices.DeleteFunc(m.doubts, func(x *entry) bool { return x == e })
		}
	case e.state == Dead:
		m.lost = out(m.lost)
	}
}

// valid tells whether a claim can be one.
func valid(c MemberRecord) bool {
	return c.Name != "" && len(c.Name) <= longName && c.Addr != "" && len(c.Addr) <= longName && len(c.ReportedBy) <= longName &&
		c.Generation > 0 && c.Generation < math.MaxUint64/2 && c.Refutations < math.MaxUint64/2 && c.State >= Alive && c.State <= Left &&
		c.Number >= -1
}

// merge takes what is said of a member.
func (m *Node) merge(c MemberRecord) {
	switch e := m.by[c.Name]; {
	case !valid(c):
		m.count("garbled")
	case c.Name == m.me.Name:
		m.aboutMe(c)
	case e == nil:
		m.add(c)
	case compareState(c, e.claim) == 0:
		if c.State == Suspect {
			m.accused(e, c.ReportedBy)
		}
		if c.Age > 0 && e.state.Ended() {
			e.ended = min(e.ended, m.now-Time(min(c.Age, uint64(m.t.DeadRetention/second)))*second)
		}
		e.claim = Join(e.claim, c)
	case compareState(c, e.claim) > 0:
		m.newer(e, c)
	}
}

func (m *Node) add(c MemberRecord) {
	if c.State.Ended() && c.Age >= uint64(m.t.DeadRetention/second) {
		return
	}
	if len(m.by) >= m.t.MaxMembers-1 {
		m.count("no room in the view")
		m.do(Event{"no room in the view", c.Name})
		return
	}
	e := &entry{claim: c, place: -1}
	m.by[c.Name] = e
	m.mark(c)
	m.enqueue(c)
	m.become(e, c.State, true)
	if c.State == Suspect {
		m.doubt(e, c.ReportedBy, false)
	}
}

// newer takes what stands over what was said before.
func (m *Node) newer(e *entry, c MemberRecord) {
	other, turn := c.Incarnation != e.claim.Incarnation, c.Refutations != e.claim.Refutations
	m.set(e, c)
	m.enqueue(c)
	switch {
	case c.State == Alive, c.State == Left, c.State == Dead && (other || e.is(Dead)):
		m.become(e, c.State, other)
	case c.State == Suspect && !other && !turn && e.is(Suspect):
		m.accused(e, c.ReportedBy) // it was found here first
	case c.State == Suspect:
		m.become(e, Suspect, other)
		m.doubt(e, c.ReportedBy, false)
	default: // called gone, and held to be here or doubted: it has time to refute that to this process too
		if !e.is(Suspect) || turn {
			m.become(e, Suspect, false)
			m.doubt(e, c.ReportedBy, false)
		}
		e.gone = true
	}
}

// doubt begins the span in which a member can refute.
func (m *Node) doubt(e *entry, by string, own bool) {
	e.held, e.accusers, e.own, e.gone, e.lastSaid = m.now, []string{by}, own, false, false
}

// accused counts those who got no answer themselves: each makes it likelier that it is not their own fault.
func (m *Node) accused(e *entry, by string) {
	if !e.is(Suspect) || len(e.accusers) > confirms || slices.Contains(e.accusers, by) {
		return
	}
	e.accusers = append(e.accusers, by)
	c := e.claim
	c.State, c.ReportedBy = Suspect, by
	m.enqueue(c)
}

// unanswered is a probe that neither the member itself nor anybody who asked it has answered.
func (m *Node) unanswered(e *entry) {
	if e.far++; e.state.Ended() {
		return
	}
	if m.deaf {
		if e.is(Alive) {
			e.private = true
			m.become(e, Suspect, false)
			m.doubt(e, m.me.Name, true)
		}
		return
	}
	if e.is(Suspect) {
		e.own = true
		m.accused(e, m.me.Name)
		return
	}
	c := e.claim
	c.State, c.ReportedBy = Suspect, m.me.Name
	m.set(e, c)
	m.enqueue(c)
	m.become(e, Suspect, false)
	m.doubt(e, m.me.Name, true)
}

// expire holds a doubted member to be gone.
func (m *Node) expire(e *entry) {
	if m.deaf || e.private {
		e.private = true
		m.become(e, Dead, false)
		return
	}
	c := e.claim
	if c.State < Dead {
		c.State, c.ReportedBy, c.Age = Dead, m.me.Name, 0
		m.set(e, c)
		m.enqueue(c)
	}
	m.become(e, Dead, false)
}

// hears ends a time in which nobody was heard: what was found in it counts no more.
func (m *Node) hears() {
	m.heard = m.now
	if !m.deaf {
		return
	}
	m.deaf = false
	m.do(Event{"hears others again", ""})
	for _, name := range m.names() {
		if e := m.by[name]; e.private {
			e.private = false
			if m.become(e, e.claim.State, false); e.is(Suspect) {
				m.doubt(e, e.claim.ReportedBy, false)
			}
		}
	}
}

// forget drops those that have been gone or have left for longer than they are remembered.
func (m *Node) forget() {
	for _, name := range m.names() {
		if e := m.by[name]; e.state.Ended() && !e.private && m.now-e.ended >= m.t.DeadRetention {
			m.unlist(e)
			m.unmark(e.claim)
			delete(m.by, name)
		}
	}
}

// window tells messages that come twice, or from long ago, by their numbers.
type window struct {
	top  uint64
	seen [4]uint64
}

const windowSize = 256

// fresh tells whether a number is new, and remembers it.
func (w *window) fresh(n uint64) bool {
	if n > w.top {
		for i := range min(n-w.top, windowSize) {
			x := (w.top + 1 + i) % windowSize
			w.seen[x/64] &^= 1 << (x % 64)
		}
		w.top = n
	} else if w.top-n >= windowSize {
		return false
	}
	x := n % windowSize
	if w.seen[x/64]&(1<<(x%64)) != 0 {
		return false
	}
	w.seen[x/64] |= 1 << (x % 64)
	return true
}
