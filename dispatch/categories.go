package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// category holds the rules of a category and what was learned from its ops. Ops refer to it by its index.
type category struct {
	CategoryRules
	longestTTL        Time   // longest TTL seen from a client
	serviceTimes      []Time // the most recent
	medianServiceTime Time
	meanServiceTime   Time
	inForce           bool // in the current settings
	wasInForce        bool // in the previous settings
	retained          bool // not in the current settings, but the host still submits ops of it
	openOps           int  // ops that have not been forgotten
}

// acceptsOps reports whether new ops may refer to the category.
func (c *category) acceptsOps() bool { return c.inForce || c.retained }

// free reports whether nothing refers to the category, so that its index may be reused.
func (c *category) free() bool { return !c.acceptsOps() && c.openOps == 0 }

// setServiceTimes replaces the service times and updates their median and mean.
func (c *category) setServiceTimes(all []Time) {
	c.serviceTimes = all
	if len(all) > 0 {
		c.medianServiceTime, c.meanServiceTime = stats.Quantile(all, 0.5), stats.Mean(all)
	}
}

// weight returns the priority weight: the benefit of an op per unit of its service time. It is unknown
// before the first service time, unless the benefit is already per unit of service time.
func (c *category) weight(benefitPerWork bool) (weight float64, known bool) {
	if benefitPerWork {
		return c.Benefit, true
	}
	return c.Benefit / float64(max(c.meanServiceTime, 1)), len(c.serviceTimes) > 0
}

// highestWeight caches the highest priority weight of the categories in force: scanning hundreds of them
// for each decision cost more than the decision itself.
type highestWeight struct {
	weight         float64
	known          bool // the weights of all categories in force are known
	valid          bool
	benefitPerWork bool // value of the setting from which the weight was computed
}

// categoryTable holds the categories by their indices.
type categoryTable struct {
	all          []category
	inForce      []int // indices, in the order of the settings
	minObjective Time  // lowest latency objective in force
	highest      highestWeight
}

// acceptingCategory returns the category at an index, or nil if there is none that accepts ops.
func (t *categoryTable) acceptingCategory(index int) *category {
	if index < 0 || index >= len(t.all) || !t.all[index].acceptsOps() {
		return nil
	}
	return &t.all[index]
}

// highestWeight returns the highest priority weight in force, and whether the weights of all categories in
// force are known.
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

// addServiceTime adds a service time to the samples of a category. It invalidates the cached highest weight
// if this weight may change.
func (t *categoryTable) addServiceTime(index int, serviceTime Time, benefitPerWork bool) {
	c := &t.all[index]
	before, knownBefore := c.weight(benefitPerWork)
	c.setServiceTimes(stats.AppendRecent(c.serviceTimes, serviceTime))
	after, _ := c.weight(benefitPerWork)
	if c.inForce && (!knownBefore || after != before && max(after, before) >= t.highest.weight) {
		t.highest.valid = false
	}
}

// SetCategories replaces the categories and the number of attempts per op by those of new settings. It
// returns each category's index, in the order of the settings. A category that is known with the same rules
// keeps its index and what was learned from it. Any other category gets a new index and what was learned
// from the category of the same name. Open ops keep the index and the number of attempts that they were
// admitted with. retained lists the indices for which the host still submits ops. An index that is not
// retained, and that neither a category in force nor an open op refers to, is reused for the next category
// that needs one. The number of indices thus never exceeds the highest number in use at a time.
func (d *Dispatcher) SetCategories(settings Settings, retained ...int) (indices []int) {
	d.settings.MaxAttempts = settings.MaxAttempts
	d.summary.valid = false
	return slices.Clone(d.categories.replace(settings.Categories, retained))
}

// replace puts new categories in force and returns their indices.
func (t *categoryTable) replace(rules []CategoryRules, retained []int) []int {
	t.beginReplace(retained)
	indices := make([]int, len(rules))
	var byName *nameIndex // built at the first changed category, as most are unchanged
	var changed []category
	for i := range rules {
		t.minObjective = min(t.minObjective, rules[i].LatencyObjective)
		if i < len(t.inForce) && t.isUnassignedWithRules(t.inForce[i], &rules[i]) {
			indices[i] = t.inForce[i]
			t.all[indices[i]].inForce = true
			continue
		}
		if byName == nil {
			byName = t.indexByName()
		}
		indices[i] = byName.find(rules[i].Name, func(k int) bool { return t.isUnassignedWithRules(k, &rules[i]) })
		if indices[i] >= 0 {
			t.all[indices[i]].inForce = true
			continue
		}
		changed = append(changed, t.withNewRules(rules[i], byName))
	}
	t.assignFreeIndices(indices, changed)
	t.inForce = indices
	return indices
}

// beginReplace takes all categories out of force and marks those that the host retains.
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

// withNewRules returns a category with these rules and with what was learned from the category of the same
// name. Service times do not depend on the rules. While the service times of any category are unknown, all
// ops have the highest priority.
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

// assignFreeIndices replaces each -1 in indices by a free index, and stores the next of the changed
// categories there.
func (t *categoryTable) assignFreeIndices(indices []int, changed []category) {
	k := 0
	for i := range indices {
		if indices[i] >= 0 {
			continue
		}
		for k < len(t.all) && !t.all[k].free() {
			k++
		}
		if k == len(t.all) {
			t.all = append(t.all, category{})
		}
		indices[i], t.all[k], changed = k, changed[0], changed[1:]
	}
}

// isUnassignedWithRules reports whether the category at an index has these rules and is not
// assigned to an entry of the new settings yet.
func (t *categoryTable) isUnassignedWithRules(index int, rules *CategoryRules) bool {
	return !t.all[index].inForce && t.all[index].CategoryRules == *rules
}

// nameIndex finds the indices of categories by name.
type nameIndex struct {
	first map[string]int // the first index with a name, plus 1, so that 0 means none
	next  []int          // the next index with the same name, -1 after the last
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

// find returns the first index with this name for which suits returns true, or -1 if there is none.
func (x *nameIndex) find(name string, suits func(index int) bool) int {
	for k := x.first[name] - 1; k >= 0; k = x.next[k] {
		if suits(k) {
			return k
		}
	}
	return -1
}
