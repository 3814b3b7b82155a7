// Package replication keeps the fates of ops that must not run twice at a majority of a few keepers. It takes an input with its time and
// returns messages and outcomes; it does no input or output, reads no clock, and draws from its seed alone. docs/copies.md says what it
// promises, and under which trouble.
package replication

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/replicaset"
)

const (
	ms     Time = 10
	second Time = 1000 * ms
)

// Config are what a scheduler is told at its start.
type Config struct {
	Name            string
	Replicas        []string // by the file
	DynamicReplicas bool     // they change by agreement: what others tell of that is taken
	Seed            uint64
	Nonce           uint64 // of this process alone
	QuorumTimeout   Time   // longest time for a majority
	RetryInterval   Time   // between two tries at a keeper that has not answered
	PullInterval    Time   // between two looks at another keeper's changes
	Retention       Time   // of a record after it was first heard of
	AmnesiaHoldOff  Time   // a keeper without its memory, which can't catch up, has no vote for so long: what it granted is over by then
	CatchUpRate     int    // bytes a second that are asked of each other keeper while there is much to catch up with
	MaxRecords      int    // records
	MaxBytes        int    // bytes of records
}

// Defaults are stated here alone.
func Defaults() Config {
	return Config{QuorumTimeout: 300 * ms, RetryInterval: 40 * ms, PullInterval: 500 * ms, Retention: 600 * second, AmnesiaHoldOff: 10 * second, CatchUpRate: 4 << 20, MaxRecords: 100_000, MaxBytes: 64 << 20}
}

// Fixed bounds.
const (
	mostClaims   = 16   // of one op: beyond them it is refused; released ones that others knew come on top
	mostWants    = 4096 // wants without an outcome, and ends that no majority knows yet, each
	mostHere     = 4096
	ranTicket    = 1 << 63 // tells of where apart from tells of an end
	boundTicket  = 1 << 62 // the ticket of a want, once it is bound
	tellTimes    = 50      // an end is told so often before it is left to the keepers' own looks
	pieceRoom    = 1200    // bytes of records in a message, by estimate
	pieceDigests = 128
	burst        = 5 * ms // by so much what is asked for may run ahead of its rate
	fetchDigests = 24     // as many as may fit an answer: the rest may be had from another keeper meanwhile
	mostKeepers  = replicaset.MaxReplicas
	longKey      = 512
)

// Validate tells what is wrong with the terms.
func (t *Config) Validate() error {
	switch {
	case t.QuorumTimeout < 5*ms || t.QuorumTimeout > 60*second:
		return errors.New("wait: from 5ms to 60s")
	case t.Retention < second || t.Retention > 7*24*3600*second:
		return errors.New("remember: from 1s to 168h")
	case t.AmnesiaHoldOff < 0 || t.AmnesiaHoldOff > t.Retention:
		return errors.New("hold-off: from 0 to remember")
	case t.CatchUpRate < 1<<16:
		return errors.New("catch-up: 65,536 at least")
	case t.MaxRecords < 1 || t.MaxRecords > 10_000_000:
		return errors.New("most: from 1 to 10,000,000")
	case t.MaxBytes < 1<<16:
		return errors.New("most-bytes: 65,536 at least")
	}
	return replicaset.ValidateNames(t.Replicas)
}

// answer is what a keeper said to one want.
type answer struct {
	granted bool
	life    Incarnation
	voters  []Voter
	why     RefusalReason
	record  Record
	at      uint64 // by its own clock
}

// want is an op that this scheduler asks for.
type want struct {
	ClaimRequest
	claim   Claim
	bound   string // the group that it is bound to, where it ran for another scheduler
	first   Time   // beside it: it did not run before
	asked   Time
	until   Time
	next    Time
	answers map[string]answer
}

// told is a fate that is being told to the keepers.
type told struct {
	ticket  uint64
	record  Record
	known   map[string]bool
	granted map[string]answer // of a word that it may have run: what was granted before that
	times   int
	next    Time
}

