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

// entry is a category as these tests change it.
type entry struct {
	name, effect string
	target       dispatch.Time
}

func (e entry) into(site map[string]any, i int) {
	site[config.ItemKey("categories", i, "name")], site[config.ItemKey("categories", i, "effect")] = e.name, e.effect
	site[config.ItemKey("categories", i, "ttl")], site[config.ItemKey("categories", i, "benefit")] = 50_000.0, 1.0
	site[config.ItemKey("categories", i, "targetLatency")] = float64(e.target)
}

func siteOf(entries []entry, pushes int) map[string]any {
	site := map[string]any{"bounds.maxPushes": float64(pushes), "bounds.probes": false, "step": 10.0}
	for i, e := range entries {
		e.into(site, i)
	}
	return site
}

func fleetOf(r *Reducer, now dispatch.Time) {
	var l EndpointsChanged
	for i := range 6 {
		l.Endpoints = append(l.Endpoints, Endpoint{Worker: fmt.Sprint("w", i), Addr: "a:1", Zone: "z", Ready: true})
	}
	l.Snapshot = true
	r.Step(now, l)
}

// An op of a category whose place went to another one was pushed again, or dead-lettered, by that one's
// rules. Ops that stay open across thousands of changes (rules, names, attempts, categories that are
// dropped and come back) are pushed and answered by the rules that they were admitted with; those of a
// dropped category too while it is retained, and are nacked after that. The seed is CHANGES_SEED.
func TestOpsKeepTheirRulesAcrossThousandsOfChanges(t *testing.T) {
	first, last := uint64(0), uint64(6)
	if seed, err := strconv.ParseUint(os.Getenv("CHANGES_SEED"), 10, 64); err == nil {
		first, last = seed, seed+1
	}
	for seed := first; seed < last; seed++ {
		if fault := changes(seed, 2000); fault != "" {
			t.Fatalf("CHANGES_SEED=%d: %s", seed, fault)
		}
	}
}

