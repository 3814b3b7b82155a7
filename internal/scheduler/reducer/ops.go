package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/base/opkey"
	"woaddyke/internal/workers/outcome"
)

// unknownZone is the zone of a prior attempt in a zone that is not known here.
const unknownZone = -1

// op is an op that was admitted and is not forgotten, by the index that the dispatcher knows it by.
type op struct {
	number   uint64
	id       string
	ttl      dispatch.Time
	attempts int
	worker   int // of the last attempt
	sentAt   dispatch.Time
	inFlight bool
	answered bool // or its client has disconnected
}

// admitOp gives an op to the dispatcher, or answers it at once.
func (r *Reducer) admitOp(now dispatch.Time, in OpArrived) []Effect {
	place, ok := r.categoryPlace(now, in.Category)
	if !ok {
		return rejectOp(in, r.unknownCategoryVerdict(in.Category))
	}
	if in.Effect != "" && dispatch.Effect(in.Effect) != r.dispatcher.CategoryEffect(place) {
		// The settings have changed since the frontend read the op: it would run under another effect.
		return rejectOp(in, Nacked)
	}
	// A second op of one ID would run twice at its worker, also after the answer: the first may still run.
	id := opkey.FromID(in.ID)
	if r.ids.isReserved(now, id) {
		return rejectOp(in, DuplicateID)
	}
	i := r.takeOpIndex()
	if !r.dispatcher.AddOp(i, r.opSpec(place, in)) {
		r.freeOps = append(r.freeOps, i)
		return rejectOp(in, UnknownCategory)
	}
	r.ops[i] = op{number: in.Op, id: id, ttl: in.TTL}
	r.ids.reserve(id)
	r.opsByNumber[in.Op] = i
	if r.shutdownDeadline > 0 {
		r.dispatcher.LimitDeadlines(r.shutdownDeadline)
	}
	return nil
}

func rejectOp(in OpArrived, verdict Verdict) []Effect {
	return []Effect{Respond{Op: in.Op, Verdict: verdict}}
}

// unknownCategoryVerdict is a nack for a dropped category: the op never ran, and its client made no
// mistake.
func (r *Reducer) unknownCategoryVerdict(category string) Verdict {
	if _, dropped := r.droppedCategories[category]; dropped {
		return Nacked
	}
	return UnknownCategory
}

// takeOpIndex takes a free index, or makes one.
func (r *Reducer) takeOpIndex() (i int) {
	if n := len(r.freeOps); n > 0 {
		i, r.freeOps = r.freeOps[n-1], r.freeOps[:n-1]
		return i
	}
	r.ops = append(r.ops, op{})
	return len(r.ops) - 1
}

func (r *Reducer) opSpec(place int, in OpArrived) dispatch.OpSpec {
	spec := dispatch.OpSpec{Category: place, TTL: in.TTL, Slots: max(in.Slots, 1), Memory: in.Memory,
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

// disconnectClient ends what is done for a client that has gone. Where attempts may not be cancelled, one
// that is not written yet still need not be.
func (r *Reducer) disconnectClient(number uint64) []Effect {
	i, ok := r.opsByNumber[number]
	if !ok {
		return nil
	}
	o := &r.ops[i]
	o.answered = true
	r.dispatcher.ClientDisconnected(i)
	switch {
	case o.inFlight && r.cancelsAttempts:
		return []Effect{CancelAttempt{Op: number, Ending: outcome.Cancelled}}
	case o.inFlight:
		return []Effect{CancelAttempt{Op: number, OnlyIfUnsent: true, Ending: outcome.CancelledUnsent}}
	}
	return nil
}

// startShutdown cuts the TTLs of all ops short. At the deadline itself attempts in flight time out, as at
// a TTL.
func (r *Reducer) startShutdown(now, deadline dispatch.Time) (todo []Effect) {
	r.shutdownDeadline = deadline
	r.dispatcher.LimitDeadlines(deadline)
	for i := range r.ops {
		if o := &r.ops[i]; o.inFlight && now >= deadline {
			todo = append(todo, CancelAttempt{Op: o.number, Ending: outcome.TimedOut})
		}
	}
	return todo
}

// forgetOp frees an op's index. Its ID stays reserved until its TTL.
func (r *Reducer) forgetOp(now dispatch.Time, i int) {
	o := &r.ops[i]
	delete(r.opsByNumber, o.number)
	r.ids.release(now, o.id, o.ttl)
	*o = op{}
	r.freeOps = append(r.freeOps, i)
}
