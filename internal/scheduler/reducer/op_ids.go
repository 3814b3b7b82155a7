package reducer

import (
	"maps"

	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
)

const (
	// minSweepSize is the number of IDs below which expired IDs are not deleted.
	minSweepSize = 1024
	// maxIDs bounds the number of reserved IDs, as clients choose the TTLs, which may be long. The IDs of
	// open ops are never freed, so they may exceed the bound.
	maxIDs = 1 << 17
	// maxRetainedIDs is the number of IDs of answered ops that remain after a sweep at maxIDs.
	maxRetainedIDs = maxIDs * 3 / 4
)

// reservedID is an ID that no other op may use until it expires.
type reservedID struct {
	expiresAt     dispatch.Time // 0 while its op is open
	releaseNumber uint64        // position in the order in which ops were answered
}

// idRegistry reserves the IDs of ops, which it stores by their keys. The ID of an answered op stays reserved
// until the op's TTL, because the client may wait until then. Beyond maxIDs, the IDs of the ops answered
// longest ago are freed.
type idRegistry struct {
	byID     map[string]reservedID
	released uint64 // number of ops answered so far
	sweepAt  int    // number of IDs that starts a sweep
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

// sweep deletes expired IDs and, beyond maxIDs, the IDs of the ops answered longest ago.
func (x *idRegistry) sweep(now dispatch.Time) {
	x.deleteReleased(func(r reservedID) bool { return r.expiresAt < now })
	if len(x.byID) >= maxIDs {
		x.deleteReleased(func(r reservedID) bool { return r.releaseNumber+maxRetainedIDs <= x.released })
	}
	x.scheduleSweep()
}

// deleteReleased deletes the IDs of answered ops that match.
func (x *idRegistry) deleteReleased(match func(reservedID) bool) {
	maps.DeleteFunc(x.byID, func(_ string, r reservedID) bool { return r.expiresAt > 0 && match(r) })
}

// scheduleSweep sets the number of IDs that starts the next sweep: twice the current number but at most
// maxIDs, and in any case at least minSweepSize more than the current number.
func (x *idRegistry) scheduleSweep() {
	x.sweepAt = max(min(2*len(x.byID), maxIDs), len(x.byID)+minSweepSize)
}

// restore reserves the IDs of a predecessor's ops until the given times. An open op's ID is reserved until
// the op's TTL, because the predecessor answers the op no later than that.
func (x *idRegistry) restore(until map[string]dispatch.Time) {
	for key, expiresAt := range until {
		id := opkey.PeerKey(key)
		if _, known := x.byID[id]; !known && expiresAt > 0 {
			x.byID[id] = reservedID{expiresAt, x.released}
		}
	}
	x.scheduleSweep()
}

// reserveUntil reserves the ID of an op that another process of this scheduler has admitted. An ID that is
// reserved for longer stays so.
func (x *idRegistry) reserveUntil(now dispatch.Time, key string, expiresAt dispatch.Time) {
	id := opkey.PeerKey(key)
	known, ok := x.byID[id]
	if ok && (known.expiresAt == 0 || known.expiresAt >= expiresAt) {
		return
	}
	x.release(now, id, expiresAt)
}

// expiries returns when the reservation of each ID expires; 0 for an open op.
func (x *idRegistry) expiries() map[string]dispatch.Time {
	all := make(map[string]dispatch.Time, len(x.byID))
	for id, t := range x.byID {
		all[id] = t.expiresAt
	}
	return all
}