// look is how far another keeper's changes are known here.
type look struct {
	of         Incarnation
	since      uint64 // all up to there is known here
	to         uint64 // and all up to there, once what it lacks has come
	lacks      []uint64
	asked      []uint64 // what is being fetched from it
	waits      bool     // for what another keeper was asked for
	seen       bool     // since has moved on, which has not been put where records last
	free       Time     // when the next may be asked for
	next       Time
	more       bool
	registered Incarnation // as which this process is known there
	voting     bool
	ready      bool // by its own word
	through    bool // its changes up to the registration are known
	mark       uint64
}

// Core is one process's part: it asks for ops, and it is a keeper if its name is one's.
type Core struct {
	t     Config
	rand  *rand.Rand
	now   Time
	out   []Effect
	set   replicaset.Set
	all   []string // of the set, once each
	epoch uint64
	own   bool // it had its vote when the set came into force, and has had it since
	ready bool // of a new set, while the old one counts as well: this keeper knows what those knew

	keeper  bool
	serving bool
	life    Incarnation
	voting  bool
	since   Time // as this life, registered with enough others; 0 before
	voters  map[string]Incarnation
	former  map[string]Incarnation // who voted before each of them
	lasting bool                   // records last: Keep and Drop are asked for
	kept    Incarnation            // as which life those were kept that came from there; none for a new place, or one that can't be believed
	seen    []ReplicationCursor    // likewise
	unkept  bool
	looks   map[string]*look

	records  map[string]*Record
	fetching map[uint64]Time // digests that are being fetched from some keeper, and until when no other is asked
	byDigest map[uint64]*Record
	order    []*Record // by pos; nil where a record has moved on
	first    uint64    // pos of the first of order
	pos      uint64
	size     int
	digest   uint64             // of all records, kept as they change: staff who look must not hold up the ops
	ages     map[Time][]*Record // by the second in which they were first heard of
	oldest   Time               // of those seconds

	wants   map[uint64]*want
	mine    map[uint64]*want // granted, and not ended
	tells   map[uint64]*told
	gone    map[string]bool
	here    []string // other members, in order
	spreads Time
	counts  map[string]uint64
}

// New makes a scheduler without memory. The terms have been checked.
func New(t Config, now Time) *Core {
	c := &Core{t: t, rand: rand.New(rand.NewPCG(t.Seed, t.Nonce^0x636f70696573)), now: now,
		voters: map[string]Incarnation{}, former: map[string]Incarnation{}, looks: map[string]*look{},
		records: map[string]*Record{}, byDigest: map[uint64]*Record{}, fetching: map[uint64]Time{}, first: 1,
		ages: map[Time][]*Record{}, oldest: secondOf(now),
		wants: map[uint64]*want{}, mine: map[uint64]*want{}, tells: map[uint64]*told{}, gone: map[string]bool{}, counts: map[string]uint64{}}
	c.goBy(replicaset.Configured(t.Replicas))
	return c
}

// goBy goes by a set.
func (c *Core) goBy(s replicaset.Set) {
	c.set, c.all, c.epoch = s, s.Members(), s.ID()
	c.keeper = slices.Contains(c.all, c.t.Name)
}

// AdoptStored goes by a set that lasted. It is called before Restore and the first input.
func (c *Core) AdoptStored(s replicaset.Set) {
	if s.Supersedes(c.set) {
		c.goBy(s)
	}
}

// Restore says that records last from now on, and brings those that were kept as a life of this keeper; a zero one for a place that is
// new. A host calls it before the first input.
func (c *Core) Restore(records []Record, kept Incarnation, seen []ReplicationCursor) {
	if c.kept = kept; kept != (Incarnation{}) {
		c.seen = seen
	}
	c.lasting = false // they stand there already
	for _, r := range records {
		if c.valid(r) && Time(r.Age) < c.t.Retention/second {
			c.learn(r, max(c.now, 1))
		}
	}
	c.lasting = true
}

// loseDisk gives up this keeper's vote. What it granted to its own claims and could not put down does not count: it would be forgotten.
func (c *Core) loseDisk(in PersistFailed) {
	c.voting, c.own, c.ready, c.unkept = false, false, false, true
	for _, w := range c.wants {
		if slices.Contains(in.Keys, w.Key) {
			delete(w.answers, c.t.Name)
		}
	}
	c.do(Event{"has no vote: its records do not last", ""})
}

