package replication

import (
	"math/rand/v2"
	"slices"
)

// claimAnswer is the answer of a replica to a claim.
type claimAnswer struct {
	granted     bool
	incarnation Incarnation
	voters      []Voter
	reason      RefusalReason
	record      Record
	grantedAt   uint64 // time on the replica's clock
}

// activeClaim is a claim of this scheduler that is pending, or that is granted and whose op has not ended.
type activeClaim struct {
	ClaimRequest
	claim        Claim
	process      Incarnation // the process that made the claim
	group        string      // worker group to which the claim is bound or in which the op may have run
	notRunBefore Time        // set with group: the op did not run before this time
	requestedAt  Time
	deadline     Time
	nextRetry    Time
	answers      map[string]claimAnswer
	requests     map[string]int // number of requests sent, by replica
}

// newActiveClaim returns a claim without any answers.
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

// certainlyUnknownTo reports whether a replica has certainly not recorded the claim: the replica was sent one
// request, refused it, and does not know the claim from other replicas. If two requests were sent, the
// replica or its former process may have granted the first one.
func (a *activeClaim) certainlyUnknownTo(replica string) bool {
	answer, answered := a.answers[replica]
	_, known := answer.record.find(a.claim)
	return answered && !answer.granted && a.requests[replica] == 1 && !known
}

// wireID returns the request ID on the wire. It differs for a bound claim, so that a late answer to the
// unbound claim does not count as an answer to the bound one.
func (a *activeClaim) wireID() uint64 {
	if a.group != "" {
		return a.RequestID | boundClaimFlag
	}
	return a.RequestID
}

// outcome returns the outcome of the claim in a stage, for a message.
func (a *activeClaim) outcome(stage Stage, now Time) Outcome {
	o := Outcome{Claim: a.claim, Stage: stage, Group: a.group}
	if stage == Claimed {
		o.Result = encodeProcess(a.process)
	}
	if a.group != "" {
		o.Age = uint64(max(now-a.notRunBefore, 0))
	}
	return o
}

// record returns a record of the op with one outcome.
func (a *activeClaim) record(o Outcome) Record {
	return Record{Key: a.Key, Fingerprint: a.Fingerprint, Outcomes: []Outcome{o}}
}

// newestVoters returns the newest incarnation of each voter that any granting replica knows.
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

// claimTable contains the claims of this scheduler and the outcome reports, by request ID.
type claimTable struct {
	pending  map[uint64]*activeClaim
	granted  map[uint64]*activeClaim // claims of ops that have not ended
	reports  map[uint64]*outcomeReport
	released releasedClaims
}

func newClaimTable() claimTable {
	return claimTable{
		pending:  map[uint64]*activeClaim{},
		granted:  map[uint64]*activeClaim{},
		reports:  map[uint64]*outcomeReport{},
		released: newReleasedClaims(),
	}
}

// nextDue returns the time of the next retry or deadline, and at most the limit.
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

// newClaim returns a claim of a scheduler with a random nonce.
func newClaim(scheduler string, random *rand.Rand) Claim {
	return Claim{scheduler, random.Uint64()}
}

// handleClaimRequest starts a claim.
func (c *Core) handleClaimRequest(in ClaimRequest) {
	id := newClaim(c.config.Name, c.random)
	claim := newActiveClaim(in, id, c.registration.incarnation, c.now, c.config.QuorumTimeout)
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

// requestGrants requests grants from all replicas that have neither granted a claim nor refused it with
// AlreadyClaimed, which is the only final refusal.
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
			return // the vote of this process decided the claim
		}
	}
}

// retryClaims decides on the claims whose deadline has passed, and retries the other claims that are due.
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

// restartPendingClaims discards the answers to all pending claims and requests grants again.
func (c *Core) restartPendingClaims() {
	all := func(*activeClaim) bool { return true }
	for _, id := range dueIDs(c.claims.pending, all) {
		if claim := c.claims.pending[id]; claim != nil {
			clear(claim.answers)
			c.requestGrants(claim)
		}
	}
}

// handleClaimAnswer records the answer of a replica to a claim, and evaluates the claim.
func (c *Core) handleClaimAnswer(in MessageReceived) {
	claim := c.claims.pending[in.RequestID&^boundClaimFlag]
	if claim == nil || claim.wireID() != in.RequestID {
		// The claim was decided, or bound to a group after this request.
		if in.Kind == ClaimGranted {
			c.handleLateGrant(in)
		}
		return
	}
	claim.answers[in.From] = claimAnswer{
		granted:     in.Kind == ClaimGranted,
		incarnation: in.Incarnation,
		voters:      in.Voters,
		reason:      in.Reason,
		record:      in.Record.decodeFingerprints(),
		grantedAt:   in.After,
	}
	c.evaluate(claim, false)
}

// hasMajority reports whether a majority has granted a claim. In a joint set, each part needs a majority. The
// grant of a process does not count if another granting replica knows a later incarnation of that voter.
func (c *Core) hasMajority(claim *activeClaim) bool {
	newest := claim.newestVoters()
	return c.active.set.HasMajority(func(name string) bool {
		answer := claim.answers[name]
		return answer.granted && answer.incarnation.compare(newest[name]) >= 0
	})
}

