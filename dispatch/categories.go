package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// category is at a place that ops refer to.
type category struct {
	CategoryRules
	longestTTL                         Time   // the longest time that a client was seen to give
	serviceTimes                       []Time // of its ops, the last few
	medianServiceTime, meanServiceTime Time   // of those: the median, the mean
	inForce                            bool   // the terms in force name it
	wasInForce                         bool   // those before them did
	retained                           bool   // they do not, and the host still does
	openOps                            int    // its ops that are not forgotten
}

// acceptsOps tells whether there may be new ops of it.
func (c *category) acceptsOps() bool { return c.inForce || c.retained }

// free tells whether nothing refers to its place.
func (c *category) free() bool { return !c.acceptsOps() && c.openOps == 0 }

// summarize works out what is read of its runs for each decision.
func (c *category) summarize() {
	if len(c.serviceTimes) > 0 {
		c.medianServiceTime, c.meanServiceTime = stats.Quantile(c.serviceTimes, 0.5), stats.Mean(c.serviceTimes)
	}
}

// highestWeight is the most that an op of any category that is served earns for its work; not ok while runs of one are unknown. It is
// kept: a walk over hundreds of categories for each decision cost more than the decision.
type highestWeight struct {
	weight                float64
	known, valid, perWork bool
}

// priorityWeight is what an op of a category earns for its work; false while its runs are unknown.
func (d *Dispatcher) priorityWeight(c *category) (b float64, known bool) {
	if d.settings.BenefitPerWork {
		return c.Benefit, true
	}
	return c.Benefit / float64(max(c.meanServiceTime, 1)), len(c.serviceTimes) > 0
}

func (d *Dispatcher) highestPriorityWeight() (most float64, ok bool) {
	x := &d.highestWeight
	if !x.valid || x.perWork != d.settings.BenefitPerWork {
		*x = highestWeight{known: true, valid: true, perWork: d.settings.BenefitPerWork}
		for k := range d.categories {
			if c := &d.categories[k]; c.inForce {
				b, known := d.priorityWeight(c)
				x.weight, x.known = max(x.weight, b), x.known && known
			}
		}
	}
	return x.weight, x.known
}

// addServiceTime adds a run of a category's op.
func (d *Dispatcher) addServiceTime(k int, took Time) {
	c := &d.categories[k]
	was, knew := d.priorityWeight(c)
	c.serviceTimes = stats.Keep(c.serviceTimes, took)
	c.summarize()
	if is, _ := d.priorityWeight(c); c.inForce && (!knew || is != was && max(is, was) >= d.highestWeight.weight) {
		d.highestWeight.valid = false
	}
}

// SetCategories takes up the categories and the number of attempts of other settings. It returns each
// category's place, in their order. One whose place is known with the same rules keeps it, and with it what was
// learned of it; what was learned of one of the same name goes along to its new place. Ops keep the place and
// the number of attempts that they came with. The host names in retained the places that it goes on giving ops
// of; any other place that no category in force and no open op refers to is given to the next category that
// needs one, so that the number of places is bounded by those in use at a time.
func (d *Dispatcher) SetCategories(settings Settings, retained ...int) (places []int) {
	d.settings.MaxAttempts = settings.MaxAttempts
	for k := range d.categories {
		c := &d.categories[k]
		c.wasInForce, c.inForce, c.retained = c.inForce, false, false
	}
	for _, k := range retained {
		d.categories[k].retained = true
	}
	d.minObjective, d.digestValid, d.highestWeight.valid = math.MaxInt64, false, false
	var index *nameIndex   // wanted for what has changed: most is as it was
	var without []category // a place so far
	for i, rules := range settings.Categories {
		c := category{CategoryRules: rules, inForce: true}
		d.minObjective = min(d.minObjective, c.LatencyObjective)
		if i < len(d.placesInForce) && d.hasRules(d.placesInForce[i], &c) {
			d.categories[d.placesInForce[i]].inForce = true
			places = append(places, d.placesInForce[i])
			continue
		}
		if index == nil {
			index = d.indexByName()
		}
		k := index.find(c.Name, func(k int) bool { return d.hasRules(k, &c) })
		if places = append(places, k); k >= 0 {
			d.categories[k].inForce = true
			continue
		}
		if k = index.find(c.Name, func(k int) bool { return d.categories[k].wasInForce }); k >= 0 && c.Name != "" {
			// How long its ops run is no matter of its terms. Without that all categories had the rank of the dearest until one of
			// its ops had ended, at each change.
			x := &d.categories[k]
			if c.serviceTimes, c.medianServiceTime, c.meanServiceTime = slices.Clone(x.serviceTimes), x.medianServiceTime, x.meanServiceTime; x.TTL == c.TTL {
				c.longestTTL = x.longestTTL
			}
		}
		without = append(without, c)
	}
	k := 0
	for i := range places {
		if places[i] >= 0 {
			continue
		}
		for k < len(d.categories) && !d.categories[k].free() {
			k++
		}
		if k == len(d.categories) {
			d.categories = append(d.categories, category{})
		}
		places[i], d.categories[k], without = k, without[0], without[1:]
	}
	d.placesInForce = places
	return slices.Clone(places)
}

// hasRules tells whether the place k has the rules of c and is not taken by an entry of the new terms yet.
func (d *Dispatcher) hasRules(k int, c *category) bool {
	return !d.categories[k].inForce && d.categories[k].CategoryRules == c.CategoryRules
}

// nameIndex finds places by the name of their category.
type nameIndex struct {
	first map[string]int
	next  []int // place of the same name, -1 behind the last
}

func (d *Dispatcher) indexByName() *nameIndex {
	n := len(d.categories)
	x := &nameIndex{make(map[string]int, n), make([]int, n)}
	for k := n - 1; k >= 0; k-- {
		name := d.categories[k].Name
		if x.next[k] = -1; x.first[name] > 0 {
			x.next[k] = x.first[name] - 1
		}
		x.first[name] = k + 1 // so that nothing reads as nowhere
	}
	return x
}

// find is the first place of a name that does, -1 if there is none.
func (x *nameIndex) find(name string, does func(k int) bool) int {
	for k := x.first[name] - 1; k >= 0; k = x.next[k] {
		if does(k) {
			return k
		}
	}
	return -1
}
