package reducer

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
)

// maxDroppedCategories bounds the number of dropped categories whose names are stored. An op of a category
// whose name is no longer stored is answered as UnknownCategory.
const maxDroppedCategories = 4096

// noIndex is the index of a dropped category that the dispatcher has no rules for. Another category may use
// its former index.
const noIndex = -1

// droppedCategory is a category that is no longer in the settings. Its ops are admitted until retainUntil.
type droppedCategory struct {
	index       int // in the dispatcher, or noIndex
	retainUntil dispatch.Time
}

// retained reports whether ops of the category are still admitted.
func (c droppedCategory) retained(now dispatch.Time) bool {
	return c.index != noIndex && now <= c.retainUntil
}

// indicesByName maps the names of categories to their indices. It omits categories without a name, which no
// op can refer to.
func indicesByName(categories []dispatch.CategoryRules, indices []int) map[string]int {
	byName := make(map[string]int, len(categories))
	for i := range categories {
		if name := categories[i].Name; name != "" {
			byName[name] = indices[i]
		}
	}
	return byName
}

// changeSettings applies new categories. The dispatcher keeps the indices of dropped categories while they
// are retained.
func (r *Reducer) changeSettings(now dispatch.Time, in SettingsChanged) {
	settings := config.DecisionSettings(in.Settings)
	named := make(map[string]bool, len(settings.Categories))
	for i := range settings.Categories {
		named[settings.Categories[i].Name] = true
	}
	for name, index := range r.categories {
		if !named[name] {
			r.droppedCategories[name] = droppedCategory{index, in.RetainUntil}
		}
	}
	for name := range named {
		delete(r.droppedCategories, name)
	}
	r.pruneDroppedCategories()
	indices := r.dispatcher.SetCategories(settings, r.retainedIndices(now)...)
	r.categories = indicesByName(settings.Categories, indices)
}

// retainedIndices returns the indices of retained categories. It releases the index of a category whose
// retention has expired.
func (r *Reducer) retainedIndices(now dispatch.Time) (indices []int) {
	for name, c := range r.droppedCategories {
		switch {
		case c.retained(now):
			indices = append(indices, c.index)
		case c.index != noIndex:
			r.droppedCategories[name] = droppedCategory{noIndex, c.retainUntil}
		}
	}
	return indices
}

// pruneDroppedCategories deletes the dropped categories whose retention ends first, once there are more than
// maxDroppedCategories. It deletes a quarter at a time, so that few changes have to sort them.
func (r *Reducer) pruneDroppedCategories() {
	if len(r.droppedCategories) <= maxDroppedCategories {
		return
	}
	names := slices.SortedFunc(maps.Keys(r.droppedCategories), func(a, b string) int {
		x, y := r.droppedCategories[a], r.droppedCategories[b]
		return cmp.Or(cmp.Compare(x.retainUntil, y.retainUntil), strings.Compare(a, b))
	})
	for _, name := range names[:len(names)-maxDroppedCategories*3/4] {
		delete(r.droppedCategories, name)
	}
}

// categoryIndex returns the dispatcher's index of a category; ok is false if its ops are not admitted.
func (r *Reducer) categoryIndex(now dispatch.Time, category string) (index int, ok bool) {
	if index, ok = r.categories[category]; ok {
		return index, true
	}
	c, dropped := r.droppedCategories[category]
	return c.index, dropped && c.retained(now)
}
