package dispatch

import (
	"math"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"woaddyke/internal/base/stats"
)

// slowStartScenarios are scenarios in which all schedulers together sent, or could send, more than a
// warming worker can take. minUtilization is the fraction of the capacity of the warming workers that has
// to be used.
func slowStartScenarios() map[string]struct {
	minUtilization float64
	scenario       slowStartScenario
} {
	crossZonePrice := func(s *Settings) { s.CrossZonePrice = 0.01 }
	connectionPrice := func(s *Settings) { s.ConnectionPrice = 0.01 }
	peerMessages := func(s *Settings) { s.ConnectionPrice, s.PeerMessages = 0.01, true }
	scenario := func(change func(*slowStartScenario)) slowStartScenario {
		d := slowStartScenario{schedulers: 30, workers: 40, warming: 24, load: 0.7, serviceTime: 2_000,
			length: 3 * second, change: crossZonePrice, zones: 3}
		change(&d)
		return d
	}
	return map[string]struct {
		minUtilization float64
		scenario       slowStartScenario
	}{
		// With accurate reports, the admission probability must not leave the warming workers idle.
		"30 schedulers":            {0.6, scenario(func(d *slowStartScenario) {})},
		"30 schedulers, full load": {0.65, scenario(func(d *slowStartScenario) { d.load = 1 })},
		"30 schedulers, burst": {0.7, scenario(func(d *slowStartScenario) {
			d.load, d.burst, d.clientRetries = 1, 1.5, 2
		})},
		"300 schedulers": {0.5, scenario(func(d *slowStartScenario) {
			d.schedulers, d.workers, d.warming = 300, 100, 60
		})},
		"all warming": {0.45, scenario(func(d *slowStartScenario) { d.warming = 40 })},
		"no probes": {0.2, scenario(func(d *slowStartScenario) {
			d.change = func(s *Settings) { s.Probes = false }
		})},
		"no probes, full load": {0.35, scenario(func(d *slowStartScenario) {
			d.load, d.change = 1, func(s *Settings) { s.Probes = false }
		})},
		"no probes, burst": {0.5, scenario(func(d *slowStartScenario) {
			d.load, d.burst, d.clientRetries, d.change = 1, 1.5, 2, func(s *Settings) { s.Probes = false }
		})},
		"no probes, all warming": {0.5, scenario(func(d *slowStartScenario) {
			d.warming, d.change = 40, func(s *Settings) { s.Probes = false }
		})},
		"no probes, triple load": {0.5, scenario(func(d *slowStartScenario) {
			d.load, d.change = 3, func(s *Settings) { s.Probes = false }
		})},
		"200 schedulers, all warming": {0.3, scenario(func(d *slowStartScenario) {
			d.schedulers, d.workers, d.warming = 200, 60, 60
		})},
		"late reports": {0.35, scenario(func(d *slowStartScenario) {
			d.reportAge, d.load = second, 1
		})},
		"long jobs":             {0, scenario(func(d *slowStartScenario) { d.serviceTime = 20_000 })},
		"one scheduler has 90%": {0.4, scenario(func(d *slowStartScenario) { d.firstSchedulerLoad = 0.9 })},
		"connection price, 90%": {0.1, scenario(func(d *slowStartScenario) {
			d.firstSchedulerLoad, d.change, d.zones = 0.9, connectionPrice, 1
		})},
		"few ready": {0.15, scenario(func(d *slowStartScenario) { d.workers, d.warming = 5, 3 })},
		// With reports that show each warming worker as idle, the admission probability alone decides.
		"idle reports, full load": {0.5, scenario(func(d *slowStartScenario) { d.reportsIdle, d.load = true, 1 })},
		"idle reports, burst": {0.5, scenario(func(d *slowStartScenario) {
			d.reportsIdle, d.load, d.burst, d.clientRetries = true, 1, 1.5, 2
		})},
		"idle reports after 1 s": {0.5, scenario(func(d *slowStartScenario) {
			d.reportsIdle, d.reportsIdleAfter, d.load, d.burst, d.clientRetries = true, second, 1, 1.5, 2
		})},
		"idle reports, 300 schedulers": {0.4, scenario(func(d *slowStartScenario) {
			d.schedulers, d.workers, d.warming = 300, 100, 60
			d.reportsIdle, d.load, d.burst = true, 1, 1.5
		})},
		"idle reports, 300 schedulers, client retries": {0.5, scenario(func(d *slowStartScenario) {
			d.schedulers, d.workers, d.warming = 300, 100, 60
			d.reportsIdle, d.load, d.burst, d.clientRetries = true, 1, 1.5, 3
		})},
		"idle reports, triple load": {0.5, scenario(func(d *slowStartScenario) {
			d.reportsIdle, d.load = true, 3
		})},
		"idle reports, all warming": {0.3, scenario(func(d *slowStartScenario) {
			d.warming, d.reportsIdle, d.load = 40, true, 1
		})},
		"idle reports, 90%": {0.3, scenario(func(d *slowStartScenario) {
			d.firstSchedulerLoad, d.reportsIdle, d.load = 0.9, true, 1
		})},
		"idle reports, few ready": {0.3, scenario(func(d *slowStartScenario) {
			d.workers, d.warming, d.reportsIdle, d.load = 5, 3, true, 1
		})},
		"idle reports, small zone": {0.5, scenario(func(d *slowStartScenario) {
			d.ownZoneWorkers, d.warming, d.reportsIdle, d.load = 4, 4, true, 1
		})},
		"idle reports, crowded zone": {0.5, scenario(func(d *slowStartScenario) {
			d.ownZoneWorkers, d.warming, d.ownZoneSchedulers, d.reportsIdle, d.load = 4, 4, 0.7, true, 1
		})},
		"idle reports, connection price": {0.5, scenario(func(d *slowStartScenario) {
			d.reportsIdle, d.load, d.change, d.zones = true, 1, connectionPrice, 1
		})},
		"idle reports, peer messages": {0.5, scenario(func(d *slowStartScenario) {
			d.reportsIdle, d.load, d.change, d.zones = true, 1, peerMessages, 1
		})},
		"idle reports, connection price, 90%": {0, scenario(func(d *slowStartScenario) {
			d.workers, d.warming, d.firstSchedulerLoad, d.reportsIdle, d.change, d.zones = 20, 20, 0.9, true,
				connectionPrice, 1
		})},
		"idle reports, long jobs": {0, scenario(func(d *slowStartScenario) {
			d.serviceTime, d.reportsIdle, d.load, d.burst = 20_000, true, 1, 1.5
		})},
		"idle reports, longer jobs": {0, scenario(func(d *slowStartScenario) {
			d.serviceTime, d.reportsIdle, d.load, d.burst, d.workers, d.warming = 100_000, true, 1, 1.5, 200, 120
		})},
		"idle reports, short jobs": {0.5, scenario(func(d *slowStartScenario) {
			d.workers, d.warming, d.serviceTime, d.reportsIdle, d.load, d.burst = 10, 6, 300, true, 1, 1.5
		})},
	}
}

