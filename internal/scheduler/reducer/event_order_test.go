package reducer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// opRecord is the test's own record of an op.
type opRecord struct {
	atMostOnce             bool // by the settings at its arrival
	disconnected, answered bool
	inFlight, written      bool
	mayHaveRun             bool // in any attempt
	worker                 string
}

// In any order of events (disconnected clients, endpoint lists, drains, settings changes, ends of probes and
// attempts, a shutdown), each op has one answer or its client has disconnected. No attempt starts after
// either of them, and no attempt goes to a draining worker. Once an at-most-once op may have run, it is
// neither retried nor nacked. ENDS_SEED sets the seed.
func TestEachOpHasOneAnswerInAnyOrderOfEvents(t *testing.T) {
	firstSeed, endSeed := uint64(0), uint64(300)
	if seed, err := strconv.ParseUint(os.Getenv("ENDS_SEED"), 10, 64); err == nil {
		firstSeed, endSeed = seed, seed+1
	}
	for seed := firstSeed; seed < endSeed; seed++ {
		if violation := runRandomEvents(seed); violation != "" {
			t.Fatalf("ENDS_SEED=%d: %s", seed, violation)
		}
	}
}

func runRandomEvents(seed uint64) (violation string) {
	rng := rand.New(rand.NewPCG(seed, 0))
	cancel, probes := rng.IntN(2) == 0, rng.IntN(2) == 0
	settingsOf := func(payEffect string, maxAttempts float64) map[string]any {
		return map[string]any{"bounds.cancel": cancel, "bounds.probes": probes,
			"bounds.maxPushes": maxAttempts, "step": 10.0, "extra.tellsStart": true, "extra.progress": 1000.0,
			"report.fields.0": "pending", "report.fields.1": "busy_reqs",
			"categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
			"categories.0.targetLatency": float64(second), "categories.1.name": "pay", "categories.1.ttl": 5.0,
			"categories.1.effect": payEffect, "categories.1.targetLatency": float64(second)}
	}
	atMostOnce := true
	r := New(seed, settingsOf("at-most-once", 3))
	ops, ready, openProbes := map[uint64]*opRecord{}, map[string]bool{}, map[uint64]bool{}
	now := dispatch.Time(10)
	report := func(format string, args ...any) {
		if violation == "" {
			violation = fmt.Sprintf(format, args...)
		}
	}
	var apply func(in Input)
	handleEffects := func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Push:
				o := ops[e.Op]
				if o.inFlight || o.disconnected || o.answered || !ready[e.Worker] ||
					o.atMostOnce && o.mayHaveRun {
					report("op %d is pushed to %s: %+v, ready %v", e.Op, e.Worker, *o, ready[e.Worker])
				}
				o.inFlight, o.written, o.worker = true, false, e.Worker
			case Respond:
				o := ops[e.Op]
				if o.answered || o.disconnected || e.Verdict == Nacked && o.atMostOnce && o.mayHaveRun {
					report("op %d is answered %v: %+v", e.Op, e.Verdict, *o)
				}
				o.answered = true
			case Probe:
				if !ready[e.Worker] {
					report("worker %s is probed while it drains", e.Worker)
				}
				openProbes[e.Probe] = true
			}
		}
		for _, e := range effects { // each cancelled attempt ends as its connection would report
			if e, ok := e.(CancelAttempt); ok {
				o := ops[e.Op]
				switch {
				case !o.inFlight || o.written && e.OnlyIfUnsent:
				case !o.written:
					o.inFlight = false
					apply(AttemptEnded{Op: e.Op, Ending: outcome.CancelledUnsent})
				default:
					if !cancel && e.Ending == outcome.Cancelled {
						report("op %d is cancelled, which the settings forbid", e.Op)
					}
					o.inFlight, o.mayHaveRun = false, true
					apply(AttemptEnded{Op: e.Op, Ending: e.Ending})
				}
			}
		}
	}
	apply = func(in Input) { handleEffects(r.Step(now, in)) }
	sendList := func(snapshot bool) {
		var l EndpointsChanged
		if l.Snapshot = snapshot; snapshot {
			clear(ready)
		}
		for i := range 4 {
			if w := fmt.Sprint("w", i); snapshot || rng.IntN(2) == 0 {
				ready[w] = rng.IntN(4) > 0
				l.Endpoints = append(l.Endpoints, Endpoint{Worker: w, Addr: "a:1", Zone: "z", Ready: ready[w]})
			}
		}
		apply(l)
	}
	sendList(true)
	shutdownDeadline, lastOp := dispatch.Time(0), uint64(0)
	for range 250 {
		now += dispatch.Time(rng.IntN(80))
		number := uint64(rng.IntN(int(lastOp) + 1))
		switch o := ops[number]; rng.IntN(12) {
		case 0, 1, 2:
			lastOp++
			category := []string{"look", "pay"}[rng.IntN(2)]
			ops[lastOp] = &opRecord{atMostOnce: atMostOnce && category == "pay"}
			apply(OpArrived{Op: lastOp, ID: fmt.Sprint(lastOp), Category: category,
				TTL: now + dispatch.Time(rng.IntN(int(second)))})
		case 3:
			if o != nil && !o.answered {
				o.disconnected = true
			}
			apply(ClientDisconnected{Op: number})
		case 4:
			sendList(rng.IntN(4) == 0)
		case 5:
			if atMostOnce = rng.IntN(2) == 0; atMostOnce {
				apply(SettingsChanged{
					Settings: settingsOf("at-most-once", float64(1+rng.IntN(4))), RetainUntil: now + second,
				})
			} else {
				apply(SettingsChanged{
					Settings: settingsOf("redeliverable", float64(1+rng.IntN(4))), RetainUntil: now + second,
				})
			}
		case 6:
			if o != nil && o.inFlight && o.written {
				apply(AttemptProgressed{Op: number, Started: rng.IntN(2) == 0, FractionDone: rng.Float64()})
			}
		case 7:
			if p, ok := smallestKey(openProbes); ok {
				delete(openProbes, p)
				apply(ProbeEnded{
					Probe:      p,
					Ending:     outcome.Ending(rng.IntN(20) - 1),
					LoadReport: []byte(`{"pending":0,"busy_reqs":1}`),
				})
			}
		case 8:
			if shutdownDeadline == 0 && rng.IntN(12) == 0 {
				shutdownDeadline = now + second/2
			}
			if shutdownDeadline > 0 {
				apply(ShutdownStarted{Deadline: shutdownDeadline})
			}
		case 9:
			apply(TimerFired{})
		default:
			if o == nil || !o.inFlight {
				break
			}
			if !o.written && rng.IntN(2) == 0 {
				if o.written = true; o.disconnected || !ready[o.worker] {
					report("op %d is written: %+v, ready %v", number, *o, ready[o.worker])
				}
				break
			}
			ending := outcome.Ending(rng.IntN(20) - 1)
			if !o.written {
				ending = []outcome.Ending{outcome.DialTimedOut, outcome.ConnRefused, outcome.CancelledUnsent,
					outcome.PartiallySent, outcome.NoDescriptor}[rng.IntN(5)]
			}
			o.inFlight, o.mayHaveRun = false, o.mayHaveRun || !ending.NeverRan() && ending != outcome.Done
			apply(AttemptEnded{Op: number, Ending: ending})
		}
		if violation != "" {
			return violation
		}
	}
	now += 2 * second
	for number := uint64(1); number <= lastOp; number++ {
		if o := ops[number]; o.inFlight {
			o.inFlight, o.mayHaveRun = false, true
			apply(AttemptEnded{Op: number, Ending: outcome.TimedOut})
		}
	}
	apply(TimerFired{})
	for number := uint64(1); number <= lastOp; number++ {
		if o := ops[number]; !o.answered && !o.disconnected {
			report("op %d has no answer: %+v", number, *o)
		}
	}
	if len(r.opsByNumber) > 0 {
		report("%d ops are not forgotten", len(r.opsByNumber))
	}
	return violation
}

// smallestKey returns the smallest key. The choice must be deterministic, so that a failing seed fails again.
func smallestKey(set map[uint64]bool) (n uint64, ok bool) {
	for k := range set {
		if !ok || k < n {
			n, ok = k, true
		}
	}
	return n, ok
}

// Guards against running an op after a SIGHUP has changed its category's effect, such as at-most-once,
// between its admission by the frontend and its arrival at the reducer.
func TestAnOpAdmittedUnderAnotherEffectIsNacked(t *testing.T) {
	for effect, want := range map[string]Verdict{"": -1, "redeliverable": -1, "at-most-once": Nacked} {
		r := newTestReducer()
		effects := r.Step(2, OpArrived{Op: 1, ID: "a", Category: "look", TTL: 2 * second, Effect: effect})
		a, answered := firstEffect[Respond](effects)
		if _, pushed := firstEffect[Push](effects); answered != (want == Nacked) || pushed == answered ||
			answered && a.Verdict != want {
			t.Errorf("effect %q: %+v", effect, effects)
		}
	}
}
