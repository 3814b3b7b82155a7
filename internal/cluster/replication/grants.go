package replication

// handleClaimRequested grants a claim, or answers why not.
func (c *Core) handleClaimRequested(in MessageReceived) {
	if !c.valid(in.Record) || len(in.Record.Outcomes) != 1 {
		return
	}
	requested := in.Record.Outcomes[0]
	r := c.records.byKey[in.Record.Key]
	if reason := c.refusalReason(r, &in.Record, &requested); reason != 0 {
		c.refuse(in, reason, r)
		return
	}
	if r != nil && !r.protects() {
		r.Fingerprint = in.Record.Fingerprint // nothing of what came before ran
		c.records.updateDigest(r)
	}
	granted := in.Record
	granted.Outcomes = []Outcome{{
		Claim:  requested.Claim,
		Stage:  Claimed,
		Voted:  true,
		Group:  requested.Group,
		Result: encodeProcess(requested.process()),
	}}
	c.mergeRecord(granted, 0)
	c.send(in.From, Message{
		Kind:        ClaimGranted,
		RequestID:   in.RequestID,
		Incarnation: c.registration.incarnation,
		Voters:      c.registration.knownVoters(c.active.members),
		After:       uint64(max(c.now, 1)),
	})
}

// refusalReason is why this replica does not grant a claim, 0 where it does. Beside the record that is known
// here, nil for none, it takes the request's record and its one outcome.
func (c *Core) refusalReason(known, request *Record, requested *Outcome) RefusalReason {
	switch {
	case !c.registration.voting:
		return NoVote
	case known == nil && !c.records.fits(request):
		return CapacityReached
	case known == nil:
		return 0
	}
	if _, ended := known.ending(); ended {
		return AlreadyClaimed
	}
	_, stands := known.standing(requested.Claim)
	if stands && !known.standsOnlyIn(requested.Claim, requested.Group) {
		return AlreadyClaimed
	}
	i, claimed := known.find(requested.Claim)
	switch {
	case claimed && known.Outcomes[i].Stage != Claimed:
		return ClaimReleased
	case !claimed && len(known.Outcomes) >= maxClaimsPerOp:
		return CapacityReached
	}
	return 0
}

// refuse answers why a claim is not granted, with the record that forbids it.
func (c *Core) refuse(in MessageReceived, reason RefusalReason, known *Record) {
	c.count(countRefusedPrefix + reason.String())
	answer := Message{
		Kind:        ClaimRefused,
		RequestID:   in.RequestID,
		Incarnation: c.registration.incarnation,
		Reason:      reason,
	}
	if reason == AlreadyClaimed {
		answer.Record = c.withAges(known)
	}
	c.send(in.From, answer)
}

// handleOutcomeReported stores an outcome and acknowledges it.
func (c *Core) handleOutcomeReported(in MessageReceived) {
	if !c.valid(in.Record) {
		return
	}
	agesTrueAt := Time(0)
	if c.echoesOwnGrant(in.Message) {
		// The op can only have run after this process granted it: that bounds its age, however long the
		// report was on its way.
		agesTrueAt = Time(in.After) + 1
		in.Record.Outcomes[0].Age = 1
	}
	c.mergeRecord(in.Record, agesTrueAt)
	c.send(in.From, Message{
		Kind:        OutcomeKnown,
		RequestID:   in.RequestID,
		Incarnation: c.registration.incarnation,
	})
}

// echoesOwnGrant reports whether a report carries the moment at which this incarnation granted the claim.
func (c *Core) echoesOwnGrant(x Message) bool {
	return x.LogIncarnation == c.registration.incarnation &&
		x.After > 0 && Time(x.After) <= c.now && len(x.Record.Outcomes) == 1
}
