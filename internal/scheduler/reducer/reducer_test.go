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

// newTestReducer returns a reducer with two listed workers and without load probes.
func newTestReducer() *Reducer {
	r := New(7, map[string]any{"bounds.cancel": true, "bounds.maxPushes": 3.0, "step": 10.0,
		"categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
		"categories.0.targetLatency": float64(second), "categories.1.name": "pay", "categories.1.ttl": 5.0,
		"categories.1.effect": "at-most-once", "categories.1.targetLatency": float64(second)})
	r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{
		{Worker: "w", Addr: "a:1", Zone: "new", Ready: true}, {Worker: "v", Addr: "a:2", Ready: true}}})
	return r
}

// firstEffect returns the first effect of type E.
func firstEffect[E Effect](effects []Effect) (found E, ok bool) {
	for _, e := range effects {
		if found, ok = e.(E); ok {
			return found, true
		}
	}
	return found, false
}

func submitOp(r *Reducer, number uint64, category string) []Effect {
	return r.Step(2, OpArrived{Op: number, ID: fmt.Sprint(number), Category: category, TTL: 2 * second})
}

func TestAnOpOfAnUnknownCategoryIsRejectedImmediately(t *testing.T) {
	r := newTestReducer()
	if a, ok := firstEffect[Respond](submitOp(r, 1, "none such")); !ok || a.Verdict != UnknownCategory ||
		len(r.opsByNumber) != 0 {
		t.Fatalf("%+v, %d ops open", a, len(r.opsByNumber))
	}
}

// An op whose ID is still reserved for an earlier op must be rejected. Otherwise both ops would run under one
// ID, and a job line could belong to either.
func TestAReservedIDIsRejected(t *testing.T) {
	r := newTestReducer()
	submit := func(now dispatch.Time, number uint64, id string) Verdict {
		a, ok := firstEffect[Respond](r.Step(now, OpArrived{
			Op: number, ID: id, Category: "look", TTL: now + second,
		}))
		if !ok {
			return -1
		}
		return a.Verdict
	}
	if got := submit(2, 1, "a"); got != -1 {
		t.Fatalf("a new ID: %v", got)
	}
	if got := submit(3, 2, "a"); got != DuplicateID {
		t.Errorf("the ID of an op in flight: %v", got)
	}
	r.Step(4, AttemptEnded{Op: 1, Ending: outcome.Done})
	if got := submit(5, 3, "a"); got != DuplicateID {
		t.Errorf("the ID of an answered op before its TTL: %v", got)
	}
	for n := range uint64(3000) {
		submit(10, 100+n, string(rune(n+1000)))
		r.Step(10, ClientDisconnected{Op: 100 + n})
		r.Step(10, AttemptEnded{Op: 100 + n, Ending: outcome.Cancelled})
	}
	if got := submit(3*second, 4, "a"); got != -1 {
		t.Errorf("the ID of an answered op after its TTL: %v", got)
	}
	r.Step(3*second, ClientDisconnected{Op: 4})
	if r.Step(3*second, AttemptEnded{Op: 4, Ending: outcome.Cancelled}); len(r.opsByNumber) > 0 ||
		len(r.ids.byID) > 4096 {
		t.Errorf("%d IDs reserved, %d ops open", len(r.ids.byID), len(r.opsByNumber))
	}
}

func TestAnAttemptThatMayHaveRunIsNotNacked(t *testing.T) {
	for ending, want := range map[outcome.Ending]Verdict{
		outcome.Reset:    DeadLettered,
		outcome.Unknown:  DeadLettered,
		outcome.TimedOut: DeadLettered,
		outcome.Done:     Acked,
	} {
		r := newTestReducer()
		submitOp(r, 1, "pay")
		a, ok := firstEffect[Respond](r.Step(3, AttemptEnded{Op: 1, Ending: ending}))
		if !ok || a.Verdict != want || len(r.opsByNumber) != 0 {
			t.Errorf("ending %v: %+v, %d ops open", ending, a, len(r.opsByNumber))
		}
	}
}

func TestAnUnsentAttemptIsCancelledWhenItsWorkerDrains(t *testing.T) {
	r := newTestReducer()
	p, _ := firstEffect[Push](submitOp(r, 1, "look"))
	effects := r.Step(3, EndpointsChanged{Endpoints: []Endpoint{{Worker: p.Worker, Addr: p.Addr}}})
	if c, ok := firstEffect[CancelAttempt](effects); !ok || !c.OnlyIfUnsent {
		t.Fatalf("the worker drains, and the attempt may still be written: %+v", effects)
	}
	retry, ok := firstEffect[Push](r.Step(4, AttemptEnded{Op: 1, Ending: outcome.CancelledUnsent}))
	if !ok || retry.Worker == p.Worker || retry.Attempt != 1 {
		t.Fatalf("the unsent op is not pushed to the other worker: %+v", retry)
	}
}

