package replication

import "woaddyke/internal/cluster/replicaset"

// outcomeReport is an outcome that is being reported to the replicas.
type outcomeReport struct {
	requestID    uint64 // as on the wire
	record       Record
	acknowledged map[string]bool
	answers      map[string]claimAnswer // to the claim, by replica; set only with groupReportFlag
	attempts     int
	nextRetry    Time
}

// message returns the report for a replica. It contains the time at which that replica granted the claim,
// since the op did not run before that time.
func (r *outcomeReport) message(to string) Message {
	m := Message{Kind: OutcomeReported, RequestID: r.requestID, Record: r.record}
	if answer := r.answers[to]; answer.granted {
		m.LogIncarnation, m.After = answer.incarnation, answer.grantedAt
	}
	return m
}

// handleMayHaveRun reports in which worker group a granted op may have run. Nothing waits for the report:
// until it arrives, no other scheduler may repeat the op.
func (c *Core) handleMayHaveRun(in MayHaveRun) {
	claim := c.claims.granted[in.RequestID]
	if claim == nil || claim.group != "" || in.Group == "" {
		return
	}
	claim.group, claim.notRunBefore = in.Group, c.now
	c.report(&outcomeReport{
		requestID:    in.RequestID | groupReportFlag,
		record:       claim.record(claim.outcome(Claimed, c.now)),
		acknowledged: map[string]bool{},
		answers:      claim.answers,
	})
}

// handleOpEnded reports how a granted op ended.
func (c *Core) handleOpEnded(in OpEnded) {
	claim := c.claims.granted[in.RequestID]
	if claim == nil {
		return
	}
	delete(c.claims.granted, in.RequestID)
	if in.NeverRan {
		c.releaseClaim(claim, claim.RequestID)
		return
	}
	outcome := Outcome{
		Claim:          claim.claim,
		Stage:          Ended,
		HTTPStatus:     in.HTTPStatus,
		Result:         in.Result,
		ResultRetained: in.ResultRetained,
	}
	if in.Abandoned {
		outcome = claim.outcome(Abandoned, c.now)
	}
	c.report(&outcomeReport{
		requestID:    in.RequestID,
		record:       claim.record(outcome),
		acknowledged: map[string]bool{},
	})
}

// releaseClaim reports the release of a claim to all replicas that may have recorded the claim. Another one that
// grants a late copy of the request is informed then.
func (c *Core) releaseClaim(claim *activeClaim, requestID uint64) {
	acknowledged := map[string]bool{}
	for _, name := range c.active.members {
		if claim.certainlyUnknownTo(name) {
			acknowledged[name] = true
		}
	}
	release := claim.record(Outcome{Claim: claim.claim, Stage: Released})
	if len(acknowledged) > 0 {
		c.claims.released.add(claim.wireID(), release)
	}
	c.report(&outcomeReport{requestID: requestID, record: release, acknowledged: acknowledged})
}

// report starts reporting an outcome to the replicas that have not acknowledged it.
func (c *Core) report(r *outcomeReport) {
	if c.allAcknowledged(r) {
		return
	}
	if len(c.claims.reports) >= maxPendingClaims {
		c.count(countReportsFull) // safe: the claim stays unresolved, and no other scheduler pushes the op
		return
	}
	c.claims.reports[r.requestID] = r
	c.sendReport(r)
}

// sendReport sends a report to the replicas that have not acknowledged it, and removes the report once it is
// done.
func (c *Core) sendReport(r *outcomeReport) {
	r.attempts++
	r.nextRetry = c.now + c.config.RetryInterval*Time(min(r.attempts, 10))
	for _, name := range c.active.members {
		if !r.acknowledged[name] {
			c.send(name, r.message(name))
		}
	}
	if c.reportDone(r) {
		delete(c.claims.reports, r.requestID)
	}
}

// reportDone reports whether a report need not be sent again. Replicas that have not received the report
// pull the outcome from others.
func (c *Core) reportDone(r *outcomeReport) bool {
	if c.allAcknowledged(r) || r.attempts >= 4*maxReportAttempts {
		return true
	}
	return r.attempts >= maxReportAttempts &&
		c.active.set.HasMajority(func(name string) bool { return r.acknowledged[name] })
}

func (c *Core) allAcknowledged(r *outcomeReport) bool {
	members := c.active.members
	return replicaset.Count(members, func(name string) bool { return r.acknowledged[name] }) == len(members)
}

// retryReports resends the reports that are due.
func (c *Core) retryReports() {
	isDue := func(r *outcomeReport) bool { return c.now >= r.nextRetry }
	for _, id := range dueIDs(c.claims.reports, isDue) {
		if r := c.claims.reports[id]; r != nil {
			c.sendReport(r)
		}
	}
}

// handleOutcomeKnown records the acknowledgement of a replica.
func (c *Core) handleOutcomeKnown(in MessageReceived) {
	r := c.claims.reports[in.RequestID]
	if r == nil {
		return
	}
	r.acknowledged[in.From] = true
	if c.allAcknowledged(r) {
		delete(c.claims.reports, in.RequestID)
	}
}
