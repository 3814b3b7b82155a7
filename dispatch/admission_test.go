package dispatch

import "testing"

// Queues that outlast an op's time: each op was probed two dozen times and pushed late all the same.
func TestOpThatCannotStartInTimeIsNackedSoon(t *testing.T) {
	d := fleet(6, nil)
	for i := range d.fleet.workers {
		d.addQueueSample(&d.fleet.workers[i], queueSample{1, 4_000})
	}
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	probes := 0
	for range 400 {
		for _, a := range decisions(d) {
			switch a.Kind {
			case Probe:
				probes++
				d.ProbeAnswered(a.Worker, 0, jobs(30))
			case Nack:
				if probes > 2*maxProbeRounds {
					t.Errorf("%d probes for one op", probes)
				}
				return
			case Push:
				t.Fatal("pushed behind a queue that outlasts the op")
			}
		}
		d.AdvanceClock(d.now + 50)
	}
	t.Fatal("never answered")
}

// Ops with seconds to spare filled queues to seconds, and a category of short targets never found a place.
func TestPatienceIsCapped(t *testing.T) {
	d := fleet(2, func(s *Settings) { s.Categories[1].LatencyObjective = 100_000 })
	d.AddOp(0, OpSpec{Category: 1, TTL: d.now + 200_000, Slots: 1})
	if got := d.patience(d.ops.at(0)); got > 2*5_000 {
		t.Errorf("patience %d, over twice the least target", got)
	}
}

// In overload, ops of low priority weight took the places that others needed.
func TestPatienceScalesWithPriorityWeight(t *testing.T) {
	d := fleet(2, func(s *Settings) { s.BenefitPerWork, s.Categories[1].Benefit = true, 8 })
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.AddOp(1, OpSpec{Category: 1, TTL: d.now + 50_000, Slots: 1})
	if cheap, dear := d.patience(d.ops.at(0)), d.patience(d.ops.at(1)); 4*cheap != dear {
		t.Errorf("patience %d and %d for benefits 2 and 8", cheap, dear)
	}
}

// Clients that were nacked came back at once, and each try was given a whole new objective.
func TestRetryCountsFromItsFirstTry(t *testing.T) {
	d := fleet(2, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.AdvanceClock(d.now + 1_000)
	d.AddOp(1, OpSpec{TTL: d.now + 46_000, Slots: 1})
	if got := d.spareTime(d.ops.at(0)); got != 4_000 {
		t.Errorf("the first try has %d to spare, want 4000", got)
	}
	if got := d.spareTime(d.ops.at(1)); got != 1_000 {
		t.Errorf("a try with 4000 of its TTL used has %d to spare, want 1000", got)
	}
}

// With a quarter of the fleet left, all ops and their clients' retries asked for every free slot: workers
// spent a tenth of their time on probes, and ops of the lowest priority weight found as many places as
// those of the highest.
func TestLowPriorityOpsProbeLessWhileCapacityIsShort(t *testing.T) {
	d := fleet(20, func(s *Settings) { s.BenefitPerWork, s.Categories[0].Benefit, s.Categories[1].Benefit = true, 1, 10 })
	d.samples.queue.positions, d.samples.queue.waits = 10, 50_000 // a place in a queue takes half a second
	next := 0
	probes := func(ops, cat int, load LoadReport) (n int) {
		for range ops {
			d.AddOp(next, OpSpec{Category: cat, TTL: d.now + 50_000, Slots: 1, Work: 1000})
			next++
		}
		for range 30 { // 0.9 s
			for _, a := range decisions(d) {
				switch a.Kind {
				case Probe:
					n++
					d.ProbeAnswered(a.Worker, 0, load)
				case Push:
					d.AttemptEnded(a.Op, 0, Succeeded, true)
				}
			}
			d.AdvanceClock(d.now + 300)
		}
		return n
	}
	full := LoadReport{RunningJobs: 20, QueuedJobs: 16, FreeMemory: -1}
	if n := probes(40, 0, jobs(0)); n != 80 {
		t.Errorf("%d probes for 40 cheap ops where there is room", n)
	}
	if n := probes(6, 1, full); n < 24 {
		t.Errorf("%d probes for 6 dear ops where there is none", n)
	}
	if n := probes(40, 0, full); n > 24 { // one in ten asks, once
		t.Errorf("%d probes for 40 cheap ops where dear ones find no place", n)
	}
	if n := probes(6, 1, full); n < 12 {
		t.Errorf("%d probes for 6 dear ops where dear ones find no place", n)
	}
	d.AdvanceClock(d.now + 5*second)
	if n := probes(40, 0, jobs(0)); n != 80 {
		t.Errorf("%d probes for 40 cheap ops 5 s later", n)
	}
}
