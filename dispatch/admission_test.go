package dispatch

import "testing"

// An op must be nacked after maxProbeRounds if all queues outlast its spare time. Without this limit it was
// probed for two dozen times, and was pushed late all the same.
func TestOpThatCannotStartInTimeIsNackedSoon(t *testing.T) {
	d := testDispatcher(6, nil)
	for i := range d.fleet.workers {
		d.addQueueSample(&d.fleet.workers[i], queueSample{1, 4_000})
	}
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	probes := 0
	for range 400 {
		for _, a := range pullDecisions(d) {
			switch a.Kind {
			case Probe:
				probes++
				d.ProbeAnswered(a.Worker, 0, loadWithJobs(30))
			case Nack:
				if probes > 2*maxProbeRounds {
					t.Errorf("%d probes for one op, want at most two per probe round", probes)
				}
				return
			case Push:
				t.Fatal("the op was pushed behind a queue that outlasts its spare time")
			}
		}
		d.AdvanceClock(d.now + 50)
	}
	t.Fatal("the op got no answer")
}

// Ops with seconds of spare time must not fill queues until the wait in them is seconds long: ops of a
// category with a short latency objective would never be placed.
func TestMaxWaitIsCapped(t *testing.T) {
	d := testDispatcher(2, func(s *Settings) { s.Categories[1].LatencyObjective = 100_000 })
	d.AddOp(0, OpSpec{Category: 1, TTL: d.now + 200_000, Slots: 1})
	if got := d.maxWait(d.ops.at(0)); got > 2*5_000 {
		t.Errorf("maximum wait %d, more than twice the lowest latency objective", got)
	}
}

// In overload, ops of low priority weight must not take the slots that other ops need.
func TestMaxWaitScalesWithPriorityWeight(t *testing.T) {
	d := testDispatcher(2, func(s *Settings) { s.BenefitPerWork, s.Categories[1].Benefit = true, 8 })
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.AddOp(1, OpSpec{Category: 1, TTL: d.now + 50_000, Slots: 1})
	if low, high := d.maxWait(d.ops.at(0)), d.maxWait(d.ops.at(1)); 4*low != high {
		t.Errorf("maximum wait %d and %d for benefits 2 and 8", low, high)
	}
}

// A retry must not be given the full latency objective again: clients retry at once after a nack.
func TestSpareTimeOfARetryCountsFromTheFirstRequest(t *testing.T) {
	d := testDispatcher(2, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.AdvanceClock(d.now + 1_000)
	d.AddOp(1, OpSpec{TTL: d.now + 46_000, Slots: 1})
	if got := d.spareTime(d.ops.at(0)); got != 4_000 {
		t.Errorf("spare time of the first request: %d, want 4000", got)
	}
	if got := d.spareTime(d.ops.at(1)); got != 1_000 {
		t.Errorf("spare time of a retry with 4000 of its TTL used: %d, want 1000", got)
	}
}

// Ops of low priority weight must probe less while capacity is short. With a quarter of the fleet left, all
// ops and their clients' retries otherwise probe for every free slot. Workers then spend a tenth of their
// time on probes, and ops of the lowest priority weight are placed as often as those of the highest.
func TestLowPriorityOpsProbeLessWhileCapacityIsShort(t *testing.T) {
	d := testDispatcher(20, func(s *Settings) {
		s.BenefitPerWork, s.Categories[0].Benefit, s.Categories[1].Benefit = true, 1, 10
	})
	d.samples.queue.positions, d.samples.queue.waits = 10, 50_000 // a queue position takes half a second
	index := 0
	probes := func(ops, category int, load LoadReport) (n int) {
		for range ops {
			d.AddOp(index, OpSpec{Category: category, TTL: d.now + 50_000, Slots: 1, Work: 1000})
			index++
		}
		for range 30 { // 0.9 s
			for _, a := range pullDecisions(d) {
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
	if n := probes(40, 0, loadWithJobs(0)); n != 80 {
		t.Errorf("%d probes for 40 ops of low weight with free capacity, want 80", n)
	}
	if n := probes(6, 1, full); n < 24 {
		t.Errorf("%d probes for 6 ops of high weight without free capacity, want at least 24", n)
	}
	// One op in ten is not shed, and probes one pair: 8 probes are expected. The limit allows for variation.
	if n := probes(40, 0, full); n > 24 {
		t.Errorf("%d probes for 40 ops of low weight while capacity is short, want at most 24", n)
	}
	if n := probes(6, 1, full); n < 12 {
		t.Errorf("%d probes for 6 ops of high weight while capacity is short, want at least 12", n)
	}
	d.AdvanceClock(d.now + 5*second)
	if n := probes(40, 0, loadWithJobs(0)); n != 80 {
		t.Errorf("%d probes for 40 ops of low weight 5 s later, want 80", n)
	}
}
