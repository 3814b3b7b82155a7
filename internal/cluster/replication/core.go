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
	maxClaimsPerOp    = 16   // of one op: beyond them it is refused; released ones that others knew come on top
	maxPendingClaims  = 4096 // wants without an outcome, and ends that no majority knows yet, each
	maxAliveMembers   = 4096
	groupReportFlag   = 1 << 63 // tells of where apart from tells of an end
	boundClaimFlag    = 1 << 62 // the ticket of a want, once it is bound
	maxReportAttempts = 50      // an end is told so often before it is left to the keepers' own looks
	fetchedPageBytes  = 1200    // bytes of records in a message, by estimate
	digestsPerPage    = 128
	catchUpBurst      = 5 * ms // by so much what is asked for may run ahead of its rate
	digestsPerFetch   = 24     // as many as may fit an answer: the rest may be had from another keeper meanwhile
	maxReplicas       = replicaset.MaxReplicas
	maxNameBytes      = 512
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

// claimAnswer is what a keeper said to one want.
type claimAnswer struct {
	granted     bool
	incarnation Incarnation
	voters      []Voter
	reason      RefusalReason
	record      Record
	grantedAt   uint64 // by its own clock
}

// activeClaim is an op that this scheduler asks for.
type activeClaim struct {
	ClaimRequest
	claim       Claim
	group       string // the group that it is bound to, where it ran for another scheduler
	firstRun    Time   // beside it: it did not run before
	requestedAt Time
	deadline    Time
	nextRetry   Time
	answers     map[string]claimAnswer
}

// outcomeReport is a fate that is being told to the keepers.
type outcomeReport struct {
	requestID    uint64
	record       Record
	acknowledged map[string]bool
	grants       map[string]claimAnswer // of a word that it may have run: what was granted before that
	attempts     int
	nextRetry    Time
}

// peerState is how far another keeper's changes are known here.
type peerState struct {
	incarnation          Incarnation
	position             uint64 // all up to there is known here
	pagePosition         uint64 // and all up to there, once what it lacks has come
	missing              []uint64
	requested            []uint64 // what is being fetched from it
	awaitsOther          bool     // for what another keeper was asked for
	cursorChanged        bool     // since has moved on, which has not been put where records last
	rateFreeAt           Time     // when the next may be asked for
	nextSend             Time
	more                 bool
	registeredAs         Incarnation // as which this process is known there
	voting               bool
	ready                bool // by its own word
	caughtUp             bool // its changes up to the registration are known
	registrationPosition uint64
}

// Core is one process's part: it asks for ops, and it is a keeper if its name is one's.
type Core struct {
	config              Config
	random              *rand.Rand
	now                 Time
	effects             []Effect
	set                 replicaset.Set
	members             []string // of the set, once each
	setID               uint64
	votingSinceAdoption bool // it had its vote when the set came into force, and has had it since
	ready               bool // of a new set, while the old one counts as well: this keeper knows what those knew

	isReplica            bool
	serving              bool
	incarnation          Incarnation
	voting               bool
	registeredSince      Time // as this life, registered with enough others; 0 before
	voters               map[string]Incarnation
	formerVoters         map[string]Incarnation // who voted before each of them
	durable              bool                   // records last: Keep and Drop are asked for
	persistedIncarnation Incarnation            // as which life those were kept that came from there; none for a new place, or one that can't be believed
	persistedCursors     []ReplicationCursor    // likewise
	persistFailed        bool
	peers                map[string]*peerState

	records       map[string]*Record
	fetching      map[uint64]Time // digests that are being fetched from some keeper, and until when no other is asked
	byDigest      map[uint64]*Record
	changes       []*Record // by pos; nil where a record has moved on
	firstPosition uint64    // pos of the first of order
	position      uint64
	recordBytes   int
	digest        uint64             // of all records, kept as they change: staff who look must not hold up the ops
	bySecond      map[Time][]*Record // by the second in which they were first heard of
	oldestSecond  Time               // of those seconds

	pendingClaims  map[uint64]*activeClaim
	grantedClaims  map[uint64]*activeClaim // granted, and not ended
	outcomeReports map[uint64]*outcomeReport
	deadMembers    map[string]bool
	aliveMembers   []string // other members, in order
	nextSetGossip  Time
	counts         map[string]uint64
}

