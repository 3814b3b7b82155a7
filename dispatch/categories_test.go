package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// settingsWithCategories returns settings with these categories, in this order.
func settingsWithCategories(categories []CategoryRules, attempts int) Settings {
	return Settings{Categories: slices.Clone(categories), MaxAttempts: attempts, TickInterval: 10, Schedulers: 1,
		AcknowledgeTimeout: second,
		SlowStart:          SlowStartSettings{InitialCapacity: 1, OverloadFactor: 1}}
}

func addServiceTime(d *Dispatcher, index int, serviceTime Time) {
	d.categories.addServiceTime(index, serviceTime, d.settings.BenefitPerWork)
}

// An index must not be given to another category while an open op, a category that the host retains, or the
// settings in force refer to it: an at-most-once op whose index went to an idempotent category would run
// twice.
func TestACategoryIndexIsNotReusedWhileReferredTo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyRules := rapid.Custom(func(t *rapid.T) CategoryRules {
			return CategoryRules{Name: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""}).Draw(t, "name"),
				Effect:     rapid.SampledFrom([]Effect{Idempotent, Deduplicated, AtMostOnce}).Draw(t, "effect"),
				DedupScope: rapid.SampledFrom([]DedupScope{DedupEverywhere, DedupInGroup}).Draw(t, "scope"),
				Benefit:    float64(rapid.IntRange(1, 3).Draw(t, "benefit")),
				TTL:        50_000, LatencyObjective: Time(rapid.IntRange(1, 4).Draw(t, "target") * 1000),
				DedupWindow: 20_000, Stretch: 1}
		})
		inForce := rapid.SliceOfN(anyRules, 1, 6).Draw(t, "rules")
		d := New(3, settingsWithCategories(inForce, 3))
		indices := d.SetCategories(settingsWithCategories(inForce, 3))
		d.AdvanceClock(1)
		d.BeginSnapshot()
		for i := range 3 {
			d.UpsertWorker(i, WorkerEntry{Group: i, Ready: true})
		}
		d.EndUpdate()
		type openOp struct {
			CategoryRules
			category, maxAttempts, attempts int
			inFlight                        bool
		}
		// open: ops by index; retained: rules by the category index that the host retains
		open, retained := map[int]*openOp{}, map[int]CategoryRules{}
		maxAttempts, peak := 3, len(d.categories.all)
		check := func() {
			for i, k := range indices {
				if got := d.categories.all[k].CategoryRules; got != inForce[i] {
					t.Fatalf("entry %d has the index of %+v, want that of %+v", i, got, inForce[i])
				}
			}
			for k, want := range retained {
				if got := d.categories.all[k].CategoryRules; got != want {
					t.Fatalf("index %d, which the host retains for %+v, refers to %+v", k, want, got)
				}
			}
			for i, o := range open {
				if got := d.ops.byIndex[i]; d.categories.all[got.category].CategoryRules != o.CategoryRules ||
					got.maxAttempts != o.maxAttempts {
					t.Fatalf("op %d was admitted with rules %+v and %d attempts, and now has %+v and %d", i, o.CategoryRules,
						o.maxAttempts, d.categories.all[got.category].CategoryRules, got.maxAttempts)
				}
			}
		}
		pull := func() {
			for {
				next := d.Next()
				i := next.Op
				switch next.Kind {
				case NoDecision:
					return
				case Push:
					o := open[i]
					if o.attempts++; o.attempts > o.maxAttempts || o.attempts > 1 && o.Effect == AtMostOnce {
						t.Fatalf("op %d was pushed %d times: %+v", i, o.attempts, *o)
					}
					o.inFlight = true
				case Nack:
					if o := open[i]; o.Effect == AtMostOnce && o.attempts > 0 {
						t.Fatalf("op %d may have run and was nacked: %+v", i, *o)
					}
				case Forget:
					delete(open, i)
				}
			}
		}
		drawOp := func() (int, *openOp) {
			i := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "op")
			return i, open[i]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"change": func(t *rapid.T) {
				previous := map[int]CategoryRules{}
				maps.Copy(previous, retained)
				for i, k := range indices {
					previous[k] = inForce[i]
				}
				if rapid.Bool().Draw(t, "one") {
					inForce = slices.Clone(inForce)
					inForce[rapid.IntRange(0, len(inForce)-1).Draw(t, "which")] = anyRules.Draw(t, "new")
				} else {
					inForce = rapid.SliceOfN(anyRules, 1, 6).Draw(t, "rules")
				}
				clear(retained)
				for _, k := range slices.Sorted(maps.Keys(previous)) {
					if rapid.IntRange(0, 3).Draw(t, "keep") == 0 {
						retained[k] = previous[k]
					}
				}
				maxAttempts = rapid.IntRange(1, 4).Draw(t, "pushes")
				indices = d.SetCategories(settingsWithCategories(inForce, maxAttempts),
					slices.Sorted(maps.Keys(retained))...)
				used := map[int]bool{}
				for _, k := range indices {
					if used[k] {
						t.Fatalf("two entries have the same index: %v", indices)
					}
					used[k] = true
				}
				for k := range retained {
					used[k] = true
				}
				for _, o := range open {
					used[o.category] = true
				}
				for k := range d.categories.all {
					if !d.categories.all[k].inForce && !d.categories.all[k].retained &&
						d.AddOp(99, OpSpec{Category: k, TTL: d.now + 1<<30, Slots: 1}) {
						t.Fatalf("an op was admitted at index %d, which is neither in force nor retained", k)
					}
				}
				if peak = max(peak, len(used)); len(d.categories.all) > peak {
					t.Fatalf("%d indices, but never more than %d in use at a time", len(d.categories.all), peak)
				}
			},
			"op": func(t *rapid.T) {
				i := 0
				for open[i] != nil {
					i++
				}
				from := slices.Concat(indices, slices.Sorted(maps.Keys(retained)))
				k := rapid.SampledFrom(from).Draw(t, "place")
				if !d.AddOp(i, OpSpec{Category: k, TTL: d.now + 1<<30, Slots: 1}) {
					t.Fatalf("no op was admitted at index %d", k)
				}
				open[i] = &openOp{CategoryRules: d.categories.all[k].CategoryRules, category: k, maxAttempts: maxAttempts}
				pull()
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i, o := drawOp()
				d.AdvanceClock(d.now + 10)
				if o.inFlight {
					o.inFlight = false
					how := rapid.SampledFrom([]Outcome{Succeeded, ConnectionLost, ConnectionLost}).Draw(t, "how")
					d.AttemptEnded(i, o.attempts-1, how, how == Succeeded)
				} else {
					d.ClientDisconnected(i)
				}
				pull()
			},
		})
	})
}

