package reducer

import "woaddyke/dispatch"

// LearnedState is what a reducer hands on to the one of its process's successor.
type LearnedState struct {
	Module  dispatch.Learned         `json:"module"`
	Zones   []string                 `json:"zones"`   // whose verdicts Module.Zones are, in their order
	IDs     map[string]dispatch.Time `json:"ids"`     // when each is free
	Dropped map[string]dispatch.Time `json:"dropped"` // categories by the end of their retention
}

// Learned returns what is known now that a successor can't read anywhere.
func (r *Reducer) Learned() LearnedState {
	l := LearnedState{Module: r.dispatcher.Learned(), Zones: make([]string, len(r.zones)), IDs: r.ids.expiries(),
		Dropped: make(map[string]dispatch.Time, len(r.droppedCategories))}
	for name, x := range r.droppedCategories {
		l.Dropped[name] = x.retainUntil
	}
	for name, z := range r.zones {
		l.Zones[z] = name
	}
	for i := range r.ops {
		if o := &r.ops[i]; o.id != "" && l.IDs[o.id] == 0 {
			l.IDs[o.id] = o.ttl
		}
	}
	return l
}

// Shift moves all moments by a span, to the clock of another process. What was decoded from a message may
// be shifted, not what a reducer goes on with.
func (l *LearnedState) Shift(by dispatch.Time) {
	l.Module.Shift(by)
	for id, until := range l.IDs {
		if until > 0 {
			l.IDs[id] = until + by
		}
	}
	for category := range l.Dropped {
		l.Dropped[category] += by
	}
}

// StateRestored brings what a predecessor's reducer had learned, after its endpoint list.
type StateRestored struct{ LearnedState }

func (StateRestored) input() {}

// restoreState goes on from a predecessor's state. A zone that is not known here, or had no verdicts
// there, is left out.
func (r *Reducer) restoreState(in StateRestored) {
	theirs := in.Module.Zones
	in.Module.Zones = make([][]dispatch.Verdict, len(r.zones))
	for k, name := range in.Zones[:min(len(in.Zones), len(theirs))] {
		if z, ok := r.zones[name]; ok {
			in.Module.Zones[z] = theirs[k]
		}
	}
	r.dispatcher.RestoreLearned(in.Module)
	r.ids.restore(in.IDs)
	r.restoreDroppedCategories(in.Dropped)
	r.pruneDroppedCategories()
}

// restoreDroppedCategories takes over dropped categories. Their rules are not in this process's
// configuration, so their ops are only nacked.
func (r *Reducer) restoreDroppedCategories(retainUntil map[string]dispatch.Time) {
	for name, until := range retainUntil {
		_, inForce := r.categories[name]
		_, known := r.droppedCategories[name]
		if !inForce && !known {
			r.droppedCategories[name] = droppedCategory{noPlace, until}
		}
	}
}