// New makes a scheduler without memory. The terms have been checked.
func New(t Config, now Time) *Core {
	c := &Core{config: t, random: rand.New(rand.NewPCG(t.Seed, t.Nonce^0x636f70696573)), now: now,
		voters: map[string]Incarnation{}, formerVoters: map[string]Incarnation{}, peers: map[string]*peerState{},
		records: map[string]*Record{}, byDigest: map[uint64]*Record{}, fetching: map[uint64]Time{}, firstPosition: 1,
		bySecond: map[Time][]*Record{}, oldestSecond: secondOf(now),
		pendingClaims: map[uint64]*activeClaim{}, grantedClaims: map[uint64]*activeClaim{}, outcomeReports: map[uint64]*outcomeReport{}, deadMembers: map[string]bool{}, counts: map[string]uint64{}}
	c.useSet(replicaset.Configured(t.Replicas))
	return c
}

// useSet goes by a set.
func (c *Core) useSet(s replicaset.Set) {
	c.set, c.members, c.setID = s, s.Members(), s.ID()
	c.isReplica = slices.Contains(c.members, c.config.Name)
}

// AdoptStored goes by a set that lasted. It is called before Restore and the first input.
func (c *Core) AdoptStored(s replicaset.Set) {
	if s.Supersedes(c.set) {
		c.useSet(s)
	}
}

// Restore says that records last from now on, and brings those that were kept as a life of this keeper; a zero one for a place that is
// new. A host calls it before the first input.
func (c *Core) Restore(records []Record, kept Incarnation, seen []ReplicationCursor) {
	if c.persistedIncarnation = kept; kept != (Incarnation{}) {
		c.persistedCursors = seen
	}
	c.durable = false // they stand there already
	for _, r := range records {
		if c.valid(r) && Time(r.Age) < c.config.Retention/second {
			c.mergeRecord(r, max(c.now, 1))
		}
	}
	c.durable = true
}

// handlePersistFailed gives up this keeper's vote. What it granted to its own claims and could not put down does not count: it would be forgotten.
func (c *Core) handlePersistFailed(in PersistFailed) {
	c.voting, c.votingSinceAdoption, c.ready, c.persistFailed = false, false, false, true
	for _, w := range c.pendingClaims {
		if slices.Contains(in.Keys, w.Key) {
			delete(w.answers, c.config.Name)
		}
	}
	c.emit(Event{"has no vote: its records do not last", ""})
}

// handleStateReloaded goes on with a place where records last, after a time without one. What came to be known meanwhile is put there.
func (c *Core) handleStateReloaded(in StateReloaded) {
	c.persistFailed = false
	c.Restore(in.Records, in.Incarnation, in.Cursors)
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		c.emit(Persist{c.withAges(c.records[key])})
	}
}

// SetID names the set of keepers.
func (c *Core) SetID() uint64 { return c.setID }

// Set is the set that is gone by.
func (c *Core) Set() replicaset.Set { return c.set }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) count(what string) { c.counts[what]++ }

// send sends a message; one to this process itself is heard at once.
func (c *Core) send(to string, x Message) {
	x.SetID = c.setID
	if to == c.config.Name {
		c.handleMessage(MessageReceived{to, x})
		return
	}
	c.emit(Send{to, x})
}

// Step takes an input and returns what to do. Times never go back.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now, c.effects = max(now, c.now), c.effects[:0:0]
	switch in := in.(type) {
	case MessageReceived:
		if in.From != c.config.Name {
			c.handleMessage(in)
		}
	case ClaimRequest:
		c.handleClaimRequest(in)
	case OpEnded:
		c.handleOpEnded(in)
	case MayHaveRun:
		c.handleMayHaveRun(in)
	case Membership:
		c.handleMembership(in)
	case AdoptSet:
		c.adoptSet(in.Set)
	case PersistFailed:
		c.handlePersistFailed(in)
	case StateReloaded:
		c.handleStateReloaded(in)
	case PeerStatus:
		c.handlePeerStatus(in)
	}
	c.runTimers()
	return c.effects
}

// handlePeerStatus notes who is gone and who is here.
func (c *Core) handlePeerStatus(in PeerStatus) {
	at, known := slices.BinarySearch(c.aliveMembers, in.Name)
	switch {
	case in.Dead:
		if c.deadMembers[in.Name] = true; known {
			c.aliveMembers = slices.Delete(c.aliveMembers, at, at+1)
		}
		return
	case !known && len(c.aliveMembers) < maxAliveMembers:
		c.aliveMembers = slices.Insert(c.aliveMembers, at, in.Name)
	}
	if delete(c.deadMembers, in.Name); c.set.GroupID != 0 {
		c.sendSetInForce(in.Name) // it may go by its file
	}
}

