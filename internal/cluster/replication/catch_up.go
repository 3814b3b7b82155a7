package replication

import "slices"

// peerState is the progress of catching up with another replica, the peer.
type peerState struct {
	incarnation    Incarnation // the peer's incarnation, to whose log the positions belong
	position       uint64      // all changes up to this position are known here
	pages          digestPages // pages of the changes after position, whose records are being fetched
	hasMore        bool        // the peer has changes after these pages
	pullExpiresAt  Time        // time until which the answer to a pull is awaited
	fetches        []fetch     // requests for records that the peer has not answered
	fetchSize      int         // digests in the next fetch: about as many records as fit one answer
	waitsForOthers bool        // all missing records are being fetched from other replicas
	cursorChanged  bool        // position has changed since the cursor was persisted
	rateFreeAt     Time        // time at which CatchUpRate allows the next request
	nextSend       Time

	registeredAs         Incarnation // incarnation of this process that the peer knows
	registrationPosition uint64      // position that must be reached for caughtUp
	voting               bool        // as stated by the peer
	ready                bool        // as stated by the peer
	recordsKnown         bool        // all changes up to registrationPosition are known
	caughtUp             bool        // recordsKnown, and the peer votes
}

// restart restarts catching up at the first change in the log of an incarnation.
func (p *peerState) restart(of Incarnation) {
	p.incarnation, p.position, p.pages, p.fetches = of, 0, nil, nil
}

// pulledTo returns the position up to which the digests of the changes are known here.
func (p *peerState) pulledTo() uint64 {
	if last := len(p.pages) - 1; last >= 0 {
		return p.pages[last].end
	}
	return p.position
}

// registerAgain makes this process register with the peer without delay.
func (p *peerState) registerAgain(now Time) {
	p.registeredAs = Incarnation{}
	p.recordsKnown, p.caughtUp, p.voting, p.ready = false, false, false, false
	p.nextSend = now
}

// markRegistered records that the peer knows this process under an incarnation.
func (p *peerState) markRegistered(as Incarnation, answer Message) {
	p.registeredAs = as
	p.registrationPosition = answer.Next
	p.recordsKnown, p.caughtUp = false, false
	p.voting, p.ready = answer.Voting, answer.Ready
	if p.incarnation != answer.Incarnation {
		p.restart(answer.Incarnation)
	}
}

// upToDate reports whether all changes of the pages that were pulled are known, and the peer had no others.
func (p *peerState) upToDate() bool { return len(p.pages) == 0 && !p.hasMore }

// advance moves the position to the end of each page of which no record is missing.
func (p *peerState) advance() {
	for p.pages.firstComplete() {
		if end := p.pages[0].end; p.position < end {
			p.position, p.cursorChanged = end, true
		}
		p.pages = p.pages[1:]
	}
	if len(p.pages) > 0 {
		return
	}
	p.fetches = nil // other replicas have sent what these would bring
	if !p.hasMore && p.position >= p.registrationPosition {
		p.recordsKnown = true // this process knows all that the peer knew at the registration
		p.caughtUp = p.caughtUp || p.voting
	}
}

// catchUp is the progress of catching up with the other replicas.
type catchUp struct {
	peers    map[string]*peerState
	fetching map[uint64]Time // by requested digest: the time until which no other replica is asked
}

func newCatchUp() catchUp {
	return catchUp{peers: map[string]*peerState{}, fetching: map[uint64]Time{}}
}

// restartAll restarts catching up with every peer at the first change in its log.
func (u *catchUp) restartAll() {
	for _, peer := range u.peers {
		peer.restart(peer.incarnation)
	}
}

// resumeWaiting resumes catching up with the peers whose missing records were being fetched from others.
func (u *catchUp) resumeWaiting(now Time) {
	for _, peer := range u.peers {
		if peer.waitsForOthers {
			peer.waitsForOthers = false
			peer.nextSend = max(now, peer.rateFreeAt-catchUpBurst)
		}
	}
}

