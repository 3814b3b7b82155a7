// Package membership decides who the other schedulers of a cluster are, and which of them are here, doubted or gone. It takes an
// input with its time and returns what to send and what has changed; it does no input or output, reads no clock, and draws from
// its seed alone. docs/members.md says what it promises.
package membership

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
)

type phase int

const (
	joining  phase = iota // asks what is known of its name
	serving               // is a member
	asking                // was away for so long that others may have given it up
	leaving               // tells that it ends
	standing              // another process has its name; it waits until that one has ended
	over
)

// entry is what is held of one other member.
type entry struct {
	claim MemberRecord // what has been said, by anybody
	state State        // what is held here: of what was said, a member has time to refute it first
	since Time
	ended Time // when it was first held to be no more, here or elsewhere
	place int  // in live or lost

	held     Time // since when a doubt of this turn is known here
	accusers []string
	own      bool // found here, not only heard of
	gone     bool // somebody says that it is gone
	lastSaid bool // it has been asked once more
	private  bool // found while this process heard nobody: it tells nobody

	rtt, vary Time
	far       int // direct pings in a row without an answer
	nudged    Time
	window    window
}

func (e *entry) is(s State) bool { return e.state == s }

// probe is an own ping that is out.
type probe struct {
	nonce   uint64
	of      *entry
	at      Time
	through bool // others were asked
	again   bool // it was asked twice
}

// relay is a ping for another that is out.
type relay struct {
	of     string // who asked
	at     Time
	nonce  uint64 // its own
	target string
}

// duel asks whether the other process of this name lives.
type duel struct {
	with        MemberRecord
	nonce       uint64
	next, until Time
}

// Node is one process's view of a cluster.
type Node struct {
	t      Config
	rand   *rand.Rand
	me     MemberRecord
	marked MemberRecord // me as it stands in the digests
	phase  phase
	seq    uint64
	now    Time
	due    Time // when Next wants a tick
	out    []Effect

	by      map[string]*entry
	live    []*entry // here or doubted
	lost    []*entry // gone, not left
	doubts  []*entry
	round   []*entry // whom to ping next, from its end
	digests [buckets]uint64
	queue   []queued

	probes []probe
	relays map[uint64]relay
	duel   *duel
	known  MemberRecord // what was told of this name
	nonce  uint64
	seed   int // that was tried last

	askUntil, askNext                             Time
	nextProbe, nextGossip, nextSeek, nextExchange Time
	nextForget, nextLeave, lastOpen, lastTold     Time
	leaves                                        int
	heard                                         Time // anybody
	deaf                                          bool
	slack, slackAt, worst, late                   Time
	loss                                          float64
	counts                                        map[string]uint64
}

// New makes a process that joins. The terms have been checked.
func New(t Config, now Time) *Node {
	m := blank(t, now)
	m.me = MemberRecord{Name: t.Name, Addr: t.Addr, Number: t.Number, Incarnation: Incarnation{Nonce: t.Nonce}, ReportedBy: t.Name}
	m.ask(joining)
	return m
}

// HandoverState is what a process tells the one that takes its place: both are one member.
type HandoverState struct {
	Self    MemberRecord
	Seq     uint64
	Records []MemberRecord
}

// Restore makes a process that goes on as another did.
func Restore(t Config, l HandoverState, now Time) *Node {
	m := blank(t, now)
	m.me, m.seq, m.phase = l.Self, l.Seq+seqJump, serving
	m.me.Addr, m.me.Number = t.Addr, t.Number
	m.me.Refutations++
	m.remark()
	for _, c := range l.Records {
		m.merge(c)
	}
	m.announce()
	return m
}

func blank(t Config, now Time) *Node {
	return &Node{t: t, now: now, rand: rand.New(rand.NewPCG(t.Seed, t.Nonce)), by: map[string]*entry{}, relays: map[uint64]relay{},
		counts: map[string]uint64{}, heard: now, nextProbe: now, nextSeek: now, nextExchange: now + t.PushPullInterval/2, nextForget: now + t.DeadRetention/50}
}

// HandoverState is what an heir needs. The caller feeds no more inputs but Resuming.
func (m *Node) HandoverState() (HandoverState, bool) {
	if m.phase != serving {
		return HandoverState{}, false
	}
	l := HandoverState{Self: m.me, Seq: m.seq}
	for _, name := range m.names() {
		l.Records = append(l.Records, m.aged(m.by[name]))
	}
	return l, true
}