func changes(seed uint64, n int) (fault string) {
	type open struct {
		entry
		pushes, legs int
		out, ran     bool
	}
	chance := rand.New(rand.NewPCG(seed, 2))
	say := func(format string, args ...any) {
		if fault == "" {
			fault = fmt.Sprintf(format, args...)
		}
	}
	effects := []string{"redeliverable", "at-most-once"}
	fresh := func(name string) entry {
		return entry{name, effects[chance.IntN(2)], dispatch.Time(1+chance.IntN(3)) * 100 * second}
	}
	var inForce []entry
	for i := range 5 {
		inForce = append(inForce, fresh(fmt.Sprint("c", i)))
	}
	pushes := 3
	r := New(seed, siteOf(inForce, pushes))
	now := dispatch.Time(second)
	fleetOf(r, now)
	ops, last := map[uint64]*open{}, uint64(0)
	type was struct {
		entry
		until dispatch.Time
	}
	dropped := map[string]was{}
	served := map[string]entry{}
	name := func() {
		clear(served)
		for _, e := range inForce {
			served[e.name] = e
			delete(dropped, e.name)
		}
	}
	name()
	var broken uint64
	take := func(in Input) {
		for _, e := range r.Step(now, in) {
			switch e := e.(type) {
			case Push:
				o := ops[e.Op]
				if o.legs++; o.out || o.legs > o.pushes || o.ran && o.effect == "at-most-once" {
					say("op %d is pushed: %+v", e.Op, *o)
				}
				o.out = true
			case Respond:
				o := ops[e.Op]
				switch {
				case e.Verdict == DeadLettered && o.effect != "at-most-once", e.Verdict == Nacked && o.ran && o.effect == "at-most-once",
					e.Verdict == UnknownCategory, e.Op == broken && e.Verdict == Nacked && o.legs < o.pushes:
					say("op %d is answered %v: %+v", e.Op, e.Verdict, *o)
				}
				delete(ops, e.Op)
			}
		}
	}
	arrive := func(e entry) {
		last++
		ops[last] = &open{entry: e, pushes: pushes}
		take(OpArrived{Op: last, ID: fmt.Sprint(last), Category: e.name, TTL: now + 1<<40, Effect: e.effect})
		if o := ops[last]; o == nil || !o.out {
			say("an op of %+v is not pushed", e)
		}
	}
	for range n {
		now += dispatch.Time(chance.IntN(3000))
		before := inForce
		inForce = append([]entry(nil), inForce...)
		switch k := chance.IntN(len(inForce)); chance.IntN(6) {
		case 0: // a name goes, another comes
			inForce[k] = fresh(fmt.Sprint("d", chance.IntN(8)))
		case 1:
			if len(inForce) > 2 {
				inForce = append(inForce[:k], inForce[k+1:]...)
			}
		case 2:
			inForce = append(inForce, fresh(fmt.Sprint("e", chance.IntN(4))))
		case 3:
			pushes = 1 + chance.IntN(4)
		default:
			inForce[k] = fresh(inForce[k].name)
		}
		names := map[string]bool{} // of two that have one name the last one is served, and the first one only stands there
		for _, e := range inForce {
			names[e.name] = true
		}
		for _, e := range before {
			if !names[e.name] {
				dropped[e.name] = was{served[e.name], now + second}
			}
		}
		take(SettingsChanged{Settings: siteOf(inForce, pushes), RetainUntil: now + second})
		name()
		for range chance.IntN(3) {
			arrive(served[inForce[chance.IntN(len(inForce))].name])
		}
		for _, c := range []string{"c0", "c1", "d0", "d1", "e0"} {
			switch x, ok := dropped[c]; {
			case ok && now <= x.until:
				arrive(x.entry)
			case ok:
				last++
				if a, _ := first[Respond](r.Step(now, OpArrived{Op: last, ID: fmt.Sprint(last), Category: c, TTL: now + 1<<40})); a.Verdict != Nacked {
					say("an op of %s, which was dropped, is answered %v", c, a.Verdict)
				}
			}
		}
		for i := last; i > 0 && i+60 > last; i-- { // some end, and some stay for hundreds of changes
			o := ops[i]
			if o == nil || !o.out || chance.IntN(10) > 0 {
				continue
			}
			if o.out = false; chance.IntN(3) == 0 {
				o.ran, broken = true, i
				take(AttemptEnded{Op: i, Ending: outcome.Reset})
				broken = 0
			} else {
				take(AttemptEnded{Op: i, Ending: outcome.Done})
			}
		}
		if fault != "" {
			return fault
		}
	}
	return fault
}

var dayOfChanges = 16_000

// After a thousand categories no change was taken any more, half an hour at the pace of a large site. All
// changes of a day are taken, one each 5.4 s, also with ops that are open all the while, and the state
// after them is as large as at the beginning. CHANGES=100000 makes as many of them.
func TestADayOfChangesIsTakenAndHoldsNothing(t *testing.T) {
	const entries, held = 560, 20
	n := dayOfChanges
	if most, err := strconv.Atoi(os.Getenv("CHANGES")); err == nil {
		n = most
	}
	effects := []string{"redeliverable", "at-most-once"}
	var inForce []entry
	for i := range entries {
		inForce = append(inForce, entry{fmt.Sprint("team-", i), effects[0], 10 * second})
	}
	site := siteOf(inForce, 3)
	r, now, op := New(7, site), dispatch.Time(second), uint64(0)
	fleetOf(r, now)
	change := func(i int) {
		now += 54_000
		k, e := i%entries, &inForce[i%entries]
		if e.effect, e.target = effects[i/entries%2], 10*second+dispatch.Time(i); i%3 == 0 {
			e.name = fmt.Sprint("team-", k, "-", i)
		}
		e.into(site, k)
		r.Step(now, SettingsChanged{Settings: site, RetainUntil: now + 20*second})
	}
	send := func(e entry) {
		t.Helper()
		op++
		todo := r.Step(now, OpArrived{Op: op, ID: fmt.Sprint(op), Category: e.name, TTL: now + 1<<40, Effect: e.effect})
		if _, pushed := first[Push](todo); !pushed {
			t.Fatalf("an op of %+v: %+v", e, todo)
		}
	}
	for i := range held {
		send(inForce[i])
	}
	highest := 0
	for i := range n {
		change(i)
		send(inForce[i%entries])
		r.Step(now, AttemptEnded{Op: op, Ending: outcome.Done})
		highest = max(highest, r.categories[inForce[i%entries].name])
	}
	if most := entries + held + 3; highest >= most { // at 5.4 s a change and 20 s for a dropped one, two such and a new one
		t.Errorf("place %d is in use, of %d that are needed", highest, most)
	}
	if len(r.droppedCategories) > maxDroppedCategories || len(r.opsByNumber) != held {
		t.Errorf("%d dropped categories and %d ops are held", len(r.droppedCategories), len(r.opsByNumber))
	}
	for i := range held { // they came as redeliverable, which their categories were not any more and then were again
		todo := r.Step(now, AttemptEnded{Op: uint64(i + 1), Ending: outcome.Reset})
		if _, again := first[Push](todo); !again {
			t.Errorf("op %d of the beginning, which broke, is not pushed again: %+v", i+1, todo)
		}
	}
}

