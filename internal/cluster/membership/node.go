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
	joining    phase = iota // asks what is known of its name
	serving                 // is a member
	catchingUp              // was away for so long that others may have given it up
	leaving                 // tells that it ends
	standingBy              // another process has its name; it waits until that one has ended
	stopped
)

// member is what is held of one other member.
type member struct {
	record    MemberRecord // what has been said, by anybody
	state     State        // what is held here: of what was said, a member has time to refute it first
	changedAt Time
	endedAt   Time // when it was first held to be no more, here or elsewhere
	index     int  // in live or lost

	suspectedAt    Time // since when a doubt of this turn is known here
	confirmations  []string
	foundHere      bool // found here, not only heard of
	reportedDead   bool // somebody says that it is gone
	finalProbeSent bool // it has been asked once more
	private        bool // found while this process heard nobody: it tells nobody

	rtt, rttDeviation Time
	unansweredPings   int // direct pings in a row without an answer
	correctedAt       Time
	replay            replayWindow
}

func (e *member) is(s State) bool { return e.state == s }

// probe is an own ping that is out.
type probe struct {
	nonce        uint64
	target       *member
	sentAt       Time
	indirectSent bool // others were asked
	resent       bool // it was asked twice
}

// indirectPing is a ping for another that is out.
type indirectPing struct {
	requester    string // who asked
	sentAt       Time
	requestNonce uint64 // its own
	target       string
}

// nameConflict asks whether the other process of this name lives.
type nameConflict struct {
	rival               MemberRecord
	nonce               uint64
	nextQuery, deadline Time
}

// Node is one process's view of a cluster.
type Node struct {
	config       Config
	rand         *rand.Rand
	self         MemberRecord
	digestedSelf MemberRecord // me as it stands in the digests
	phase        phase
	seq          uint64
	now          Time
	due          Time // when Next wants a tick
	effects      []Effect

	byName     map[string]*member
	live       []*member // here or doubted
	dead       []*member // gone, not left
	suspects   []*member
	probeOrder []*member // whom to ping next, from its end
	digests    [digestBuckets]uint64
	queue      []queuedRecord

	probes        []probe
	indirectPings map[uint64]indirectPing
	conflict      *nameConflict
	reportedSelf  MemberRecord // what was told of this name
	queryNonce    uint64
	lastSeed      int // that was tried last

	queryDeadline, nextQuery                                     Time
	nextProbe, nextGossip, nextJoin, nextPushPull                Time
	nextPrune, nextLeaveNotice, lastPushPull, lastReplacedNotice Time
	leaveNoticesLeft                                             int
	lastHeard                                                    Time // anybody
	isolated                                                     bool
	extension, extendedAt, maxLateness, lateness                 Time
	loss                                                         float64
	counts                                                       map[string]uint64
}

// New makes a process that joins. The terms have been checked.
func New(t Config, now Time) *Node {
	m := blank(t, now)
	m.self = MemberRecord{Name: t.Name, Addr: t.Addr, Number: t.Number, Incarnation: Incarnation{Nonce: t.Nonce}, ReportedBy: t.Name}
	m.startQuery(joining)
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
	m.self, m.seq, m.phase = l.Self, l.Seq+handoverSeqGap, serving
	m.self.Addr, m.self.Number = t.Addr, t.Number
	m.self.Refutations++
	m.updateSelfDigest()
	for _, c := range l.Records {
		m.merge(c)
	}
	m.gossipSelf()
	return m
}

func blank(t Config, now Time) *Node {
	return &Node{config: t, now: now, rand: rand.New(rand.NewPCG(t.Seed, t.Nonce)), byName: map[string]*member{}, indirectPings: map[uint64]indirectPing{},
		counts: map[string]uint64{}, lastHeard: now, nextProbe: now, nextJoin: now, nextPushPull: now + t.PushPullInterval/2, nextPrune: now + t.DeadRetention/50}
}

// HandoverState is what an heir needs. The caller feeds no more inputs but Resuming.
func (m *Node) HandoverState() (HandoverState, bool) {
	if m.phase != serving {
		return HandoverState{}, false
	}
	l := HandoverState{Self: m.self, Seq: m.seq}
	for _, name := range m.sortedNames() {
		l.Records = append(l.Records, m.recordWithAge(m.byName[name]))
	}
	return l, true
}

