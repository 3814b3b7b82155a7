package replication

import "slices"

// fetch is a request to a peer for the records with some digests. Several are in flight at a time, since an
// answer holds few records and the time between a request and its answer would otherwise limit catch-up.
type fetch struct {
	digests   []uint64
	expiresAt Time // time at which the answer counts as lost
}

// maxFetchesInFlight returns how many requests may be in flight to one peer, so that their answers make up
// CatchUpRate on a link with a round trip of catchUpWindow.
func (c *Config) maxFetchesInFlight() int {
	windowBytes := c.CatchUpRate / int(second/catchUpWindow)
	return min(max(windowBytes/fetchedPageBytes, 1), digestsPerPage)
}

// unreserved returns the missing digests of pages that are not being fetched from any replica.
func (u *catchUp) unreserved(pages digestPages, now Time) (digests []uint64) {
	for _, page := range pages {
		for _, digest := range page.missing {
			if u.fetching[digest] <= now {
				digests = append(digests, digest)
			}
		}
	}
	return digests
}

// reserve prevents that digests are fetched from another replica before a time.
func (u *catchUp) reserve(digests []uint64, until Time) {
	if len(u.fetching) > maxReplicas*digestsPerPage {
		clear(u.fetching) // removes requests that were never answered
	}
	for _, digest := range digests {
		u.fetching[digest] = until
	}
}

// endFetch ends the request that an answer belongs to, and returns false if that request has expired. An answer
// lists the digests that it processed in the order of the request, at least the first one. Records that did
// not fit the answer may be fetched from any replica.
func (u *catchUp) endFetch(peer *peerState, answered []uint64) bool {
	if len(answered) == 0 {
		return false
	}
	isAnswered := func(f fetch) bool { return f.digests[0] == answered[0] }
	i := slices.IndexFunc(peer.fetches, isAnswered)
	if i < 0 {
		return false
	}
	requested := peer.fetches[i].digests
	for _, digest := range requested {
		delete(u.fetching, digest)
	}
	peer.fetches = slices.Delete(peer.fetches, i, i+1)
	peer.adaptFetchSize(len(requested), len(answered))
	return true
}

// adaptFetchSize chooses the size of the next fetch by how many digests one answer processed.
func (p *peerState) adaptFetchSize(requested, answered int) {
	if answered < requested {
		p.fetchSize = answered
		return
	}
	p.fetchSize = min(max(p.fetchSize, requested)+1, maxFetchSize)
}

// nextFetchSize returns the number of digests for the next fetch.
func (p *peerState) nextFetchSize() int {
	if p.fetchSize == 0 {
		return maxFetchSize // no answer yet
	}
	return p.fetchSize
}

// fetch requests missing records from a replica, as many as may be in flight.
func (c *Core) fetch(name string, peer *peerState) {
	expired := func(f fetch) bool { return f.expiresAt <= c.now }
	peer.fetches = slices.DeleteFunc(peer.fetches, expired)
	expiresAt := c.answerDue()
	digests := c.catchUp.unreserved(peer.pages, c.now)
	for len(digests) > 0 && len(peer.fetches) < c.config.maxFetchesInFlight() {
		size := min(len(digests), peer.nextFetchSize())
		c.sendFetch(name, peer, fetch{digests[:size:size], expiresAt})
		digests = digests[size:]
	}
	if len(peer.fetches) == 0 {
		peer.waitsForOthers = true
		peer.nextSend = expiresAt
		return
	}
	for _, f := range peer.fetches {
		peer.nextSend = min(peer.nextSend, f.expiresAt)
	}
}

func (c *Core) sendFetch(name string, peer *peerState, f fetch) {
	c.catchUp.reserve(f.digests, f.expiresAt)
	peer.fetches = append(peer.fetches, f)
	c.send(name, Message{
		Kind:           Fetch,
		RequestID:      uint64(max(c.now, 1)),
		Incarnation:    c.registration.incarnation,
		LogIncarnation: peer.incarnation,
		Digests:        f.digests,
	})
}
