package dispatch

import (
	"slices"

	"woaddyke/internal/base/stats"
)

// What schedulers tell one another of their pushes.

// audiences works out which schedulers are told of which worker.
func (d *Dispatcher) audiences() {
	var ready []int
	for i := range d.workers {
		if d.workers[i].audience = nil; d.workers[i].ready {
			ready = append(ready, i)
		}
	}
	for s := range d.settings.Schedulers {
		stats.Order(ownKey(s), ready, d.mark)
		for _, i := range ready[:min(regulars, len(ready))] {
			d.workers[i].audience = append(d.workers[i].audience, s)
		}
	}
}

// tell lets the others know that meet the worker too.
func (d *Dispatcher) tell(i int) {
	for _, s := range d.workers[i].audience {
		if d.otherwise[ShadowedReport] += stats.Bit(s != d.settings.Scheduler && !d.settings.PeerMessages); s != d.settings.Scheduler && d.settings.PeerMessages {
			d.tells = append(d.tells, [2]int{s, i})
		}
	}
}

// PeerReport is another scheduler's word of how many pushes it has out at a worker.
func (d *Dispatcher) PeerReport(by, i, n int) {
	if by < 0 || by >= d.settings.Schedulers || by == d.settings.Scheduler || n < 0 {
		return
	}
	d.workers[i].words.Set(by, n, d.now)
}

// tally is a worker's jobs by all schedulers' word, and its slots; false where it is none of the regulars.
func (d *Dispatcher) tally(i int) (n, slots float64, ok bool) {
	w := &d.workers[i]
	_, ok = slices.BinarySearch(w.audience, d.settings.Scheduler)
	slots = d.kinds[w.kind].slots
	return float64(w.words.Sum(d.now, recent) + len(w.out)), slots, ok && d.settings.PeerMessages && slots > 0 && !d.cold(w)
}