// The ops of all schedulers together must not overload a warming worker, nor leave it idle. When the
// admission probability makes the mean equal to the budget, the overload bound is exceeded as soon as
// reports carry no information, or one scheduler sends most of the ops to its preferred workers. COLD_SEEDS
// sets the number of simulations of each scenario; their results are logged.
func TestWarmingWorkersAreNeitherOverloadedNorIdle(t *testing.T) {
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("COLD_SEEDS")); err == nil {
		seeds = n
	}
	for name, c := range slowStartScenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all slowStartResult
			for seed := range seeds {
				f := simulateSlowStart(c.scenario, int64(seed+1))
				all.overloaded, all.worstLoad = all.overloaded+f.overloaded, max(all.worstLoad, f.worstLoad)
				all.meanLoad, all.dispersion = all.meanLoad+f.meanLoad/float64(seeds),
					all.dispersion+f.dispersion/float64(seeds)
				all.utilization, all.succeeded = all.utilization+f.utilization/float64(seeds),
					all.succeeded+f.succeeded/float64(seeds)
			}
			t.Logf("%d/%d overloaded; worst %.2f of bound; mean %.2f of budget; dispersion %.2f; used %.2f; done %.3f",
				all.overloaded, seeds*c.scenario.warming, all.worstLoad, all.meanLoad, all.dispersion, all.utilization,
				all.succeeded)
			if all.overloaded > 0 {
				t.Errorf("seeds 1 to %d: %d warming workers were overloaded, the worst load is %.2f of the bound", seeds,
					all.overloaded, all.worstLoad)
			}
			if all.utilization < c.minUtilization {
				t.Errorf("seeds 1 to %d: utilization of the warming workers is %.2f, want at least %.2f", seeds,
					all.utilization, c.minUtilization)
			}
		})
	}
}

