package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// settingsOf are settings of some categories, in their order.
func settingsOf(all []CategoryRules, attempts int) Settings {
	return Settings{Categories: slices.Clone(all), MaxAttempts: attempts, TickInterval: 10, Schedulers: 1, AcknowledgeTimeout: second,
		SlowStart: SlowStartSettings{InitialCapacity: 1, OverloadFactor: 1}}
}

func addServiceTime(d *Dispatcher, place int, ran Time) {
	d.categories.addServiceTime(place, ran, d.settings.BenefitPerWork)
}

// Places are reused. None may become another category's while an open op, a category that the host retains,
// or the settings in force refer to it: an at-most-once op at a place that became an idempotent category's
// would run twice.
func TestPlaceIsNotReusedWhileReferredTo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyRules := rapid.Custom(func(t *rapid.T) CategoryRules {
			return CategoryRules{Name: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""}).Draw(t, "name"),
				Effect:     rapid.SampledFrom([]Effect{Idempotent, Deduplicated, AtMostOnce}).Draw(t, "effect"),
				DedupScope: rapid.SampledFrom([]DedupScope{DedupEverywhere, DedupInGroup}).Draw(t, "scope"), Benefit: float64(rapid.IntRange(1, 3).Draw(t, "benefit")),
				TTL: 50_000, LatencyObjective: Time(rapid.IntRange(1, 4).Draw(t, "target") * 1000), DedupWindow: 20_000, Stretch: 1}
		})
		inForce := rapid.SliceOfN(anyRules, 1, 6).Draw(t, "rules")
		d := New(3, settingsOf(inForce, 3))
		places := d.SetCategories(settingsOf(inForce, 3))
		d.AdvanceClock(1)
		d.BeginSnapshot()
		for i := range 3 {
			d.UpsertWorker(i, WorkerEntry{Group: i, Ready: true})
		}
		d.EndUpdate()
		type came struct {
			CategoryRules
			cat, most, legs int
			out             bool
		}
		open, kept := map[int]*came{}, map[int]CategoryRules{} // ops by index; places by what the host has them for
		pushes, peak := 3, len(d.categories.all)
		check := func() {
			for i, k := range places {
				if got := d.categories.all[k].CategoryRules; got != inForce[i] {
					t.Fatalf("entry %d has the place of %+v, not of %+v", i, got, inForce[i])
				}
			}
			for k, want := range kept {
				if got := d.categories.all[k].CategoryRules; got != want {
					t.Fatalf("place %d that the host keeps for %+v is that of %+v", k, want, got)
				}
			}
			for i, o := range open {
				if got := d.ops.byIndex[i]; d.categories.all[got.category].CategoryRules != o.CategoryRules || got.maxAttempts != o.most {
					t.Fatalf("op %d came by %+v, %d pushes, and is under %+v, %d", i, o.CategoryRules, o.most, d.categories.all[got.category].CategoryRules, got.maxAttempts)
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
					if o.legs++; o.legs > o.most || o.legs > 1 && o.Effect == AtMostOnce {
						t.Fatalf("op %d is pushed %d times: %+v", i, o.legs, *o)
					}
					o.out = true
				case Nack:
					if o := open[i]; o.Effect == AtMostOnce && o.legs > 0 {
						t.Fatalf("op %d may have run and is nacked: %+v", i, *o)
					}
				case Forget:
					delete(open, i)
				}
			}
		}
		some := func() (int, *came) {
			i := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "op")
			return i, open[i]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"change": func(t *rapid.T) {
				was := map[int]CategoryRules{}
				maps.Copy(was, kept)
				for i, k := range places {
					was[k] = inForce[i]
				}
				if rapid.Bool().Draw(t, "one") {
					inForce = slices.Clone(inForce)
					inForce[rapid.IntRange(0, len(inForce)-1).Draw(t, "which")] = anyRules.Draw(t, "new")
				} else {
					inForce = rapid.SliceOfN(anyRules, 1, 6).Draw(t, "rules")
				}
				clear(kept)
				for _, k := range slices.Sorted(maps.Keys(was)) {
					if rapid.IntRange(0, 3).Draw(t, "keep") == 0 {
						kept[k] = was[k]
					}
				}
				pushes = rapid.IntRange(1, 4).Draw(t, "pushes")
				places = d.SetCategories(settingsOf(inForce, pushes), slices.Sorted(maps.Keys(kept))...)
				used := map[int]bool{}
				for _, k := range places {
					if used[k] {
						t.Fatalf("two entries have one place: %v", places)
					}
					used[k] = true
				}
				for k := range kept {
					used[k] = true
				}
				for _, o := range open {
					used[o.cat] = true
				}
				for k := range d.categories.all {
					if !d.categories.all[k].inForce && !d.categories.all[k].retained && d.AddOp(99, OpSpec{Category: k, TTL: d.now + 1<<30, Slots: 1}) {
						t.Fatalf("an op is taken at place %d, which nobody has named", k)
					}
				}
				if peak = max(peak, len(used)); len(d.categories.all) > peak {
					t.Fatalf("%d places, and never more than %d in use at a time", len(d.categories.all), peak)
				}
			},
			"op": func(t *rapid.T) {
				i := 0
				for open[i] != nil {
					i++
				}
				from := slices.Concat(places, slices.Sorted(maps.Keys(kept)))
				k := rapid.SampledFrom(from).Draw(t, "place")
				if !d.AddOp(i, OpSpec{Category: k, TTL: d.now + 1<<30, Slots: 1}) {
					t.Fatalf("no op of place %d is taken", k)
				}
				open[i] = &came{CategoryRules: d.categories.all[k].CategoryRules, cat: k, most: pushes}
				pull()
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i, o := some()
				d.AdvanceClock(d.now + 10)
				if o.out {
					o.out = false
					how := rapid.SampledFrom([]Outcome{Succeeded, ConnectionLost, ConnectionLost}).Draw(t, "how")
					d.AttemptEnded(i, o.legs-1, how, how == Succeeded)
				} else {
					d.ClientDisconnected(i)
				}
				pull()
			},
		})
	})
}