// Step takes an input and returns what to do. Times never go back.
func (m *Node) Step(now Time, in Input) []Effect {
	m.now, m.effects = max(now, m.now), m.effects[:0:0]
	m.noteLateness()
	switch in := in.(type) {
	case MessageReceived:
		m.receive(in)
	case SendUserMessage:
		m.sendUserMessage(in)
	case LeaveRequested:
		m.startLeaving()
	case Resumed:
		m.resume()
	}
	m.runTimers()
	m.due = m.nextDue()
	return m.effects
}

// NextTick is when a Tick is due.
func (m *Node) NextTick() Time { return m.due }

func (m *Node) do(e Effect) { m.effects = append(m.effects, e) }

func (m *Node) count(what string) { m.counts[what]++ }

// jitter is a span of half to one and a half times the given one.
func (m *Node) jitter(t Time) Time { return t/2 + Time(m.rand.Int64N(int64(t)+1)) }

// noteLateness finds out by how much this process is late. What it missed meanwhile speaks against nobody but itself.
func (m *Node) noteLateness() {
	late := m.now - m.due
	if m.due == 0 || late <= maxTimerLateness || m.phase == stopped {
		return
	}
	m.extension, m.extendedAt = min(m.suspicionExtension()+late, maxExtension), m.now
	m.lateness, m.maxLateness = late, max(m.maxLateness, late)
	m.count("late")
	m.probes = nil
	clear(m.indirectPings)
	for _, e := range m.suspects {
		e.suspectedAt += late
	}
	m.lastHeard += late
	m.nextProbe, m.nextGossip, m.nextJoin = m.now, m.now, max(m.nextJoin, m.now)
	if m.conflict != nil {
		m.conflict.deadline += late
	}
	switch m.phase {
	case serving:
		if late >= m.config.MinSuspicion {
			m.do(Event{"was away", durationText(late)})
			m.startQuery(catchingUp)
		} else if late >= m.config.ProbeTimeout {
			m.self.Refutations++ // a doubt may be on its way already
			m.announceSelf()
		}
	case joining, catchingUp:
		m.queryDeadline += late
	}
}

// suspicionExtension is what is left of the own lateness.
func (m *Node) suspicionExtension() Time {
	rest := 1 - float64(m.now-m.extendedAt)/float64(extensionDecay)
	return Time(float64(m.extension) * max(rest, 0))
}

// announceSelf has all know the own claim as it is now.
func (m *Node) announceSelf() {
	m.updateSelfDigest()
	m.gossipSelf()
}

func (m *Node) gossipSelf() {
	m.enqueue(m.self)
	m.nextGossip = m.now
}

// startQuery begins to ask what is known of this name.
func (m *Node) startQuery(p phase) {
	m.phase, m.queryNonce, m.reportedSelf = p, m.rand.Uint64(), MemberRecord{}
	m.nextQuery, m.queryDeadline = m.now, m.now+queryTimeout
}

