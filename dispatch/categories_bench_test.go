package dispatch

import (
	"fmt"
	"testing"
)

// manyCategories returns settings with count categories.
func manyCategories(count int) Settings {
	var all []CategoryRules
	for i := range count {
		all = append(all, CategoryRules{Name: fmt.Sprintf("team-%d", i), Effect: Deduplicated,
			DedupScope: DedupInZone, TTL: 50_000, LatencyObjective: 5_000, DedupWindow: 20_000, Benefit: 2})
	}
	return settingsWithCategories(all, 3)
}

// changeOneCategory gives one of the categories rules that no category had before.
func changeOneCategory(settings Settings, n int) {
	settings.Categories[n%len(settings.Categories)].LatencyObjective = Time(5_001 + n)
}

// BenchmarkSetCategories measures the change of one category among many, after many earlier changes.
func BenchmarkSetCategories(b *testing.B) {
	for _, entries := range []int{3, 560} {
		for _, before := range []int{0, 16_000, 100_000} {
			b.Run(fmt.Sprintf("entries=%d/before=%d", entries, before), func(b *testing.B) {
				settings := manyCategories(entries)
				d := New(7, settings)
				n := 0
				for ; n < before; n++ {
					changeOneCategory(settings, n)
					d.SetCategories(settings)
				}
				b.ReportAllocs()
				for b.Loop() {
					changeOneCategory(settings, n)
					d.SetCategories(settings)
					n++
				}
				b.ReportMetric(float64(len(d.categories.all)), "places")
			})
		}
	}
}

// BenchmarkOpWithManyCategories measures an op from its admission to its end, with known service times of
// many categories whose ops arrive in turn.
func BenchmarkOpWithManyCategories(b *testing.B) {
	for _, entries := range []int{3, 560} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			d := New(7, manyCategories(entries))
			d.settings.Probes, d.settings.ReportsStarts = false, true
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
				discardDecisions(d)
				d.AdvanceClock(now)
				d.AttemptProgress(0, 0, Progress{Started: true})
				discardDecisions(d)
				now += Time(5 + n%7)
				d.AdvanceClock(now)
				d.AttemptEnded(0, 0, Succeeded, true)
				discardDecisions(d)
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
