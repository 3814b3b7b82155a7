package replication

// handleClaimRequested grants a claim, or answers with the reason for the refusal.
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

// refusalReason returns why this replica does not grant a claim, or 0 if it does. The parameter known is the
// stored record, or nil if there is none. The parameter request is the record in the claim request. It
// contains a single outcome, which is passed as requested.
func (c *Core) refusalReason(known, request *Record, requested *Outcome) RefusalReason {
	switch {
	case !c.registration.voting:
		return NoVote
	case known == nil && !c.records.fits(request):
		return CapacityReached
	case known == nil:
		return 0
	}
	if _, ended := known.endedOutcome(); ended {
		return AlreadyClaimed
	}
	_, otherUnresolved := known.findUnresolved(requested.Claim)
	if otherUnresolved && !known.unresolvedOnlyIn(requested.Claim, requested.Group) {
		return AlreadyClaimed
	}
	if holder := known.holder(requested.Claim); !holder.isRequest(request.Fingerprint) {
		return AlreadyClaimed // the group that drops repeats of one request does not drop another one
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

// refuse answers with the reason why a claim is not granted. For AlreadyClaimed, the answer contains the
// record that forbids the claim.
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
	if c.hasOwnGrantTime(in.Message) {
		// The op can only have run after this process granted the claim. The time of the grant bounds the
		// age, however long the report took to arrive.
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

// hasOwnGrantTime reports whether a report contains the time at which this incarnation granted the claim.
func (c *Core) hasOwnGrantTime(m Message) bool {
	return m.LogIncarnation == c.registration.incarnation &&
		m.After > 0 && Time(m.After) <= c.now && len(m.Record.Outcomes) == 1
}
