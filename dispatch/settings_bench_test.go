package dispatch

import (
	"fmt"
	"strconv"
	"testing"
)

// siteTerms are the terms of so many categories, as a site has them.
func siteTerms(entries int) map[string]any {
	t := map[string]any{"step": 10.0, "bounds.maxPushes": 3.0, "bounds.probes": true}
	for i := range entries {
		at := "categories." + strconv.Itoa(i) + "."
		t[at+"name"], t[at+"effect"], t[at+"dedupScope"] = fmt.Sprintf("team-%d", i), "deduplicated", "zone"
		t[at+"ttl"], t[at+"targetLatency"], t[at+"window"], t[at+"benefit"] = 50_000.0, 5_000.0, 20_000.0, 2.0
	}
	return t
}

// change gives one of the categories terms that it never had.
func change(terms map[string]any, entries, n int) {
	terms["categories."+strconv.Itoa(n%entries)+".targetLatency"] = float64(5_001 + n)
}

// BenchmarkChange is one category's change among so many, after so many before it.
func BenchmarkChange(b *testing.B) {
	for _, entries := range []int{3, 560} {
		for _, before := range []int{0, 16_000, 100_000} {
			b.Run(fmt.Sprintf("entries=%d/before=%d", entries, before), func(b *testing.B) {
				terms := siteTerms(entries)
				d := New(7, terms)
				n := 0
				for ; n < before; n++ {
					change(terms, entries, n)
					d.SetCategories(terms)
				}
				b.ReportAllocs()
				for b.Loop() {
					change(terms, entries, n)
					d.SetCategories(terms)
					n++
				}
				b.ReportMetric(float64(len(d.categories)), "places")
			})
		}
	}
}

// BenchmarkOpAmong is an op from its arrival to its end, with runs known of so many categories whose ops come by turns.
func BenchmarkOpAmong(b *testing.B) {
	for _, entries := range []int{3, 560} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			d := New(7, siteTerms(entries))
			d.site.probes, d.site.tellsStart = false, true
			now := Time(1_000_000)
			d.AdvanceClock(now)
			d.BeginSnapshot()
			for i := range 20 {
				d.UpsertWorker(i, WorkerEntry{Ready: true})
			}
			d.EndUpdate()
			op := func(n int) {
				now++
				d.AdvanceClock(now)
				d.AddOp(0, OpSpec{Category: n % entries, TTL: now + 50_000, Slots: 1})
				pull(d)
				d.AdvanceClock(now)
				d.AttemptProgress(0, 0, true, 0)
				pull(d)
				now += Time(5 + n%7)
				d.AdvanceClock(now)
				d.AttemptEnded(0, 0, Succeeded, 5, true)
				pull(d)
			}
			n := 0
			for ; n < 20*entries; n++ {
				op(n)
			}
			b.ReportAllocs()
			for b.Loop() {
				op(n)
				n++
			}
		})
	}
}
