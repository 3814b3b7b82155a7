package replication

import "slices"

// peerState is how far another replica's changes are known here.
type peerState struct {
	incarnation   Incarnation // whose order of changes the positions are in
	position      uint64      // all changes up to it are known here
	pagePosition  uint64      // and those up to it, once what is missing has come
	missing       []uint64    // digests of records that it has and that are not known here
	requested     []uint64    // digests that are being fetched from it
	awaitsOther   bool        // all that is missing is being fetched from other replicas
	cursorChanged bool        // position has not been persisted since it moved
	rateFreeAt    Time        // when CatchUpRate allows the next request
	nextSend      Time
	more          bool // its answer left changes out

	registeredAs         Incarnation // of this process, as that replica knows it
	registrationPosition uint64      // its latest change when it registered this process
	voting               bool        // by its own statement
	ready                bool        // by its own statement
	caughtUp             bool        // all changes up to registrationPosition are known here, and it votes
}

// restart begins with the first change of an incarnation.
func (p *peerState) restart(of Incarnation) {
	p.incarnation, p.position, p.pagePosition, p.missing = of, 0, 0, nil
}

// registerAgain has this process register with the peer at once.
func (p *peerState) registerAgain(now Time) {
	p.registeredAs = Incarnation{}
	p.caughtUp, p.voting, p.ready = false, false, false
	p.nextSend = now
}

// registered records that the peer knows this process under an incarnation.
func (p *peerState) registered(as Incarnation, x Message) {
	p.registeredAs = as
	p.registrationPosition = x.Next
	p.caughtUp = false
	p.voting, p.ready = x.Voting, x.Ready
	if p.incarnation != x.Incarnation {
		p.restart(x.Incarnation)
	}
}

// advance moves the position on once nothing is missing up to it.
func (p *peerState) advance() {
	if len(p.missing) > 0 {
		return
	}
	if p.position < p.pagePosition {
		p.position, p.cursorChanged = p.pagePosition, true
	}
	if !p.more && p.voting && p.position >= p.registrationPosition {
		p.caughtUp = true // it knows all that the peer knew while that had its vote
	}
}

// catchUp is the progress with the other replicas.
type catchUp struct {
	peers    map[string]*peerState
	fetching map[uint64]Time // digests that one replica was asked for, and until when no other is
}

func newCatchUp() catchUp {
	return catchUp{peers: map[string]*peerState{}, fetching: map[uint64]Time{}}
}

// restartAll begins with the first change of every peer.
func (u *catchUp) restartAll() {
	for _, peer := range u.peers {
		peer.restart(peer.incarnation)
	}
}

// reserve picks the digests that no other replica is being asked for, and reserves them for a while.
func (u *catchUp) reserve(missing []uint64, now, reservation Time) (digests []uint64) {
	for _, digest := range missing {
		if u.fetching[digest] <= now {
			digests = append(digests, digest)
		}
	}
	digests = digests[:min(len(digests), digestsPerFetch)]
	if len(digests) > 0 && len(u.fetching) > maxReplicas*digestsPerPage {
		clear(u.fetching) // of requests that were never answered
	}
	for _, digest := range digests {
		u.fetching[digest] = now + reservation
	}
	return digests
}

// release ends the reservation of what a peer was asked for: what did not fit its answer may be fetched from
// any replica.
func (u *catchUp) release(peer *peerState) {
	for _, digest := range peer.requested {
		delete(u.fetching, digest)
	}
	peer.requested = nil
}

// wakeWaiting lets the peers continue that waited for answers of others.
func (u *catchUp) wakeWaiting(now Time) {
	for _, peer := range u.peers {
		if peer.awaitsOther {
			peer.awaitsOther = false
			peer.nextSend = max(now, peer.rateFreeAt-catchUpBurst)
		}
	}
}

// resetPeers forgets the progress with all peers, but for the persisted cursors: no later incarnation of
// this process knows less than these.
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

// replicate registers with the other replicas, pulls their changes, and starts to vote when that is safe.
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

// nextPull draws when another replica is pulled from again.
func (c *Core) nextPull() Time {
	return c.now + c.config.PullInterval/2 + Time(c.random.Int64N(int64(c.config.PullInterval)))
}

// pull fetches what is missing, or asks for what comes next; again after a while where no answer comes.
func (c *Core) pull(name string, peer *peerState) {
	peer.nextSend = c.nextPull()
	peer.missing = c.records.missing(peer.missing)
	switch {
	case len(peer.missing) > 0:
		c.fetch(name, peer)
	case peer.pagePosition > peer.position: // all of them have come from other replicas
		c.continueCatchUp(name, peer, 0)
	default:
		c.send(name, Message{
			Kind:           Pull,
			Incarnation:    c.registration.incarnation,
			LogIncarnation: peer.incarnation,
			After:          peer.position,
		})
	}
}

