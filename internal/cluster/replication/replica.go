package replication

import (
	"maps"
	"slices"
	"strings"

	"woaddyke/internal/cluster/replicaset"
)

// handleMessage takes a message.
func (c *Core) handleMessage(in MessageReceived) {
	x := in.Message
	if x.Kind == SetInForce {
		c.handleSetInForce(in)
		return
	}
	if x.SetID != c.setID {
		c.handleOtherSet(in)
		return
	}
	switch x.Kind {
	case ClaimRequested, OutcomeReported, Register, Pull, Fetch:
		if !c.isReplica || !c.serving {
			c.count("asked as no keeper")
			return
		}
	case ClaimGranted, ClaimRefused, OutcomeKnown, Registered, DigestPage, Fetched:
		if !slices.Contains(c.members, in.From) {
			c.count("word of no keeper")
			return
		}
	}
	switch x.Kind {
	case ClaimRequested:
		c.handleClaimRequested(in)
	case ClaimGranted, ClaimRefused:
		c.handleClaimAnswer(in)
	case OutcomeReported:
		if c.valid(x.Record) {
			// A moment of this process's own clock, at which it granted what only ran after that, comes back with the word that it may
			// have run: however long that was on its way, its age is known.
			asked := Time(0)
			if x.LogIncarnation == c.incarnation && x.After > 0 && Time(x.After) <= c.now && len(x.Record.Outcomes) == 1 {
				asked, x.Record.Outcomes[0].Age = Time(x.After)+1, 1
			}
			c.mergeRecord(x.Record, asked)
			c.send(in.From, Message{Kind: OutcomeKnown, RequestID: x.RequestID, Incarnation: c.incarnation})
		}
	case OutcomeKnown:
		if t := c.outcomeReports[x.RequestID]; t != nil {
			if t.acknowledged[in.From] = true; c.allAcknowledged(t.acknowledged) {
				delete(c.outcomeReports, x.RequestID)
			}
		}
	case Register:
		c.handleRegister(in)
	case Registered:
		c.handleRegistered(in)
	case Pull:
		c.handlePull(in)
	case DigestPage:
		c.handleDigestPage(in)
	case Fetch:
		c.handleFetch(in)
	case Fetched:
		c.handleFetched(in)
	}
}

const maxAgeTenths = 1 << 40 // tenths of a millisecond

func (c *Core) valid(r Record) bool {
	ok := r.Key != "" && len(r.Key) <= maxNameBytes && len(r.Outcomes) > 0 && len(r.Outcomes) <= 4*maxClaimsPerOp
	for _, f := range r.Outcomes {
		ok = ok && len(f.Group) <= maxNameBytes && f.Stage >= Claimed && f.Stage <= Ended && f.Scheduler != "" && len(f.Scheduler) <= maxNameBytes
	}
	if !ok {
		c.count("garbled")
	}
	return ok
}

// handleClaimRequested grants a claim, or says why not.
func (c *Core) handleClaimRequested(in MessageReceived) {
	x := in.Message
	if !c.valid(x.Record) || len(x.Record.Outcomes) != 1 {
		return
	}
	claim := x.Record.Outcomes[0].Claim
	refuse := func(why RefusalReason, r *Record) {
		c.count("refused: " + why.String())
		answer := Message{Kind: ClaimRefused, RequestID: x.RequestID, Incarnation: c.incarnation, Reason: why}
		if r != nil {
			answer.Record = c.withAges(r)
		}
		c.send(in.From, answer)
	}
	r := c.records[x.Record.Key]
	switch {
	case !c.voting:
		refuse(NoVote, nil)
		return
	case r == nil && (len(c.records) >= c.config.MaxRecords || c.recordBytes+x.Record.size() > c.config.MaxBytes):
		refuse(CapacityReached, nil)
		return
	}
	if r != nil {
		if _, ended := r.ending(); ended {
			refuse(AlreadyClaimed, r)
			return
		}
		if _, other := r.standing(claim); other && !r.standsOnlyIn(claim, x.Record.Outcomes[0].Group) {
			refuse(AlreadyClaimed, r)
			return
		}
		if i, ok := r.find(claim); ok && r.Outcomes[i].Stage != Claimed {
			refuse(ClaimReleased, nil)
			return
		} else if !ok && len(r.Outcomes) >= maxClaimsPerOp {
			refuse(CapacityReached, nil)
			return
		}
		if !r.protects() {
			r.Fingerprint = x.Record.Fingerprint // nothing of what came before ran
			c.updateDigest(r)
		}
	}
	x.Record.Outcomes = []Outcome{{Claim: claim, Stage: Claimed, Voted: true, Group: x.Record.Outcomes[0].Group}}
	c.mergeRecord(x.Record, 0)
	c.send(in.From, Message{Kind: ClaimGranted, RequestID: x.RequestID, Incarnation: c.incarnation, Voters: c.knownVoters(), After: uint64(max(c.now, 1))})
}

