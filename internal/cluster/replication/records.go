package replication

import "slices"

// valid reports whether a record from elsewhere is within bounds.
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

// mergeRecord merges a record into what is known here. The ages of its outcomes were true at some moment
// not before agesTrueAt; 0: they prove nothing, since nobody knows how long they were on their way.
func (c *Core) mergeRecord(x Record, agesTrueAt Time) {
	r, sizeBefore := c.records.byKey[x.Key], 0
	switch {
	case r != nil:
		sizeBefore = r.size()
		c.mergeFingerprint(r, &x)
	case !c.records.fits(&x):
		c.handleFullLog()
		return
	default:
		age := Time(min(x.Age, uint64(c.config.Retention/second))) * second
		r = c.records.add(x.Key, x.Fingerprint, c.now-age)
	}
	changed := c.mergeOutcomes(r, x.Outcomes, agesTrueAt)
	c.records.update(r, sizeBefore)
	if !changed {
		return
	}
	c.records.appendChange(r)
	if c.durability.enabled {
		c.emit(Persist{c.withAges(r)})
	}
}

// handleFullLog gives up this replica's vote, since it cannot store a record that may forbid a claim. What
// found no room is fetched again.
func (c *Core) handleFullLog() {
	c.count(countLogFull)
	c.registration.loseVote()
	c.persistIncarnation(Incarnation{})
	c.catchUp.restartAll()
	for _, peer := range c.catchUp.peers {
		peer.caughtUp = false
	}
}

// mergeFingerprint keeps one fingerprint of two different ones, and reports the conflict where both requests
// may have run.
func (c *Core) mergeFingerprint(r, x *Record) {
	if x.Fingerprint == r.Fingerprint {
		return
	}
	if r.protects() && x.protects() {
		c.count(countFingerprintConflict)
		c.emit(Event{Description: "two requests under one id", Subject: x.Key, Warning: true})
	}
	r.Fingerprint = max(r.Fingerprint, x.Fingerprint)
}

// mergeOutcomes merges outcomes into a record, and reports whether that changed what others must learn.
func (c *Core) mergeOutcomes(r *Record, outcomes []Outcome, agesTrueAt Time) (changed bool) {
	for _, o := range outcomes {
		if _, known := r.find(o.Claim); !known && len(r.Outcomes) >= 4*maxClaimsPerOp {
			c.count(countTooManyClaims)
			continue
		}
		o.notBefore = 0
		if o.Age > 0 && agesTrueAt > 0 {
			o.notBefore = max(agesTrueAt-Time(min(o.Age, maxAgeTenths)), 1)
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

// withAges is a record as it is sent: with ages in place of moments.
func (c *Core) withAges(r *Record) Record {
	x := *r
	x.Age = uint64(max(c.now-r.firstSeen, 0) / second)
	x.Outcomes = slices.Clone(r.Outcomes)
	for i := range x.Outcomes {
		if o := &x.Outcomes[i]; o.notBefore > 0 {
			o.Age = uint64(max(c.now-o.notBefore, 0)) + 1
		}
	}
	return x
}

// expireRecords deletes the records whose retention is over.
func (c *Core) expireRecords() {
	for _, key := range c.records.expire(c.now, c.config.Retention) {
		if c.durability.enabled {
			c.emit(Delete{key})
		}
	}
}