// Service times were lost with a category's rules: whatever of them changed, all categories had the highest
// priority until one of its ops had ended.
func TestServiceTimesFollowACategoryToNewRules(t *testing.T) {
	of := []CategoryRules{{Name: "look", Effect: Idempotent, TTL: 50_000, LatencyObjective: 5_000, Benefit: 1, Stretch: 1},
		{Name: "pay", Effect: Idempotent, TTL: 50_000, LatencyObjective: 5_000, Benefit: 4, Stretch: 1}}
	d := New(3, settingsOf(of, 3))
	d.AdvanceClock(1)
	for k := range of {
		d.AddOp(k, OpSpec{Category: k, TTL: d.now + 40_000, Slots: 1})
		for range 40 {
			addServiceTime(d, k, 700)
		}
	}
	if got := d.relativeWeight(d.ops.byIndex[0]); got != 0.25 {
		t.Fatalf("rank %v", got)
	}
	old := slices.Clone(d.categories.all[0].serviceTimes)
	of[0].LatencyObjective = 6_000
	place := d.SetCategories(settingsOf(of, 3))[0]
	d.AddOp(2, OpSpec{Category: place, TTL: d.now + 40_000, Slots: 1})
	if c := d.categories.all[place]; place == 0 || c.medianServiceTime != 700 || c.meanServiceTime != 700 || c.longestTTL != 40_000 || d.relativeWeight(d.ops.byIndex[2]) != 0.25 {
		t.Errorf("place %d: %+v, rank %v", place, c, d.relativeWeight(d.ops.byIndex[2]))
	}
	addServiceTime(d, place, 9)
	addServiceTime(d, 0, 8)
	if x, y := d.categories.all[0].serviceTimes, d.categories.all[place].serviceTimes; x[len(x)-1] != 8 || y[len(y)-1] != 9 || !slices.Equal(x[:len(x)-1], old[1:]) {
		t.Errorf("the runs of open ops and of new ones are mixed: %v, %v", x, y)
	}
	of[0].TTL = 20_000 // clients give less now: an op by the longest time that was seen would count as late from the beginning
	if place = d.SetCategories(settingsOf(of, 3))[0]; d.categories.all[place].longestTTL != 0 || d.categories.all[place].medianServiceTime != 700 {
		t.Errorf("with another TTL: %+v", d.categories.all[place])
	}
}