// knownVoters are the processes that vote, as this keeper knows them.
func (c *Core) knownVoters() (all []Voter) {
	for _, k := range c.members {
		if l, ok := c.voters[k]; ok {
			all = append(all, Voter{k, l})
		}
	}
	return all
}

// handleClaimAnswer takes a keeper's answer to a want.
func (c *Core) handleClaimAnswer(in MessageReceived) {
	w := c.pendingClaims[in.RequestID&^boundClaimFlag]
	if w == nil || w.wireID() != in.RequestID {
		return // or it is the answer to the claim before it was bound
	}
	x := in.Message
	w.answers[in.From] = claimAnswer{granted: x.Kind == ClaimGranted, incarnation: x.Incarnation, voters: x.Voters, reason: x.Reason, record: x.Record, grantedAt: x.After}
	c.evaluate(w, false)
}

// mergeRecord joins a record into what is known here. Its ages were true at some moment not before one; 0: they say nothing, as they have been
// on their way for nobody knows how long.
func (c *Core) mergeRecord(x Record, asked Time) {
	r := c.records[x.Key]
	if r == nil {
		if len(c.records) >= c.config.MaxRecords || c.recordBytes+x.size() > c.config.MaxBytes {
			c.count("no room for a record") // it stays where it is known; here nothing is granted that it would forbid
			c.voting, c.votingSinceAdoption, c.ready = false, false, false
			c.persistIncarnation(Incarnation{})
			for _, l := range c.peers { // what finds no room now is asked for again
				l.restart(l.incarnation)
				l.caughtUp = false
			}
			return
		}
		age := Time(min(x.Age, uint64(c.config.Retention/second))) * second
		r = &Record{Key: x.Key, Fingerprint: x.Fingerprint, firstSeen: c.now - age}
		c.records[x.Key] = r
		k := secondOf(r.firstSeen)
		c.bySecond[k], c.oldestSecond = append(c.bySecond[k], r), min(c.oldestSecond, k)
	} else {
		c.recordBytes -= r.size()
		if x.Fingerprint != r.Fingerprint {
			if r.protects() && (&x).protects() {
				c.count("breach: two requests under one id")
				c.emit(Event{"two requests under one id", x.Key})
			}
			r.Fingerprint = max(r.Fingerprint, x.Fingerprint)
		}
	}
	changed := false
	for _, f := range x.Outcomes {
		if _, known := r.find(f.Claim); !known && len(r.Outcomes) >= 4*maxClaimsPerOp {
			c.count("too many claims")
			continue
		}
		if f.notBefore = 0; f.Age > 0 && asked > 0 {
			f.notBefore = max(asked-Time(min(f.Age, maxAgeTenths)), 1)
		}
		f.Age = 0
		news, breach := r.join(f)
		if changed = changed || news; breach {
			c.count("breach: words that can't both be true")
			c.emit(Event{"words that can't both be true", x.Key})
		}
	}
	c.recordBytes += r.size()
	c.updateDigest(r)
	if changed {
		if c.appendChange(r); c.durable {
			c.emit(Persist{c.withAges(r)})
		}
	}
}

// updateDigest keeps the digests after a record has changed.
func (c *Core) updateDigest(r *Record) {
	c.removeDigest(r)
	r.digestSum = r.digest()
	c.digest ^= r.digestSum
	c.byDigest[r.digestSum] = r
}

// removeDigest takes a record out of the digests.
func (c *Core) removeDigest(r *Record) {
	c.digest ^= r.digestSum
	delete(c.byDigest, r.digestSum)
}

// appendChange puts a record at the end of the order of changes.
func (c *Core) appendChange(r *Record) {
	if r.position > 0 {
		c.changes[r.position-c.firstPosition] = nil
	}
	c.position++
	r.position = c.position
	c.changes = append(c.changes, r)
	holes := 0
	for holes < len(c.changes) && c.changes[holes] == nil {
		holes++
	}
	c.changes, c.firstPosition = c.changes[holes:], c.firstPosition+uint64(holes)
}