// The admission probability must fall with each further pair of an op, as each pair is another draw, after
// an attempt as well as after a probe round.
func TestAdmissionProbabilityFallsWithEachPair(t *testing.T) {
	admissions := func(rounds, attempts int) (n int) {
		d := testDispatcher(10, nil)
		d.UpsertWorker(10, WorkerEntry{Ready: true, StartedAt: d.now - second})
		d.EndUpdate()
		for range 4_000 {
			n += 1 - stats.BoolToInt(d.excludedBySlowStart(&op{probes: opProbes{rounds: rounds}, attempts: attempts},
				&d.fleet.workers[10], 11))
		}
		return n
	}
	first := admissions(0, 0)
	for _, c := range [][2]int{{1, 0}, {0, 1}} {
		if later := admissions(c[0], c[1]); first < 500 || 10*later > 6*first || 10*later < 4*first {
			t.Errorf("of 4000 first pairs %d had the warming worker; after %d probe rounds and %d attempts, %d had it",
				first, c[0], c[1], later)
		}
	}
}

// The mean must leave a margin for random variation, for budgets from a fraction of an op to hundreds of
// ops.
func TestPoissonArrivalsRarelyExceedTheOverloadBound(t *testing.T) {
	for n := 0.05; n < 400; n *= 1.01 {
		mean, bound := n*meanWithinBudget(n), overloadBound(n)
		tail, p := 0.0, math.Exp(-mean)
		for k := 1.0; k < 2*bound+20; k++ {
			if p *= mean / k; k > bound {
				tail += p
			}
		}
		if tail > 3.3e-5 {
			t.Errorf("mean %.2f, budget %.2f: more than %.1f ops arrive in a fraction %.1e of the windows",
				mean, n, bound, tail)
		}
	}
}

// 200 schedulers, of which a few have most of the ops, use a warming worker in a fleet at full load. The
// worker's load reports show it as idle. Together the schedulers must stay within its budget.
func TestSlowStartBudgetAcrossHundredsOfSchedulers(t *testing.T) {
	const schedulers, workers, length, rate, runs = 200, 200, 500, 480, 3 // 480 ops of 50 ms per worker in 6 s
	total, worst := 0, 0.0
	for run := range runs {
		r := rand.New(rand.NewSource(int64(run)))
		all := make([]*Dispatcher, schedulers)
		for i := range all {
			all[i] = New(r.Uint64(), testSettings(func(s *Settings) { s.Schedulers, s.Scheduler = 200, i }))
			all[i].AdvanceClock(1_000_000)
			all[i].BeginSnapshot()
			for w := range workers {
				all[i].UpsertWorker(w, WorkerEntry{Ready: true, StartedAt: Time(1_000_000 * stats.BoolToInt(w == 0))})
			}
			all[i].EndUpdate()
		}
		var pushedAt []Time
		for n := range workers * rate {
			now := 1_000_000 + Time(n*60_000/(workers*rate))
			s := r.Intn(schedulers)
			if r.Intn(4) > 0 {
				s = r.Intn(5)
			}
			d := all[s]
			d.AdvanceClock(now)
			d.AddOp(0, OpSpec{TTL: now + 50_000, Slots: 1})
			for _, a := range pullDecisions(d) {
				if a.Kind == Probe {
					// the warming worker reports that it is idle
					d.ProbeAnswered(a.Worker, 0, loadWithJobs(2*float64(stats.BoolToInt(a.Worker > 0))))
				}
			}
			d.AdvanceClock(now)
			for _, a := range pullDecisions(d) {
				if a.Kind == Push && a.Worker == 0 {
					pushedAt, total = append(pushedAt, now), total+1
				}
			}
			d.AttemptEnded(0, 0, Succeeded, true)
			d.AdvanceClock(now)
			pullDecisions(d)
		}
		for i := range pushedAt {
			for j := range i + 1 {
				if elapsed := pushedAt[i] - pushedAt[j]; elapsed < 15_000 {
					capacity := 0.3 + 0.7*float64(pushedAt[i]-15_000-1_000_000)/80_000
					worst = max(worst, float64((i-j+1)*length)/(2.5*4*max(capacity, 0.3)*15_000))
				}
			}
		}
	}
	if total < runs*rate/10 {
		t.Errorf("only %d pushes to the warming workers: they are nearly idle", total)
	}
	if worst > 1 {
		t.Errorf("%.2f of a warming worker's budget was sent", worst)
	}
}