// The process that took over answered clients that did not know yet of a dropped category as if it had never been one: 400, for good.
func TestSuccessorKnowsDroppedCategories(t *testing.T) {
	of := func(names ...string) map[string]any {
		var entries []entry
		for _, name := range names {
			entries = append(entries, entry{name, "redeliverable", second})
		}
		return siteOf(entries, 3)
	}
	r := New(1, of("look", "pay", "note"))
	fleetOf(r, 1)
	r.Step(2, SettingsChanged{Settings: of("look", "note"), RetainUntil: 2 + second})
	r.Step(3, SettingsChanged{Settings: of("look"), RetainUntil: 3 + second})
	successor := New(1, of("look", "note"))
	fleetOf(successor, 4)
	successor.Step(4, StateRestored{r.Learned()})
	for n, c := range []struct {
		category string
		want     Verdict // -1: it is pushed
	}{{"look", -1}, {"pay", Nacked}, {"note", -1}, {"never", UnknownCategory}} {
		todo := successor.Step(5, OpArrived{Op: uint64(n), ID: fmt.Sprint(n), Category: c.category, TTL: 5 + second})
		a, answered := first[Respond](todo)
		if _, pushed := first[Push](todo); pushed != (c.want < 0) || answered && a.Verdict != c.want {
			t.Errorf("%s: %+v", c.category, todo)
		}
	}
	many := LearnedState{Dropped: map[string]dispatch.Time{}}
	for i := range 2 * maxDroppedCategories {
		many.Dropped[fmt.Sprint(i)] = 5
	}
	if successor.Step(6, StateRestored{many}); len(successor.droppedCategories) > maxDroppedCategories {
		t.Errorf("%d dropped names are taken over", len(successor.droppedCategories))
	}
}

// BenchmarkSettingsChanged is one category's change among so many, after so many before it, as the loop has it to take.
func BenchmarkSettingsChanged(b *testing.B) {
	for _, entries := range []int{3, 560} {
		for _, before := range []int{0, 16_000, 100_000} {
			b.Run(fmt.Sprintf("entries=%d/before=%d", entries, before), func(b *testing.B) {
				var inForce []entry
				for i := range entries {
					inForce = append(inForce, entry{fmt.Sprint("team-", i), "redeliverable", 10 * second})
				}
				site := siteOf(inForce, 3)
				r, now, n := New(7, site), dispatch.Time(second), 0
				change := func() {
					now += 54_000
					e := &inForce[n%entries]
					e.target = 10*second + dispatch.Time(n)
					e.into(site, n%entries)
					r.Step(now, SettingsChanged{Settings: site, RetainUntil: now + 20*second})
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
