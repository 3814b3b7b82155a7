package replication

import "slices"

// valid reports whether a record from a message or the store is within the limits.
func (c *Core) valid(r Record) bool {
	ok := r.Key != "" && len(r.Key) <= maxNameBytes &&
		len(r.Outcomes) > 0 && len(r.Outcomes) <= 4*maxClaimsPerOp
	for i := range r.Outcomes {
		ok = ok && r.Outcomes[i].valid()
	}
	if !ok {
		c.count(countInvalidRecord)
	}
	return ok
}

// mergeRecord merges a record into the log. The ages of its outcomes were computed at agesTrueAt or
// later. Counted back from agesTrueAt, they give times that are not too late. If agesTrueAt is 0, the ages
// are ignored, since the time that the record took to arrive is unknown.
func (c *Core) mergeRecord(received Record, agesTrueAt Time) {
	r, sizeBefore := c.records.byKey[received.Key], 0
	switch {
	case r != nil:
		sizeBefore = r.size()
	case !c.records.fits(&received):
		c.handleFullLog()
		return
	default:
		age := Time(min(received.Age, uint64(c.config.Retention/second))) * second
		r = c.records.add(received.Key, received.Fingerprint, c.now-age)
	}
	changed := c.mergeOutcomes(r, &received, agesTrueAt)
	r.updateFingerprint()
	c.records.update(r, sizeBefore)
	if !changed {
		return
	}
	c.reportRequestConflict(r)
	c.records.appendChange(r)
	if c.durability.enabled {
		c.emit(Persist{c.withAges(r)})
	}
}

// handleFullLog gives up the vote of this replica, since it can't store a record that may forbid a claim.
// Catch-up restarts, so that the record is fetched again.
func (c *Core) handleFullLog() {
	c.count(countLogFull)
	c.registration.loseVote()
	c.persistIncarnation(Incarnation{})
	c.catchUp.restartAll()
	for _, peer := range c.catchUp.peers {
		peer.recordsKnown, peer.caughtUp = false, false
	}
}

// reportRequestConflict reports that two requests have run under one key.
func (c *Core) reportRequestConflict(r *Record) {
	if r.endedByTwoRequests() {
		c.count(countFingerprintConflict)
		c.emit(Event{Description: "two requests under one id", Subject: r.Key, Warning: true})
	}
}

// mergeOutcomes merges the outcomes of a received record into a record. It reports whether the record changed in
// a way that other replicas must learn.
func (c *Core) mergeOutcomes(r, received *Record, agesTrueAt Time) (changed bool) {
	for i := range received.Outcomes {
		o := received.decodedOutcome(i)
		if _, known := r.find(o.Claim); !known && len(r.Outcomes) >= 4*maxClaimsPerOp {
			c.count(countTooManyClaims)
			continue
		}
		o.notRunBefore = 0
		if o.Age > 0 && agesTrueAt > 0 {
			o.notRunBefore = max(agesTrueAt-Time(min(o.Age, maxOutcomeAge)), 1)
		}
		o.Age = 0
		updated, conflict := r.join(o)
		changed = changed || updated
		if conflict {
			c.count(countOutcomeConflict)
			c.emit(Event{Description: "conflicting outcomes of one claim", Subject: r.Key, Warning: true})
		}
	}
	return changed
}

// withAges returns a copy of a record for a message or the store, with ages instead of local times.
func (c *Core) withAges(r *Record) Record {
	encoded := *r
	encoded.Age = uint64(max(c.now-r.firstSeen, 0) / second)
	encoded.Outcomes = slices.Clone(r.Outcomes)
	for i := range encoded.Outcomes {
		if o := &encoded.Outcomes[i]; o.notRunBefore > 0 {
			o.Age = uint64(max(c.now-o.notRunBefore, 0)) + 1
		}
	}
	encoded.encodeFingerprints()
	return encoded
}

// expireRecords deletes the records whose retention has ended.
func (c *Core) expireRecords() {
	for _, key := range c.records.expire(c.now, c.config.Retention) {
		if c.durability.enabled {
			c.emit(Delete{key})
		}
	}
}
