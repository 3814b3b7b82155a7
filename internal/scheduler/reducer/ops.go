package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
	"woaddyke/internal/workers/outcome"
)

// unknownZone is the number of a zone that this reducer does not know, in which a prior attempt may have run.
const unknownZone = -1

// op is an admitted op that is not forgotten. Its index in Reducer.ops is the dispatcher's index for it. The
// fields worker, sentAt and inFlight describe the last attempt. The field id is the key of the client's ID.
type op struct {
	number     uint64
	id         string
	ttl        dispatch.Time
	attempts   int
	worker     int // index of the last attempt's worker
	sentAt     dispatch.Time
	inFlight   bool
	clientDone bool // the client has the answer or has disconnected
}

// admitOp passes an op to the dispatcher, or answers it immediately.
func (r *Reducer) admitOp(now dispatch.Time, in OpArrived) []Effect {
	checked, verdict, ok := r.checkOp(now, in)
	if !ok {
		return rejectOp(in, verdict)
	}
	i := r.allocateOpIndex()
	if !r.dispatcher.AddOp(i, r.opSpec(checked.category, in)) {
		r.freeOps = append(r.freeOps, i)
		return rejectOp(in, UnknownCategory)
	}
	r.ops[i] = op{number: in.Op, id: checked.id, ttl: in.TTL}
	r.ids.reserve(checked.id)
	r.opsByNumber[in.Op] = i
	if r.shutdownDeadline > 0 {
		r.dispatcher.LimitDeadlines(r.shutdownDeadline)
	}
	return nil
}

// Admits reports whether an op that arrived now would be admitted.
func (r *Reducer) Admits(now dispatch.Time, in OpArrived) bool {
	_, _, ok := r.checkOp(now, in)
	return ok
}

// checkedOp is an op that may be admitted.
type checkedOp struct {
	category int    // the dispatcher's index
	id       string // key of the client's ID
}

// checkOp checks whether an op may be admitted. If ok is false, the verdict is its answer.
func (r *Reducer) checkOp(now dispatch.Time, in OpArrived) (op checkedOp, verdict Verdict, ok bool) {
	category, known := r.categoryIndex(now, in.Category)
	if !known {
		return checkedOp{}, r.unknownCategoryVerdict(in.Category), false
	}
	if in.Effect != "" && dispatch.Effect(in.Effect) != r.dispatcher.CategoryEffect(category) {
		// The settings have changed since the frontend admitted the op, which would run under another effect.
		return checkedOp{}, Nacked, false
	}
	// Two ops with the same ID would run as duplicates. An answer to the first op does not change that: the
	// first op may still run.
	id := opkey.FromID(in.ID)
	if r.ids.isReserved(now, id) {
		return checkedOp{}, DuplicateID, false
	}
	return checkedOp{category, id}, 0, true
}

// reserveIDs reserves the IDs of ops that another process of this scheduler has admitted.
func (r *Reducer) reserveIDs(now dispatch.Time, in IDsAnnounced) {
	for _, announced := range in.IDs {
		r.ids.reserveUntil(now, announced.Key, now+announced.TTL)
	}
}

func rejectOp(in OpArrived, verdict Verdict) []Effect {
	return []Effect{Respond{Op: in.Op, Verdict: verdict}}
}

// unknownCategoryVerdict returns a nack for a dropped category: the op never ran, and the client's request
// was valid.
func (r *Reducer) unknownCategoryVerdict(category string) Verdict {
	if _, dropped := r.droppedCategories[category]; dropped {
		return Nacked
	}
	return UnknownCategory
}

// allocateOpIndex returns a free index, or appends a new one.
func (r *Reducer) allocateOpIndex() (i int) {
	if n := len(r.freeOps); n > 0 {
		i, r.freeOps = r.freeOps[n-1], r.freeOps[:n-1]
		return i
	}
	r.ops = append(r.ops, op{})
	return len(r.ops) - 1
}

func (r *Reducer) opSpec(category int, in OpArrived) dispatch.OpSpec {
	spec := dispatch.OpSpec{Category: category, TTL: in.TTL, Slots: max(in.Slots, 1), Memory: in.Memory,
		Work: in.Work, AffinityKey: in.AffinityKey}
	if p := in.PriorAttempt; p != nil {
		zone, ok := r.zones[p.Zone]
		if !ok {
			zone = unknownZone
		}
		spec.PriorAttempt = &dispatch.PriorAttempt{Zone: zone, Group: p.WorkerGroup, StartedAt: p.StartedAt}
	}
	return spec
}

// disconnectClient ends the work for a client that has disconnected. If the settings forbid cancelling
// attempts, it cancels only an attempt that is not written yet.
func (r *Reducer) disconnectClient(number uint64) []Effect {
	i, ok := r.opsByNumber[number]
	if !ok {
		return nil
	}
	o := &r.ops[i]
	o.clientDone = true
	r.dispatcher.ClientDisconnected(i)
	switch {
	case o.inFlight && r.cancelsAttempts:
		return []Effect{CancelAttempt{Op: number, Ending: outcome.Cancelled}}
	case o.inFlight:
		return []Effect{CancelAttempt{Op: number, OnlyIfUnsent: true, Ending: outcome.CancelledUnsent}}
	}
	return nil
}

// startShutdown limits the TTLs of all ops to the deadline. When the host calls it again at the deadline, it
// times out the attempts in flight, as at a TTL.
func (r *Reducer) startShutdown(now, deadline dispatch.Time) (effects []Effect) {
	r.shutdownDeadline = deadline
	r.dispatcher.LimitDeadlines(deadline)
	for i := range r.ops {
		if o := &r.ops[i]; o.inFlight && now >= deadline {
			effects = append(effects, CancelAttempt{Op: o.number, Ending: outcome.TimedOut})
		}
	}
	return effects
}

// forgetOp frees an op's index. Its ID stays reserved until its TTL.
func (r *Reducer) forgetOp(now dispatch.Time, i int) {
	o := &r.ops[i]
	delete(r.opsByNumber, o.number)
	r.ids.release(now, o.id, o.ttl)
	*o = op{}
	r.freeOps = append(r.freeOps, i)
}