// The scan for the highest priority weight is repeated only when a weight that counts has changed. The
// relative weight must be as if it were repeated each time.
func TestHighestPriorityWeightMatchesAFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		var of []CategoryRules
		for i := range n {
			of = append(of, CategoryRules{Name: fmt.Sprint(i), TTL: 50_000, LatencyObjective: 5_000, Benefit: float64(rapid.IntRange(0, 9).Draw(t, "benefit"))})
		}
		d := New(3, settingsOf(of, 3))
		d.AdvanceClock(1)
		for k := range of {
			d.AddOp(k, OpSpec{Category: k, TTL: d.now + 40_000, Slots: 1})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				i := rapid.IntRange(0, n-1).Draw(t, "which")
				of[i].Benefit = float64(rapid.IntRange(0, 9).Draw(t, "benefit"))
				d.SetCategories(settingsOf(of, 3))
			case 1:
				d.settings.BenefitPerWork = !d.settings.BenefitPerWork
			default:
				addServiceTime(d, rapid.IntRange(0, len(d.categories.all)-1).Draw(t, "ran"), Time(rapid.IntRange(1, 50).Draw(t, "took")))
			}
			o := d.ops.byIndex[rapid.IntRange(0, n-1).Draw(t, "op")]
			got := d.relativeWeight(o)
			d.categories.highest.valid = false
			if want := d.relativeWeight(o); got != want && fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("rank %v, by a walk %v", got, want)
			}
		}
	})
}

// An op that is pushed again under rules that it was not admitted with breaks rule 2.
func TestOpenOpsKeepTheRulesThatTheyCameWith(t *testing.T) {
	settings := func(effect Effect, attempts int) Settings {
		return settingsOf([]CategoryRules{{Name: "pay", Effect: effect, TTL: 50_000, LatencyObjective: 1000}}, attempts)
	}
	d := New(3, settings(Idempotent, 3))
	d.AdvanceClock(1)
	d.BeginSnapshot()
	for i := range 3 {
		d.UpsertWorker(i, WorkerEntry{Group: i, Ready: true})
	}
	d.EndUpdate()
	broken := func(op, place int) (pushes int) { // how often an op is pushed whose pushes all break
		if !d.AddOp(op, OpSpec{Category: place, TTL: d.now + 50_000, Slots: 1}) {
			t.Fatalf("no place %d", place)
		}
		for {
			next := d.Next()
			switch {
			case next.Kind == Push && next.Op == op:
				pushes++
				if op == 0 && pushes == 1 { // under the first op the settings change
					if places := d.SetCategories(settings(AtMostOnce, 1)); !slices.Equal(places, []int{1}) {
						t.Fatalf("another effect has place %v", places)
					}
				}
				d.AdvanceClock(d.now + 10)
				d.AttemptEnded(op, pushes-1, ConnectionLost, false)
			case next.Kind == NoDecision:
				return pushes
			}
		}
	}
	if n := broken(0, 0); n != 3 {
		t.Errorf("an op of before is pushed %d times, not 3", n)
	}
	if n := broken(1, 1); n != 1 {
		t.Errorf("an at-most-once op that may have run is pushed %d times", n)
	}
	if places := d.SetCategories(settings(Idempotent, 2)); !slices.Equal(places, []int{0}) {
		t.Errorf("terms that were known have place %v: what was learned is lost", places)
	}
	if n := broken(2, 0); n != 2 {
		t.Errorf("an op is pushed %d times where the settings now say 2", n)
	}
}

// Two categories of equal rules need a place each, or one name would mean the other.
func TestEqualCategoriesHaveSeparatePlaces(t *testing.T) {
	settings := settingsOf([]CategoryRules{{TTL: 5}, {TTL: 5}}, 1)
	d := New(3, settings)
	if places := d.SetCategories(settings); !slices.Equal(places, []int{0, 1}) {
		t.Errorf("places %v", places)
	}
}
