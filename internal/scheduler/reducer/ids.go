package reducer

import (
	"maps"

	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
)

const (
	minSweepSize   = 1024    // ids, before those that are free again are looked for
	maxIDs         = 1 << 17 // that are kept, beside those of ops that are held
	maxRetainedIDs = maxIDs * 3 / 4
)

// reservedID is an id that no other op may have for now.
type reservedID struct {
	expiresAt dispatch.Time // 0 while its op is held
	order     uint64        // in which its op was answered
}

// idRegistry are the ids, by their keys, of ops that are held, and of those that were answered until their TTL: until then a client may wait for that one.
// A TTL is the client's word, so they are bounded: beyond that those that were answered longest ago are free.
type idRegistry struct {
	byID     map[string]reservedID
	released uint64
	sweepAt  int // with so many those that are free again are forgotten
}

func newIDRegistry() idRegistry { return idRegistry{byID: map[string]reservedID{}} }

// isReserved tells whether an id is.
func (x *idRegistry) isReserved(now dispatch.Time, id string) bool {
	t, known := x.byID[id]
	return known && (t.expiresAt == 0 || now <= t.expiresAt)
}

// reserve takes an id for an op that is held.
func (x *idRegistry) reserve(id string) { x.byID[id] = reservedID{} }

// release keeps the id of an op that was answered, until its TTL.
func (x *idRegistry) release(now dispatch.Time, id string, until dispatch.Time) {
	x.released++
	x.byID[id] = reservedID{until, x.released}
	if len(x.byID) >= max(x.sweepAt, minSweepSize) {
		x.sweep(now)
	}
}

// sweep forgets the ids that are free again, and beyond the bound those that were answered longest ago.
func (x *idRegistry) sweep(now dispatch.Time) {
	maps.DeleteFunc(x.byID, func(_ string, t reservedID) bool { return t.expiresAt > 0 && t.expiresAt < now })
	if len(x.byID) >= maxIDs {
		maps.DeleteFunc(x.byID, func(_ string, t reservedID) bool { return t.expiresAt > 0 && t.order+maxRetainedIDs <= x.released })
	}
	x.scheduleSweep()
}

// scheduleSweep has the next sweep come once there are many more ids, and at the bound at the latest, or soon where that is passed already.
func (x *idRegistry) scheduleSweep() {
	x.sweepAt = max(min(2*len(x.byID), maxIDs), len(x.byID)+minSweepSize)
}

// restore takes the ids that another process's ops have or had; its ops have their answers by their TTL.
func (x *idRegistry) restore(until map[string]dispatch.Time) {
	for told, t := range until {
		id := opkey.PeerKey(told)
		if _, known := x.byID[id]; !known && t > 0 {
			x.byID[id] = reservedID{t, x.released}
		}
	}
	x.scheduleSweep()
}

// expiries are the ids with when each is free; 0 for one whose op is held.
func (x *idRegistry) expiries() map[string]dispatch.Time {
	all := make(map[string]dispatch.Time, len(x.byID))
	for id, t := range x.byID {
		all[id] = t.expiresAt
	}
	return all
}