// gossipSet tells somebody by chance which set is in force, every now and then: one that was told nothing may go by its file for good.
func (c *Core) gossipSet() {
	if c.set.GroupID != 0 && c.isReplica && c.now >= c.nextSetGossip && len(c.aliveMembers) > 0 {
		c.nextSetGossip = c.now + second
		c.sendSetInForce(c.aliveMembers[c.random.IntN(len(c.aliveMembers))])
	}
}

// handleMembership begins or ends a time as a member. A process that is none has no vote; one that is back as the same life has kept its memory.
func (c *Core) handleMembership(in Membership) {
	if !in.Serving {
		c.serving = false
		return
	}
	life := Incarnation{in.Generation, in.Nonce}
	if in.Nonce == 0 {
		life.Nonce = c.config.Nonce
	}
	if c.serving = true; life == c.incarnation {
		return
	}
	c.incarnation, c.voting, c.registeredSince = life, false, 0
	c.ready, c.votingSinceAdoption = false, false
	for _, k := range c.members {
		if k != c.config.Name {
			c.peers[k] = &peerState{nextSend: c.now}
		}
	}
	for _, s := range c.persistedCursors { // it knows that with what lasts; no later life of this process knows less
		if l := c.peers[s.Replica]; l != nil {
			l.incarnation, l.position = s.Incarnation, s.Position
		}
	}
	c.persistedCursors = nil
	if c.isReplica {
		c.voters[c.config.Name] = life
		c.emit(Event{"has no vote until it has caught up", ""})
	}
}

// handleClaimRequest begins to ask for an op.
func (c *Core) handleClaimRequest(in ClaimRequest) {
	w := &activeClaim{ClaimRequest: in, claim: Claim{c.config.Name, c.random.Uint64()}, deadline: c.now + min(in.Timeout, c.config.QuorumTimeout), requestedAt: c.now, answers: map[string]claimAnswer{}}
	switch {
	case len(c.pendingClaims) >= maxPendingClaims || len(in.Key) > maxNameBytes || in.Key == "":
		c.count("no room to ask")
		c.emit(ClaimDecided{RequestID: in.RequestID, Result: NoQuorum, Reason: CapacityReached})
		return
	case !c.serving:
		c.count("asked while no member")
		c.emit(ClaimDecided{RequestID: in.RequestID, Result: NoQuorum, Reason: NoVote})
		return
	}
	c.pendingClaims[in.RequestID] = w
	c.requestGrants(w)
}

// requestGrants asks all keepers that have not answered.
func (c *Core) requestGrants(w *activeClaim) {
	w.nextRetry = c.now + c.config.RetryInterval
	for _, k := range c.members {
		if a, ok := w.answers[k]; !ok || !a.granted && a.reason != AlreadyClaimed {
			c.send(k, Message{Kind: ClaimRequested, RequestID: w.wireID(), Record: Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{c.claimedOutcome(w)}}})
		}
		if c.pendingClaims[w.RequestID] != w {
			return // decided by this process's own vote
		}
	}
}

// wireID is the ticket of what is asked now: an answer to a claim is none to the one that came in its place.
func (w *activeClaim) wireID() uint64 {
	if w.group != "" {
		return w.RequestID | boundClaimFlag
	}
	return w.RequestID
}

// claimedOutcome is a want's claim as it is asked for.
func (c *Core) claimedOutcome(w *activeClaim) Outcome {
	f := Outcome{Claim: w.claim, Stage: Claimed, Group: w.group}
	if w.group != "" {
		f.Age = uint64(max(c.now-w.firstRun, 0))
	}
	return f
}

// hasMajority tells whether a majority has granted it: one of each part, while keepers change. The vote of a process whose place another has
// taken, by the word of a keeper among those that granted, does not count.
func (c *Core) hasMajority(w *activeClaim) bool {
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
		return a.granted && a.incarnation.compare(newest[k]) >= 0
	})
}