// restored goes on with a place where records last, after a time without one. What came to be known meanwhile is put there.
func (c *Core) restored(in StateReloaded) {
	c.unkept = false
	c.Restore(in.Records, in.Incarnation, in.Cursors)
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		c.do(Persist{c.aged(c.records[key])})
	}
}

// SetID names the set of keepers.
func (c *Core) SetID() uint64 { return c.epoch }

// Set is the set that is gone by.
func (c *Core) Set() replicaset.Set { return c.set }

func (c *Core) do(e Effect) { c.out = append(c.out, e) }

func (c *Core) count(what string) { c.counts[what]++ }

// send sends a message; one to this process itself is heard at once.
func (c *Core) send(to string, x Message) {
	x.SetID = c.epoch
	if to == c.t.Name {
		c.hear(MessageReceived{to, x})
		return
	}
	c.do(Send{to, x})
}

// Step takes an input and returns what to do. Times never go back.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now, c.out = max(now, c.now), c.out[:0:0]
	switch in := in.(type) {
	case MessageReceived:
		if in.From != c.t.Name {
			c.hear(in)
		}
	case ClaimRequest:
		c.want(in)
	case OpEnded:
		c.end(in)
	case MayHaveRun:
		c.ran(in)
	case Membership:
		c.serve(in)
	case AdoptSet:
		c.adopt(in.Set)
	case PersistFailed:
		c.loseDisk(in)
	case StateReloaded:
		c.restored(in)
	case PeerStatus:
		c.lost(in)
	}
	c.timers()
	return c.out
}

// lost notes who is gone and who is here.
func (c *Core) lost(in PeerStatus) {
	at, known := slices.BinarySearch(c.here, in.Name)
	switch {
	case in.Dead:
		if c.gone[in.Name] = true; known {
			c.here = slices.Delete(c.here, at, at+1)
		}
		return
	case !known && len(c.here) < mostHere:
		c.here = slices.Insert(c.here, at, in.Name)
	}
	if delete(c.gone, in.Name); c.set.GroupID != 0 {
		c.inForce(in.Name) // it may go by its file
	}
}

// spread tells somebody by chance which set is in force, every now and then: one that was told nothing may go by its file for good.
func (c *Core) spread() {
	if c.set.GroupID != 0 && c.keeper && c.now >= c.spreads && len(c.here) > 0 {
		c.spreads = c.now + second
		c.inForce(c.here[c.rand.IntN(len(c.here))])
	}
}

// serve begins or ends a time as a member. A process that is none has no vote; one that is back as the same life has kept its memory.
func (c *Core) serve(in Membership) {
	if !in.Serving {
		c.serving = false
		return
	}
	life := Incarnation{in.Generation, in.Nonce}
	if in.Nonce == 0 {
		life.Nonce = c.t.Nonce
	}
	if c.serving = true; life == c.life {
		return
	}
	c.life, c.voting, c.since = life, false, 0
	c.ready, c.own = false, false
	for _, k := range c.all {
		if k != c.t.Name {
			c.looks[k] = &look{next: c.now}
		}
	}
	for _, s := range c.seen { // it knows that with what lasts; no later life of this process knows less
		if l := c.looks[s.Replica]; l != nil {
			l.of, l.since = s.Incarnation, s.Position
		}
	}
	c.seen = nil
	if c.keeper {
		c.voters[c.t.Name] = life
		c.do(Event{"has no vote until it has caught up", ""})
	}
}

// want begins to ask for an op.
func (c *Core) want(in ClaimRequest) {
	w := &want{ClaimRequest: in, claim: Claim{c.t.Name, c.rand.Uint64()}, until: c.now + min(in.Timeout, c.t.QuorumTimeout), asked: c.now, answers: map[string]answer{}}
	switch {
	case len(c.wants) >= mostWants || len(in.Key) > longKey || in.Key == "":
		c.count("no room to ask")
		c.do(ClaimDecided{RequestID: in.RequestID, Result: NoQuorum, Reason: CapacityReached})
		return
	case !c.serving:
		c.count("asked while no member")
		c.do(ClaimDecided{RequestID: in.RequestID, Result: NoQuorum, Reason: NoVote})
		return
	}
	c.wants[in.RequestID] = w
	c.ask(w)
}