// majorityPossible reports whether a majority may still grant a claim. Only the refusal AlreadyClaimed is
// final.
func (c *Core) majorityPossible(claim *activeClaim) bool {
	return c.active.set.HasMajority(func(name string) bool {
		answer, answered := claim.answers[name]
		return !answered || answer.granted || answer.reason != AlreadyClaimed
	})
}

// evaluate decides on a claim as soon as the answers allow a decision, and always at the deadline.
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

// refusals summarizes the answers of the replicas that refused a claim.
type refusals struct {
	reason RefusalReason // the most specific reason
	record Record        // the joined records of the replicas that refused
	holder keyHolder     // the request that holds the key by these records
}

func (c *Core) refusals(claim *activeClaim) refusals {
	all := refusals{record: Record{Key: claim.Key}}
	for _, name := range c.active.members {
		answer, answered := claim.answers[name]
		if !answered || answer.granted {
			continue
		}
		all.reason = max(all.reason, answer.reason)
		if answer.reason == AlreadyClaimed {
			all.record, _ = Join(all.record, answer.record)
		}
	}
	all.holder = all.record.holder(claim.claim)
	if !all.holder.ended && c.majorityPossible(claim) {
		all.holder.contended = all.holder.contended || !all.holder.isRequest(claim.Fingerprint)
	}
	return all
}

// fingerprintMismatch reports whether the key certainly belongs to another request. A claim of another request
// that too few replicas have granted is released soon, so it is not enough.
func (r *refusals) fingerprintMismatch(claim *activeClaim) bool {
	return !r.holder.contended && !r.holder.isRequest(claim.Fingerprint)
}

// hasResult reports whether the op has ended with a retained result.
func (r *refusals) hasResult() bool {
	end, ended := r.record.endedOutcome()
	return ended && end.ResultRetained
}

// decision returns the result of a claim without a majority.
func (c *Core) decision(claim *activeClaim, r *refusals) ClaimDecided {
	decided := ClaimDecided{RequestID: claim.RequestID, Result: NoQuorum, Reason: r.reason}
	if r.fingerprintMismatch(claim) {
		decided.Result = FingerprintMismatch
		return decided
	}
	if end, ended := r.record.endedOutcome(); ended {
		decided.Result, decided.Outcome = AlreadyEnded, end
		if end.ResultRetained {
			decided.Result = AlreadyAnswered
		}
		return decided
	}
	if other, ok := r.record.findUnresolved(claim.claim); ok {
		decided.Result, decided.Outcome = OutcomeUnknown, other
		if r.holder.contended || c.inProgressElsewhere(claim, &r.record) {
			decided.Result = InProgress
		}
	}
	return decided
}

// inProgressElsewhere reports whether another claim of the op belongs to a process that has not ended.
func (c *Core) inProgressElsewhere(claim *activeClaim, record *Record) bool {
	return slices.ContainsFunc(record.Outcomes, func(o Outcome) bool {
		return o.Stage == Claimed && o.Claim != claim.claim && !c.members.claimerEnded(&o, c.now)
	})
}

// bindToGroup replaces a claim by one that is bound to a worker group, and reports whether it did so. The
// other unresolved claims must have been abandoned or belong to ended processes. The op must not have run
// outside that group, and the group must still drop repeats.
func (c *Core) bindToGroup(claim *activeClaim, r *refusals) bool {
	other, unresolved := r.record.findUnresolved(claim.claim)
	_, ended := r.record.endedOutcome()
	if claim.DedupWindow == 0 || claim.group != "" || ended || !unresolved {
		return false
	}
	if !r.holder.isRequest(claim.Fingerprint) {
		return false
	}
	if c.inProgressElsewhere(claim, &r.record) || !r.record.unresolvedOnlyIn(claim.claim, other.Group) {
		return false
	}
	notRunBefore, known := c.earliestPossibleRun(claim, &r.record)
	if !known || c.now-notRunBefore >= claim.DedupWindow || c.now >= claim.deadline {
		return false
	}
	c.releaseClaim(claim, claim.RequestID|boundClaimFlag)
	claim.claim = newClaim(c.config.Name, c.random)
	claim.group, claim.notRunBefore = other.Group, notRunBefore
	clear(claim.answers)
	clear(claim.requests)
	c.count(countBound)
	c.requestGrants(claim)
	return true
}

// earliestPossibleRun returns a time before which the op did not run under any other unresolved claim, and
// false if an age is unknown. A replica computes an age after the request was sent. Subtracting the age from
// the time of the request therefore gives a time that is not too late, however long the answer takes.
func (c *Core) earliestPossibleRun(claim *activeClaim, record *Record) (earliest Time, known bool) {
	earliest = c.now
	for _, o := range record.Outcomes {
		if !o.unresolved() || o.Claim == claim.claim {
			continue
		}
		if o.Age == 0 {
			return 0, false
		}
		earliest = min(earliest, claim.requestedAt-Time(min(o.Age, maxOutcomeAge)))
	}
	return earliest, true
}