// resetPeers resets the progress with all peers to the persisted cursors. The changes before a cursor are
// persisted, so every later incarnation of this replica knows them.
func (c *Core) resetPeers() {
	for _, name := range c.active.members {
		if name != c.config.Name {
			c.catchUp.peers[name] = &peerState{nextSend: c.now}
		}
	}
	for _, cursor := range c.durability.persistedCursors {
		if peer := c.catchUp.peers[cursor.Replica]; peer != nil {
			peer.incarnation, peer.position = cursor.Incarnation, cursor.Position
		}
	}
	c.durability.persistedCursors = nil
}

// replicate registers with the other replicas, pulls their changes, and starts voting once that is safe.
func (c *Core) replicate() {
	if !c.active.isReplica || !c.registration.serving {
		return
	}
	for _, name := range c.active.members {
		peer := c.catchUp.peers[name]
		if peer == nil || c.now < peer.nextSend {
			continue
		}
		if peer.registeredAs != c.registration.incarnation {
			c.send(name, Message{Kind: Register, Incarnation: c.registration.incarnation})
			peer.nextSend = c.now + c.config.RetryInterval*2
			continue
		}
		c.pull(name, peer)
	}
	c.startVoting()
}

// nextPull returns a random time for the next pull from a replica.
func (c *Core) nextPull() Time {
	return c.now + c.config.PullInterval/2 + Time(c.random.Int64N(int64(c.config.PullInterval)))
}

// pull requests the next page of changes, ahead of the records of the pages before it, and fetches missing
// records. If no answer arrives, the request is repeated after a while.
func (c *Core) pull(name string, peer *peerState) {
	peer.nextSend = c.nextPull()
	peer.pages.removeKnown(&c.records)
	if peer.pages.firstComplete() { // other replicas have sent its records
		c.continueCatchUp(name, peer, 0)
		return
	}
	complete := len(peer.pages) == 0
	if complete || peer.hasMore && len(peer.pages) < maxPagesAhead {
		c.pullPage(name, peer)
	}
	if !complete {
		c.fetch(name, peer)
	}
}

// pullPage requests the next page of changes, unless its answer is awaited.
func (c *Core) pullPage(name string, peer *peerState) {
	if c.now < peer.pullExpiresAt {
		return
	}
	peer.pullExpiresAt = c.answerDue()
	c.send(name, Message{
		Kind:           Pull,
		Incarnation:    c.registration.incarnation,
		LogIncarnation: peer.incarnation,
		After:          peer.pulledTo(),
	})
}

// answerDue returns the time at which the answer to a request of now counts as lost.
func (c *Core) answerDue() Time { return c.now + catchUpRetries*c.config.RetryInterval }

// handlePull answers with one page of digests of the records that changed after a position.
func (c *Core) handlePull(in MessageReceived) {
	after := in.After
	if in.LogIncarnation != c.registration.incarnation {
		after = 0 // the position belongs to the log of another process
	}
	digests, last, more := c.records.changedAfter(after, digestsPerPage)
	c.send(in.From, Message{
		Kind:           DigestPage,
		Incarnation:    c.registration.incarnation,
		LogIncarnation: c.registration.incarnation,
		After:          after,
		Next:           last,
		More:           more,
		Digests:        digests,
		Voting:         c.registration.voting,
		Ready:          c.registration.ready,
	})
}

// handleDigestPage determines which records of a page of another replica's changes are missing here, and
// continues catching up.
func (c *Core) handleDigestPage(in MessageReceived) {
	peer := c.catchUp.peers[in.From]
	if peer == nil || peer.registeredAs != c.registration.incarnation {
		return
	}
	if peer.incarnation != in.LogIncarnation {
		// Another process answers. It may have lost records, so catching up restarts.
		peer.restart(in.LogIncarnation)
		peer.registeredAs = Incarnation{}
		peer.nextSend = c.now
		return
	}
	if in.After != peer.pulledTo() || len(peer.pages) >= maxPagesAhead {
		return // the answer to an earlier pull
	}
	peer.pullExpiresAt, peer.hasMore = 0, in.More
	peer.voting, peer.ready = in.Voting, in.Ready
	missing := c.records.missing(slices.Clone(in.Digests))
	peer.pages = append(peer.pages, digestPage{in.Next, missing})
	c.continueCatchUp(in.From, peer, 8*len(in.Digests))
}

