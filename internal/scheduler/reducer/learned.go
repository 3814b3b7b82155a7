package reducer

import "woaddyke/dispatch"

// LearnedState is the state that a reducer hands over to its successor process.
type LearnedState struct {
	Module  dispatch.Learned         `json:"module"`
	Zones   []string                 `json:"zones"`   // names of the zones in Module.Zones, in the same order
	IDs     map[string]dispatch.Time `json:"ids"`     // when the reservation of each ID expires
	Dropped map[string]dispatch.Time `json:"dropped"` // dropped categories, with the end of their retention
}

// Learned returns the current state that a successor can't get from any other source.
func (r *Reducer) Learned() LearnedState {
	l := LearnedState{
		Module:  r.dispatcher.Learned(),
		Zones:   make([]string, len(r.zones)),
		IDs:     r.ids.expiries(),
		Dropped: make(map[string]dispatch.Time, len(r.droppedCategories)),
	}
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

// Shift adds an offset to all times, to convert them to another process's clock. It may be called only on a
// state decoded from a message, not on one that a reducer still uses.
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

// StateRestored carries the learned state of a predecessor's reducer. It follows the predecessor's endpoint
// list.
type StateRestored struct{ LearnedState }

func (StateRestored) input() {}

// restoreState restores a predecessor's state. It omits a zone that this reducer does not know, or for which
// the predecessor had no verdicts.
func (r *Reducer) restoreState(in StateRestored) {
	predecessorZones := in.Module.Zones
	in.Module.Zones = make([][]dispatch.Verdict, len(r.zones))
	for k, name := range in.Zones[:min(len(in.Zones), len(predecessorZones))] {
		if z, ok := r.zones[name]; ok {
			in.Module.Zones[z] = predecessorZones[k]
		}
	}
	r.dispatcher.RestoreLearned(in.Module)
	r.ids.restore(in.IDs)
	r.restoreDroppedCategories(in.Dropped)
	r.pruneDroppedCategories()
}

// restoreDroppedCategories restores a predecessor's dropped categories. Their rules are not in this process's
// configuration, so their ops are only nacked.
func (r *Reducer) restoreDroppedCategories(retainUntil map[string]dispatch.Time) {
	for name, until := range retainUntil {
		_, inForce := r.categories[name]
		_, known := r.droppedCategories[name]
		if !inForce && !known {
			r.droppedCategories[name] = droppedCategory{noIndex, until}
		}
	}
}
