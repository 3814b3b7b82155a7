package replication

// maxReleasedClaims is the number of released claims that are remembered for late grants.
const maxReleasedClaims = 4096

// releasedClaims are the claims whose release was not reported to some replicas, since these had refused the
// claim. The network may deliver a copy of the request later, and such a replica may grant it then.
type releasedClaims struct {
	records map[uint64]Record // by request ID on the wire
	order   []uint64
}

func newReleasedClaims() releasedClaims { return releasedClaims{records: map[uint64]Record{}} }

// add remembers the release of a claim, and forgets the oldest one beyond the limit.
func (x *releasedClaims) add(wireID uint64, release Record) {
	if _, known := x.records[wireID]; !known {
		x.order = append(x.order, wireID)
	}
	x.records[wireID] = release
	if len(x.order) > maxReleasedClaims {
		delete(x.records, x.order[0])
		x.order = x.order[1:]
	}
}

// handleLateGrant reports the release of a claim to a replica that has granted the claim after its release.
// Otherwise the claim would block its key until the record expires, although no process has it. The report is
// sent once, under no request ID, since other reports may have that of the claim.
func (c *Core) handleLateGrant(in MessageReceived) {
	release, released := c.claims.released.records[in.RequestID]
	if !released {
		return
	}
	c.count(countLateGrant)
	c.send(in.From, Message{Kind: OutcomeReported, Record: release})
}