// fetch asks a replica for some of what is missing.
func (c *Core) fetch(name string, peer *peerState) {
	digests := c.catchUp.reserve(peer.missing, c.now, c.config.RetryInterval)
	if len(digests) == 0 {
		peer.awaitsOther = true
		peer.nextSend = c.now + c.config.RetryInterval
		return
	}
	peer.requested = digests
	c.send(name, Message{
		Kind:           Fetch,
		RequestID:      uint64(max(c.now, 1)),
		Incarnation:    c.registration.incarnation,
		LogIncarnation: peer.incarnation,
		Digests:        digests,
	})
}

// handlePull answers with the digests of what has changed after a position, up to a page.
func (c *Core) handlePull(in MessageReceived) {
	after := in.After
	if in.LogIncarnation != c.registration.incarnation {
		after = 0 // a position in another process's order
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

// handleDigestPage compares a page of another replica's changes with what is known here, and goes on with
// what is missing.
func (c *Core) handleDigestPage(in MessageReceived) {
	peer := c.catchUp.peers[in.From]
	if peer == nil || peer.registeredAs != c.registration.incarnation {
		return
	}
	if peer.incarnation != in.LogIncarnation {
		// Another process: what it may have lost is asked for again.
		peer.restart(in.LogIncarnation)
		peer.registeredAs = Incarnation{}
		peer.nextSend = c.now
		return
	}
	if in.After != peer.position {
		return // the answer to an earlier pull
	}
	peer.pagePosition, peer.more = in.Next, in.More
	peer.voting, peer.ready = in.Voting, in.Ready
	peer.missing = c.records.missing(slices.Clone(in.Digests))
	c.continueCatchUp(in.From, peer, 8*len(in.Digests))
}

// continueCatchUp accounts for an answer of so many bytes, and asks for what comes next within CatchUpRate:
// catching up must not slow down ops.
func (c *Core) continueCatchUp(name string, peer *peerState, bytes int) {
	peer.rateFreeAt = max(peer.rateFreeAt, c.now) + Time(bytes)*second/Time(c.config.CatchUpRate)
	peer.advance()
	switch {
	case len(peer.missing) == 0 && !peer.more:
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

// handleFetch answers with records, as many as fit, and names the digests that it went through: a record
// that has changed meanwhile stands later in the order.
func (c *Core) handleFetch(in MessageReceived) {
	if in.LogIncarnation != c.registration.incarnation {
		c.handlePull(in) // whose answer says that this is another process
		return
	}
	x := Message{
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
			if bytesLeft < 0 && len(x.Records) > 0 {
				break
			}
			x.Records = append(x.Records, c.withAges(r))
		}
		x.Digests = append(x.Digests, digest)
	}
	c.send(in.From, x)
}

// handleFetched merges the records that were missing.
func (c *Core) handleFetched(in MessageReceived) {
	peer := c.catchUp.peers[in.From]
	if peer == nil || peer.registeredAs != c.registration.incarnation {
		return
	}
	if peer.incarnation != in.LogIncarnation {
		return
	}
	bytes := c.mergeFetched(in.Records, min(Time(in.RequestID), c.now))
	c.catchUp.release(peer)
	if len(in.Digests) > len(in.Records) {
		// A record moved on in the peer's order before it was fetched. All that the peer knew at the
		// registration is known here only once the record's new position is reached; otherwise a vote could
		// start without a claim that an earlier incarnation granted.
		peer.registrationPosition = max(peer.registrationPosition, in.Next)
	}
	missingBefore := len(peer.missing)
	peer.missing = c.records.missing(without(peer.missing, in.Digests))
	if len(peer.missing) < missingBefore { // otherwise it answers an earlier request
		c.continueCatchUp(in.From, peer, bytes)
	}
	c.catchUp.wakeWaiting(c.now)
}

// mergeFetched merges fetched records, whose ages were true at some moment not before the request, and
// returns their size.
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

// without removes some digests from a list, in place.
func without(digests, removed []uint64) []uint64 {
	isRemoved := map[uint64]bool{}
	for _, digest := range removed {
		isRemoved[digest] = true
	}
	return slices.DeleteFunc(digests, func(digest uint64) bool { return isRemoved[digest] })
}