// Service times must be kept when the rules of a category change. Otherwise all categories have the highest
// priority after any change, until an op of the changed category has ended.
func TestServiceTimesFollowACategoryToNewRules(t *testing.T) {
	categories := []CategoryRules{{Name: "look", Effect: Idempotent, TTL: 50_000, LatencyObjective: 5_000,
		Benefit: 1, Stretch: 1},
		{Name: "pay", Effect: Idempotent, TTL: 50_000, LatencyObjective: 5_000, Benefit: 4, Stretch: 1}}
	d := New(3, settingsWithCategories(categories, 3))
	d.AdvanceClock(1)
	for k := range categories {
		d.AddOp(k, OpSpec{Category: k, TTL: d.now + 40_000, Slots: 1})
		for range 40 {
			addServiceTime(d, k, 700)
		}
	}
	if got := d.relativeWeight(d.ops.byIndex[0]); got != 0.25 {
		t.Fatalf("relative weight %v, want 0.25", got)
	}
	oldServiceTimes := slices.Clone(d.categories.all[0].serviceTimes)
	categories[0].LatencyObjective = 6_000
	index := d.SetCategories(settingsWithCategories(categories, 3))[0]
	d.AddOp(2, OpSpec{Category: index, TTL: d.now + 40_000, Slots: 1})
	if c := d.categories.all[index]; index == 0 || c.medianServiceTime != 700 || c.meanServiceTime != 700 ||
		c.longestTTL != 40_000 || d.relativeWeight(d.ops.byIndex[2]) != 0.25 {
		t.Errorf("index %d: %+v, relative weight %v", index, c, d.relativeWeight(d.ops.byIndex[2]))
	}
	addServiceTime(d, index, 9)
	addServiceTime(d, 0, 8)
	if x, y := d.categories.all[0].serviceTimes, d.categories.all[index].serviceTimes; x[len(x)-1] != 8 ||
		y[len(y)-1] != 9 || !slices.Equal(x[:len(x)-1], oldServiceTimes[1:]) {
		t.Errorf("service times of open and of new ops are mixed: %v, %v", x, y)
	}
	// Under a shorter TTL, the longest TTL seen before must not count: each op would be late from its
	// admission.
	categories[0].TTL = 20_000
	if index = d.SetCategories(settingsWithCategories(categories, 3))[0]; d.categories.all[index].longestTTL !=
		0 || d.categories.all[index].medianServiceTime != 700 {
		t.Errorf("after a change of the TTL: %+v", d.categories.all[index])
	}
}