// Step takes an input and returns what to do. Times never go back.
func (m *Node) Step(now Time, in Input) []Effect {
	m.now, m.out = max(now, m.now), m.out[:0:0]
	m.woken()
	switch in := in.(type) {
	case MessageReceived:
		m.hear(in)
	case SendUserMessage:
		m.say(in)
	case LeaveRequested:
		m.leave()
	case Resumed:
		m.resume()
	}
	m.timers()
	m.due = m.next()
	return m.out
}

// NextTick is when a Tick is due.
func (m *Node) NextTick() Time { return m.due }

func (m *Node) do(e Effect) { m.out = append(m.out, e) }

func (m *Node) count(what string) { m.counts[what]++ }

// jitter is a span of half to one and a half times the given one.
func (m *Node) jitter(t Time) Time { return t/2 + Time(m.rand.Int64N(int64(t)+1)) }

// woken finds out by how much this process is late. What it missed meanwhile speaks against nobody but itself.
func (m *Node) woken() {
	late := m.now - m.due
	if m.due == 0 || late <= tolerance || m.phase == over {
		return
	}
	m.slack, m.slackAt = min(m.eased()+late, mostSlack), m.now
	m.late, m.worst = late, max(m.worst, late)
	m.count("late")
	m.probes = nil
	clear(m.relays)
	for _, e := range m.doubts {
		e.held += late
	}
	m.heard += late
	m.nextProbe, m.nextGossip, m.nextSeek = m.now, m.now, max(m.nextSeek, m.now)
	if m.duel != nil {
		m.duel.until += late
	}
	switch m.phase {
	case serving:
		if late >= m.t.MinSuspicion {
			m.do(Event{"was away", span(late)})
			m.ask(asking)
		} else if late >= m.t.ProbeTimeout {
			m.me.Refutations++ // a doubt may be on its way already
			m.renew()
		}
	case joining, asking:
		m.askUntil += late
	}
}

// eased is what is left of the own lateness.
func (m *Node) eased() Time {
	rest := 1 - float64(m.now-m.slackAt)/float64(slackEases)
	return Time(float64(m.slack) * max(rest, 0))
}

// renew has all know the own claim as it is now.
func (m *Node) renew() {
	m.remark()
	m.announce()
}

func (m *Node) announce() {
	m.enqueue(m.me)
	m.nextGossip = m.now
}

// ask begins to ask what is known of this name.
func (m *Node) ask(p phase) {
	m.phase, m.nonce, m.known = p, m.rand.Uint64(), MemberRecord{}
	m.askNext, m.askUntil = m.now, m.now+askSpan
}

