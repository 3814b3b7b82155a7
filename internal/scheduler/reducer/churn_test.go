package reducer

import (
	"fmt"
	"math/rand"
	"testing"

	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// A fleet that is replaced day by day names ever new workers. Each that had left was kept for good, and every op walked over all of them:
// a process that lived long enough grew without end. An op whose worker leaves meanwhile must still end as that worker's.
func TestWorkersThatLeftAreForgotten(t *testing.T) {
	const listed, replaced, most = 20, 12_000, 5_000
	for seed := range int64(3) {
		chance := rand.New(rand.NewSource(seed))
		r := New(7, map[string]any{"bounds.cancel": true, "bounds.probes": true, "bounds.maxPushes": 3.0, "step": 10.0,
			"report.how": "on_probe", "categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
			"categories.0.targetLatency": float64(second)})
		serving := map[string]bool{} // by address
		pushedTo := map[uint64]string{}
		var probes, ops []uint64
		answered := map[uint64]bool{}
		now, number := dispatch.Time(1), uint64(0)
		do := func(todo []Effect) {
			for _, e := range todo {
				switch e := e.(type) {
				case Push:
					if !serving[e.Addr] || e.Addr != "addr-"+e.Worker {
						t.Fatalf("seed %d: a push to %s at %s, which is not there", seed, e.Worker, e.Addr)
					}
					pushedTo[e.Op] = e.Worker
				case Probe:
					if !serving[e.Addr] {
						t.Fatalf("seed %d: a probe of %s at %s, which is not there", seed, e.Worker, e.Addr)
					}
					probes = append(probes, e.Probe)
				case Respond:
					if answered[e.Op] || e.Verdict == Acked && pushedTo[e.Op] == "" {
						t.Fatalf("seed %d: op %d: %v, answered before %v, pushed to %q", seed, e.Op, e.Verdict, answered[e.Op], pushedTo[e.Op])
					}
					answered[e.Op] = true
				}
			}
		}
		entry := func(k int, gone bool) Endpoint {
			name := fmt.Sprintf("w%d", k)
			serving["addr-"+name] = !gone
			return Endpoint{Worker: name, Addr: "addr-" + name, Zone: fmt.Sprint(k % 3), WorkerGroup: k % 7, Ready: !gone, Removed: gone}
		}
		first := EndpointsChanged{Snapshot: true}
		for k := range listed {
			first.Endpoints = append(first.Endpoints, entry(k, false))
		}
		do(r.Step(now, first))
		for k := listed; k < replaced; k++ {
			now += 5
			do(r.Step(now, EndpointsChanged{Endpoints: []Endpoint{entry(k-listed, true), entry(k, false)}}))
			if number++; number%2 == 0 {
				do(r.Step(now, OpArrived{Op: number, ID: fmt.Sprint(number), Category: "look", TTL: now + 5*second}))
				ops = append(ops, number)
			}
			for len(probes) > 8 {
				n := chance.Intn(len(probes))
				do(r.Step(now, ProbeEnded{Probe: probes[n], Ending: outcome.Done, LoadReport: []byte(`{}`)}))
				probes = append(probes[:n], probes[n+1:]...)
			}
			for range 2 * max(len(ops)-12, 0) { // some stay out while thousands of workers come and go
				n := 2 + chance.Intn(len(ops)-2)
				how := []outcome.Ending{outcome.Done, outcome.Reset, outcome.CancelledUnsent}[chance.Intn(3)]
				do(r.Step(now, AttemptEnded{Op: ops[n], Ending: how}))
				if answered[ops[n]] {
					ops = append(ops[:n], ops[n+1:]...)
				}
			}
			if n := len(r.workers); n > most {
				t.Fatalf("seed %d: %d workers are known after %d were replaced, of %d in the list", seed, n, k, listed)
			}
		}
		if known, _ := r.WorkerCounts(now); known != listed {
			t.Errorf("seed %d: %d workers are listed, want %d", seed, known, listed)
		}
		if len(r.workersByTag) > len(r.workersByName) || len(r.workersByName) > most { // two names may share a tag
			t.Errorf("seed %d: %d names, %d tags", seed, len(r.workersByName), len(r.workersByTag))
		}
	}
}

// What a worker that has left still has of this scheduler's must never be read as another one's: its index is nobody else's until then.
func TestAWorkerWithAnythingOutKeepsItsIndex(t *testing.T) {
	for name, probes := range map[string]bool{"a push": false, "a probe": true} {
		t.Run(name, func(t *testing.T) {
			r := New(7, map[string]any{"bounds.cancel": true, "bounds.probes": probes, "bounds.maxPushes": 3.0, "step": 10.0,
				"report.how": "on_probe", "categories.0.name": "look", "categories.0.ttl": 5.0, "categories.0.effect": "redeliverable",
				"categories.0.targetLatency": float64(second)})
			r.Step(1, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{{Worker: "v", Addr: "a:1", Ready: true}}})
			todo := r.Step(2, OpArrived{Op: 1, ID: "1", Category: "look", TTL: 1000 * second})
			p, probed := first[Probe](todo)
			if _, pushed := first[Push](todo); pushed == probes || probed != probes {
				t.Fatalf("%+v", todo)
			}
			i := r.workersByName["v"]
			r.Step(3, EndpointsChanged{Endpoints: []Endpoint{{Worker: "v", Removed: true}}})
			if probes {
				r.Step(3, ClientDisconnected{Op: 1}) // the probe alone is out
			}
			next := 0
			churn := func(until func() bool) {
				for end := next + 6*minForgettableWorkers; next < end && !until(); next++ {
					r.Step(4, EndpointsChanged{Endpoints: []Endpoint{{Worker: fmt.Sprint("w", next-1), Removed: true},
						{Worker: fmt.Sprint("w", next), Addr: fmt.Sprint("b:", next)}}})
				}
			}
			churn(func() bool { return r.workers[i].name != "v" })
			if r.workers[i].name != "v" || len(r.freeWorkers) == 0 {
				t.Fatalf("its index is %q's, %d are free", r.workers[i].name, len(r.freeWorkers))
			}
			if probes {
				r.Step(5, ProbeEnded{Probe: p.Probe, Ending: outcome.DialTimedOut})
			}
			r.Step(5, ClientDisconnected{Op: 1})
			r.Step(5, AttemptEnded{Op: 1, Ending: outcome.Cancelled})
			churn(func() bool { return r.workers[i].name != "v" })
			if r.workers[i].name == "v" {
				t.Error("it is remembered though nothing of it is out")
			}
		})
	}
}
