package reducer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/outcome"
)

// testCategory is a category that these tests change.
type testCategory struct {
	name, effect string
	objective    dispatch.Time
}

func (c testCategory) writeTo(settings map[string]any, i int) {
	settings[config.ItemKey("categories", i, "name")], settings[config.ItemKey("categories", i, "effect")] =
		c.name, c.effect
	settings[config.ItemKey("categories", i, "ttl")], settings[config.ItemKey("categories", i, "benefit")] =
		50_000.0, 1.0
	settings[config.ItemKey("categories", i, "targetLatency")] = float64(c.objective)
}

func settingsWith(categories []testCategory, maxAttempts int) map[string]any {
	settings := map[string]any{"bounds.maxPushes": float64(maxAttempts), "bounds.probes": false, "step": 10.0}
	for i, c := range categories {
		c.writeTo(settings, i)
	}
	return settings
}

func listTestWorkers(r *Reducer, now dispatch.Time) {
	var list EndpointsChanged
	for i := range 6 {
		list.Endpoints = append(list.Endpoints,
			Endpoint{Worker: fmt.Sprint("w", i), Addr: "a:1", Zone: "z", Ready: true})
	}
	list.Snapshot = true
	r.Step(now, list)
}

// Guards against a retry or a dead letter by another category's rules, which happened when a category's index
// was reused while its ops were open. Ops stay open across thousands of settings changes: of rules, names and
// the limit on attempts, and of categories that are dropped and return. They are pushed and answered by the
// rules under which they were admitted. New ops of a dropped category are served by its rules while it is
// retained, and nacked after that. CHANGES_SEED sets the seed.
func TestOpsKeepTheirRulesAcrossThousandsOfSettingsChanges(t *testing.T) {
	firstSeed, endSeed := uint64(0), uint64(6)
	if seed, err := strconv.ParseUint(os.Getenv("CHANGES_SEED"), 10, 64); err == nil {
		firstSeed, endSeed = seed, seed+1
	}
	for seed := firstSeed; seed < endSeed; seed++ {
		if violation := runSettingsChanges(seed, 2000); violation != "" {
			t.Fatalf("CHANGES_SEED=%d: %s", seed, violation)
		}
	}
}