// evaluate decides a want as soon as the answers allow it.
func (c *Core) evaluate(w *activeClaim, last bool) {
	if c.hasMajority(w) && c.now < w.deadline {
		delete(c.pendingClaims, w.RequestID)
		c.grantedClaims[w.RequestID] = w
		c.count("granted")
		c.emit(ClaimDecided{RequestID: w.RequestID, Result: Granted, Outcome: c.claimedOutcome(w)})
		return
	}
	why := RefusalReason(0)
	all := Record{Key: w.Key, Fingerprint: w.Fingerprint}
	other := false
	for _, k := range c.members {
		a, ok := w.answers[k]
		if !ok || a.granted {
			continue
		}
		if why = max(why, a.reason); a.reason == AlreadyClaimed {
			other = other || a.record.Fingerprint != w.Fingerprint
			all, _ = Join(all, a.record)
		}
	}
	mayYet := c.set.HasMajority(func(k string) bool {
		a, ok := w.answers[k]
		return !ok || a.granted || a.reason != AlreadyClaimed
	})
	if !last && mayYet && c.now < w.deadline {
		if end, ok := all.ending(); !ok || !end.ResultRetained {
			return // a majority may still be had
		}
	}
	if c.bindToGroup(w, &all, other) {
		return
	}
	delete(c.pendingClaims, w.RequestID)
	c.release(w, w.RequestID)
	d := ClaimDecided{RequestID: w.RequestID, Result: NoQuorum, Reason: why}
	if end, ok := all.ending(); other {
		d.Result = FingerprintMismatch
	} else if ok {
		if d.Result, d.Outcome = AlreadyEnded, end; end.ResultRetained {
			d.Result = AlreadyAnswered
		}
	} else if f, ok := all.standing(w.claim); ok {
		if d.Result, d.Outcome = InProgress, f; !c.inProgressElsewhere(w, &all) {
			d.Result = OutcomeUnknown
		}
	}
	c.count(d.Result.String())
	c.emit(d)
}

// inProgressElsewhere tells whether another scheduler that is here has the op.
func (c *Core) inProgressElsewhere(w *activeClaim, all *Record) bool {
	return slices.ContainsFunc(all.Outcomes, func(f Outcome) bool { return f.Stage == Claimed && f.Claim != w.claim && !c.deadMembers[f.Scheduler] })
}

// bindToGroup asks for an op anew that may have run for a scheduler that is gone or has given it up, bound to the group where it did, while that
// drops repeats. It tells whether it does. An age that is answered was true at some moment after this was asked: so the way of the answer is in it.
func (c *Core) bindToGroup(w *activeClaim, all *Record, other bool) bool {
	f, stands := all.standing(w.claim)
	if _, ended := all.ending(); w.Window == 0 || w.group != "" || other || ended || !stands || c.inProgressElsewhere(w, all) || !all.standsOnlyIn(w.claim, f.Group) {
		return false
	}
	first := c.now
	for _, f := range all.Outcomes {
		if f.stands() && f.Claim != w.claim {
			if f.Age == 0 {
				return false
			}
			first = min(first, w.requestedAt-Time(min(f.Age, maxAgeTenths)))
		}
	}
	if c.now-first >= w.Window || c.now >= w.deadline {
		return false
	}
	c.release(w, w.RequestID|boundClaimFlag)
	w.claim, w.group, w.firstRun = Claim{c.config.Name, c.random.Uint64()}, f.Group, first
	clear(w.answers)
	c.count("bound to a group")
	c.requestGrants(w)
	return true
}

// handleMayHaveRun has the keepers know where a granted op may have run. Nothing waits for that: without it nobody goes on with the op.
func (c *Core) handleMayHaveRun(in MayHaveRun) {
	w := c.grantedClaims[in.RequestID]
	if w == nil || w.group != "" || in.Group == "" {
		return
	}
	w.group, w.firstRun = in.Group, c.now
	c.reportOutcomeWithGrants(in.RequestID|groupReportFlag, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{c.claimedOutcome(w)}}, map[string]bool{}, w.answers)
}

// release has the keepers know that a claim is not used. One that has refused it has nothing to release.
func (c *Core) release(w *activeClaim, ticket uint64) {
	refused := map[string]bool{}
	for k, a := range w.answers {
		if !a.granted {
			refused[k] = true
		}
	}
	c.reportOutcome(ticket, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{{Claim: w.claim, Stage: Released}}}, refused)
}

