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
		d.UpsertWorker(i, i%2, i%4, true, 0)
	}
	d.EndUpdate()
	return d
}

type decision struct {
	do         Verb
	op, worker int
	span       Time
}

func decisions(d *Dispatcher) (all []decision) {
	for {
		do, op, worker, span := d.Next()
		if do == NoDecision {
			return all
		}
		if do != SetTimer {
			all = append(all, decision{do, op, worker, span})
		}
	}
}

// probed gives an op to the dispatcher and returns the two workers that it asks.
func probed(t *testing.T, d *Dispatcher, op, cat int) (x, y int) {
	t.Helper()
	d.AddOp(op, cat, d.now+50_000, 1, 0, 0)
	all := decisions(d)
	if len(all) != 2 || all[0].do != Probe || all[1].do != Probe || all[0].worker == all[1].worker {
		t.Fatalf("a new op must probe two workers, got %v", all)
	}
	return all[0].worker, all[1].worker
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
		if a.do == Push {
			return a.worker
		}
	}
	t.Fatal("no push")
	return -1
}

func jobs(n float64) LoadReport {
	return LoadReport{RunningJobs: n, QueuedJobs: max(n-4, 0), FreeSlots: max(4-n, 0), FreeMemory: -1}
}
