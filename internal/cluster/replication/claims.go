package replication

import (
	"math/rand/v2"
	"slices"
)

// claimAnswer is a replica's answer to one claim.
type claimAnswer struct {
	granted     bool
	incarnation Incarnation
	voters      []Voter
	reason      RefusalReason
	record      Record
	grantedAt   uint64 // on the replica's clock
}

// activeClaim is a claim of this scheduler that is pending, or granted with the op not ended.
type activeClaim struct {
	ClaimRequest
	claim       Claim
	process     Incarnation // that made it
	group       string      // the worker group that it is bound to, where the op may have run
	firstRun    Time        // beside group: the op did not run before
	requestedAt Time
	deadline    Time
	nextRetry   Time
	answers     map[string]claimAnswer
	requests    map[string]int // that were sent, by replica
}

// newActiveClaim makes a claim that no replica has answered.
func newActiveClaim(in ClaimRequest, claim Claim, process Incarnation, now, quorumTimeout Time) *activeClaim {
	return &activeClaim{
		ClaimRequest: in,
		claim:        claim,
		process:      process,
		requestedAt:  now,
		deadline:     now + min(in.Timeout, quorumTimeout),
		answers:      map[string]claimAnswer{},
		requests:     map[string]int{},
	}
}

// certainlyUnknownTo reports whether a replica has certainly not recorded the claim: it refused the one
// request that it was sent, and does not know the claim from other replicas. Of two requests it, or the
// process before it, may have granted the first one.
func (a *activeClaim) certainlyUnknownTo(replica string) bool {
	answer, answered := a.answers[replica]
	_, known := answer.record.find(a.claim)
	return answered && !answer.granted && a.requests[replica] == 1 && !known
}

// wireID is the request ID on the wire: an answer to a claim is none to the bound one in its place.
func (a *activeClaim) wireID() uint64 {
	if a.group != "" {
		return a.RequestID | boundClaimFlag
	}
	return a.RequestID
}

// outcome is the claim in a stage, as it is sent.
func (a *activeClaim) outcome(stage Stage, now Time) Outcome {
	o := Outcome{Claim: a.claim, Stage: stage, Group: a.group}
	if stage == Claimed {
		o.Result = encodeProcess(a.process)
	}
	if a.group != "" {
		o.Age = uint64(max(now-a.firstRun, 0))
	}
	return o
}

// record is a record of the op with one outcome.
func (a *activeClaim) record(o Outcome) Record {
	return Record{Key: a.Key, Fingerprint: a.Fingerprint, Outcomes: []Outcome{o}}
}

// newestVoters is the newest incarnation of each voter that any of the granting replicas knows.
func (a *activeClaim) newestVoters() map[string]Incarnation {
	newest := map[string]Incarnation{}
	for _, answer := range a.answers {
		if !answer.granted {
			continue
		}
		for _, v := range answer.voters {
			if v.Incarnation.compare(newest[v.Name]) > 0 {
				newest[v.Name] = v.Incarnation
			}
		}
	}
	return newest
}

// claimTable is the claims of this scheduler and the reports on them.
type claimTable struct {
	pending map[uint64]*activeClaim
	granted map[uint64]*activeClaim // until the op has ended
	reports map[uint64]*outcomeReport
}

func newClaimTable() claimTable {
	return claimTable{
		pending: map[uint64]*activeClaim{},
		granted: map[uint64]*activeClaim{},
		reports: map[uint64]*outcomeReport{},
	}
}

// nextDue is when the next retry or deadline is due, at a limit at the latest.
func (t *claimTable) nextDue(limit Time) Time {
	at := limit
	for _, claim := range t.pending {
		at = min(at, claim.nextRetry, claim.deadline)
	}
	for _, report := range t.reports {
		at = min(at, report.nextRetry)
	}
	return at
}

// newClaim draws a claim of this scheduler.
func newClaim(scheduler string, random *rand.Rand) Claim {
	return Claim{scheduler, random.Uint64()}
}