// A cancelled attempt must end before the retry starts; otherwise two attempts are in flight.
func TestACancelledAttemptEndsBeforeTheRetry(t *testing.T) {
	r := newTestReducer()
	settings := map[string]any{"extra.progress": 100.0, "extra.tellsStart": true,
		"bounds.cancel": true, "bounds.maxPushes": 3.0,
		"categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
		"categories.0.targetLatency": float64(second)}
	r.dispatcher = dispatch.New(7, config.DecisionSettings(settings))
	r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{{Worker: "w", Addr: "a:1", Ready: true},
		{Worker: "v", Addr: "a:2", Ready: true}}})
	p, _ := firstEffect[Push](submitOp(r, 1, "look"))
	for n := uint64(2); n < 12; n++ { // samples of starts, from which the start delay is learned
		submitOp(r, n, "look")
		r.Step(3, AttemptProgressed{Op: n, Started: true})
		r.Step(3, AttemptEnded{Op: n, Ending: outcome.Done})
	}
	r.Step(3, AttemptProgressed{Op: 1, Started: true})
	effects := r.Step(304, TimerFired{})
	if c, ok := firstEffect[CancelAttempt](effects); !ok || c.OnlyIfUnsent || c.Ending != outcome.Cancelled {
		t.Fatalf("the attempt is not cancelled: %+v", effects)
	}
	if _, ok := firstEffect[Push](effects); ok {
		t.Fatal("the op is retried before its attempt has ended")
	}
	if retry, ok := firstEffect[Push](r.Step(305, AttemptEnded{Op: 1, Ending: outcome.Cancelled})); !ok ||
		retry.Worker == p.Worker {
		t.Fatalf("the op is not retried at the other worker: %+v", retry)
	}
}

func TestTheAttemptOfADisconnectedClientIsCancelledWithoutAnAnswer(t *testing.T) {
	r := newTestReducer()
	submitOp(r, 1, "look")
	if c, ok := firstEffect[CancelAttempt](r.Step(3, ClientDisconnected{Op: 1})); !ok || c.OnlyIfUnsent {
		t.Fatal("the attempt of a disconnected client is not cancelled")
	}
	if effects := r.Step(4, AttemptEnded{Op: 1, Ending: outcome.Cancelled}); len(effects) > 0 ||
		len(r.opsByNumber) > 0 {
		t.Fatalf("%+v, %d ops open", effects, len(r.opsByNumber))
	}
}

func TestAProbeWithAnUnreadableReportFails(t *testing.T) {
	r := New(7, map[string]any{"bounds.probes": true, "bounds.maxPushes": 3.0, "categories.0.name": "look",
		"categories.0.ttl": 5.0, "categories.0.effect": "redeliverable", "categories.0.targetLatency": 9e3})
	r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{{Worker: "w", Addr: "a:1", Ready: true}}})
	p, ok := firstEffect[Probe](submitOp(r, 1, "look"))
	if !ok {
		t.Fatal("no probe")
	}
	if _, ok := firstEffect[Push](r.Step(3, ProbeEnded{
		Probe: p.Probe, Ending: outcome.Done, LoadReport: []byte(`{"busy`),
	})); !ok {
		t.Fatal("the op still waits for a probe that has failed")
	}
}

func TestAShutdownTimesOutSilentAttemptsAtItsDeadline(t *testing.T) {
	r := newTestReducer()
	submitOp(r, 1, "pay")
	deadline := second / 2
	if effects := r.Step(3, ShutdownStarted{Deadline: deadline}); len(effects) > 0 {
		t.Fatalf("the attempt is cancelled before the deadline: %+v", effects)
	}
	if _, ok := firstEffect[Push](submitOp(r, 2, "look")); !ok {
		t.Fatal("an op that arrived after the start of the shutdown is not pushed")
	}
	if c, ok := firstEffect[CancelAttempt](r.Step(deadline, ShutdownStarted{Deadline: deadline})); !ok ||
		c.Ending != outcome.TimedOut {
		t.Fatal("the silent attempt is not timed out at the deadline")
	}
	if a, ok := firstEffect[Respond](r.Step(deadline, AttemptEnded{Op: 1, Ending: outcome.TimedOut})); !ok ||
		a.Verdict != DeadLettered {
		t.Fatal("the op is not dead-lettered")
	}
}

