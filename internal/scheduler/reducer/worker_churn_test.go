package reducer

import (
	"fmt"
	"math/rand"
	"testing"

	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// Guards against unbounded state when workers are replaced daily under new names: workers that had left the
// list were never forgotten, and every op iterated over all of them. An op whose worker leaves the list must
// still be attributed to that worker when it ends.
func TestWorkersThatLeftAreForgotten(t *testing.T) {
	const listed, replaced, maxTracked = 20, 12_000, 5_000
	for seed := range int64(3) {
		rng := rand.New(rand.NewSource(seed))
		r := New(7, map[string]any{"bounds.cancel": true, "bounds.probes": true, "bounds.maxPushes": 3.0,
			"step": 10.0, "report.how": "on_probe", "categories.0.name": "look", "categories.0.ttl": 5.0,
			"categories.0.effect": "redeliverable", "categories.0.targetLatency": float64(second)})
		serving := map[string]bool{} // by address
		pushedTo := map[uint64]string{}
		var probes, ops []uint64
		answered := map[uint64]bool{}
		now, lastOp := dispatch.Time(1), uint64(0)
		handleEffects := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Push:
					if !serving[e.Addr] || e.Addr != "addr-"+e.Worker {
						t.Fatalf("seed %d: a push to %s at %s, which has left", seed, e.Worker, e.Addr)
					}
					pushedTo[e.Op] = e.Worker
				case Probe:
					if !serving[e.Addr] {
						t.Fatalf("seed %d: a probe of %s at %s, which has left", seed, e.Worker, e.Addr)
					}
					probes = append(probes, e.Probe)
				case Respond:
					if answered[e.Op] || e.Verdict == Acked && pushedTo[e.Op] == "" {
						t.Fatalf("seed %d: op %d: %v, answered before: %v, pushed to %q",
							seed, e.Op, e.Verdict, answered[e.Op], pushedTo[e.Op])
					}
					answered[e.Op] = true
				}
			}
		}
		endpoint := func(worker int, removed bool) Endpoint {
			name := fmt.Sprintf("w%d", worker)
			serving["addr-"+name] = !removed
			return Endpoint{Worker: name, Addr: "addr-" + name, Zone: fmt.Sprint(worker % 3),
				WorkerGroup: worker % 7, Ready: !removed, Removed: removed}
		}
		initial := EndpointsChanged{Snapshot: true}
		for worker := range listed {
			initial.Endpoints = append(initial.Endpoints, endpoint(worker, false))
		}
		handleEffects(r.Step(now, initial))
		for worker := listed; worker < replaced; worker++ {
			now += 5
			handleEffects(r.Step(now, EndpointsChanged{
				Endpoints: []Endpoint{endpoint(worker-listed, true), endpoint(worker, false)},
			}))
			if lastOp++; lastOp%2 == 0 {
				handleEffects(r.Step(now, OpArrived{
					Op: lastOp, ID: fmt.Sprint(lastOp), Category: "look", TTL: now + 5*second,
				}))
				ops = append(ops, lastOp)
			}
			for len(probes) > 8 {
				n := rng.Intn(len(probes))
				handleEffects(r.Step(now, ProbeEnded{
					Probe: probes[n], Ending: outcome.Done, LoadReport: []byte(`{}`),
				}))
				probes = append(probes[:n], probes[n+1:]...)
			}
			for range 2 * max(len(ops)-12, 0) { // some stay in flight while thousands of workers are replaced
				n := 2 + rng.Intn(len(ops)-2)
				ending := []outcome.Ending{outcome.Done, outcome.Reset, outcome.CancelledUnsent}[rng.Intn(3)]
				handleEffects(r.Step(now, AttemptEnded{Op: ops[n], Ending: ending}))
				if answered[ops[n]] {
					ops = append(ops[:n], ops[n+1:]...)
				}
			}
			if n := len(r.workers); n > maxTracked {
				t.Fatalf("seed %d: %d workers are known after worker %d, with %d in the list",
					seed, n, worker, listed)
			}
		}
		if listedCount, _ := r.WorkerCounts(now); listedCount != listed {
			t.Errorf("seed %d: %d workers are listed, want %d", seed, listedCount, listed)
		}
		// Two names may have the same tag.
		if len(r.workersByTag) > len(r.workersByName) || len(r.workersByName) > maxTracked {
			t.Errorf("seed %d: %d names, %d tags", seed, len(r.workersByName), len(r.workersByTag))
		}
	}
}

// An attempt or a probe in flight at a worker that has left the list must never be attributed to another
// worker. The worker's index is therefore not reused until the attempt or the probe has ended.
func TestAWorkerWithAnAttemptOrProbeInFlightKeepsItsIndex(t *testing.T) {
	for name, probes := range map[string]bool{"an attempt": false, "a probe": true} {
		t.Run(name, func(t *testing.T) {
			r := New(7, map[string]any{"bounds.cancel": true, "bounds.probes": probes, "bounds.maxPushes": 3.0,
				"step": 10.0, "report.how": "on_probe", "categories.0.name": "look", "categories.0.ttl": 5.0,
				"categories.0.effect": "redeliverable", "categories.0.targetLatency": float64(second)})
			r.Step(1, EndpointsChanged{
				Snapshot: true, Endpoints: []Endpoint{{Worker: "v", Addr: "a:1", Ready: true}},
			})
			effects := r.Step(2, OpArrived{Op: 1, ID: "1", Category: "look", TTL: 1000 * second})
			p, probed := firstEffect[Probe](effects)
			if _, pushed := firstEffect[Push](effects); pushed == probes || probed != probes {
				t.Fatalf("%+v", effects)
			}
			i := r.workersByName["v"]
			r.Step(3, EndpointsChanged{Endpoints: []Endpoint{{Worker: "v", Removed: true}}})
			if probes {
				r.Step(3, ClientDisconnected{Op: 1}) // only the probe is in flight
			}
			next := 0
			replaceWorkers := func(until func() bool) {
				for end := next + 6*minRetainedWorkers; next < end && !until(); next++ {
					r.Step(4, EndpointsChanged{Endpoints: []Endpoint{
						{Worker: fmt.Sprint("w", next-1), Removed: true},
						{Worker: fmt.Sprint("w", next), Addr: fmt.Sprint("b:", next)},
					}})
				}
			}
			replaceWorkers(func() bool { return r.workers[i].name != "v" })
			if r.workers[i].name != "v" || len(r.freeWorkers) == 0 {
				t.Fatalf("its index belongs to %q, %d are free", r.workers[i].name, len(r.freeWorkers))
			}
			if probes {
				r.Step(5, ProbeEnded{Probe: p.Probe, Ending: outcome.DialTimedOut})
			}
			r.Step(5, ClientDisconnected{Op: 1})
			r.Step(5, AttemptEnded{Op: 1, Ending: outcome.Cancelled})
			replaceWorkers(func() bool { return r.workers[i].name != "v" })
			if r.workers[i].name == "v" {
				t.Error("the worker is not forgotten, though nothing of it is in flight")
			}
		})
	}
}