// handleClaimRequest begins a claim.
func (c *Core) handleClaimRequest(in ClaimRequest) {
	drawn := newClaim(c.config.Name, c.random)
	claim := newActiveClaim(in, drawn, c.registration.incarnation, c.now, c.config.QuorumTimeout)
	switch {
	case len(c.claims.pending) >= maxPendingClaims || len(in.Key) > maxNameBytes || in.Key == "":
		c.count(countClaimsFull)
		c.emit(ClaimDecided{RequestID: in.RequestID, Result: NoQuorum, Reason: CapacityReached})
		return
	case !c.registration.serving:
		c.count(countNotServing)
		c.emit(ClaimDecided{RequestID: in.RequestID, Result: NoQuorum, Reason: NoVote})
		return
	}
	c.claims.pending[in.RequestID] = claim
	c.requestGrants(claim)
}

// requestGrants asks all replicas that have not decided on a claim.
func (c *Core) requestGrants(claim *activeClaim) {
	claim.nextRetry = c.now + c.config.RetryInterval
	for _, name := range c.active.members {
		answer, answered := claim.answers[name]
		if !answered || !answer.granted && answer.reason != AlreadyClaimed {
			claim.requests[name]++
			record := claim.record(claim.outcome(Claimed, c.now))
			c.send(name, Message{Kind: ClaimRequested, RequestID: claim.wireID(), Record: record})
		}
		if c.claims.pending[claim.RequestID] != claim {
			return // decided by this process's own vote
		}
	}
}

// retryClaims decides on the claims whose deadline has passed, and asks again for others.
func (c *Core) retryClaims() {
	isDue := func(claim *activeClaim) bool { return c.now >= min(claim.nextRetry, claim.deadline) }
	for _, id := range dueIDs(c.claims.pending, isDue) {
		claim := c.claims.pending[id]
		if c.now >= claim.deadline {
			c.evaluate(claim, true)
		} else {
			c.requestGrants(claim)
		}
	}
}

// restartPendingClaims asks for all pending claims anew, as after a change of the set.
func (c *Core) restartPendingClaims() {
	all := func(*activeClaim) bool { return true }
	for _, id := range dueIDs(c.claims.pending, all) {
		if claim := c.claims.pending[id]; claim != nil {
			clear(claim.answers)
			c.requestGrants(claim)
		}
	}
}

// handleClaimAnswer takes a replica's answer to a claim.
func (c *Core) handleClaimAnswer(in MessageReceived) {
	claim := c.claims.pending[in.RequestID&^boundClaimFlag]
	if claim == nil || claim.wireID() != in.RequestID {
		return // or it answers the claim before it was bound
	}
	claim.answers[in.From] = claimAnswer{
		granted:     in.Kind == ClaimGranted,
		incarnation: in.Incarnation,
		voters:      in.Voters,
		reason:      in.Reason,
		record:      in.Record,
		grantedAt:   in.After,
	}
	c.evaluate(claim, false)
}

// hasMajority reports whether a majority has granted a claim: one of each part while the set is joint. The
// grant of a process does not count where another granting replica knows a later incarnation of it.
func (c *Core) hasMajority(claim *activeClaim) bool {
	newest := claim.newestVoters()
	return c.active.set.HasMajority(func(name string) bool {
		answer := claim.answers[name]
		return answer.granted && answer.incarnation.compare(newest[name]) >= 0
	})
}

// majorityPossible reports whether a majority may still grant a claim.
func (c *Core) majorityPossible(claim *activeClaim) bool {
	return c.active.set.HasMajority(func(name string) bool {
		answer, answered := claim.answers[name]
		return !answered || answer.granted || answer.reason != AlreadyClaimed
	})
}

// evaluate decides on a claim as soon as the answers allow it, and at its deadline in any case.
func (c *Core) evaluate(claim *activeClaim, atDeadline bool) {
	inTime := c.now < claim.deadline
	if inTime && c.hasMajority(claim) {
		c.grant(claim)
		return
	}
	refusals := c.refusals(claim)
	if !atDeadline && inTime && c.majorityPossible(claim) && !refusals.hasResult() {
		return
	}
	if c.bindToGroup(claim, &refusals) {
		return
	}
	delete(c.claims.pending, claim.RequestID)
	c.releaseClaim(claim, claim.RequestID)
	decided := c.decision(claim, &refusals)
	c.count(decided.Result.String())
	c.emit(decided)
}