func runSettingsChanges(seed uint64, n int) (violation string) {
	type openOp struct {
		testCategory
		maxAttempts, attempts int
		inFlight, mayHaveRun  bool
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	report := func(format string, args ...any) {
		if violation == "" {
			violation = fmt.Sprintf(format, args...)
		}
	}
	categoryEffects := []string{"redeliverable", "at-most-once"}
	randomCategory := func(name string) testCategory {
		return testCategory{name, categoryEffects[rng.IntN(2)], dispatch.Time(1+rng.IntN(3)) * 100 * second}
	}
	var inForce []testCategory
	for i := range 5 {
		inForce = append(inForce, randomCategory(fmt.Sprint("c", i)))
	}
	maxAttempts := 3
	r := New(seed, settingsWith(inForce, maxAttempts))
	now := dispatch.Time(second)
	listTestWorkers(r, now)
	openOps, lastOp := map[uint64]*openOp{}, uint64(0)
	type formerCategory struct {
		testCategory
		retainUntil dispatch.Time
	}
	dropped := map[string]formerCategory{}
	servedByName := map[string]testCategory{}
	updateServed := func() {
		clear(servedByName)
		for _, e := range inForce {
			servedByName[e.name] = e
			delete(dropped, e.name)
		}
	}
	updateServed()
	var resetOp uint64
	apply := func(in Input) {
		for _, e := range r.Step(now, in) {
			switch e := e.(type) {
			case Push:
				o := openOps[e.Op]
				if o.attempts++; o.inFlight || o.attempts > o.maxAttempts ||
					o.mayHaveRun && o.effect == "at-most-once" {
					report("op %d is pushed: %+v", e.Op, *o)
				}
				o.inFlight = true
			case Respond:
				o := openOps[e.Op]
				switch {
				case e.Verdict == DeadLettered && o.effect != "at-most-once",
					e.Verdict == Nacked && o.mayHaveRun && o.effect == "at-most-once",
					e.Verdict == UnknownCategory,
					e.Op == resetOp && e.Verdict == Nacked && o.attempts < o.maxAttempts:
					report("op %d is answered %v: %+v", e.Op, e.Verdict, *o)
				}
				delete(openOps, e.Op)
			}
		}
	}
	submit := func(e testCategory) {
		lastOp++
		openOps[lastOp] = &openOp{testCategory: e, maxAttempts: maxAttempts}
		apply(OpArrived{
			Op: lastOp, ID: fmt.Sprint(lastOp), Category: e.name, TTL: now + 1<<40, Effect: e.effect,
		})
		if o := openOps[lastOp]; o == nil || !o.inFlight {
			report("an op of %+v is not pushed", e)
		}
	}
	for range n {
		now += dispatch.Time(rng.IntN(3000))
		before := inForce
		inForce = append([]testCategory(nil), inForce...)
		switch k := rng.IntN(len(inForce)); rng.IntN(6) {
		case 0: // another category replaces this one
			inForce[k] = randomCategory(fmt.Sprint("d", rng.IntN(8)))
		case 1:
			if len(inForce) > 2 {
				inForce = append(inForce[:k], inForce[k+1:]...)
			}
		case 2:
			inForce = append(inForce, randomCategory(fmt.Sprint("e", rng.IntN(4))))
		case 3:
			maxAttempts = 1 + rng.IntN(4)
		default:
			inForce[k] = randomCategory(inForce[k].name)
		}
		names := map[string]bool{} // if two categories have one name, only the last category is served
		for _, e := range inForce {
			names[e.name] = true
		}
		for _, e := range before {
			if !names[e.name] {
				dropped[e.name] = formerCategory{servedByName[e.name], now + second}
			}
		}
		apply(SettingsChanged{Settings: settingsWith(inForce, maxAttempts), RetainUntil: now + second})
		updateServed()
		for range rng.IntN(3) {
			submit(servedByName[inForce[rng.IntN(len(inForce))].name])
		}
		for _, c := range []string{"c0", "c1", "d0", "d1", "e0"} {
			switch x, ok := dropped[c]; {
			case ok && now <= x.retainUntil:
				submit(x.testCategory)
			case ok:
				lastOp++
				if a, _ := firstEffect[Respond](r.Step(now, OpArrived{
					Op: lastOp, ID: fmt.Sprint(lastOp), Category: c, TTL: now + 1<<40,
				})); a.Verdict != Nacked {
					report("an op of the dropped category %s is answered %v, want %v", c, a.Verdict, Nacked)
				}
			}
		}
		for i := lastOp; i > 0 && i+60 > lastOp; i-- { // older ops stay in flight for hundreds of changes
			o := openOps[i]
			if o == nil || !o.inFlight || rng.IntN(10) > 0 {
				continue
			}
			if o.inFlight = false; rng.IntN(3) == 0 {
				o.mayHaveRun, resetOp = true, i
				apply(AttemptEnded{Op: i, Ending: outcome.Reset})
				resetOp = 0
			} else {
				apply(AttemptEnded{Op: i, Ending: outcome.Done})
			}
		}
		if violation != "" {
			return violation
		}
	}
	return violation
}

var settingsChangesPerDay = 16_000

// The number of category changes must not be limited. With a limit of a thousand categories, which a large
// site reaches in half an hour, all further changes would be ignored. The test applies the changes of a day,
// one every 5.4 s, while some ops stay open. All changes must be applied, and the state must not grow.
// CHANGES=100000 sets another number of changes.
func TestADayOfSettingsChangesLeavesBoundedState(t *testing.T) {
	const categories, openOps = 560, 20
	n := settingsChangesPerDay
	if changes, err := strconv.Atoi(os.Getenv("CHANGES")); err == nil {
		n = changes
	}
	categoryEffects := []string{"redeliverable", "at-most-once"}
	var inForce []testCategory
	for i := range categories {
		inForce = append(inForce, testCategory{fmt.Sprint("team-", i), categoryEffects[0], 10 * second})
	}
	settings := settingsWith(inForce, 3)
	r, now, op := New(7, settings), dispatch.Time(second), uint64(0)
	listTestWorkers(r, now)
	change := func(i int) {
		now += 54_000
		k, e := i%categories, &inForce[i%categories]
		if e.effect, e.objective = categoryEffects[i/categories%2], 10*second+dispatch.Time(i); i%3 == 0 {
			e.name = fmt.Sprint("team-", k, "-", i)
		}
		e.writeTo(settings, k)
		r.Step(now, SettingsChanged{Settings: settings, RetainUntil: now + 20*second})
	}
	submit := func(e testCategory) {
		t.Helper()
		op++
		effects := r.Step(now, OpArrived{
			Op: op, ID: fmt.Sprint(op), Category: e.name, TTL: now + 1<<40, Effect: e.effect,
		})
		if _, pushed := firstEffect[Push](effects); !pushed {
			t.Fatalf("an op of %+v is not pushed: %+v", e, effects)
		}
	}
	for i := range openOps {
		submit(inForce[i])
	}
	highestIndex := 0
	for i := range n {
		change(i)
		submit(inForce[i%categories])
		r.Step(now, AttemptEnded{Op: op, Ending: outcome.Done})
		highestIndex = max(highestIndex, r.categories[inForce[i%categories].name])
	}
	// With a change every 5.4 s and 20 s of retention, two dropped categories and a new one need an index.
	if maxIndex := categories + openOps + 3; highestIndex >= maxIndex {
		t.Errorf("index %d is in use, want below %d", highestIndex, maxIndex)
	}
	if len(r.droppedCategories) > maxDroppedCategories || len(r.opsByNumber) != openOps {
		t.Errorf("%d dropped categories and %d ops remain, want at most %d categories and exactly %d ops",
			len(r.droppedCategories), len(r.opsByNumber), maxDroppedCategories, openOps)
	}
	for i := range openOps { // admitted as redeliverable; their categories' effect changed and changed back
		effects := r.Step(now, AttemptEnded{Op: uint64(i + 1), Ending: outcome.Reset})
		if _, retried := firstEffect[Push](effects); !retried {
			t.Errorf("op %d, open since the start, is not retried after a reset: %+v", i+1, effects)
		}
	}
}

// Guards against a successor that permanently rejects (400) the ops of a dropped category, because it does
// not know that the category existed. Clients may send such ops for a while. The successor must nack them.
func TestASuccessorNacksOpsOfDroppedCategories(t *testing.T) {
	settingsOf := func(names ...string) map[string]any {
		var categories []testCategory
		for _, name := range names {
			categories = append(categories, testCategory{name, "redeliverable", second})
		}
		return settingsWith(categories, 3)
	}
	r := New(1, settingsOf("look", "pay", "note"))
	listTestWorkers(r, 1)
	r.Step(2, SettingsChanged{Settings: settingsOf("look", "note"), RetainUntil: 2 + second})
	r.Step(3, SettingsChanged{Settings: settingsOf("look"), RetainUntil: 3 + second})
	successor := New(1, settingsOf("look", "note"))
	listTestWorkers(successor, 4)
	successor.Step(4, StateRestored{r.Learned()})
	for n, c := range []struct {
		category string
		want     Verdict // -1: the op is pushed
	}{{"look", -1}, {"pay", Nacked}, {"note", -1}, {"never", UnknownCategory}} {
		effects := successor.Step(5, OpArrived{
			Op: uint64(n), ID: fmt.Sprint(n), Category: c.category, TTL: 5 + second,
		})
		a, answered := firstEffect[Respond](effects)
		if _, pushed := firstEffect[Push](effects); pushed != (c.want < 0) || answered && a.Verdict != c.want {
			t.Errorf("category %s: %+v", c.category, effects)
		}
	}
	many := LearnedState{Dropped: map[string]dispatch.Time{}}
	for i := range 2 * maxDroppedCategories {
		many.Dropped[fmt.Sprint(i)] = 5
	}
	if successor.Step(6, StateRestored{many}); len(successor.droppedCategories) > maxDroppedCategories {
		t.Errorf("%d dropped categories are restored", len(successor.droppedCategories))
	}
}

// BenchmarkSettingsChanged measures a change of one category among the given number of categories, after the
// given number of earlier changes. The loop is blocked for this time.
func BenchmarkSettingsChanged(b *testing.B) {
	for _, categories := range []int{3, 560} {
		for _, before := range []int{0, 16_000, 100_000} {
			b.Run(fmt.Sprintf("entries=%d/before=%d", categories, before), func(b *testing.B) {
				var inForce []testCategory
				for i := range categories {
					inForce = append(inForce,
						testCategory{fmt.Sprint("team-", i), "redeliverable", 10 * second})
				}
				settings := settingsWith(inForce, 3)
				r, now, n := New(7, settings), dispatch.Time(second), 0
				change := func() {
					now += 54_000
					e := &inForce[n%categories]
					e.objective = 10*second + dispatch.Time(n)
					e.writeTo(settings, n%categories)
					r.Step(now, SettingsChanged{Settings: settings, RetainUntil: now + 20*second})
					n++
				}
				for n < before {
					change()
				}
				b.ReportAllocs()
				for b.Loop() {
					change()
				}
			})
		}
	}
}
