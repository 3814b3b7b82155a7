package reducer

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/outcome"
)

const second dispatch.Time = 10_000

// started is a reducer with two workers that have been listed, and no probes.
func started() *Reducer {
	r := New(7, map[string]any{"bounds.cancel": true, "bounds.maxPushes": 3.0, "step": 10.0,
		"categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
		"categories.0.targetLatency": float64(second), "categories.1.name": "pay", "categories.1.ttl": 5.0,
		"categories.1.effect": "at-most-once", "categories.1.targetLatency": float64(second)})
	r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{
		{Worker: "w", Addr: "a:1", Zone: "new", Ready: true}, {Worker: "v", Addr: "a:2", Ready: true}}})
	return r
}

// first finds the first effect of a kind.
func first[E Effect](todo []Effect) (found E, ok bool) {
	for _, e := range todo {
		if found, ok = e.(E); ok {
			return found, true
		}
	}
	return found, false
}

func arrive(r *Reducer, number uint64, category string) []Effect {
	return r.Step(2, OpArrived{Op: number, ID: fmt.Sprint(number), Category: category, TTL: 2 * second})
}

func TestAnUnknownCategoryIsAnsweredAtOnce(t *testing.T) {
	r := started()
	if a, ok := first[Respond](arrive(r, 1, "none such")); !ok || a.Verdict != UnknownCategory || len(r.opsByNumber) != 0 {
		t.Fatalf("%+v, %d live", a, len(r.opsByNumber))
	}
}

// Another client's op under a reserved ID ran as a second copy, and a job line could be either's.
func TestAnIDThatIsTakenIsRefused(t *testing.T) {
	r := started()
	ask := func(now dispatch.Time, number uint64, id string) Verdict {
		a, ok := first[Respond](r.Step(now, OpArrived{Op: number, ID: id, Category: "look", TTL: now + second}))
		if !ok {
			return -1
		}
		return a.Verdict
	}
	if got := ask(2, 1, "a"); got != -1 {
		t.Fatalf("a new id: %v", got)
	}
	if got := ask(3, 2, "a"); got != DuplicateID {
		t.Errorf("the id of an op that is out: %v", got)
	}
	r.Step(4, AttemptEnded{Op: 1, Ending: outcome.Done})
	if got := ask(5, 3, "a"); got != DuplicateID {
		t.Errorf("the id of an op that was answered a moment ago: %v", got)
	}
	for n := range uint64(3000) {
		ask(10, 100+n, string(rune(n+1000)))
		r.Step(10, ClientDisconnected{Op: 100 + n})
		r.Step(10, AttemptEnded{Op: 100 + n, Ending: outcome.Cancelled})
	}
	if got := ask(3*second, 4, "a"); got != -1 {
		t.Errorf("after its TTL: %v", got)
	}
	r.Step(3*second, ClientDisconnected{Op: 4})
	if r.Step(3*second, AttemptEnded{Op: 4, Ending: outcome.Cancelled}); len(r.opsByNumber) > 0 || len(r.ids.byID) > 4096 {
		t.Errorf("%d ids, %d ops", len(r.ids.byID), len(r.opsByNumber))
	}
}

func TestAPushThatMayHaveRunIsNoNack(t *testing.T) {
	for how, want := range map[outcome.Ending]Verdict{outcome.Reset: DeadLettered, outcome.Unknown: DeadLettered,
		outcome.TimedOut: DeadLettered, outcome.Done: Acked} {
		r := started()
		arrive(r, 1, "pay")
		a, ok := first[Respond](r.Step(3, AttemptEnded{Op: 1, Ending: how}))
		if !ok || a.Verdict != want || len(r.opsByNumber) != 0 {
			t.Errorf("%v: %+v, %d live", how, a, len(r.opsByNumber))
		}
	}
}

func TestNoDialOutlastsADrain(t *testing.T) {
	r := started()
	p, _ := first[Push](arrive(r, 1, "look"))
	todo := r.Step(3, EndpointsChanged{Endpoints: []Endpoint{{Worker: p.Worker, Addr: p.Addr}}})
	if c, ok := first[CancelAttempt](todo); !ok || !c.OnlyIfUnsent {
		t.Fatalf("drained, and the push may still be written: %+v", todo)
	}
	again, ok := first[Push](r.Step(4, AttemptEnded{Op: 1, Ending: outcome.CancelledUnsent}))
	if !ok || again.Worker == p.Worker || again.Attempt != 1 {
		t.Fatalf("the op that was never written is not pushed elsewhere: %+v", again)
	}
}