// The highest priority weight is computed again only when a relevant weight has changed. The relative
// weight must be the same as if it were computed each time.
func TestHighestPriorityWeightMatchesAFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		var categories []CategoryRules
		for i := range n {
			categories = append(categories, CategoryRules{Name: fmt.Sprint(i), TTL: 50_000, LatencyObjective: 5_000,
				Benefit: float64(rapid.IntRange(0, 9).Draw(t, "benefit"))})
		}
		d := New(3, settingsWithCategories(categories, 3))
		d.AdvanceClock(1)
		for k := range categories {
			d.AddOp(k, OpSpec{Category: k, TTL: d.now + 40_000, Slots: 1})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				i := rapid.IntRange(0, n-1).Draw(t, "which")
				categories[i].Benefit = float64(rapid.IntRange(0, 9).Draw(t, "benefit"))
				d.SetCategories(settingsWithCategories(categories, 3))
			case 1:
				d.settings.BenefitPerWork = !d.settings.BenefitPerWork
			default:
				addServiceTime(d, rapid.IntRange(0, len(d.categories.all)-1).Draw(t, "ran"),
					Time(rapid.IntRange(1, 50).Draw(t, "took")))
			}
			o := d.ops.byIndex[rapid.IntRange(0, n-1).Draw(t, "op")]
			got := d.relativeWeight(o)
			d.categories.highest.valid = false
			if want := d.relativeWeight(o); got != want && fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("relative weight %v, by a full scan %v", got, want)
			}
		}
	})
}

// An open op must be pushed again under the rules that it was admitted with. Under other rules it might run
// more often than the effect at its admission allows.
func TestOpenOpsKeepTheRulesOfTheirAdmission(t *testing.T) {
	settings := func(effect Effect, attempts int) Settings {
		return settingsWithCategories([]CategoryRules{{Name: "pay", Effect: effect, TTL: 50_000,
			LatencyObjective: 1000}}, attempts)
	}
	d := New(3, settings(Idempotent, 3))
	d.AdvanceClock(1)
	d.BeginSnapshot()
	for i := range 3 {
		d.UpsertWorker(i, WorkerEntry{Group: i, Ready: true})
	}
	d.EndUpdate()
	// pushCount returns how often an op is pushed if all its attempts end in ConnectionLost.
	pushCount := func(op, index int) (pushes int) {
		if !d.AddOp(op, OpSpec{Category: index, TTL: d.now + 50_000, Slots: 1}) {
			t.Fatalf("no op was admitted at index %d", index)
		}
		for {
			next := d.Next()
			switch {
			case next.Kind == Push && next.Op == op:
				pushes++
				if op == 0 && pushes == 1 { // the settings change while the first op is open
					if indices := d.SetCategories(settings(AtMostOnce, 1)); !slices.Equal(indices, []int{1}) {
						t.Fatalf("the category with another effect has index %v, want 1", indices)
					}
				}
				d.AdvanceClock(d.now + 10)
				d.AttemptEnded(op, pushes-1, ConnectionLost, false)
			case next.Kind == NoDecision:
				return pushes
			}
		}
	}
	if n := pushCount(0, 0); n != 3 {
		t.Errorf("an op admitted before the change was pushed %d times, want 3", n)
	}
	if n := pushCount(1, 1); n != 1 {
		t.Errorf("an at-most-once op that may have run was pushed %d times", n)
	}
	if indices := d.SetCategories(settings(Idempotent, 2)); !slices.Equal(indices, []int{0}) {
		t.Errorf("rules that were known before have index %v, want 0: what was learned is lost", indices)
	}
	if n := pushCount(2, 0); n != 2 {
		t.Errorf("an op was pushed %d times with MaxAttempts 2", n)
	}
}

// Two categories with equal rules need an index each. Otherwise ops of one name are counted as ops of the
// other.
func TestEqualCategoriesHaveSeparateIndices(t *testing.T) {
	settings := settingsWithCategories([]CategoryRules{{TTL: 5}, {TTL: 5}}, 1)
	d := New(3, settings)
	if indices := d.SetCategories(settings); !slices.Equal(indices, []int{0, 1}) {
		t.Errorf("indices %v, want 0 and 1", indices)
	}
}
