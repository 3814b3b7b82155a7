package reducer

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
)

// maxDroppedCategories bounds the names of dropped categories; an op of one that is pruned is answered as
// one of an unknown category.
const maxDroppedCategories = 4096

// noPlace is the place of a dropped category that may be another's.
const noPlace = -1

// droppedCategory is a category that is no longer in the settings. Its ops are admitted until retainUntil.
type droppedCategory struct {
	place       int // at the dispatcher, or noPlace
	retainUntil dispatch.Time
}

// retained reports whether ops of the category are still admitted.
func (c droppedCategory) retained(now dispatch.Time) bool {
	return c.place != noPlace && now <= c.retainUntil
}

// placesByName maps the names of categories to their places; one without a name can't be asked for.
func placesByName(categories []dispatch.CategoryRules, places []int) map[string]int {
	byName := make(map[string]int, len(categories))
	for i := range categories {
		if name := categories[i].Name; name != "" {
			byName[name] = places[i]
		}
	}
	return byName
}

// changeSettings takes up other categories. The dispatcher keeps the places of dropped ones while these
// are retained.
func (r *Reducer) changeSettings(now dispatch.Time, in SettingsChanged) {
	settings := config.DecisionSettings(in.Settings)
	named := make(map[string]bool, len(settings.Categories))
	for i := range settings.Categories {
		named[settings.Categories[i].Name] = true
	}
	for name, place := range r.categories {
		if !named[name] {
			r.droppedCategories[name] = droppedCategory{place, in.RetainUntil}
		}
	}
	for name := range named {
		delete(r.droppedCategories, name)
	}
	r.pruneDroppedCategories()
	places := r.dispatcher.SetCategories(settings, r.retainedPlaces(now)...)
	r.categories = placesByName(settings.Categories, places)
}

// retainedPlaces are the places of retained categories. Those whose retention has expired give theirs up.
func (r *Reducer) retainedPlaces(now dispatch.Time) (places []int) {
	for name, c := range r.droppedCategories {
		switch {
		case c.retained(now):
			places = append(places, c.place)
		case c.place != noPlace:
			r.droppedCategories[name] = droppedCategory{noPlace, c.retainUntil}
		}
	}
	return places
}

// pruneDroppedCategories deletes those whose retention ends first, where there are too many. It deletes a
// quarter at once, so that few changes sort them.
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

// categoryPlace is where the dispatcher has a category; false where its ops are not admitted.
func (r *Reducer) categoryPlace(now dispatch.Time, category string) (place int, ok bool) {
	if place, ok = r.categories[category]; ok {
		return place, true
	}
	c, dropped := r.droppedCategories[category]
	return c.place, dropped && c.retained(now)
}