// A cancelled attempt must be closed before the next push, or two copies are in flight.
func TestAPushThatIsCalledOffIsClosedFirst(t *testing.T) {
	r := started()
	site := map[string]any{"extra.progress": 100.0, "extra.tellsStart": true,
		"bounds.cancel": true, "bounds.maxPushes": 3.0,
		"categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
		"categories.0.targetLatency": float64(second)}
	r.dispatcher = dispatch.New(7, config.DecisionSettings(site))
	r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{{Worker: "w", Addr: "a:1", Ready: true},
		{Worker: "v", Addr: "a:2", Ready: true}}})
	p, _ := first[Push](arrive(r, 1, "look"))
	for n := uint64(2); n < 12; n++ { // starts that say how long a start takes here
		arrive(r, n, "look")
		r.Step(3, AttemptProgressed{Op: n, Started: true})
		r.Step(3, AttemptEnded{Op: n, Ending: outcome.Done})
	}
	r.Step(3, AttemptProgressed{Op: 1, Started: true})
	todo := r.Step(304, TimerFired{})
	if c, ok := first[CancelAttempt](todo); !ok || c.OnlyIfUnsent || c.Ending != outcome.Cancelled {
		t.Fatalf("not closed: %+v", todo)
	}
	if _, ok := first[Push](todo); ok {
		t.Fatal("pushed again before the attempt has ended")
	}
	if again, ok := first[Push](r.Step(305, AttemptEnded{Op: 1, Ending: outcome.Cancelled})); !ok || again.Worker == p.Worker {
		t.Fatalf("not pushed elsewhere: %+v", again)
	}
}

func TestAClientThatLeftGetsNothingMore(t *testing.T) {
	r := started()
	arrive(r, 1, "look")
	if c, ok := first[CancelAttempt](r.Step(3, ClientDisconnected{Op: 1})); !ok || c.OnlyIfUnsent {
		t.Fatal("the push for nobody is not closed")
	}
	if todo := r.Step(4, AttemptEnded{Op: 1, Ending: outcome.Cancelled}); len(todo) > 0 || len(r.opsByNumber) > 0 {
		t.Fatalf("%+v, %d live", todo, len(r.opsByNumber))
	}
}

func TestAnUnreadableReportIsNoAnswerToAProbe(t *testing.T) {
	r := New(7, map[string]any{"bounds.probes": true, "bounds.maxPushes": 3.0, "categories.0.name": "look",
		"categories.0.ttl": 5.0, "categories.0.effect": "redeliverable", "categories.0.targetLatency": 9e3})
	r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{{Worker: "w", Addr: "a:1", Ready: true}}})
	p, ok := first[Probe](arrive(r, 1, "look"))
	if !ok {
		t.Fatal("no probe")
	}
	if _, ok := first[Push](r.Step(3, ProbeEnded{Probe: p.Probe, Ending: outcome.Done, LoadReport: []byte(`{"busy`)})); !ok {
		t.Fatal("the op waits on for a probe that has failed")
	}
}

func TestAStopAnswersWhatAWorkerIsSilentOn(t *testing.T) {
	r := started()
	arrive(r, 1, "pay")
	by := second / 2
	if todo := r.Step(3, ShutdownStarted{Deadline: by}); len(todo) > 0 {
		t.Fatalf("closed at once: %+v", todo)
	}
	if _, ok := first[Push](arrive(r, 2, "look")); !ok {
		t.Fatal("an op that came after the word to stop is not pushed")
	}
	if c, ok := first[CancelAttempt](r.Step(by, ShutdownStarted{Deadline: by})); !ok || c.Ending != outcome.TimedOut {
		t.Fatal("the silent push is not closed")
	}
	if a, ok := first[Respond](r.Step(by, AttemptEnded{Op: 1, Ending: outcome.TimedOut})); !ok || a.Verdict != DeadLettered {
		t.Fatal("no answer")
	}
}

