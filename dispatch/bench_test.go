package dispatch

import (
	"fmt"
	"testing"
)

// loaded is a scheduler with so many ops at its workers, each of them started.
func loaded(held, workers int) (*Dispatcher, Time) {
	d := New(7, testSettings(func(s *Settings) { s.Probes, s.ProgressInterval = false, 10_000 }))
	now := Time(1_000_000)
	d.AdvanceClock(now)
	d.BeginSnapshot()
	for i := range workers {
		d.UpsertWorker(i, WorkerEntry{Zone: 1, Group: 1, Ready: true})
	}
	d.EndUpdate()
	for i := range held {
		now++
		d.AdvanceClock(now)
		d.AddOp(i, OpSpec{TTL: now + 1<<40, Slots: 1})
		pull(d)
		d.AttemptProgress(i, 0, Progress{Started: true})
	}
	pull(d)
	return d, now
}

func pull(d *Dispatcher) {
	for {
		if d.Next().Kind == NoDecision {
			return
		}
	}
}

// BenchmarkInput is the progress of one attempt among many in flight: the most frequent input of a busy
// scheduler.
func BenchmarkInput(b *testing.B) {
	for _, held := range []int{10, 100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			d, now := loaded(held, 100)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				if n%50 == 0 {
					now++
				}
				d.AdvanceClock(now)
				d.AttemptProgress(n%held, 0, Progress{})
				pull(d)
			}
		})
	}
}

// BenchmarkOp is an op from its arrival to its end, beside many in flight.
func BenchmarkOp(b *testing.B) {
	for _, held := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			d, now := loaded(held, 100)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				if n%50 == 0 {
					now++
				}
				d.AdvanceClock(now)
				d.AddOp(held, OpSpec{TTL: now + 1<<40, Slots: 1})
				pull(d)
				d.AdvanceClock(now)
				d.AttemptEnded(held, 0, Succeeded, true)
				pull(d)
			}
		})
	}
}

// atSize is a scheduler with workers in 14 zones that holds so many started ops, spread evenly.
func atSize(workers, held int, more func(*Settings)) (*Dispatcher, Time) {
	d, now := New(7, testSettings(more)), Time(1_000_000)
	d.AdvanceClock(now)
	listed(d, workers)
	for i := range held {
		now++
		d.AdvanceClock(now)
		d.AddOp(i, OpSpec{TTL: now + 1<<40, Slots: 1})
		served(d, i, now, false)
	}
	return d, now
}

func listed(d *Dispatcher, workers int) {
	d.BeginSnapshot()
	for i := range workers {
		d.UpsertWorker(i, WorkerEntry{Zone: i % 14, Group: i % 100, Ready: true})
		identify(d, i, schedulerKey(i), 0)
	}
	d.EndUpdate()
}

// served carries an op's decisions out: each probe is answered by an idle worker, the attempt starts, and
// it succeeds where it ends.
func served(d *Dispatcher, i int, now Time, ends bool) {
	for {
		next := d.Next()
		switch next.Kind {
		case NoDecision:
			if ends {
				d.AttemptEnded(i, 0, Succeeded, true)
				pull(d)
			}
			return
		case Probe:
			d.ProbeAnswered(next.Worker, 5, LoadReport{RunningJobs: 0, QueuedJobs: 0, FreeSlots: 4, FreeMemory: -1})
		case Push:
			d.AttemptProgress(next.Op, 0, Progress{Started: true})
		}
	}
}

// BenchmarkDecision is an op from its arrival to its end, beside 100 in flight, by the number of workers:
// where probes are allowed and where not, and where an affinity key or the scheduler has its own order of
// the workers.
func BenchmarkDecision(b *testing.B) {
	for _, shape := range []struct {
		name string
		key  uint64
		more func(*Settings)
	}{
		{"probes=false", 0, func(s *Settings) { s.Probes, s.ProgressInterval = false, 10_000 }},
		{"probes=true", 0, func(s *Settings) { s.ProgressInterval = 10_000 }},
		{"keys", 1, func(s *Settings) { s.ProgressInterval, s.AffinityKeys = 10_000, true }},
		{"regulars", 0, func(s *Settings) { s.ProgressInterval, s.ConnectionPrice = 10_000, 1 }},
	} {
		for _, workers := range []int{100, 400, 1_600, 6_300} {
			b.Run(fmt.Sprintf("%s/workers=%d", shape.name, workers), func(b *testing.B) {
				d, now := atSize(workers, 100, shape.more)
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					now++
					d.AdvanceClock(now)
					spec := OpSpec{TTL: now + 1<<40, Slots: 1}
					if shape.key > 0 {
						spec.AffinityKey = schedulerKey(n % 500)
					}
					d.AddOp(100, spec)
					served(d, 100, now, true)
				}
			})
		}
	}
}

// BenchmarkSubscribers is an endpoint list where connections are priced and peer messages allowed: it
// assigns the subscribers of each worker.
func BenchmarkSubscribers(b *testing.B) {
	for _, schedulers := range []int{10, 30, 300} {
		for _, workers := range []int{400, 6_300} {
			b.Run(fmt.Sprintf("schedulers=%d/workers=%d", schedulers, workers), func(b *testing.B) {
				d, now := atSize(workers, 0, func(s *Settings) {
					s.ConnectionPrice, s.PeerMessages, s.Schedulers, s.Scheduler = 1, true, schedulers, 0
				})
				if !d.settings.PeerMessages {
					b.Fatal("no words are allowed")
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

// BenchmarkWaiting is any input to a scheduler with 6,300 workers while ops are pending: their probes are
// not answered yet, or no worker is ready.
func BenchmarkWaiting(b *testing.B) {
	for _, ready := range []bool{true, false} {
		for _, held := range []int{1, 10, 100, 1_000} {
			b.Run(fmt.Sprintf("ready=%v/held=%d", ready, held), func(b *testing.B) {
				d, now := New(7, testSettings(nil)), Time(1_000_000)
				d.AdvanceClock(now)
				listed(d, 6_300)
				for i := range 6_300 {
					d.UpsertWorker(i, WorkerEntry{Zone: i % 14, Group: i % 100, Ready: ready})
				}
				d.EndUpdate()
				for i := range held {
					d.AddOp(i, OpSpec{TTL: now + 1<<40, Slots: 1})
				}
				pull(d)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					d.AdvanceClock(now)
					pull(d)
				}
			})
		}
	}
}