// ask asks all keepers that have not answered.
func (c *Core) ask(w *want) {
	w.next = c.now + c.t.RetryInterval
	for _, k := range c.all {
		if a, ok := w.answers[k]; !ok || !a.granted && a.why != AlreadyClaimed {
			c.send(k, Message{Kind: ClaimRequested, RequestID: w.wire(), Record: Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{c.fateOf(w)}}})
		}
		if c.wants[w.RequestID] != w {
			return // decided by this process's own vote
		}
	}
}

// wire is the ticket of what is asked now: an answer to a claim is none to the one that came in its place.
func (w *want) wire() uint64 {
	if w.bound != "" {
		return w.RequestID | boundTicket
	}
	return w.RequestID
}

// fateOf is a want's claim as it is asked for.
func (c *Core) fateOf(w *want) Outcome {
	f := Outcome{Claim: w.claim, Stage: Claimed, Group: w.bound}
	if w.bound != "" {
		f.Age = uint64(max(c.now-w.first, 0))
	}
	return f
}

// granted tells whether a majority has granted it: one of each part, while keepers change. The vote of a process whose place another has
// taken, by the word of a keeper among those that granted, does not count.
func (c *Core) granted(w *want) bool {
	newest := map[string]Incarnation{}
	for _, a := range w.answers {
		if a.granted {
			for _, v := range a.voters {
				if v.Incarnation.compare(newest[v.Name]) > 0 {
					newest[v.Name] = v.Incarnation
				}
			}
		}
	}
	return c.set.HasMajority(func(k string) bool {
		a := w.answers[k]
		return a.granted && a.life.compare(newest[k]) >= 0
	})
}

// judge decides a want as soon as the answers allow it.
func (c *Core) judge(w *want, last bool) {
	if c.granted(w) && c.now < w.until {
		delete(c.wants, w.RequestID)
		c.mine[w.RequestID] = w
		c.count("granted")
		c.do(ClaimDecided{RequestID: w.RequestID, Result: Granted, Outcome: c.fateOf(w)})
		return
	}
	why := RefusalReason(0)
	all := Record{Key: w.Key, Fingerprint: w.Fingerprint}
	other := false
	for _, k := range c.all {
		a, ok := w.answers[k]
		if !ok || a.granted {
			continue
		}
		if why = max(why, a.why); a.why == AlreadyClaimed {
			other = other || a.record.Fingerprint != w.Fingerprint
			all, _ = Join(all, a.record)
		}
	}
	mayYet := c.set.HasMajority(func(k string) bool {
		a, ok := w.answers[k]
		return !ok || a.granted || a.why != AlreadyClaimed
	})
	if !last && mayYet && c.now < w.until {
		if end, ok := all.ended(); !ok || !end.ResultRetained {
			return // a majority may still be had
		}
	}
	if c.bind(w, &all, other) {
		return
	}
	delete(c.wants, w.RequestID)
	c.release(w, w.RequestID)
	d := ClaimDecided{RequestID: w.RequestID, Result: NoQuorum, Reason: why}
	if end, ok := all.ended(); other {
		d.Result = FingerprintMismatch
	} else if ok {
		if d.Result, d.Outcome = AlreadyEnded, end; end.ResultRetained {
			d.Result = AlreadyAnswered
		}
	} else if f, ok := all.stands(w.claim); ok {
		if d.Result, d.Outcome = InProgress, f; !c.runs(w, &all) {
			d.Result = OutcomeUnknown
		}
	}
	c.count(d.Result.String())
	c.do(d)
}

// runs tells whether another scheduler that is here has the op.
func (c *Core) runs(w *want, all *Record) bool {
	return slices.ContainsFunc(all.Outcomes, func(f Outcome) bool { return f.Stage == Claimed && f.Claim != w.claim && !c.gone[f.Scheduler] })
}

