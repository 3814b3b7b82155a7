package dispatch

import "testing"

// terms are a small site's: two categories of each effect and scope, on request.
func terms(more map[string]any) map[string]any {
	t := map[string]any{
		"bounds.maxPushes": 4.0, "bounds.probes": true, "bounds.cancel": true, "bounds.retryAfter": true,
		"extra.tellsStart": true, "instances": 3.0, "myNumber": 1.0, "myZone": 0.0, "step": 50.0,
		"safety.warmAfter": 80_000.0, "safety.coldFrom": 0.3, "safety.overloadFactor": 2.5,
		"safety.tipAfter": 15_000.0, "safety.drainGrace": 2_500.0, "safety.askEvery": 100_000.0,
		"bounds.maxRetryAfter": 20_000.0,
	}
	for i, e := range [][2]string{{"redeliverable", "all"}, {"deduplicated", "all"}, {"deduplicated", "zone"},
		{"deduplicated", "cell"}, {"at-most-once", "all"}} {
		at := "categories." + string(rune('0'+i)) + "."
		t[at+"effect"], t[at+"dedupScope"] = e[0], e[1]
		t[at+"ttl"], t[at+"targetLatency"], t[at+"window"], t[at+"benefit"] = 50_000.0, 5_000.0, 20_000.0, 2.0
	}
	for k, v := range more {
		t[k] = v
	}
	return t
}

// fleet makes a dispatcher that knows n warm workers, in two zones and four cells.
func fleet(n int, more map[string]any) *Dispatcher {
	d := New(7, terms(more))
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
	w := &d.workers[i]
	d.UpsertWorker(i, WorkerEntry{Zone: w.zone, Group: w.cell, Ready: w.ready, StartedAt: w.since,
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