// withAges is a record as it is sent.
func (c *Core) withAges(r *Record) Record {
	x := *r
	x.Age = uint64(max(c.now-r.firstSeen, 0) / second)
	x.Outcomes = slices.Clone(r.Outcomes)
	for i := range x.Outcomes {
		if f := &x.Outcomes[i]; f.notBefore > 0 {
			f.Age = uint64(max(c.now-f.notBefore, 0)) + 1
		}
	}
	return x
}

// expireRecords drops records in the order in which they were first heard of, by whole seconds, when their time is over: ages are told in whole
// seconds, and a million of one moment in their exact order cost a move of all for each.
func (c *Core) expireRecords() {
	for ; (c.oldestSecond+1)*second+c.config.Retention <= c.now; c.oldestSecond++ {
		for _, r := range c.bySecond[c.oldestSecond] {
			c.recordBytes -= r.size()
			c.removeDigest(r)
			delete(c.records, r.Key)
			if c.durable {
				c.emit(Delete{r.Key})
			}
			c.changes[r.position-c.firstPosition] = nil
		}
		delete(c.bySecond, c.oldestSecond)
	}
}

// secondOf is the second that a moment is in.
func secondOf(t Time) Time {
	if t < 0 {
		t -= second - 1
	}
	return t / second
}

// replicate registers with the other keepers, looks at their changes, and begins to vote when that is safe.
func (c *Core) replicate() {
	if !c.isReplica || !c.serving {
		return
	}
	for _, k := range c.members {
		l := c.peers[k]
		if l == nil || c.now < l.nextSend {
			continue
		}
		if l.registeredAs != c.incarnation {
			c.send(k, Message{Kind: Register, Incarnation: c.incarnation})
			l.nextSend = c.now + c.config.RetryInterval*2
			continue
		}
		c.pull(k, l)
	}
	c.startVoting()
}

// startVoting gives this keeper its vote. Whatever it may have granted in an earlier life stands at one of any so many others that vote as meet
// each majority, and these know it as the present life since before it looked; so nothing that counts can be missed, and no earlier life's
// vote counts beside this one's. Where too few others vote, it waits until all that may have been granted is over. While keepers change
// these others are of the old part, without whose majority nothing is granted.
func (c *Core) startVoting() {
	if !c.isReplica || (c.voting || c.persistFailed) && !c.set.Joint() {
		return // nothing is left to begin: this stands in the way of every message
	}
	part := c.set.Quorums()[0]
	others := replicaset.Count(part, func(k string) bool { return k != c.config.Name })
	enough := min(replicaset.ReadQuorum(len(part)), others)
	registered := func(k string) bool { l := c.peers[k]; return l != nil && l.registeredAs == c.incarnation }
	caught := replicaset.Count(part, func(k string) bool { return registered(k) && c.peers[k].voting && c.peers[k].caughtUp })
	known := replicaset.Count(part, registered)
	if c.voting || c.persistFailed {
		c.updateReadiness(part, caught)
		return
	}
	if known >= enough && c.registeredSince == 0 {
		c.registeredSince = max(c.now, 1)
	}
	if c.persistedIncarnation != (Incarnation{}) && known >= min(1, others) {
		// It knows all that it ever granted: no earlier process can be left, since one alone holds the place where records last.
		c.voting, c.votingSinceAdoption, c.persistedIncarnation = true, true, Incarnation{}
		c.persistIncarnation(c.incarnation)
		c.emit(Event{"votes", "its own records"})
		return
	}
	full := len(c.records) >= c.config.MaxRecords || c.recordBytes >= c.config.MaxBytes
	if full || caught < enough && !(known >= enough && c.now-c.registeredSince >= c.config.AmnesiaHoldOff) {
		return
	}
	c.voting = true
	c.persistIncarnation(c.incarnation)
	c.emit(Event{"votes", ""})
	c.updateReadiness(part, caught)
}