// bind asks for an op anew that may have run for a scheduler that is gone or has given it up, bound to the group where it did, while that
// drops repeats. It tells whether it does. An age that is answered was true at some moment after this was asked: so the way of the answer is in it.
func (c *Core) bind(w *want, all *Record, other bool) bool {
	f, stands := all.stands(w.claim)
	if _, ended := all.ended(); w.Window == 0 || w.bound != "" || other || ended || !stands || c.runs(w, all) || !all.bound(w.claim, f.Group) {
		return false
	}
	first := c.now
	for _, f := range all.Outcomes {
		if f.stands() && f.Claim != w.claim {
			if f.Age == 0 {
				return false
			}
			first = min(first, w.asked-Time(min(f.Age, maxAge)))
		}
	}
	if c.now-first >= w.Window || c.now >= w.until {
		return false
	}
	c.release(w, w.RequestID|boundTicket)
	w.claim, w.bound, w.first = Claim{c.t.Name, c.rand.Uint64()}, f.Group, first
	clear(w.answers)
	c.count("bound to a group")
	c.ask(w)
	return true
}

// ran has the keepers know where a granted op may have run. Nothing waits for that: without it nobody goes on with the op.
func (c *Core) ran(in MayHaveRun) {
	w := c.mine[in.RequestID]
	if w == nil || w.bound != "" || in.Group == "" {
		return
	}
	w.bound, w.first = in.Group, c.now
	c.tellThose(in.RequestID|ranTicket, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{c.fateOf(w)}}, map[string]bool{}, w.answers)
}

// release has the keepers know that a claim is not used. One that has refused it has nothing to release.
func (c *Core) release(w *want, ticket uint64) {
	refused := map[string]bool{}
	for k, a := range w.answers {
		if !a.granted {
			refused[k] = true
		}
	}
	c.tell(ticket, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{{Claim: w.claim, Stage: Released}}}, refused)
}

// end has the keepers know what became of an op.
func (c *Core) end(in OpEnded) {
	w := c.mine[in.RequestID]
	if w == nil {
		return
	}
	delete(c.mine, in.RequestID)
	if in.NeverRan {
		c.release(w, w.RequestID)
		return
	}
	if in.Abandoned {
		f := c.fateOf(w)
		f.Stage = Abandoned
		c.tell(in.RequestID, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{f}}, map[string]bool{})
		return
	}
	c.tell(in.RequestID, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{{Claim: w.claim, Stage: Ended, Verdict: in.Verdict, Result: in.Result,
		ResultRetained: in.ResultRetained}}}, map[string]bool{})
}

// tell has those keepers know of a fate that need to.
func (c *Core) tell(ticket uint64, r Record, known map[string]bool) {
	c.tellThose(ticket, r, known, nil)
}

func (c *Core) tellThose(ticket uint64, r Record, known map[string]bool, granted map[string]answer) {
	if c.toldAll(known) {
		return
	}
	if len(c.tells) >= mostWants {
		c.count("no room to tell") // the claim goes on standing: nobody pushes what may have run
		return
	}
	t := &told{ticket: ticket, record: r, known: known, granted: granted}
	c.tells[ticket] = t
	c.tellOn(t)
}

func (c *Core) tellOn(t *told) {
	t.times++
	t.next = c.now + c.t.RetryInterval*Time(min(t.times, 10))
	for _, k := range c.all {
		if !t.known[k] {
			x := Message{Kind: OutcomeReported, RequestID: t.ticket, Record: t.record}
			if a := t.granted[k]; a.granted {
				x.LogIncarnation, x.After = a.life, a.at
			}
			c.send(k, x)
		}
	}
	if c.toldAll(t.known) || t.times >= tellTimes && c.set.HasMajority(func(k string) bool { return t.known[k] }) || t.times >= 4*tellTimes {
		delete(c.tells, t.ticket)
	}
}

// toldAll tells whether all keepers that are in force know.
func (c *Core) toldAll(known map[string]bool) bool {
	return replicaset.Count(c.all, func(k string) bool { return known[k] }) == len(c.all)
}

