package reducer

import "woaddyke/dispatch"

// Learned is what a reducer hands on to that of the process that takes its place.
type Learned struct {
	Module  dispatch.Learned         `json:"module"`
	Zones   []string                 `json:"zones"`   // whose verdicts the module's are, in their order
	IDs     map[string]dispatch.Time `json:"ids"`     // taken until then
	Dropped map[string]dispatch.Time `json:"dropped"` // categories that were served until then
}

// Learned tells what is known now that the next process can't read anywhere.
func (r *Reducer) Learned() Learned {
	l := Learned{Module: r.dispatcher.Learned(), Zones: make([]string, len(r.zones)), IDs: r.ids.expiries(),
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

// Shift moves all moments by a span, to the clock of another process. What was read from a message may be shifted, not what a reducer
// goes on with.
func (l *Learned) Shift(by dispatch.Time) {
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

// StateRestored brings what another process's reducer had learned, after its list.
type StateRestored struct{ Learned }

func (StateRestored) input() {}

// restoreState goes on from it. A zone that is not known here, or by no place there, is left out.
func (r *Reducer) restoreState(in StateRestored) {
	theirs := in.Module.Zones
	in.Module.Zones = nil
	ours := make([][]dispatch.Verdict, len(r.zones))
	for k, name := range in.Zones[:min(len(in.Zones), len(theirs))] {
		if z, ok := r.zones[name]; ok {
			ours[z] = theirs[k]
		}
	}
	in.Module.Zones = ours
	r.dispatcher.RestoreLearned(in.Module)
	r.ids.restore(in.IDs)
	for name, until := range in.Dropped { // their rules are not in this process's configuration, so their ops are only nacked
		_, served := r.categories[name]
		if _, known := r.droppedCategories[name]; !served && !known {
			r.droppedCategories[name] = droppedCategory{-1, until}
		}
	}
	r.pruneDroppedCategories()
}
