package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// category is the rules at a place, which ops refer to, and what was learned of its ops.
type category struct {
	CategoryRules
	longestTTL        Time   // the longest that a client was seen to give
	serviceTimes      []Time // the last few
	medianServiceTime Time
	meanServiceTime   Time
	inForce           bool // the present settings name it
	wasInForce        bool // those before them did
	retained          bool // the present settings don't name it, and the host still gives ops of it
	openOps           int  // that are not forgotten
}

// acceptsOps reports whether there may be new ops of it.
func (c *category) acceptsOps() bool { return c.inForce || c.retained }

// free reports whether nothing refers to its place.
func (c *category) free() bool { return !c.acceptsOps() && c.openOps == 0 }

// setServiceTimes takes over service times, and works out what decisions read of them.
func (c *category) setServiceTimes(all []Time) {
	c.serviceTimes = all
	if len(all) > 0 {
		c.medianServiceTime, c.meanServiceTime = stats.Quantile(all, 0.5), stats.Mean(all)
	}
}

// weight is the priority weight: what an op of the category earns for its work. It is not known before
// the first service time, unless the benefit is that of the work already.
func (c *category) weight(benefitPerWork bool) (weight float64, known bool) {
	if benefitPerWork {
		return c.Benefit, true
	}
	return c.Benefit / float64(max(c.meanServiceTime, 1)), len(c.serviceTimes) > 0
}

// highestWeight caches the highest priority weight of the categories in force: a walk over hundreds of
// them for each decision cost more than the decision.
type highestWeight struct {
	weight         float64
	known          bool // of all categories in force
	valid          bool
	benefitPerWork bool // the setting under which it holds
}

// categoryTable holds the categories by their places.
type categoryTable struct {
	all          []category
	inForce      []int // places, in the order of the settings
	minObjective Time  // the least latency objective in force
	highest      highestWeight
}

// acceptingAt returns the category at a place, nil if there is none that accepts ops.
func (t *categoryTable) acceptingAt(place int) *category {
	if place < 0 || place >= len(t.all) || !t.all[place].acceptsOps() {
		return nil
	}
	return &t.all[place]
}

// highestWeight returns the highest priority weight, and whether those of all categories in force are
// known.
func (t *categoryTable) highestWeight(benefitPerWork bool) (weight float64, known bool) {
	x := &t.highest
	if x.valid && x.benefitPerWork == benefitPerWork {
		return x.weight, x.known
	}
	*x = highestWeight{known: true, valid: true, benefitPerWork: benefitPerWork}
	for k := range t.all {
		if c := &t.all[k]; c.inForce {
			weight, known := c.weight(benefitPerWork)
			x.weight, x.known = max(x.weight, weight), x.known && known
		}
	}
	return x.weight, x.known
}

// addServiceTime adds how long an op of a category ran. The highest weight is found anew where it may
// change.
func (t *categoryTable) addServiceTime(place int, ran Time, benefitPerWork bool) {
	c := &t.all[place]
	before, knownBefore := c.weight(benefitPerWork)
	c.setServiceTimes(stats.AppendRecent(c.serviceTimes, ran))
	after, _ := c.weight(benefitPerWork)
	if c.inForce && (!knownBefore || after != before && max(after, before) >= t.highest.weight) {
		t.highest.valid = false
	}
}

// SetCategories takes up the categories and the number of attempts of other settings. It returns each
// category's place, in their order. One whose place is known with the same rules keeps it, and with it
// what was learned of it; what was learned of one of the same name goes along to its new place. Ops keep
// the place and the number of attempts that they came with. The host names in retained the places that it
// goes on giving ops of; any other place that no category in force and no open op refers to is given to
// the next category that needs one, so that the number of places is bounded by those in use at a time.
func (d *Dispatcher) SetCategories(settings Settings, retained ...int) (places []int) {
	d.settings.MaxAttempts = settings.MaxAttempts
	d.digest.valid = false
	return slices.Clone(d.categories.replace(settings.Categories, retained))
}

// replace puts other categories in force and returns their places.
func (t *categoryTable) replace(rules []CategoryRules, retained []int) []int {
	t.beginReplace(retained)
	places := make([]int, len(rules))
	var byName *nameIndex // built at the first category that has changed: most are as they were
	var changed []category
	for i := range rules {
		t.minObjective = min(t.minObjective, rules[i].LatencyObjective)
		if i < len(t.inForce) && t.hasRules(t.inForce[i], &rules[i]) {
			places[i] = t.inForce[i]
			t.all[places[i]].inForce = true
			continue
		}
		if byName == nil {
			byName = t.indexByName()
		}
		places[i] = byName.find(rules[i].Name, func(k int) bool { return t.hasRules(k, &rules[i]) })
		if places[i] >= 0 {
			t.all[places[i]].inForce = true
			continue
		}
		changed = append(changed, t.withNewRules(rules[i], byName))
	}
	t.assignFreePlaces(places, changed)
	t.inForce = places
	return places
}

// beginReplace takes all categories out of force, but for the host's retained ones.
func (t *categoryTable) beginReplace(retained []int) {
	for k := range t.all {
		c := &t.all[k]
		c.wasInForce, c.inForce, c.retained = c.inForce, false, false
	}
	for _, k := range retained {
		t.all[k].retained = true
	}
	t.minObjective, t.highest.valid = math.MaxInt64, false
}

// withNewRules is a category of these rules, with what was learned of the one of its name. Service times
// do not depend on the rules, and while one is unknown all ops have the highest priority.
func (t *categoryTable) withNewRules(rules CategoryRules, byName *nameIndex) category {
	c := category{CategoryRules: rules, inForce: true}
	if rules.Name == "" {
		return c
	}
	k := byName.find(rules.Name, func(k int) bool { return t.all[k].wasInForce })
	if k < 0 {
		return c
	}
	before := &t.all[k]
	c.setServiceTimes(slices.Clone(before.serviceTimes))
	if before.TTL == c.TTL {
		c.longestTTL = before.longestTTL
	}
	return c
}

// assignFreePlaces gives the changed categories places, in order, where the list of places has -1.
func (t *categoryTable) assignFreePlaces(places []int, changed []category) {
	k := 0
	for i := range places {
		if places[i] >= 0 {
			continue
		}
		for k < len(t.all) && !t.all[k].free() {
			k++
		}
		if k == len(t.all) {
			t.all = append(t.all, category{})
		}
		places[i], t.all[k], changed = k, changed[0], changed[1:]
	}
}

// hasRules reports whether a place has these rules and is not taken by a category of the new settings yet.
func (t *categoryTable) hasRules(place int, rules *CategoryRules) bool {
	return !t.all[place].inForce && t.all[place].CategoryRules == *rules
}

// nameIndex finds places by the name of their category.
type nameIndex struct {
	first map[string]int // the first place of a name, plus 1, so that no name reads as none
	next  []int          // the next place of the same name, -1 behind the last
}

func (t *categoryTable) indexByName() *nameIndex {
	n := len(t.all)
	x := &nameIndex{make(map[string]int, n), make([]int, n)}
	for k := n - 1; k >= 0; k-- {
		name := t.all[k].Name
		x.next[k] = x.first[name] - 1
		x.first[name] = k + 1
	}
	return x
}

// find returns the first place of a name that suits, -1 if there is none.
func (x *nameIndex) find(name string, suits func(place int) bool) int {
	for k := x.first[name] - 1; k >= 0; k = x.next[k] {
		if suits(k) {
			return k
		}
	}
	return -1
}
