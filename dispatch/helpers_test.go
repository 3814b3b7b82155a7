package dispatch

import "testing"

// testSettings are a small deployment's, with a category of each effect and scope; change may be nil.
func testSettings(change func(*Settings)) Settings {
	s := Settings{
		MaxAttempts: 4, Scheduler: 1, Schedulers: 3, TickInterval: 50, AcknowledgeTimeout: second, MaxRetryAfter: 20_000,
		Probes: true, CancelsAttempts: true, ReportsStarts: true,
		SlowStart: SlowStartSettings{WarmAfter: 80_000, InitialCapacity: 0.3, OverloadFactor: 2.5, OverloadWindow: 15_000},
	}
	for _, rules := range []CategoryRules{{Effect: Idempotent, DedupScope: DedupEverywhere},
		{Effect: Deduplicated, DedupScope: DedupEverywhere}, {Effect: Deduplicated, DedupScope: DedupInZone},
		{Effect: Deduplicated, DedupScope: DedupInGroup}, {Effect: AtMostOnce, DedupScope: DedupEverywhere}} {
		rules.TTL, rules.LatencyObjective, rules.DedupWindow, rules.Benefit = 50_000, 5_000, 20_000, 2
		s.Categories = append(s.Categories, rules)
	}
	if change != nil {
		change(&s)
	}
	return s
}

// fleet makes a dispatcher that knows n warm workers, in two zones and four cells.
func fleet(n int, change func(*Settings)) *Dispatcher {
	d := New(7, testSettings(change))
	d.AdvanceClock(1_000_000)
	d.BeginSnapshot()
	for i := range n {
		d.UpsertWorker(i, WorkerEntry{Zone: i % 2, Group: i % 4, Ready: true})
	}
	d.EndUpdate()
	return d
}

// decisions pulls all decisions but for timers.
func decisions(d *Dispatcher) (all []Decision) {
	for {
		next := d.Next()
		if next.Kind == NoDecision {
			return all
		}
		if next.Kind != SetTimer {
			all = append(all, next)
		}
	}
}

// identify gives a listed worker its name's hash and its kind of machine.
func identify(d *Dispatcher, i int, hash uint64, kind int) {
	w := &d.fleet.workers[i]
	d.UpsertWorker(i, WorkerEntry{Zone: w.zone, Group: w.group, Ready: w.ready, StartedAt: w.startedAt,
		IdentityHash: hash, MachineKind: kind})
}

// probed gives an op to the dispatcher and returns the two workers that it asks.
func probed(t *testing.T, d *Dispatcher, op, cat int) (x, y int) {
	t.Helper()
	d.AddOp(op, OpSpec{Category: cat, TTL: d.now + 50_000, Slots: 1})
	all := decisions(d)
	if len(all) != 2 || all[0].Kind != Probe || all[1].Kind != Probe || all[0].Worker == all[1].Worker {
		t.Fatalf("a new op must probe two workers, got %v", all)
	}
	return all[0].Worker, all[1].Worker
}

// pushed answers probes with the given loads and returns the worker pushed to.
func pushed(t *testing.T, d *Dispatcher, x int, lx LoadReport, y int, ly LoadReport) int {
	t.Helper()
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, lx)
	d.ProbeAnswered(y, 50, ly)
	return push(t, d)
}

func push(t *testing.T, d *Dispatcher) int {
	t.Helper()
	for _, a := range decisions(d) {
		if a.Kind == Push {
			return a.Worker
		}
	}
	t.Fatal("no push")
	return -1
}

func jobs(n float64) LoadReport {
	return LoadReport{RunningJobs: n, QueuedJobs: max(n-4, 0), FreeSlots: max(4-n, 0), FreeMemory: -1}
}
