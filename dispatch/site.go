package dispatch

import (
	"fmt"
	"math"
	"slices"
)

func reader(terms map[string]any) (num func(string, float64) float64, span func(string, Time) Time) {
	num = func(name string, otherwise float64) float64 {
		if v, ok := terms[name].(float64); ok {
			return v
		}
		return otherwise
	}
	return num, func(name string, otherwise Time) Time { return Time(num(name, float64(otherwise))) }
}

func siteOf(terms map[string]any) site {
	num, span := reader(terms)
	s := site{step: span("step", 0), dial: span("bounds.connectTimeout", 0),
		call: span("bounds.connectTimeout", second), warmAfter: span("safety.warmAfter", 0), tipAfter: span("safety.tipAfter", 0),
		progress: span("extra.progress", 0), coldFrom: num("safety.coldFrom", 1),
		overload: num("safety.overloadFactor", 1), crossZone: num("prices.crossZone", 0),
		connections: num("prices.connection", 0), me: int(num("myNumber", 0)), all: int(num("instances", 1)),
		peers: terms["bounds.peerMessages"] == true, maxPushes: int(num("bounds.maxPushes", 1)),
		myZone: int(num("myZone", 0)), probes: terms["bounds.probes"] == true,
		cancel: terms["bounds.cancel"] == true, tellsStart: terms["extra.tellsStart"] == true,
		perWork: terms["benefitPer"] == "work", keys: terms["keys"] == true}
	if terms["bounds.retryAfter"] == true {
		s.longestPause = span("bounds.maxRetryAfter", 0)
	}
	return s
}

// Categories takes up the categories that the terms name, and their number of pushes. It returns each one's place, in the
// order of the terms. One that was named before with the same terms keeps its place, and with it what was learned of it; the
// others stand at the end. Ops keep the place and the number of pushes that they came with.
func (d *Dispatcher) Categories(terms map[string]any) (places []int) {
	num, span := reader(terms)
	d.site.maxPushes = int(num("bounds.maxPushes", 1))
	for k := range d.categories {
		d.categories[k].served = false
	}
	d.least, d.fresh = math.MaxInt64, false
	for i := 0; ; i++ {
		at := fmt.Sprintf("categories.%d.", i)
		if _, ok := terms[at+"ttl"]; !ok {
			return places
		}
		c := category{target: span(at+"targetLatency", 0), window: span(at+"window", 0),
			stretch: num(fmt.Sprintf("extra.classStretch.%d", i), 0), benefit: num(at+"benefit", 1)}
		c.name, _ = terms[at+"name"].(string)
		c.effect, _ = terms[at+"effect"].(string)
		c.scope, _ = terms[at+"dedupScope"].(string)
		d.least = min(d.least, c.target)
		k := slices.IndexFunc(d.categories, func(x category) bool {
			x.longest = 0
			return x == c // which is not served yet
		})
		if k < 0 {
			k = len(d.categories)
			d.categories, d.runs = append(d.categories, c), append(d.runs, nil)
			d.digest.middle, d.digest.usual = append(d.digest.middle, 0), append(d.digest.usual, 0)
		}
		d.categories[k].served = true
		places = append(places, k)
	}
}
