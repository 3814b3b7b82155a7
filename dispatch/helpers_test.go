package dispatch

import "testing"

// testSettings are the settings of a small deployment, with a category of each effect and scope. change may
// be nil.
func testSettings(change func(*Settings)) Settings {
	s := Settings{
		MaxAttempts: 4, Scheduler: 1, Schedulers: 3, TickInterval: 50, AcknowledgeTimeout: second,
		MaxRetryAfter: 20_000, Probes: true, CancelsAttempts: true, ReportsStarts: true,
		SlowStart: SlowStartSettings{WarmAfter: 80_000, InitialCapacity: 0.3, OverloadFactor: 2.5,
			OverloadWindow: 15_000},
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

// testDispatcher creates a dispatcher with n warm workers in two zones and four worker groups.
func testDispatcher(n int, change func(*Settings)) *Dispatcher {
	d := New(7, testSettings(change))
	d.AdvanceClock(1_000_000)
	d.BeginSnapshot()
	for i := range n {
		d.UpsertWorker(i, WorkerEntry{Zone: i % 2, Group: i % 4, Ready: true})
	}
	d.EndUpdate()
	return d
}

// pullDecisions returns all decisions that are due, except for timers.
func pullDecisions(d *Dispatcher) (all []Decision) {
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

// setIdentity sets the identity hash and the machine kind of a listed worker.
func setIdentity(d *Dispatcher, i int, hash uint64, kind int) {
	w := &d.fleet.workers[i]
	d.UpsertWorker(i, WorkerEntry{Zone: w.zone, Group: w.group, Ready: w.ready, StartedAt: w.startedAt,
		IdentityHash: hash, MachineKind: kind})
}

// admitAndProbe admits an op and returns the two workers that are probed for it.
func admitAndProbe(t *testing.T, d *Dispatcher, op, category int) (x, y int) {
	t.Helper()
	d.AddOp(op, OpSpec{Category: category, TTL: d.now + 50_000, Slots: 1})
	all := pullDecisions(d)
	if len(all) != 2 || all[0].Kind != Probe || all[1].Kind != Probe || all[0].Worker == all[1].Worker {
		t.Fatalf("decisions for a new op: %v, want probes of two workers", all)
	}
	return all[0].Worker, all[1].Worker
}

// answerAndPush answers the probes of two workers with the given load reports and returns the worker pushed
// to.
func answerAndPush(t *testing.T, d *Dispatcher, x int, loadX LoadReport, y int, loadY LoadReport) int {
	t.Helper()
	d.AdvanceClock(d.now + 50)
	d.ProbeAnswered(x, 50, loadX)
	d.ProbeAnswered(y, 50, loadY)
	return expectPush(t, d)
}

func expectPush(t *testing.T, d *Dispatcher) int {
	t.Helper()
	for _, a := range pullDecisions(d) {
		if a.Kind == Push {
			return a.Worker
		}
	}
	t.Fatal("no op was pushed")
	return -1
}

func loadWithJobs(n float64) LoadReport {
	return LoadReport{RunningJobs: n, QueuedJobs: max(n-4, 0), FreeSlots: max(4-n, 0), FreeMemory: -1}
}
