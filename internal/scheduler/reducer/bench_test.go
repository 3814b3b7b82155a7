package reducer

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// endpointSnapshot returns a snapshot of n workers in 14 zones, with 60 workers per worker group.
func endpointSnapshot(n int) EndpointsChanged {
	in := EndpointsChanged{Snapshot: true, Revision: 1}
	for i := range n {
		in.Endpoints = append(in.Endpoints, Endpoint{
			Worker:      fmt.Sprintf("worker-%05d", i),
			Addr:        fmt.Sprintf("10.%d.%d.%d:8080", i%14, i/250, i%250),
			Zone:        fmt.Sprintf("zone-%02d", i%14),
			MachineKind: fmt.Sprintf("kind-%d", i%5),
			WorkerGroup: i / 60,
			Ready:       true,
			StartedAt:   1,
		})
	}
	return in
}

// benchSettings returns settings with the given number of categories. The latency objective of the first
// category depends on the version.
func benchSettings(categories, version int) map[string]any {
	settings := map[string]any{"bounds.cancel": true, "bounds.maxPushes": 3.0, "step": 50.0}
	for k := range categories {
		prefix := fmt.Sprintf("categories.%d.", k)
		settings[prefix+"name"], settings[prefix+"effect"],
			settings[prefix+"ttl"], settings[prefix+"targetLatency"] =
			fmt.Sprint("c", k), "redeliverable", 50_000.0, 5_000.0
	}
	settings["categories.0.targetLatency"] = float64(5_000 + version)
	return settings
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkEndpointsChanged measures an endpoint list in the reducer and the dispatcher: a first snapshot,
// the same snapshot again, and a delta of one worker.
func BenchmarkEndpointsChanged(b *testing.B) {
	for _, workers := range []int{100, 400, 1_600, 6_300} {
		list := endpointSnapshot(workers)
		settings := benchSettings(3, 0)
		b.Run(fmt.Sprintf("first/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			var reducers []*Reducer
			before := liveHeapBytes()
			b.ResetTimer()
			for range b.N {
				r := New(7, settings)
				r.Step(1, list)
				if reducers = append(reducers, r); len(reducers) == 8 {
					b.StopTimer()
					b.ReportMetric((liveHeapBytes()-before)/8/float64(workers), "live-B/worker")
					reducers = reducers[:0]
					clear(reducers[:8])
					b.StartTimer()
				}
			}
		})
		b.Run(fmt.Sprintf("again/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			r := New(7, settings)
			r.Step(1, list)
			b.ResetTimer()
			for n := range b.N {
				r.Step(dispatch.Time(n+2), list)
			}
		})
		b.Run(fmt.Sprintf("change/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			r := New(7, settings)
			r.Step(1, list)
			b.ResetTimer()
			for n := range b.N {
				e := list.Endpoints[n%workers]
				e.Ready = n/workers%2 > 0
				r.Step(dispatch.Time(n+2), EndpointsChanged{Revision: int64(n), Endpoints: []Endpoint{e}})
			}
		})
	}
}

// BenchmarkLearned measures the learned state for a successor: its bytes per worker, and the time for which
// the loop is blocked. Before that, each worker has served as many ops as are sampled per worker.
func BenchmarkLearned(b *testing.B) {
	for _, workers := range []int{100, 400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			settings := benchSettings(3, 0)
			settings["extra.tellsStart"] = true
			r := New(7, settings)
			r.Step(1, endpointSnapshot(workers))
			now := dispatch.Time(17_000_000_000_000) // a present-day clock reading in units of 0.1 ms
			for n := range uint64(60 * workers) {
				now += 100
				op := n + 1
				if p, ok := firstEffect[Push](r.Step(now, OpArrived{
					Op: op, ID: fmt.Sprintf("%016x", op), Category: "c0", TTL: now + 50_000,
				})); !ok || p.Op != op {
					b.Fatal("the op is not pushed")
				}
				now += 13
				r.Step(now, AttemptProgressed{Op: op, Started: true})
				now += dispatch.Time(200 + n%97)
				r.Step(now, AttemptEnded{Op: op, Ending: outcome.Done})
			}
			b.ResetTimer()
			var l LearnedState
			for range b.N {
				l = r.Learned()
			}
			b.StopTimer()
			l.IDs = nil // excluded: only the IDs of the last few seconds
			start := time.Now()
			text, err := json.Marshal(l)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(workers), "written-ns/worker")
			b.ReportMetric(float64(len(text))/float64(workers), "B/worker")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*workers), "loop-ns/worker")
		})
	}
}