// updateReadiness notes that this keeper knows, of a majority of the old part or more, what these knew after they had begun to refuse the old
// part alone. It counts itself where it was one of them and kept its vote.
func (c *Core) updateReadiness(old []string, caught int) {
	if !c.set.Joint() || !c.voting {
		return
	}
	if c.votingSinceAdoption && slices.Contains(old, c.config.Name) {
		caught++
	}
	if !c.ready && caught >= replicaset.ReadQuorum(len(old)) {
		c.ready = true
		c.emit(Event{"knows what the keepers before knew", ""})
	}
	ready := func(k string) bool {
		l := c.peers[k]
		return k == c.config.Name && c.ready || l != nil && l.registeredAs == c.incarnation && l.ready
	}
	if replicaset.Count(c.set.New, ready) >= replicaset.Majority(len(c.set.New)) {
		c.emit(ReplicasReady{c.set.Epoch})
	}
}

// handleOtherSet has the one that goes by another set learn which is in force, from whichever of the two knows.
func (c *Core) handleOtherSet(in MessageReceived) {
	c.count("other keepers")
	switch in.Kind {
	case ClaimRequested:
		c.emit(Send{in.From, Message{Kind: ClaimRefused, SetID: in.SetID, RequestID: in.RequestID, Reason: WrongSet}})
		c.sendSetInForce(in.From)
	case OutcomeReported, Register, Pull, Fetch:
		c.sendSetInForce(in.From)
	}
}

func (c *Core) sendSetInForce(to string) {
	if c.config.DynamicReplicas && c.serving && to != c.config.Name {
		c.send(to, Message{Kind: SetInForce, Set: c.set})
	}
}

// handleSetInForce takes a set that another goes by, or tells it of a later one.
func (c *Core) handleSetInForce(in MessageReceived) {
	switch {
	case !c.config.DynamicReplicas:
		c.count("keepers do not change here")
	case in.Set.Supersedes(c.set) && in.Set.Valid():
		c.adoptSet(in.Set)
	case c.set.Supersedes(in.Set):
		c.sendSetInForce(in.From)
	case in.Set.GroupID != 0 && c.set.GroupID != 0 && in.Set.GroupID != c.set.GroupID:
		c.count("another founding")
	}
}

// adoptSet goes by another set from now on. A keeper that stays one keeps its vote: what it granted, it knows. Claims that are being asked
// for begin anew: what was granted under another set does not count.
func (c *Core) adoptSet(s replicaset.Set) {
	if !s.Supersedes(c.set) {
		return
	}
	was := c.isReplica
	c.useSet(s)
	c.ready, c.votingSinceAdoption = false, was && c.voting
	if !c.isReplica {
		c.voting, c.votingSinceAdoption, c.persistedIncarnation = false, false, Incarnation{}
		c.persistIncarnation(Incarnation{})
	} else if !was {
		c.registeredSince, c.persistedIncarnation = 0, Incarnation{}
	} else if c.voting {
		c.persistIncarnation(c.incarnation) // of this set
	}
	for _, k := range slices.Sorted(maps.Keys(c.peers)) {
		if !slices.Contains(c.members, k) {
			delete(c.peers, k)
		}
	}
	if c.isReplica && c.serving {
		c.voters[c.config.Name] = c.incarnation
		for _, k := range c.members {
			if k == c.config.Name {
				continue
			}
			if c.peers[k] == nil {
				c.peers[k] = &peerState{}
			}
			l := c.peers[k]
			l.registeredAs, l.caughtUp, l.voting, l.ready, l.nextSend = Incarnation{}, false, false, false, c.now
		}
	}
	c.emit(SetAdopted{s})
	c.emit(Event{"keepers: " + strings.Join(s.New, ", "), strings.Join(s.Old, ", ")})
	for _, ticket := range due(c.pendingClaims, func(*activeClaim) bool { return true }) {
		if w := c.pendingClaims[ticket]; w != nil {
			clear(w.answers)
			c.requestGrants(w)
		}
	}
	if c.serving {
		c.startVoting()
	}
	if c.isReplica {
		for _, name := range c.aliveMembers {
			c.sendSetInForce(name)
		}
	}
}

// persistIncarnation notes where records last as which life they are whole; as none while they are not.
func (c *Core) persistIncarnation(as Incarnation) {
	if c.durable {
		c.emit(IncarnationPersisted{as})
	}
}