// Whatever comes in whatever order, an op has one answer, one attempt in flight at a time, and nothing
// after.
func TestOneAnswerOnePush(t *testing.T) {
	agree := func(seed int64) bool {
		chance, r := rand.New(rand.NewSource(seed)), started()
		out, answered, left := map[uint64]bool{}, map[uint64]int{}, map[uint64]bool{}
		sound := true
		carry := func(todo []Effect) {
			for _, e := range todo {
				switch e := e.(type) {
				case Push:
					sound = sound && !out[e.Op] && answered[e.Op] == 0 && !left[e.Op]
					out[e.Op] = true
				case Respond:
					answered[e.Op]++
					sound = sound && answered[e.Op] == 1 && !left[e.Op]
				}
			}
		}
		now, last := dispatch.Time(3), uint64(0)
		for range 300 {
			now += dispatch.Time(chance.Intn(60))
			switch n := uint64(chance.Intn(int(last) + 1)); chance.Intn(6) {
			case 0, 1:
				last++
				carry(r.Step(now, OpArrived{Op: last, ID: fmt.Sprint(last), Category: []string{"look", "pay"}[chance.Intn(2)],
					TTL: now + dispatch.Time(chance.Intn(int(second)))}))
			case 2:
				if n > 0 && answered[n] == 0 {
					left[n] = true
				}
				carry(r.Step(now, ClientDisconnected{Op: n}))
			case 3, 4:
				if out[n] {
					out[n] = false
					carry(r.Step(now, AttemptEnded{Op: n, Ending: outcome.Ending(chance.Intn(20) - 1)}))
				}
			case 5:
				carry(r.Step(now, EndpointsChanged{Endpoints: []Endpoint{{Worker: "w", Addr: "a:1", Ready: chance.Intn(2) == 0}}}))
			}
		}
		now += 2 * second
		for n := uint64(1); n <= last; n++ {
			if out[n] {
				out[n] = false
				carry(r.Step(now, AttemptEnded{Op: n, Ending: outcome.TimedOut}))
			}
		}
		carry(r.Step(now, TimerFired{}))
		for n := uint64(1); n <= last; n++ {
			sound = sound && (left[n] || answered[n] == 1)
		}
		return sound && len(r.opsByNumber) == 0
	}
	if err := quick.Check(agree, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// Kinds that nobody switched on must not change how a deployment that runs on learns its workers' speeds.
func TestKindsAreDistinguishedOnlyWhereSwitchedOn(t *testing.T) {
	for _, on := range []bool{false, true} {
		r := New(1, map[string]any{"kinds": on})
		r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{{Worker: "a", MachineKind: "x", Ready: true}, {Worker: "b", MachineKind: "y"}}})
		if n := len(r.kinds); n != 1 && !on || n != 2 && on {
			t.Errorf("switched on: %v, kinds: %d", on, n)
		}
		for i := range 2 * maxMachineKinds {
			r.Step(1, EndpointsChanged{Endpoints: []Endpoint{{Worker: fmt.Sprint(i), MachineKind: fmt.Sprint(i)}}})
		}
		if n := len(r.kinds); n > maxMachineKinds+1 {
			t.Errorf("%d kinds are kept", n)
		}
	}
}

// Clients go on with a category that was dropped until they know, and their ops failed; and a new one was unknown.
func TestADroppedCategoryIsServedForAWhile(t *testing.T) {
	r := started()
	r.Step(2, SettingsChanged{RetainUntil: 2 + second, Settings: map[string]any{"bounds.maxPushes": 1.0, "categories.0.name": "look",
		"categories.0.ttl": 5.0, "categories.0.effect": "redeliverable", "categories.0.targetLatency": float64(second),
		"categories.1.name": "pay-2", "categories.1.ttl": 5.0, "categories.1.effect": "redeliverable",
		"categories.1.targetLatency": float64(second)}})
	for number, c := range []struct {
		category string
		at       dispatch.Time
		served   bool
	}{{"pay", 2, true}, {"pay-2", 2, true}, {"look", 2, true}, {"pay", 2 + second, true}, {"pay", 3 + second, false},
		{"pay-2", 3 + second, true}} {
		todo := r.Step(c.at, OpArrived{Op: uint64(number), ID: fmt.Sprint(number), Category: c.category, TTL: c.at + 5*second})
		if _, pushed := first[Push](todo); pushed != c.served {
			t.Errorf("%s at %d: %v", c.category, c.at, todo)
		}
		// What broke may have run: by the old rules pay is never pushed again, by the new ones no op is.
		todo = r.Step(c.at, AttemptEnded{Op: uint64(number), Ending: outcome.Reset})
		if push, again := first[Push](todo); again {
			t.Errorf("%s is pushed again: %+v", c.category, push)
		}
		if a, _ := first[Respond](todo); c.served && (a.Verdict == DeadLettered) != (c.category == "pay") {
			t.Errorf("%s: %v", c.category, a.Verdict)
		}
	}
	for category, want := range map[string]Verdict{"pay": Nacked, "never": UnknownCategory} {
		todo := r.Step(3+second, OpArrived{Op: 99, ID: "99", Category: category, TTL: 9 * second})
		if a, _ := first[Respond](todo); a.Verdict != want {
			t.Errorf("%s after the while: %v, want %v", category, a.Verdict, want)
		}
	}
}