func (m *Node) sendQueries() {
	if m.now < m.nextQuery {
		return
	}
	m.nextQuery = m.now + queryInterval/2 + Time(m.rand.Int64N(int64(queryInterval)))
	to := map[string]bool{}
	for _, e := range m.randomMembers(queryFanout, nil) {
		to[e.record.Addr] = true
	}
	for _, e := range m.dead[:min(len(m.dead), queryFanout)] {
		to[e.record.Addr] = true
	}
	for _, i := range m.rand.Perm(len(m.config.Seeds))[:min(len(m.config.Seeds), queryFanout)] {
		to[m.config.Seeds[i]] = true
	}
	delete(to, m.self.Addr)
	addrs := make([]string, 0, len(to))
	for a := range to {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	for _, a := range addrs {
		m.send(a, Message{Kind: RecordQuery, Nonce: m.queryNonce})
	}
	if m.now < m.queryDeadline && len(addrs) > 0 {
		return
	}
	// Nobody that is sure has answered: it goes on with what it knows. If it was wrong, whom it meets will tell it so.
	if m.phase == joining {
		m.startServing()
	} else {
		m.resumeServing()
	}
}

// startServing makes this process a member, later than any that was told of.
func (m *Node) startServing() {
	m.self.Incarnation = Incarnation{m.reportedSelf.Generation + 1, m.config.Nonce}
	m.self.Refutations, m.self.State, m.phase, m.lastHeard = 0, Alive, serving, m.now
	m.announceSelf()
	m.do(Joined{})
	m.pushPullWithRandomMember()
}

// resumeServing makes this process a member again after it was away.
func (m *Node) resumeServing() {
	if c := m.reportedSelf; c.Incarnation == m.self.Incarnation && c.State >= Suspect {
		m.do(Event{"was called " + c.State.String(), c.ReportedBy})
		m.self.Refutations = max(m.self.Refutations, c.Refutations)
	}
	m.phase, m.lastHeard = serving, m.now
	m.self.Refutations++
	m.announceSelf()
	m.do(Joined{})
	m.pushPullWithRandomMember()
}

// startIncarnationAfter makes this process a later one than any of its name that is known to have ended.
func (m *Node) startIncarnationAfter(after uint64) {
	m.self.Incarnation, m.self.Refutations, m.self.State = Incarnation{after + 1, m.config.Nonce}, 0, Alive
	m.announceSelf()
}

// markReplaced ends this process as a member: another has its name.
func (m *Node) markReplaced(by MemberRecord) {
	m.do(Event{"superseded", by.Addr})
	m.self.State, m.conflict, m.probes, m.queue = Replaced, nil, nil, nil
	clear(m.indirectPings)
	m.updateSelfDigest()
	if m.phase = stopped; m.config.StandByWhenReplaced {
		m.phase, m.queryNonce, m.reportedSelf = standingBy, m.rand.Uint64(), by
	}
	m.do(Stopped{Replaced: true})
}

func (m *Node) startLeaving() {
	if m.phase != serving {
		m.phase = stopped
		m.do(Stopped{})
		return
	}
	m.phase, m.leaveNoticesLeft, m.nextLeaveNotice = leaving, maxLeaveNotices, m.now
	m.self.State = Left
	m.updateSelfDigest()
}

// resume goes on as a member whose heir has ended. What that one said last stands, so this one goes beyond it.
func (m *Node) resume() {
	if m.phase != serving && m.phase != catchingUp {
		return
	}
	m.seq += 2 * handoverSeqGap
	m.self.Refutations += 2
	m.announceSelf()
}

func (m *Node) sendUserMessage(in SendUserMessage) {
	if m.phase != serving {
		return
	}
	for _, e := range m.live {
		if e.record.Number == in.Number {
			m.send(e.record.Addr, Message{Kind: UserMessage, Text: in.Text})
			return
		}
	}
	m.count("word to nobody")
}

// send sends a datagram from this member.
func (m *Node) send(to string, x Message) {
	if to != m.self.Addr && to != "" {
		m.do(Send{to, m.stamped(x)})
	}
}

func (m *Node) stamped(x Message) Message {
	m.seq++
	x.Cluster, x.Seq, x.From = m.config.Cluster, m.seq, m.self
	if m.phase == joining || m.phase == standingBy {
		x.From.Incarnation, x.From.State = Incarnation{0, m.config.Nonce}, Joining
	}
	return x
}

// randomMembers draws some that are here or doubted.
func (m *Node) randomMembers(n int, not *member) (some []*member) {
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

// sortedNames are those in the view, in order.
func (m *Node) sortedNames() []string {
	names := make([]string, 0, len(m.byName))
	for n := range m.byName {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// directTimeout is how long a direct answer of a member may take before others are asked.
func (m *Node) directTimeout(e *member) Time {
	if e.rtt == 0 {
		return m.config.ProbeTimeout / 2
	}
	return min(max(e.rtt+4*e.rttDeviation, m.config.ProbeTimeout/8), m.config.ProbeTimeout/2)
}

// lossFactor is by which factor lost messages lengthen a doubt and multiply what is told.
func (m *Node) lossFactor() float64 { return 1 + min(2*m.loss, 1) }

// probeTimeout is for how long a probe waits, direct and through others.
func (m *Node) probeTimeout() Time { return Time(float64(m.config.ProbeTimeout) * m.lossFactor()) }

// suspicionDeadline is when a doubt is over.
func (m *Node) suspicionDeadline(e *member) Time {
	k := min(maxConfirmations, len(m.live)-2) // without the doubted one and its first accuser
	span := float64(m.config.MinSuspicion)
	if k > 0 {
		part := math.Log(float64(min(len(e.confirmations)-1, k)+1)) / math.Log(float64(k+1))
		span = float64(m.config.MaxSuspicion) - part*float64(m.config.MaxSuspicion-m.config.MinSuspicion)
	}
	if e.reportedDead { // heard as well: no earlier than by own doubt, since that word may be about another side of a cut
		span = float64(m.config.MinSuspicion)
	}
	at := e.suspectedAt + Time(span*m.lossFactor()) + m.suspicionExtension()
	if !e.foundHere && !e.reportedDead {
		at += secondHandDelay
	}
	return at
}

// nextDue is when something is due.
func (m *Node) nextDue() Time {
	at := Time(math.MaxInt64)
	until := func(t Time) { at = min(at, t) }
	switch m.phase {
	case stopped:
		return m.now + second
	case joining, catchingUp:
		return max(m.nextQuery, m.now+1)
	case standingBy:
		return max(m.nextJoin, m.now+1)
	case leaving:
		return max(m.nextLeaveNotice, m.now+1)
	}
	until(m.nextProbe)
	until(m.nextJoin)
	until(m.nextPushPull)
	until(m.nextPrune)
	if len(m.queue) > 0 && len(m.live) > 0 {
		until(m.nextGossip)
	}
	if m.conflict != nil {
		until(m.conflict.nextQuery)
	}
	for _, p := range m.probes {
		if !p.resent {
			wait := m.directTimeout(p.target)
			if p.indirectSent {
				wait *= 2
			}
			until(p.sentAt + wait)
		}
		until(p.sentAt + m.probeTimeout())
	}
	for _, e := range m.suspects {
		end := m.suspicionDeadline(e)
		if until(end); e.foundHere && !e.finalProbeSent {
			until(end - finalProbeLead)
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

func (m *Node) viewOf(e *member) MemberView {
	s := MemberView{Name: e.record.Name, Addr: e.record.Addr, Number: e.record.Number, State: e.state, Incarnation: e.record.Incarnation, Refutations: e.record.Refutations,
		ReportedBy: e.record.ReportedBy, Since: e.changedAt, RTT: e.rtt, Reachable: !e.state.Ended() && e.unansweredPings < maxUnansweredPings, Private: e.private}
	if e.private || e.state == Suspect && e.foundHere && e.record.State < Suspect {
		s.ReportedBy = m.self.Name
	}
	return s
}

// View is all that is held of the others, in order of their names.
func (m *Node) View() []MemberView {
	view := make([]MemberView, 0, len(m.byName))
	for _, name := range m.sortedNames() {
		view = append(view, m.viewOf(m.byName[name]))
	}
	return view
}

// LocalStatus is what a process says of itself.
type LocalStatus struct {
	Name  string `json:"name"`
	Addr  string `json:"address"`
	State State  `json:"state"`
	Incarnation
	Refutations uint64            `json:"turn"`
	Live        int               `json:"live"` // others that are here or doubted
	Isolated    bool              `json:"deaf"` // it hears nobody
	CatchingUp  bool              `json:"asks"` // it was away and does not know yet what it missed
	Loss        float64           `json:"loss"` // share of direct pings lost to members that live
	Lateness    Time              `json:"-"`    // by how much it was late last
	MaxLateness Time              `json:"-"`    // and at worst
	Counts      map[string]uint64 `json:"counts"`
}

// Self is what this process says of itself.
func (m *Node) Self() MemberRecord { return m.self }

// CatchingUp tells whether it was away and does not know yet what it missed.
func (m *Node) CatchingUp() bool { return m.phase == catchingUp }

// Status is how this process itself is.
func (m *Node) Status() LocalStatus {
	o := LocalStatus{Name: m.self.Name, Addr: m.self.Addr, State: m.self.State, Incarnation: m.self.Incarnation, Refutations: m.self.Refutations, Live: len(m.live), Isolated: m.isolated,
		CatchingUp: m.phase == catchingUp, Loss: m.loss, Lateness: m.lateness, MaxLateness: m.maxLateness, Counts: map[string]uint64{}}
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

// durationText is a duration as text.
func durationText(t Time) string { return durationOf(t).String() }