// handleRegister takes note of the process that votes under a keeper's name.
func (c *Core) handleRegister(in MessageReceived) {
	if !slices.Contains(c.members, in.From) {
		return
	}
	if in.Incarnation.compare(c.voters[in.From]) < 0 {
		c.count("registration of an earlier process")
		return
	}
	if was, ok := c.voters[in.From]; ok && was != in.Incarnation {
		c.formerVoters[in.From] = was
	}
	c.voters[in.From] = in.Incarnation
	c.send(in.From, Message{Kind: Registered, Incarnation: c.incarnation, LogIncarnation: in.Incarnation, Voting: c.voting, Ready: c.ready, FormerIncarnation: c.formerVoters[in.From], Voters: c.knownVoters(),
		Next: c.position})
}

func (c *Core) handleRegistered(in MessageReceived) {
	l := c.peers[in.From]
	if l == nil || in.LogIncarnation != c.incarnation {
		return
	}
	for _, v := range in.Voters {
		if v.Name != c.config.Name && v.Incarnation.compare(c.voters[v.Name]) > 0 {
			c.voters[v.Name] = v.Incarnation
		}
	}
	if in.FormerIncarnation.compare(c.persistedIncarnation) > 0 && c.persistedIncarnation != (Incarnation{}) {
		// A process of this keeper voted after these records were kept: they are older than they say.
		c.persistedIncarnation = Incarnation{}
		for _, l := range c.peers {
			l.restart(l.incarnation)
		}
		c.emit(Event{"its records are older than they say: it catches up as one without memory", ""})
		c.persistIncarnation(Incarnation{})
	}
	if l.registeredAs != c.incarnation {
		l.registeredAs, l.registrationPosition, l.caughtUp = c.incarnation, in.Next, false
		l.voting, l.ready = in.Voting, in.Ready
		if l.incarnation != in.Incarnation {
			l.restart(in.Incarnation)
		}
	}
	l.nextSend = c.now
}

// restart looks at all that a process has changed, from the first.
func (l *peerState) restart(of Incarnation) {
	l.incarnation, l.position, l.pagePosition, l.missing = of, 0, 0, nil
}

// handlePull answers with the digests of what has changed since a position, some of them.
func (c *Core) handlePull(in MessageReceived) {
	x := Message{Kind: DigestPage, Incarnation: c.incarnation, LogIncarnation: c.incarnation, After: in.After, Voting: c.voting, Ready: c.ready}
	if in.LogIncarnation != c.incarnation {
		in.After = 0 // another process's order
		x.After = 0
	}
	at := max(in.After+1, c.firstPosition)
	for ; at-c.firstPosition < uint64(len(c.changes)) && len(x.Digests) < digestsPerPage; at++ {
		if r := c.changes[at-c.firstPosition]; r != nil {
			x.Digests = append(x.Digests, r.digestSum)
		}
	}
	x.Next, x.More = at-1, at-c.firstPosition < uint64(len(c.changes))
	c.send(in.From, x)
}

// handleDigestPage looks which of another keeper's changes are news, and asks for those.
func (c *Core) handleDigestPage(in MessageReceived) {
	l := c.peers[in.From]
	if l == nil || l.registeredAs != c.incarnation {
		return
	}
	if l.incarnation != in.LogIncarnation {
		l.restart(in.LogIncarnation) // it is another process: what it may have lost is asked for again
		l.registeredAs = Incarnation{}
		l.nextSend = c.now
		return
	}
	if in.After != l.position {
		return // of an earlier look
	}
	l.pagePosition, l.more, l.voting, l.ready = in.Next, in.More, in.Voting, in.Ready
	l.missing = c.missingDigests(slices.Clone(in.Digests))
	c.continueCatchUp(in.From, l, 8*len(in.Digests))
}

// continueCatchUp asks for what another keeper has and this one lacks, and goes on once it has come. It costs so many bytes a second at the most:
// ops in service must not feel it.
func (c *Core) continueCatchUp(name string, l *peerState, size int) {
	l.rateFreeAt = max(l.rateFreeAt, c.now) + Time(size)*second/Time(c.config.CatchUpRate)
	if len(l.missing) == 0 {
		if l.position < l.pagePosition {
			l.position, l.cursorChanged = l.pagePosition, true
		}
		if !l.more && l.voting && l.position >= l.registrationPosition {
			l.caughtUp = true // all that it knew while it had its vote
		}
	}
	switch {
	case len(l.missing) == 0 && !l.more:
		l.nextSend = c.nextPull()
		if l.cursorChanged && c.durable && c.voting {
			l.cursorChanged = false
			c.emit(ReplicationCursor{name, l.incarnation, l.position})
		}
	case l.rateFreeAt > c.now+catchUpBurst:
		l.nextSend = l.rateFreeAt - catchUpBurst
	default:
		c.pull(name, l)
	}
	c.startVoting()
}