// In any order of events, an op has one answer unless its client disconnects. It has at most one attempt in
// flight at a time, and no attempt after its answer.
func TestEachOpHasOneAnswerAndOneAttemptInFlight(t *testing.T) {
	holds := func(seed int64) bool {
		rng, r := rand.New(rand.NewSource(seed)), newTestReducer()
		inFlight, answers, disconnected := map[uint64]bool{}, map[uint64]int{}, map[uint64]bool{}
		valid := true
		handleEffects := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Push:
					valid = valid && !inFlight[e.Op] && answers[e.Op] == 0 && !disconnected[e.Op]
					inFlight[e.Op] = true
				case Respond:
					answers[e.Op]++
					valid = valid && answers[e.Op] == 1 && !disconnected[e.Op]
				}
			}
		}
		now, lastOp := dispatch.Time(3), uint64(0)
		for range 300 {
			now += dispatch.Time(rng.Intn(60))
			switch n := uint64(rng.Intn(int(lastOp) + 1)); rng.Intn(6) {
			case 0, 1:
				lastOp++
				handleEffects(r.Step(now, OpArrived{
					Op:       lastOp,
					ID:       fmt.Sprint(lastOp),
					Category: []string{"look", "pay"}[rng.Intn(2)],
					TTL:      now + dispatch.Time(rng.Intn(int(second))),
				}))
			case 2:
				if n > 0 && answers[n] == 0 {
					disconnected[n] = true
				}
				handleEffects(r.Step(now, ClientDisconnected{Op: n}))
			case 3, 4:
				if inFlight[n] {
					inFlight[n] = false
					handleEffects(r.Step(now, AttemptEnded{Op: n, Ending: outcome.Ending(rng.Intn(20) - 1)}))
				}
			case 5:
				handleEffects(r.Step(now, EndpointsChanged{
					Endpoints: []Endpoint{{Worker: "w", Addr: "a:1", Ready: rng.Intn(2) == 0}},
				}))
			}
		}
		now += 2 * second
		for n := uint64(1); n <= lastOp; n++ {
			if inFlight[n] {
				inFlight[n] = false
				handleEffects(r.Step(now, AttemptEnded{Op: n, Ending: outcome.TimedOut}))
			}
		}
		handleEffects(r.Step(now, TimerFired{}))
		for n := uint64(1); n <= lastOp; n++ {
			valid = valid && (disconnected[n] || answers[n] == 1)
		}
		return valid && len(r.opsByNumber) == 0
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// In a deployment that has not enabled machine kinds, the kinds in an endpoint list must not change how the
// workers' speeds are learned.
func TestMachineKindsAreDistinguishedOnlyWhereEnabled(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		r := New(1, map[string]any{"kinds": enabled})
		r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{
			{Worker: "a", MachineKind: "x", Ready: true}, {Worker: "b", MachineKind: "y"},
		}})
		if n := len(r.machineKinds); n != 1 && !enabled || n != 2 && enabled {
			t.Errorf("enabled: %v, machine kinds: %d", enabled, n)
		}
		for i := range 2 * maxMachineKinds {
			r.Step(1, EndpointsChanged{
				Endpoints: []Endpoint{{Worker: fmt.Sprint(i), MachineKind: fmt.Sprint(i)}},
			})
		}
		if n := len(r.machineKinds); n > maxMachineKinds+1 {
			t.Errorf("%d machine kinds are distinguished", n)
		}
	}
}

// Guards against ops that fail after a settings change. Clients use a dropped category until they learn of
// the change, so its ops must still be served. The ops of a new category, which used to be unknown, must be
// served too.
func TestADroppedCategoryIsServedDuringItsRetention(t *testing.T) {
	r := newTestReducer()
	r.Step(2, SettingsChanged{RetainUntil: 2 + second, Settings: map[string]any{
		"bounds.maxPushes": 1.0, "categories.0.name": "look", "categories.0.ttl": 5.0,
		"categories.0.effect": "redeliverable", "categories.0.targetLatency": float64(second),
		"categories.1.name": "pay-2", "categories.1.ttl": 5.0, "categories.1.effect": "redeliverable",
		"categories.1.targetLatency": float64(second)}})
	for number, c := range []struct {
		category string
		at       dispatch.Time
		served   bool
	}{
		{"pay", 2, true}, {"pay-2", 2, true}, {"look", 2, true},
		{"pay", 2 + second, true}, {"pay", 3 + second, false}, {"pay-2", 3 + second, true},
	} {
		effects := r.Step(c.at, OpArrived{
			Op: uint64(number), ID: fmt.Sprint(number), Category: c.category, TTL: c.at + 5*second,
		})
		if _, pushed := firstEffect[Push](effects); pushed != c.served {
			t.Errorf("%s at %d: %v", c.category, c.at, effects)
		}
		// A reset attempt may have run. The old rules of pay forbid a retry, and the new limit of one attempt
		// forbids a retry of any op.
		effects = r.Step(c.at, AttemptEnded{Op: uint64(number), Ending: outcome.Reset})
		if retry, retried := firstEffect[Push](effects); retried {
			t.Errorf("an op of %s is retried: %+v", c.category, retry)
		}
		if a, _ := firstEffect[Respond](effects); c.served &&
			(a.Verdict == DeadLettered) != (c.category == "pay") {
			t.Errorf("%s: %v", c.category, a.Verdict)
		}
	}
	for category, want := range map[string]Verdict{"pay": Nacked, "never": UnknownCategory} {
		effects := r.Step(3+second, OpArrived{Op: 99, ID: "99", Category: category, TTL: 9 * second})
		if a, _ := firstEffect[Respond](effects); a.Verdict != want {
			t.Errorf("%s after its retention: %v, want %v", category, a.Verdict, want)
		}
	}
}
