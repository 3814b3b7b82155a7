package reducer

import (
	"maps"

	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
)

const (
	leastSweep = 1024    // ids, before those that are free again are looked for
	mostIDs    = 1 << 17 // that are kept, beside those of ops that are held
	keptIDs    = mostIDs * 3 / 4
)

// takenID is an id that no other op may have for now.
type takenID struct {
	until dispatch.Time // 0 while its op is held
	order uint64        // in which its op was answered
}

// takenIDs are the ids, by their keys, of ops that are held, and of those that were answered until their TTL: until then a client may wait for that one.
// A TTL is the client's word, so they are bounded: beyond that those that were answered longest ago are free.
type takenIDs struct {
	by       map[string]takenID
	answered uint64
	sweepAt  int // with so many those that are free again are forgotten
}

func newTakenIDs() takenIDs { return takenIDs{by: map[string]takenID{}} }

// taken tells whether an id is.
func (x *takenIDs) taken(now dispatch.Time, id string) bool {
	t, known := x.by[id]
	return known && (t.until == 0 || now <= t.until)
}

// hold takes an id for an op that is held.
func (x *takenIDs) hold(id string) { x.by[id] = takenID{} }

// release keeps the id of an op that was answered, until its TTL.
func (x *takenIDs) release(now dispatch.Time, id string, until dispatch.Time) {
	x.answered++
	x.by[id] = takenID{until, x.answered}
	if len(x.by) >= max(x.sweepAt, leastSweep) {
		x.sweep(now)
	}
}

// sweep forgets the ids that are free again, and beyond the bound those that were answered longest ago.
func (x *takenIDs) sweep(now dispatch.Time) {
	maps.DeleteFunc(x.by, func(_ string, t takenID) bool { return t.until > 0 && t.until < now })
	if len(x.by) >= mostIDs {
		maps.DeleteFunc(x.by, func(_ string, t takenID) bool { return t.until > 0 && t.order+keptIDs <= x.answered })
	}
	x.sweepLater()
}

// sweepLater has the next sweep come once there are many more ids, and at the bound at the latest, or soon where that is passed already.
func (x *takenIDs) sweepLater() {
	x.sweepAt = max(min(2*len(x.by), mostIDs), len(x.by)+leastSweep)
}

// inherit takes the ids that another process's ops have or had; its ops have their answers by their TTL.
func (x *takenIDs) inherit(until map[string]dispatch.Time) {
	for told, t := range until {
		id := opkey.PeerKey(told)
		if _, known := x.by[id]; !known && t > 0 {
			x.by[id] = takenID{t, x.answered}
		}
	}
	x.sweepLater()
}

// untils are the ids with when each is free; 0 for one whose op is held.
func (x *takenIDs) untils() map[string]dispatch.Time {
	all := make(map[string]dispatch.Time, len(x.by))
	for id, t := range x.by {
		all[id] = t.until
	}
	return all
}
