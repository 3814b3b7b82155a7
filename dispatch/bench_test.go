package dispatch

import (
	"fmt"
	"testing"
)

// dispatcherWithStartedOps creates a dispatcher with the given number of ops in flight, all of them
// started.
func dispatcherWithStartedOps(inFlight, workers int) (*Dispatcher, Time) {
	d := New(7, testSettings(func(s *Settings) { s.Probes, s.ProgressInterval = false, 10_000 }))
	now := Time(1_000_000)
	d.AdvanceClock(now)
	d.BeginSnapshot()
	for i := range workers {
		d.UpsertWorker(i, WorkerEntry{Zone: 1, Group: 1, Ready: true})
	}
	d.EndUpdate()
	for i := range inFlight {
		now++
		d.AdvanceClock(now)
		d.AddOp(i, OpSpec{TTL: now + 1<<40, Slots: 1})
		discardDecisions(d)
		d.AttemptProgress(i, 0, Progress{Started: true})
	}
	discardDecisions(d)
	return d, now
}

func discardDecisions(d *Dispatcher) {
	for {
		if d.Next().Kind == NoDecision {
			return
		}
	}
}

// BenchmarkAttemptProgress measures the progress of one attempt among many in flight, the most frequent
// input of a scheduler under load.
func BenchmarkAttemptProgress(b *testing.B) {
	for _, inFlight := range []int{10, 100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held=%d", inFlight), func(b *testing.B) {
			d, now := dispatcherWithStartedOps(inFlight, 100)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				if n%50 == 0 {
					now++
				}
				d.AdvanceClock(now)
				d.AttemptProgress(n%inFlight, 0, Progress{})
				discardDecisions(d)
			}
		})
	}
}

// BenchmarkOp measures an op from its admission to its end, with many others in flight.
func BenchmarkOp(b *testing.B) {
	for _, inFlight := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("held=%d", inFlight), func(b *testing.B) {
			d, now := dispatcherWithStartedOps(inFlight, 100)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				if n%50 == 0 {
					now++
				}
				d.AdvanceClock(now)
				d.AddOp(inFlight, OpSpec{TTL: now + 1<<40, Slots: 1})
				discardDecisions(d)
				d.AdvanceClock(now)
				d.AttemptEnded(inFlight, 0, Succeeded, true)
				discardDecisions(d)
			}
		})
	}
}

// dispatcherOfSize creates a dispatcher with workers in 14 zones and inFlight started ops, spread evenly.
func dispatcherOfSize(workers, inFlight int, change func(*Settings)) (*Dispatcher, Time) {
	d, now := New(7, testSettings(change)), Time(1_000_000)
	d.AdvanceClock(now)
	listWorkers(d, workers)
	for i := range inFlight {
		now++
		d.AdvanceClock(now)
		d.AddOp(i, OpSpec{TTL: now + 1<<40, Slots: 1})
		serveOp(d, i, now, false)
	}
	return d, now
}

func listWorkers(d *Dispatcher, workers int) {
	d.BeginSnapshot()
	for i := range workers {
		d.UpsertWorker(i, WorkerEntry{Zone: i % 14, Group: i % 100, Ready: true})
		setIdentity(d, i, schedulerKey(i), 0)
	}
	d.EndUpdate()
}

// serveOp carries out an op's decisions: each probe is answered by an idle worker, and the attempt starts.
// If ends is set, the attempt also succeeds.
func serveOp(d *Dispatcher, i int, now Time, ends bool) {
	for {
		next := d.Next()
		switch next.Kind {
		case NoDecision:
			if ends {
				d.AttemptEnded(i, 0, Succeeded, true)
				discardDecisions(d)
			}
			return
		case Probe:
			d.ProbeAnswered(next.Worker, 5, LoadReport{RunningJobs: 0, QueuedJobs: 0, FreeSlots: 4, FreeMemory: -1})
		case Push:
			d.AttemptProgress(next.Op, 0, Progress{Started: true})
		}
	}
}

// BenchmarkDecision measures an op from its admission to its end, with 100 others in flight, by the number
// of workers: with probes and without, and with workers in the order of an affinity key or of the
// scheduler.
func BenchmarkDecision(b *testing.B) {
	for _, variant := range []struct {
		name   string
		key    uint64
		change func(*Settings)
	}{
		{"probes=false", 0, func(s *Settings) { s.Probes, s.ProgressInterval = false, 10_000 }},
		{"probes=true", 0, func(s *Settings) { s.ProgressInterval = 10_000 }},
		{"keys", 1, func(s *Settings) { s.ProgressInterval, s.AffinityKeys = 10_000, true }},
		{"regulars", 0, func(s *Settings) { s.ProgressInterval, s.ConnectionPrice = 10_000, 1 }},
	} {
		for _, workers := range []int{100, 400, 1_600, 6_300} {
			b.Run(fmt.Sprintf("%s/workers=%d", variant.name, workers), func(b *testing.B) {
				d, now := dispatcherOfSize(workers, 100, variant.change)
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					now++
					d.AdvanceClock(now)
					spec := OpSpec{TTL: now + 1<<40, Slots: 1}
					if variant.key > 0 {
						spec.AffinityKey = schedulerKey(n % 500)
					}
					d.AddOp(100, spec)
					serveOp(d, 100, now, true)
				}
			})
		}
	}
}

// BenchmarkSubscribers measures a delta of the endpoint list that assigns the subscribers of each worker,
// as connections have a price and peer messages are allowed.
func BenchmarkSubscribers(b *testing.B) {
	for _, schedulers := range []int{10, 30, 300} {
		for _, workers := range []int{400, 6_300} {
			b.Run(fmt.Sprintf("schedulers=%d/workers=%d", schedulers, workers), func(b *testing.B) {
				d, now := dispatcherOfSize(workers, 0, func(s *Settings) {
					s.ConnectionPrice, s.PeerMessages, s.Schedulers, s.Scheduler = 1, true, schedulers, 0
				})
				if !d.settings.PeerMessages {
					b.Fatal("peer messages are not allowed")
				}
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					now++
					d.AdvanceClock(now)
					d.UpsertWorker(n%workers, WorkerEntry{Zone: n % workers % 14, Group: n % workers % 100, Ready: n%2 > 0})
					d.EndUpdate()
				}
			})
		}
	}
}

// BenchmarkPendingOps measures an input to a scheduler with 6,300 workers while ops are pending, because
// their probes are not answered yet or no worker is ready.
func BenchmarkPendingOps(b *testing.B) {
	for _, ready := range []bool{true, false} {
		for _, pending := range []int{1, 10, 100, 1_000} {
			b.Run(fmt.Sprintf("ready=%v/held=%d", ready, pending), func(b *testing.B) {
				d, now := New(7, testSettings(nil)), Time(1_000_000)
				d.AdvanceClock(now)
				listWorkers(d, 6_300)
				for i := range 6_300 {
					d.UpsertWorker(i, WorkerEntry{Zone: i % 14, Group: i % 100, Ready: ready})
				}
				d.EndUpdate()
				for i := range pending {
					d.AddOp(i, OpSpec{TTL: now + 1<<40, Slots: 1})
				}
				discardDecisions(d)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					d.AdvanceClock(now)
					discardDecisions(d)
				}
			})
		}
	}
}