// handleOpEnded has the keepers know what became of an op.
func (c *Core) handleOpEnded(in OpEnded) {
	w := c.grantedClaims[in.RequestID]
	if w == nil {
		return
	}
	delete(c.grantedClaims, in.RequestID)
	if in.NeverRan {
		c.release(w, w.RequestID)
		return
	}
	if in.Abandoned {
		f := c.claimedOutcome(w)
		f.Stage = Abandoned
		c.reportOutcome(in.RequestID, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{f}}, map[string]bool{})
		return
	}
	c.reportOutcome(in.RequestID, Record{Key: w.Key, Fingerprint: w.Fingerprint, Outcomes: []Outcome{{Claim: w.claim, Stage: Ended, Verdict: in.Verdict, Result: in.Result,
		ResultRetained: in.ResultRetained}}}, map[string]bool{})
}

// reportOutcome has those keepers know of a fate that need to.
func (c *Core) reportOutcome(ticket uint64, r Record, known map[string]bool) {
	c.reportOutcomeWithGrants(ticket, r, known, nil)
}

func (c *Core) reportOutcomeWithGrants(ticket uint64, r Record, known map[string]bool, granted map[string]claimAnswer) {
	if c.allAcknowledged(known) {
		return
	}
	if len(c.outcomeReports) >= maxPendingClaims {
		c.count("no room to tell") // the claim goes on standing: nobody pushes what may have run
		return
	}
	t := &outcomeReport{requestID: ticket, record: r, acknowledged: known, grants: granted}
	c.outcomeReports[ticket] = t
	c.sendReport(t)
}

func (c *Core) sendReport(t *outcomeReport) {
	t.attempts++
	t.nextRetry = c.now + c.config.RetryInterval*Time(min(t.attempts, 10))
	for _, k := range c.members {
		if !t.acknowledged[k] {
			x := Message{Kind: OutcomeReported, RequestID: t.requestID, Record: t.record}
			if a := t.grants[k]; a.granted {
				x.LogIncarnation, x.After = a.incarnation, a.grantedAt
			}
			c.send(k, x)
		}
	}
	if c.allAcknowledged(t.acknowledged) || t.attempts >= maxReportAttempts && c.set.HasMajority(func(k string) bool { return t.acknowledged[k] }) || t.attempts >= 4*maxReportAttempts {
		delete(c.outcomeReports, t.requestID)
	}
}

// allAcknowledged tells whether all keepers that are in force know.
func (c *Core) allAcknowledged(known map[string]bool) bool {
	return replicaset.Count(c.members, func(k string) bool { return known[k] }) == len(c.members)
}

// NextTick is when a Tick is due.
func (c *Core) NextTick() Time {
	at := c.now + second
	for _, w := range c.pendingClaims {
		at = min(at, w.nextRetry, w.deadline)
	}
	for _, t := range c.outcomeReports {
		at = min(at, t.nextRetry)
	}
	if c.isReplica && c.serving {
		for _, l := range c.peers {
			at = min(at, l.nextSend)
		}
	}
	return max(at, c.now+1)
}

// runTimers does what is due.
func (c *Core) runTimers() {
	for _, ticket := range due(c.pendingClaims, func(w *activeClaim) bool { return c.now >= min(w.nextRetry, w.deadline) }) {
		if w := c.pendingClaims[ticket]; c.now >= w.deadline {
			c.evaluate(w, true)
		} else {
			c.requestGrants(w)
		}
	}
	for _, ticket := range due(c.outcomeReports, func(t *outcomeReport) bool { return c.now >= t.nextRetry }) {
		if t := c.outcomeReports[ticket]; t != nil {
			c.sendReport(t)
		}
	}
	c.replicate()
	c.gossipSet()
	c.expireRecords()
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
	s := Status{SetID: fmt.Sprintf("%016x", c.setID), Epoch: c.set.Epoch, Replicas: c.set.New, PreviousReplicas: c.set.Old, Ready: c.ready,
		IsReplica: c.isReplica, Voting: c.voting && c.serving, Records: len(c.records),
		Bytes: c.recordBytes, PendingClaims: len(c.pendingClaims), GrantedClaims: len(c.grantedClaims), PendingReports: len(c.outcomeReports), Digest: fmt.Sprintf("%016x", c.Digest()),
		Counts: map[string]uint64{}, Peers: []PeerProgress{}}
	for _, k := range c.members {
		if l := c.peers[k]; l != nil {
			s.Peers = append(s.Peers, PeerProgress{k, l.position, l.voting, !l.more})
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
