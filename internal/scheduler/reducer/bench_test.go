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

// workersOf is a whole list of so many workers in 14 zones, 60 workers to a cell.
func workersOf(n int) EndpointsChanged {
	in := EndpointsChanged{Snapshot: true, Revision: 1}
	for i := range n {
		in.Endpoints = append(in.Endpoints, Endpoint{Worker: fmt.Sprintf("worker-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i%14, i/250, i%250),
			Zone: fmt.Sprintf("zone-%02d", i%14), MachineKind: fmt.Sprintf("kind-%d", i%5), WorkerGroup: i / 60, Ready: true, StartedAt: 1})
	}
	return in
}

// settings are a site's with so many categories, of which one has a target latency of its own.
func settings(categories, version int) map[string]any {
	site := map[string]any{"bounds.cancel": true, "bounds.maxPushes": 3.0, "step": 50.0}
	for k := range categories {
		at := fmt.Sprintf("categories.%d.", k)
		site[at+"name"], site[at+"effect"], site[at+"ttl"], site[at+"targetLatency"] = fmt.Sprint("c", k), "redeliverable", 50_000.0, 5_000.0
	}
	site["categories.0.targetLatency"] = float64(5_000 + version)
	return site
}

// heap is what is live, in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkList is what a list costs the reducer and its module: the first whole one, the same again, and a change of one worker.
func BenchmarkList(b *testing.B) {
	for _, workers := range []int{100, 400, 1_600, 6_300} {
		list := workersOf(workers)
		site := settings(3, 0)
		b.Run(fmt.Sprintf("first/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			var kept []*Reducer
			before := heap()
			b.ResetTimer()
			for range b.N {
				r := New(7, site)
				r.Step(1, list)
				if kept = append(kept, r); len(kept) == 8 {
					b.StopTimer()
					b.ReportMetric((heap()-before)/8/float64(workers), "live-B/worker")
					kept = kept[:0]
					clear(kept[:8])
					b.StartTimer()
				}
			}
		})
		b.Run(fmt.Sprintf("again/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			r := New(7, site)
			r.Step(1, list)
			b.ResetTimer()
			for n := range b.N {
				r.Step(dispatch.Time(n+2), list)
			}
		})
		b.Run(fmt.Sprintf("change/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			r := New(7, site)
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

// BenchmarkLearned is what one process hands the next, once each worker has served as many ops as are remembered of it: bytes a worker,
// and the time in which the loop does nothing else.
func BenchmarkLearned(b *testing.B) {
	for _, workers := range []int{100, 400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			site := settings(3, 0)
			site["extra.tellsStart"] = true
			r := New(7, site)
			r.Step(1, workersOf(workers))
			now := dispatch.Time(17_000_000_000_000) // a year of ours, as a process has it
			for n := range uint64(60 * workers) {
				now += 100
				op := n + 1
				if p, ok := first[Push](r.Step(now, OpArrived{Op: op, ID: fmt.Sprintf("%016x", op), Category: "c0", TTL: now + 50_000})); !ok || p.Op != op {
					b.Fatal("no push")
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
			l.IDs = nil // of the last few seconds
			from := time.Now()
			text, err := json.Marshal(l)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(from).Nanoseconds())/float64(workers), "written-ns/worker")
			b.ReportMetric(float64(len(text))/float64(workers), "B/worker")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*workers), "loop-ns/worker")
		})
	}
}
