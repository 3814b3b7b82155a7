package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// category is at a place that ops refer to.
type category struct {
	CategoryRules
	longest       Time   // the longest time that a client was seen to give
	runs          []Time // of its ops, the last few
	middle, usual Time   // of those: the median, the mean
	served        bool   // the terms in force name it
	before        bool   // those before them did
	kept          bool   // they do not, and the host still does
	open          int    // its ops that are not forgotten
}

// named tells whether there may be new ops of it.
func (c *category) named() bool { return c.served || c.kept }

// free tells whether nothing refers to its place.
func (c *category) free() bool { return !c.named() && c.open == 0 }

// sum works out what is read of its runs for each decision.
func (c *category) sum() {
	if len(c.runs) > 0 {
		c.middle, c.usual = stats.Quantile(c.runs, 0.5), stats.Mean(c.runs)
	}
}

// dearest is the most that an op of any category that is served earns for its work; not ok while runs of one are unknown. It is
// kept: a walk over hundreds of categories for each decision cost more than the decision.
type dearest struct {
	most               float64
	ok, holds, perWork bool
}

// worth is what an op of a category earns for its work; false while its runs are unknown.
func (d *Dispatcher) worth(c *category) (b float64, known bool) {
	if d.settings.BenefitPerWork {
		return c.Benefit, true
	}
	return c.Benefit / float64(max(c.usual, 1)), len(c.runs) > 0
}

func (d *Dispatcher) most() (most float64, ok bool) {
	x := &d.dearest
	if !x.holds || x.perWork != d.settings.BenefitPerWork {
		*x = dearest{ok: true, holds: true, perWork: d.settings.BenefitPerWork}
		for k := range d.categories {
			if c := &d.categories[k]; c.served {
				b, known := d.worth(c)
				x.most, x.ok = max(x.most, b), x.ok && known
			}
		}
	}
	return x.most, x.ok
}

// ran adds a run of a category's op.
func (d *Dispatcher) ran(k int, took Time) {
	c := &d.categories[k]
	was, knew := d.worth(c)
	c.runs = stats.Keep(c.runs, took)
	c.sum()
	if is, _ := d.worth(c); c.served && (!knew || is != was && max(is, was) >= d.dearest.most) {
		d.dearest.holds = false
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
		c.before, c.served, c.kept = c.served, false, false
	}
	for _, k := range retained {
		d.categories[k].kept = true
	}
	d.least, d.fresh, d.dearest.holds = math.MaxInt64, false, false
	var index *index       // wanted for what has changed: most is as it was
	var without []category // a place so far
	for i, rules := range settings.Categories {
		c := category{CategoryRules: rules, served: true}
		d.least = min(d.least, c.LatencyObjective)
		if i < len(d.entries) && d.alike(d.entries[i], &c) {
			d.categories[d.entries[i]].served = true
			places = append(places, d.entries[i])
			continue
		}
		if index == nil {
			index = d.index()
		}
		k := index.find(c.Name, func(k int) bool { return d.alike(k, &c) })
		if places = append(places, k); k >= 0 {
			d.categories[k].served = true
			continue
		}
		if k = index.find(c.Name, func(k int) bool { return d.categories[k].before }); k >= 0 && c.Name != "" {
			// How long its ops run is no matter of its terms. Without that all categories had the rank of the dearest until one of
			// its ops had ended, at each change.
			x := &d.categories[k]
			if c.runs, c.middle, c.usual = slices.Clone(x.runs), x.middle, x.usual; x.TTL == c.TTL {
				c.longest = x.longest
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
	d.entries = places
	return slices.Clone(places)
}

// alike tells whether the place k has the rules of c and is not taken by an entry of the new terms yet.
func (d *Dispatcher) alike(k int, c *category) bool {
	return !d.categories[k].served && d.categories[k].CategoryRules == c.CategoryRules
}

// index finds places by the name of their category.
type index struct {
	first map[string]int
	next  []int // place of the same name, -1 behind the last
}

func (d *Dispatcher) index() *index {
	n := len(d.categories)
	x := &index{make(map[string]int, n), make([]int, n)}
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
func (x *index) find(name string, does func(k int) bool) int {
	for k := x.first[name] - 1; k >= 0; k = x.next[k] {
		if does(k) {
			return k
		}
	}
	return -1
}
