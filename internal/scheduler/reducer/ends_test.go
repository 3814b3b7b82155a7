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

// known is what the test itself knows of an op: what its client was promised by the settings of the moment in which it came.
type known struct {
	once           bool // at-most-once, by those
	left, answered bool
	out, written   bool
	ran            bool // some push may have
	worker         string
}

// Whatever ends in whatever order (clients that disconnect, lists, drains, settings, probes, attempts, the
// process itself), each op has one answer or its client has gone; nothing is pushed after either, nothing
// new to a draining worker, and an at-most-once op is neither pushed again nor nacked once it may have run.
// The seed is ENDS_SEED.
func TestWhateverEndsEachOpHasOneAnswer(t *testing.T) {
	first, last := uint64(0), uint64(300)
	if seed, err := strconv.ParseUint(os.Getenv("ENDS_SEED"), 10, 64); err == nil {
		first, last = seed, seed+1
	}
	for seed := first; seed < last; seed++ {
		if fault := ends(seed); fault != "" {
			t.Fatalf("ENDS_SEED=%d: %s", seed, fault)
		}
	}
}

func ends(seed uint64) (fault string) {
	chance := rand.New(rand.NewPCG(seed, 0))
	cancel, probes := chance.IntN(2) == 0, chance.IntN(2) == 0
	site := func(once string, pushes float64) map[string]any {
		return map[string]any{"bounds.cancel": cancel, "bounds.probes": probes, "bounds.maxPushes": pushes, "step": 10.0,
			"extra.tellsStart": true, "extra.progress": 1000.0, "report.fields.0": "pending", "report.fields.1": "busy_reqs",
			"categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
			"categories.0.targetLatency": float64(second), "categories.1.name": "pay", "categories.1.ttl": 5.0,
			"categories.1.effect": once, "categories.1.targetLatency": float64(second)}
	}
	once := true
	r := New(seed, site("at-most-once", 3))
	ops, ready, open := map[uint64]*known{}, map[string]bool{}, map[uint64]bool{}
	now := dispatch.Time(10)
	say := func(format string, args ...any) {
		if fault == "" {
			fault = fmt.Sprintf(format, args...)
		}
	}
	var take func(in Input)
	carry := func(todo []Effect) {
		for _, e := range todo {
			switch e := e.(type) {
			case Push:
				o := ops[e.Op]
				if o.out || o.left || o.answered || !ready[e.Worker] || o.once && o.ran {
					say("op %d is pushed to %s: %+v, ready %v", e.Op, e.Worker, *o, ready[e.Worker])
				}
				o.out, o.written, o.worker = true, false, e.Worker
			case Respond:
				o := ops[e.Op]
				if o.answered || o.left || e.Verdict == Nacked && o.once && o.ran {
					say("op %d is answered %v: %+v", e.Op, e.Verdict, *o)
				}
				o.answered = true
			case Probe:
				if !ready[e.Worker] {
					say("%s is probed and drains", e.Worker)
				}
				open[e.Probe] = true
			}
		}
		for _, e := range todo { // what is closed ends as the connection would have it
			if e, ok := e.(CancelAttempt); ok {
				o := ops[e.Op]
				switch {
				case !o.out || o.written && e.OnlyIfUnsent:
				case !o.written:
					o.out = false
					take(AttemptEnded{Op: e.Op, Ending: outcome.CancelledUnsent})
				default:
					if !cancel && e.Ending == outcome.Cancelled {
						say("op %d is cancelled, which the settings forbid", e.Op)
					}
					o.out, o.ran = false, true
					take(AttemptEnded{Op: e.Op, Ending: e.Ending})
				}
			}
		}
	}
	take = func(in Input) { carry(r.Step(now, in)) }
	list := func(whole bool) {
		var l EndpointsChanged
		if l.Snapshot = whole; whole {
			clear(ready)
		}
		for i := range 4 {
			if w := fmt.Sprint("w", i); whole || chance.IntN(2) == 0 {
				ready[w] = chance.IntN(4) > 0
				l.Endpoints = append(l.Endpoints, Endpoint{Worker: w, Addr: "a:1", Zone: "z", Ready: ready[w]})
			}
		}
		take(l)
	}
	list(true)
	stop, n := dispatch.Time(0), uint64(0)
	for range 250 {
		now += dispatch.Time(chance.IntN(80))
		k := uint64(chance.IntN(int(n) + 1))
		switch o := ops[k]; chance.IntN(12) {
		case 0, 1, 2:
			n++
			category := []string{"look", "pay"}[chance.IntN(2)]
			ops[n] = &known{once: once && category == "pay"}
			take(OpArrived{Op: n, ID: fmt.Sprint(n), Category: category, TTL: now + dispatch.Time(chance.IntN(int(second)))})
		case 3:
			if o != nil && !o.answered {
				o.left = true
			}
			take(ClientDisconnected{Op: k})
		case 4:
			list(chance.IntN(4) == 0)
		case 5:
			if once = chance.IntN(2) == 0; once {
				take(SettingsChanged{Settings: site("at-most-once", float64(1+chance.IntN(4))), RetainUntil: now + second})
			} else {
				take(SettingsChanged{Settings: site("redeliverable", float64(1+chance.IntN(4))), RetainUntil: now + second})
			}
		case 6:
			if o != nil && o.out && o.written {
				take(AttemptProgressed{Op: k, Started: chance.IntN(2) == 0, Done: chance.Float64()})
			}
		case 7:
			if p, ok := least(open); ok {
				delete(open, p)
				take(ProbeEnded{Probe: p, Ending: outcome.Ending(chance.IntN(20) - 1), LoadReport: []byte(`{"pending":0,"busy_reqs":1}`)})
			}
		case 8:
			if stop == 0 && chance.IntN(12) == 0 {
				stop = now + second/2
			}
			if stop > 0 {
				take(ShutdownStarted{Deadline: stop})
			}
		case 9:
			take(TimerFired{})
		default:
			if o == nil || !o.out {
				break
			}
			if !o.written && chance.IntN(2) == 0 {
				if o.written = true; o.left || !ready[o.worker] {
					say("op %d is written: %+v, ready %v", k, *o, ready[o.worker])
				}
				break
			}
			how := outcome.Ending(chance.IntN(20) - 1)
			if !o.written {
				how = []outcome.Ending{outcome.DialTimedOut, outcome.ConnRefused, outcome.CancelledUnsent, outcome.PartiallySent, outcome.NoDescriptor}[chance.IntN(5)]
			}
			o.out, o.ran = false, o.ran || !how.NeverRan() && how != outcome.Done
			take(AttemptEnded{Op: k, Ending: how})
		}
		if fault != "" {
			return fault
		}
	}
	now += 2 * second
	for k := uint64(1); k <= n; k++ {
		if o := ops[k]; o.out {
			o.out, o.ran = false, true
			take(AttemptEnded{Op: k, Ending: outcome.TimedOut})
		}
	}
	take(TimerFired{})
	for k := uint64(1); k <= n; k++ {
		if o := ops[k]; !o.answered && !o.left {
			say("op %d has no answer: %+v", k, *o)
		}
	}
	if len(r.opsByNumber) > 0 {
		say("%d ops are held still", len(r.opsByNumber))
	}
	return fault
}

// least is the smallest of some numbers: a failing seed has to fail again.
func least(of map[uint64]bool) (n uint64, ok bool) {
	for k := range of {
		if !ok || k < n {
			n, ok = k, true
		}
	}
	return n, ok
}

// An op that was admitted under one effect, or without asking for it, ran under another when SIGHUP came in
// between.
func TestAnOpThatSettingsOvertookIsNacked(t *testing.T) {
	for effect, want := range map[string]Verdict{"": -1, "redeliverable": -1, "at-most-once": Nacked} {
		r := started()
		todo := r.Step(2, OpArrived{Op: 1, ID: "a", Category: "look", TTL: 2 * second, Effect: effect})
		a, answered := first[Respond](todo)
		if _, pushed := first[Push](todo); answered != (want == Nacked) || pushed == answered || answered && a.Verdict != want {
			t.Errorf("%q: %+v", effect, todo)
		}
	}
}