// continueCatchUp accounts for the size of an answer, and sends the next request as soon as CatchUpRate
// allows it. The rate limit prevents catch-up from slowing down ops.
func (c *Core) continueCatchUp(name string, peer *peerState, bytes int) {
	peer.rateFreeAt = max(peer.rateFreeAt, c.now) + Time(bytes)*second/Time(c.config.CatchUpRate)
	peer.advance()
	switch {
	case peer.upToDate():
		peer.nextSend = c.nextPull()
		c.persistCursor(name, peer)
	case peer.rateFreeAt > c.now+catchUpBurst:
		peer.nextSend = peer.rateFreeAt - catchUpBurst
	default:
		c.pull(name, peer)
	}
	c.startVoting()
}

func (c *Core) persistCursor(name string, peer *peerState) {
	if peer.cursorChanged && c.durability.enabled && c.registration.voting {
		peer.cursorChanged = false
		c.emit(ReplicationCursor{name, peer.incarnation, peer.position})
	}
}

// handleFetch answers with as many of the requested records as fit, and lists the digests that it processed.
// If a record has changed meanwhile, its digest is listed without the record, which has a later position.
func (c *Core) handleFetch(in MessageReceived) {
	if in.LogIncarnation != c.registration.incarnation {
		c.handlePull(in) // the answer states the incarnation of this process
		return
	}
	answer := Message{
		Kind:           Fetched,
		RequestID:      in.RequestID,
		Incarnation:    c.registration.incarnation,
		LogIncarnation: c.registration.incarnation,
		Next:           c.records.position,
	}
	bytesLeft := fetchedPageBytes
	for _, digest := range in.Digests {
		if r := c.records.byDigest[digest]; r != nil {
			bytesLeft -= r.size()
			if bytesLeft < 0 && len(answer.Records) > 0 {
				break
			}
			answer.Records = append(answer.Records, c.withAges(r))
		}
		answer.Digests = append(answer.Digests, digest)
	}
	c.send(in.From, answer)
}

// handleFetched merges fetched records and continues catching up.
func (c *Core) handleFetched(in MessageReceived) {
	peer := c.catchUp.peers[in.From]
	if peer == nil || peer.registeredAs != c.registration.incarnation {
		return
	}
	if peer.incarnation != in.LogIncarnation {
		return
	}
	bytes := c.mergeFetched(in.Records, min(Time(in.RequestID), c.now))
	expected := c.catchUp.endFetch(peer, in.Digests)
	if len(in.Digests) > len(in.Records) {
		// A record changed and got a later position in the peer's log before it was fetched. All that the
		// peer knew at the registration is known here only after that position is reached. Otherwise this
		// process could vote without knowing a claim that an earlier incarnation granted.
		peer.registrationPosition = max(peer.registrationPosition, in.Next)
	}
	peer.pages.remove(in.Digests)
	if expected {
		c.continueCatchUp(in.From, peer, bytes)
	}
	c.catchUp.resumeWaiting(c.now)
}

// mergeFetched merges fetched records and returns their estimated size. The sender computed the ages of the
// outcomes after requestedAt. Counted back from requestedAt, they give times that are not too late.
func (c *Core) mergeFetched(records []Record, requestedAt Time) (bytes int) {
	for _, r := range records {
		bytes += r.size()
		if !c.valid(r) {
			continue
		}
		for i := range r.Outcomes {
			r.Outcomes[i].Voted = false
		}
		c.mergeRecord(r, requestedAt)
	}
	c.counts[countRecordsFetched] += uint64(len(records))
	return bytes
}