// NextTick is when a Tick is due.
func (c *Core) NextTick() Time {
	at := c.now + second
	for _, w := range c.wants {
		at = min(at, w.next, w.until)
	}
	for _, t := range c.tells {
		at = min(at, t.next)
	}
	if c.keeper && c.serving {
		for _, l := range c.looks {
			at = min(at, l.next)
		}
	}
	return max(at, c.now+1)
}

// timers does what is due.
func (c *Core) timers() {
	for _, ticket := range due(c.wants, func(w *want) bool { return c.now >= min(w.next, w.until) }) {
		if w := c.wants[ticket]; c.now >= w.until {
			c.judge(w, true)
		} else {
			c.ask(w)
		}
	}
	for _, ticket := range due(c.tells, func(t *told) bool { return c.now >= t.next }) {
		if t := c.tells[ticket]; t != nil {
			c.tellOn(t)
		}
	}
	c.keep()
	c.spread()
	c.forget()
}

// due are the tickets that are, in order.
func due[T any](all map[uint64]T, is func(T) bool) (tickets []uint64) {
	for ticket, x := range all {
		if is(x) {
			tickets = append(tickets, ticket)
		}
	}
	slices.Sort(tickets)
	return tickets
}

// Status is what staff see.
type Status struct {
	SetID            string            `json:"epoch"`
	Epoch            uint64            `json:"turn"` // of the agreement; 0: by the file
	Replicas         []string          `json:"keepers"`
	PreviousReplicas []string          `json:"before,omitempty"` // keepers that count as well, until the new ones know what they know
	Ready            bool              `json:"ready,omitempty"`  // meanwhile: this keeper does
	IsReplica        bool              `json:"keeper"`
	Voting           bool              `json:"voting"`
	Records          int               `json:"records"`
	Bytes            int               `json:"bytes"`
	PendingClaims    int               `json:"asking"` // ops without an outcome yet
	GrantedClaims    int               `json:"mine"`   // granted, and not ended
	PendingReports   int               `json:"telling"`
	Peers            []PeerProgress    `json:"looks"`
	Digest           string            `json:"digest"`
	Counts           map[string]uint64 `json:"counts"`
}

// PeerProgress is how another keeper is known.
type PeerProgress struct {
	Replica  string `json:"keeper"`
	Position uint64 `json:"since"` // position up to which its changes are known
	Voting   bool   `json:"voting"`
	CaughtUp bool   `json:"caught_up"`
}

// Status is the state as of now.
func (c *Core) Status() Status {
	s := Status{SetID: fmt.Sprintf("%016x", c.epoch), Epoch: c.set.Epoch, Replicas: c.set.New, PreviousReplicas: c.set.Old, Ready: c.ready,
		IsReplica: c.keeper, Voting: c.voting && c.serving, Records: len(c.records),
		Bytes: c.size, PendingClaims: len(c.wants), GrantedClaims: len(c.mine), PendingReports: len(c.tells), Digest: fmt.Sprintf("%016x", c.Digest()),
		Counts: map[string]uint64{}, Peers: []PeerProgress{}}
	for _, k := range c.all {
		if l := c.looks[k]; l != nil {
			s.Peers = append(s.Peers, PeerProgress{k, l.since, l.voting, !l.more})
		}
	}
	for k, v := range c.counts {
		s.Counts[k] = v
	}
	return s
}

// Digest is the same for two keepers that hold the same fates.
func (c *Core) Digest() uint64 { return c.digest }

// Lookup is a record as it stands here, for staff.
func (c *Core) Lookup(key string) (Record, bool) {
	r, ok := c.records[key]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Page is some of the records, in order of their keys after one. It sorts no more than it shows: ops wait for it.
func (c *Core) Page(after string, most int) (page []Record) {
	keys := make([]string, 0, most+1)
	for k := range c.records {
		if k <= after || len(keys) == most && k > keys[most-1] {
			continue
		}
		i, _ := slices.BinarySearch(keys, k)
		if keys = slices.Insert(keys, i, k); len(keys) > most {
			keys = keys[:most]
		}
	}
	for _, k := range keys {
		page = append(page, *c.records[k])
	}
	return page
}
