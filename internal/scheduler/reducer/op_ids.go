package reducer

import (
	"maps"

	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
)

const (
	// minSweepSize is the number of IDs below which expired ones are not looked for.
	minSweepSize = 1024
	// maxIDs bounds the reserved IDs beside those of open ops: a TTL is what a client says.
	maxIDs = 1 << 17
	// maxRetainedIDs is how many of the IDs of answered ops are left after a sweep at the bound.
	maxRetainedIDs = maxIDs * 3 / 4
)

// reservedID is an ID that no other op may have for now.
type reservedID struct {
	expiresAt dispatch.Time // 0 while its op is open
	order     uint64        // in which ops were answered
}

// idRegistry reserves the IDs, by their keys, of open ops, and of answered ones until their TTL: until
// then the client of one may wait for it. Beyond the bound the IDs that were answered longest ago are
// free.
type idRegistry struct {
	byID     map[string]reservedID
	released uint64 // ops answered so far
	sweepAt  int    // with so many IDs the expired ones are deleted
}

func newIDRegistry() idRegistry { return idRegistry{byID: map[string]reservedID{}} }

// isReserved reports whether another op has the ID.
func (x *idRegistry) isReserved(now dispatch.Time, id string) bool {
	t, known := x.byID[id]
	return known && (t.expiresAt == 0 || now <= t.expiresAt)
}

// reserve reserves an ID for an open op.
func (x *idRegistry) reserve(id string) { x.byID[id] = reservedID{} }

// release keeps the ID of an answered op reserved until its TTL.
func (x *idRegistry) release(now dispatch.Time, id string, until dispatch.Time) {
	x.released++
	x.byID[id] = reservedID{until, x.released}
	if len(x.byID) >= max(x.sweepAt, minSweepSize) {
		x.sweep(now)
	}
}

// sweep deletes expired IDs, and beyond the bound those that were answered longest ago.
func (x *idRegistry) sweep(now dispatch.Time) {
	x.deleteAnswered(func(r reservedID) bool { return r.expiresAt < now })
	if len(x.byID) >= maxIDs {
		x.deleteAnswered(func(r reservedID) bool { return r.order+maxRetainedIDs <= x.released })
	}
	x.scheduleSweep()
}

// deleteAnswered deletes IDs of answered ops.
func (x *idRegistry) deleteAnswered(suits func(reservedID) bool) {
	maps.DeleteFunc(x.byID, func(_ string, r reservedID) bool { return r.expiresAt > 0 && suits(r) })
}

// scheduleSweep sets the next sweep: at twice the IDs, at the bound at the latest, or soon where that is
// passed.
func (x *idRegistry) scheduleSweep() {
	x.sweepAt = max(min(2*len(x.byID), maxIDs), len(x.byID)+minSweepSize)
}

// restore reserves the IDs of a predecessor's ops; its open ones have their answers by their TTL.
func (x *idRegistry) restore(until map[string]dispatch.Time) {
	for key, expiresAt := range until {
		id := opkey.PeerKey(key)
		if _, known := x.byID[id]; !known && expiresAt > 0 {
			x.byID[id] = reservedID{expiresAt, x.released}
		}
	}
	x.scheduleSweep()
}

// expiries returns when each ID is free; 0 for one of an open op.
func (x *idRegistry) expiries() map[string]dispatch.Time {
	all := make(map[string]dispatch.Time, len(x.byID))
	for id, t := range x.byID {
		all[id] = t.expiresAt
	}
	return all
}