// nextPull is when another keeper is looked at again.
func (c *Core) nextPull() Time {
	return c.now + c.config.PullInterval/2 + Time(c.random.Int64N(int64(c.config.PullInterval)))
}

// missingDigests are those of some digests of which no record stands here, in their place.
func (c *Core) missingDigests(digests []uint64) []uint64 {
	return slices.DeleteFunc(digests, func(d uint64) bool { return c.byDigest[d] != nil })
}

// pull asks for what is lacking, or for what comes next; again after a while, where no answer comes.
func (c *Core) pull(name string, l *peerState) {
	l.nextSend = c.nextPull()
	l.missing = c.missingDigests(l.missing)
	if len(l.missing) > 0 {
		ask := slices.Collect(func(yield func(uint64) bool) {
			for _, d := range l.missing {
				if c.fetching[d] <= c.now && !yield(d) {
					return
				}
			}
		})
		if len(ask) == 0 { // another keeper is asked for all of them
			l.nextSend, l.awaitsOther = c.now+c.config.RetryInterval, true
			return
		}
		ask = ask[:min(len(ask), digestsPerFetch)]
		if len(c.fetching) > maxReplicas*digestsPerPage { // of answers that never came
			clear(c.fetching)
		}
		l.requested = ask
		for _, d := range ask {
			c.fetching[d] = c.now + c.config.RetryInterval
		}
		c.send(name, Message{Kind: Fetch, RequestID: uint64(max(c.now, 1)), Incarnation: c.incarnation, LogIncarnation: l.incarnation, Digests: ask})
		return
	}
	if l.pagePosition > l.position { // all of them have come from another
		c.continueCatchUp(name, l, 0)
		return
	}
	c.send(name, Message{Kind: Pull, Incarnation: c.incarnation, LogIncarnation: l.incarnation, After: l.position})
}

// handleFetch answers with some of the records that another keeper lacks, and names the digests it has gone through: one that has changed
// meanwhile stands later in the order.
func (c *Core) handleFetch(in MessageReceived) {
	if in.LogIncarnation != c.incarnation {
		c.handlePull(in) // which tells that this is another process
		return
	}
	x := Message{Kind: Fetched, RequestID: in.RequestID, Incarnation: c.incarnation, LogIncarnation: c.incarnation, Next: c.position}
	room := fetchedPageBytes
	for _, d := range in.Digests {
		if r := c.byDigest[d]; r != nil {
			if room -= r.size(); room < 0 && len(x.Records) > 0 {
				break
			}
			x.Records = append(x.Records, c.withAges(r))
		}
		x.Digests = append(x.Digests, d)
	}
	c.send(in.From, x)
}

// handleFetched takes records that were lacking.
func (c *Core) handleFetched(in MessageReceived) {
	l := c.peers[in.From]
	if l == nil || l.registeredAs != c.incarnation || l.incarnation != in.LogIncarnation {
		return
	}
	size := 0
	for _, r := range in.Records {
		if size += r.size(); c.valid(r) {
			for i := range r.Outcomes {
				r.Outcomes[i].Voted = false
			}
			c.mergeRecord(r, min(Time(in.RequestID), c.now))
		}
	}
	c.counts["pulled"] += uint64(len(in.Records))
	gone := map[uint64]bool{}
	for _, d := range in.Digests {
		gone[d] = true
	}
	for _, d := range l.requested { // what did not fit may be had from any
		delete(c.fetching, d)
	}
	l.requested = nil
	if len(in.Digests) > len(in.Records) {
		// What it knew up to the mark has moved on in its order meanwhile: it is not all known before that is. (A keeper that took it for
		// known got its vote without a claim that it had granted in an earlier life.)
		l.registrationPosition = max(l.registrationPosition, in.Next)
	}
	before := len(l.missing)
	l.missing = c.missingDigests(slices.DeleteFunc(l.missing, func(d uint64) bool { return gone[d] }))
	if len(l.missing) < before { // else it is the answer to an earlier one
		c.continueCatchUp(in.From, l, size)
	}
	for _, k := range c.members {
		if o := c.peers[k]; o != nil && o.awaitsOther {
			o.awaitsOther, o.nextSend = false, max(c.now, o.rateFreeAt-catchUpBurst)
		}
	}
}