func (c *Core) grant(claim *activeClaim) {
	delete(c.claims.pending, claim.RequestID)
	c.claims.granted[claim.RequestID] = claim
	c.count(countGranted)
	outcome := claim.outcome(Claimed, c.now)
	c.emit(ClaimDecided{RequestID: claim.RequestID, Result: Granted, Outcome: outcome})
}

// refusals is what the replicas that refused a claim have answered.
type refusals struct {
	reason       RefusalReason // the most specific one
	record       Record        // all that they know of the op
	otherRequest bool          // another request came first under this id
}

func (c *Core) refusals(claim *activeClaim) refusals {
	all := refusals{record: Record{Key: claim.Key, Fingerprint: claim.Fingerprint}}
	for _, name := range c.active.members {
		answer, answered := claim.answers[name]
		if !answered || answer.granted {
			continue
		}
		all.reason = max(all.reason, answer.reason)
		if answer.reason == AlreadyClaimed {
			all.otherRequest = all.otherRequest || answer.record.Fingerprint != claim.Fingerprint
			all.record, _ = Join(all.record, answer.record)
		}
	}
	return all
}

// hasResult reports whether the op has ended, with a result that was retained.
func (r *refusals) hasResult() bool {
	end, ended := r.record.ending()
	return ended && end.ResultRetained
}

// decision is the result of a claim without a majority.
func (c *Core) decision(claim *activeClaim, r *refusals) ClaimDecided {
	decided := ClaimDecided{RequestID: claim.RequestID, Result: NoQuorum, Reason: r.reason}
	if r.otherRequest {
		decided.Result = FingerprintMismatch
		return decided
	}
	if end, ended := r.record.ending(); ended {
		decided.Result, decided.Outcome = AlreadyEnded, end
		if end.ResultRetained {
			decided.Result = AlreadyAnswered
		}
		return decided
	}
	if other, ok := r.record.standing(claim.claim); ok {
		decided.Result, decided.Outcome = OutcomeUnknown, other
		if c.inProgressElsewhere(claim, &r.record) {
			decided.Result = InProgress
		}
	}
	return decided
}

// inProgressElsewhere reports whether a process that has not ended has another claim of the op.
func (c *Core) inProgressElsewhere(claim *activeClaim, record *Record) bool {
	return slices.ContainsFunc(record.Outcomes, func(o Outcome) bool {
		return o.Stage == Claimed && o.Claim != claim.claim && !c.members.claimerEnded(&o)
	})
}

// bindToGroup replaces a claim by one that is bound to a worker group, and reports whether it did: where the
// op may have run for schedulers that are dead or have abandoned it, in that group alone, and the group
// still drops repeats.
func (c *Core) bindToGroup(claim *activeClaim, r *refusals) bool {
	other, stands := r.record.standing(claim.claim)
	_, ended := r.record.ending()
	if claim.Window == 0 || claim.group != "" || r.otherRequest || ended || !stands {
		return false
	}
	if c.inProgressElsewhere(claim, &r.record) || !r.record.standsOnlyIn(claim.claim, other.Group) {
		return false
	}
	firstRun, known := c.earliestRun(claim, &r.record)
	if !known || c.now-firstRun >= claim.Window || c.now >= claim.deadline {
		return false
	}
	c.releaseClaim(claim, claim.RequestID|boundClaimFlag)
	claim.claim = newClaim(c.config.Name, c.random)
	claim.group, claim.firstRun = other.Group, firstRun
	clear(claim.answers)
	clear(claim.requests)
	c.count(countBound)
	c.requestGrants(claim)
	return true
}

// earliestRun is a moment before which none of the other standing claims ran; false where an age is unknown.
// An age in an answer was true at some moment after the request, so counting it from the request includes
// the time that the answer took.
func (c *Core) earliestRun(claim *activeClaim, record *Record) (first Time, known bool) {
	first = c.now
	for _, o := range record.Outcomes {
		if !o.stands() || o.Claim == claim.claim {
			continue
		}
		if o.Age == 0 {
			return 0, false
		}
		first = min(first, claim.requestedAt-Time(min(o.Age, maxAgeTenths)))
	}
	return first, true
}
