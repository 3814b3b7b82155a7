package dispatch

import (
	"fmt"
	"testing"
)

// loaded is a scheduler that holds so many ops at its workers, each of them started.
func loaded(held, workers int) (*Dispatcher, Time) {
	d := New(7, terms(map[string]any{"discovery": "pushed", "bounds.probes": false, "extra.progress": 10_000.0}))
	now := Time(1_000_000)
	d.Clock(now)
	d.ListWhole()
	for i := range workers {
		d.Entry(i, 1, 1, true, 0)
	}
	d.ListEnd()
	for i := range held {
		now++
		d.Clock(now)
		d.Op(i, 0, now+1<<40, 1, 0, 0)
		pull(d)
		d.Note(i, 0, true, 0)
	}
	pull(d)
	return d, now
}

func pull(d *Dispatcher) {
	for {
		if do, _, _, _ := d.Next(); do == Nothing {
			return
		}
	}
}

// BenchmarkInput is word of one push among many that are out: the most frequent input of a busy scheduler.
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
				d.Clock(now)
				d.Note(n%held, 0, false, 0.5)
				pull(d)
			}
		})
	}
}

// BenchmarkOp is an op from its arrival to its end, beside many that are out.
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
				d.Clock(now)
				d.Op(held, 0, now+1<<40, 1, 0, 0)
				pull(d)
				d.Clock(now)
				d.Outcome(held, 0, Served, 1, true)
				pull(d)
			}
		})
	}
}

// atSize is a scheduler with workers in 14 zones that holds so many started ops, spread evenly.
func atSize(workers, held int, probes bool) (*Dispatcher, Time) {
	d := New(7, terms(map[string]any{"discovery": "pushed", "bounds.probes": probes, "extra.progress": 10_000.0}))
	now := Time(1_000_000)
	d.Clock(now)
	d.ListWhole()
	for i := range workers {
		d.Entry(i, i%14, i%100, true, 0)
	}
	d.ListEnd()
	for i := range held {
		now++
		d.Clock(now)
		d.Op(i, 0, now+1<<40, 1, 0, 0)
		served(d, i, now, false)
	}
	return d, now
}

// served carries an op's decisions out: each probe is answered by an idle worker, and the push starts, and is served where it ends.
func served(d *Dispatcher, i int, now Time, ends bool) {
	for {
		do, op, w, _ := d.Next()
		switch do {
		case Nothing:
			if ends {
				d.Outcome(i, 0, Served, 1, true)
				pull(d)
			}
			return
		case Probe:
			d.Report(w, 5, Load{Jobs: 0, Waiting: 0, Free: 4, Memory: -1})
		case Push:
			d.Note(op, 0, true, 0)
		}
	}
}

// BenchmarkDecision is an op from its arrival to its end, beside 100 that are out, by the length of the list of workers.
func BenchmarkDecision(b *testing.B) {
	for _, probes := range []bool{false, true} {
		for _, workers := range []int{100, 400, 1_600, 6_300} {
			b.Run(fmt.Sprintf("probes=%v/workers=%d", probes, workers), func(b *testing.B) {
				d, now := atSize(workers, 100, probes)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					now++
					d.Clock(now)
					d.Op(100, 0, now+1<<40, 1, 0, 0)
					served(d, 100, now, true)
				}
			})
		}
	}
}