func (m *Node) asks() {
	if m.now < m.askNext {
		return
	}
	m.askNext = m.now + askEvery/2 + Time(m.rand.Int64N(int64(askEvery)))
	to := map[string]bool{}
	for _, e := range m.pick(asked, nil) {
		to[e.claim.Addr] = true
	}
	for _, e := range m.lost[:min(len(m.lost), asked)] {
		to[e.claim.Addr] = true
	}
	for _, i := range m.rand.Perm(len(m.t.Seeds))[:min(len(m.t.Seeds), asked)] {
		to[m.t.Seeds[i]] = true
	}
	delete(to, m.me.Addr)
	addrs := make([]string, 0, len(to))
	for a := range to {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	for _, a := range addrs {
		m.send(a, Message{Kind: RecordQuery, Nonce: m.nonce})
	}
	if m.now < m.askUntil && len(addrs) > 0 {
		return
	}
	// Nobody that is sure has answered: it goes on with what it knows. If it was wrong, whom it meets will tell it so.
	if m.phase == joining {
		m.settle()
	} else {
		m.back()
	}
}

// settle makes this process a member, later than any that was told of.
func (m *Node) settle() {
	m.me.Incarnation = Incarnation{m.known.Generation + 1, m.t.Nonce}
	m.me.Refutations, m.me.State, m.phase, m.heard = 0, Alive, serving, m.now
	m.renew()
	m.do(Joined{})
	m.exchange()
}

// back makes this process a member again after it was away.
func (m *Node) back() {
	if c := m.known; c.Incarnation == m.me.Incarnation && c.State >= Suspect {
		m.do(Event{"was called " + c.State.String(), c.ReportedBy})
		m.me.Refutations = max(m.me.Refutations, c.Refutations)
	}
	m.phase, m.heard = serving, m.now
	m.me.Refutations++
	m.renew()
	m.do(Joined{})
	m.exchange()
}

// relive makes this process a later one than any of its name that is known to have ended.
func (m *Node) relive(after uint64) {
	m.me.Incarnation, m.me.Refutations, m.me.State = Incarnation{after + 1, m.t.Nonce}, 0, Alive
	m.renew()
}

// superseded ends this process as a member: another has its name.
func (m *Node) superseded(by MemberRecord) {
	m.do(Event{"superseded", by.Addr})
	m.me.State, m.duel, m.probes, m.queue = Replaced, nil, nil, nil
	clear(m.relays)
	m.remark()
	if m.phase = over; m.t.StandByWhenReplaced {
		m.phase, m.nonce, m.known = standing, m.rand.Uint64(), by
	}
	m.do(Stopped{Replaced: true})
}

func (m *Node) leave() {
	if m.phase != serving {
		m.phase = over
		m.do(Stopped{})
		return
	}
	m.phase, m.leaves, m.nextLeave = leaving, leaveTimes, m.now
	m.me.State = Left
	m.remark()
}

// resume goes on as a member whose heir has ended. What that one said last stands, so this one goes beyond it.
func (m *Node) resume() {
	if m.phase != serving && m.phase != asking {
		return
	}
	m.seq += 2 * seqJump
	m.me.Refutations += 2
	m.renew()
}

func (m *Node) say(in SendUserMessage) {
	if m.phase != serving {
		return
	}
	for _, e := range m.live {
		if e.claim.Number == in.Number {
			m.send(e.claim.Addr, Message{Kind: UserMessage, Text: in.Text})
			return
		}
	}
	m.count("word to nobody")
}

// send sends a datagram from this member.
func (m *Node) send(to string, x Message) {
	if to != m.me.Addr && to != "" {
		m.do(Send{to, m.sealed(x)})
	}
}

func (m *Node) sealed(x Message) Message {
	m.seq++
	x.Cluster, x.Seq, x.From = m.t.Cluster, m.seq, m.me
	if m.phase == joining || m.phase == standing {
		x.From.Incarnation, x.From.State = Incarnation{0, m.t.Nonce}, Joining
	}
	return x
}

// pick draws some that are here or doubted.
func (m *Node) pick(n int, not *entry) (some []*entry) {
	if len(m.live) <= n+1 {
		for _, e := range m.live {
			if e != not {
				some = append(some, e)
			}
		}
		m.rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
		return some[:min(n, len(some))]
	}
	for len(some) < n {
		e := m.live[m.rand.IntN(len(m.live))]
		if e != not && !slices.Contains(some, e) {
			some = append(some, e)
		}
	}
	return some
}

// names are those in the view, in order.
func (m *Node) names() []string {
	names := make([]string, 0, len(m.by))
	for n := range m.by {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// patience is how long a direct answer of a member may take before others are asked.
func (m *Node) patience(e *entry) Time {
	if e.rtt == 0 {
		return m.t.ProbeTimeout / 2
	}
	return min(max(e.rtt+4*e.vary, m.t.ProbeTimeout/8), m.t.ProbeTimeout/2)
}

// lossy is by which factor lost messages lengthen a doubt and multiply what is told.
func (m *Node) lossy() float64 { return 1 + min(2*m.loss, 1) }

// window is for how long a probe waits, direct and through others.
func (m *Node) window() Time { return Time(float64(m.t.ProbeTimeout) * m.lossy()) }

// ends is when a doubt is over.
func (m *Node) ends(e *entry) Time {
	k := min(confirms, len(m.live)-2) // without the doubted one and its first accuser
	span := float64(m.t.MinSuspicion)
	if k > 0 {
		part := math.Log(float64(min(len(e.accusers)-1, k)+1)) / math.Log(float64(k+1))
		span = float64(m.t.MaxSuspicion) - part*float64(m.t.MaxSuspicion-m.t.MinSuspicion)
	}
	if e.gone { // heard as well: no earlier than by own doubt, since that word may be about another side of a cut
		span = float64(m.t.MinSuspicion)
	}
	at := e.held + Time(span*m.lossy()) + m.eased()
	if !e.own && !e.gone {
		at += fallback
	}
	return at
}

// next is when something is due.
func (m *Node) next() Time {
	at := Time(math.MaxInt64)
	until := func(t Time) { at = min(at, t) }
	switch m.phase {
	case over:
		return m.now + second
	case joining, asking:
		return max(m.askNext, m.now+1)
	case standing:
		return max(m.nextSeek, m.now+1)
	case leaving:
		return max(m.nextLeave, m.now+1)
	}
	until(m.nextProbe)
	until(m.nextSeek)
	until(m.nextExchange)
	until(m.nextForget)
	if len(m.queue) > 0 && len(m.live) > 0 {
		until(m.nextGossip)
	}
	if m.duel != nil {
		until(m.duel.next)
	}
	for _, p := range m.probes {
		if !p.again {
			wait := m.patience(p.of)
			if p.through {
				wait *= 2
			}
			until(p.at + wait)
		}
		until(p.at + m.window())
	}
	for _, e := range m.doubts {
		end := m.ends(e)
		if until(end); e.own && !e.lastSaid {
			until(end - lastWord)
		}
	}
	return max(at, m.now+1)
}

// MemberView is one member as it is held here.
type MemberView struct {
	Name   string `json:"name"`
	Addr   string `json:"address"`
	Number int    `json:"number"`
	State  State  `json:"state"`
	Incarnation
	Refutations uint64 `json:"turn"`
	ReportedBy  string `json:"by"`        // who says so
	Since       Time   `json:"-"`         // when it was found here
	RTT         Time   `json:"-"`         // 0: not known
	Reachable   bool   `json:"reachable"` // from here, directly
	Private     bool   `json:"private"`   // found while nobody was heard: told to nobody
}

func (m *Node) seen(e *entry) MemberView {
	s := MemberView{Name: e.claim.Name, Addr: e.claim.Addr, Number: e.claim.Number, State: e.state, Incarnation: e.claim.Incarnation, Refutations: e.claim.Refutations,
		ReportedBy: e.claim.ReportedBy, Since: e.since, RTT: e.rtt, Reachable: !e.state.Ended() && e.far < farAfter, Private: e.private}
	if e.private || e.state == Suspect && e.own && e.claim.State < Suspect {
		s.ReportedBy = m.me.Name
	}
	return s
}

// View is all that is held of the others, in order of their names.
func (m *Node) View() []MemberView {
	view := make([]MemberView, 0, len(m.by))
	for _, name := range m.names() {
		view = append(view, m.seen(m.by[name]))
	}
	return view
}

// LocalStatus is what a process says of itself.
type LocalStatus struct {
	Name  string `json:"name"`
	Addr  string `json:"address"`
	State State  `json:"state"`
	Incarnation
	Turn        uint64            `json:"turn"`
	Live        int               `json:"live"` // others that are here or doubted
	Deaf        bool              `json:"deaf"` // it hears nobody
	Asks        bool              `json:"asks"` // it was away and does not know yet what it missed
	Loss        float64           `json:"loss"` // share of direct pings lost to members that live
	Lateness    Time              `json:"-"`    // by how much it was late last
	MaxLateness Time              `json:"-"`    // and at worst
	Counts      map[string]uint64 `json:"counts"`
}

// Self is what this process says of itself.
func (m *Node) Self() MemberRecord { return m.me }

// CatchingUp tells whether it was away and does not know yet what it missed.
func (m *Node) CatchingUp() bool { return m.phase == asking }

// Status is how this process itself is.
func (m *Node) Status() LocalStatus {
	o := LocalStatus{Name: m.me.Name, Addr: m.me.Addr, State: m.me.State, Incarnation: m.me.Incarnation, Turn: m.me.Refutations, Live: len(m.live), Deaf: m.deaf,
		Asks: m.phase == asking, Loss: m.loss, Lateness: m.late, MaxLateness: m.worst, Counts: map[string]uint64{}}
	for k, v := range m.counts {
		o.Counts[k] = v
	}
	return o
}

// Digest is the same for two views that hold the same of everybody, this process included.
func (m *Node) Digest() (sum uint64) {
	for i, d := range m.digests {
		sum ^= bits.RotateLeft64(d, i)
	}
	return sum
}

// span is a duration as text.
func span(t Time) string { return durationOf(t).String() }
