package dispatch

import (
	"math"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"woaddyke/internal/base/stats"
)

// slowStartDays are those on which the sum of what all schedulers send was, or could be, more than a warming worker
// can take; least is the fraction of the warming workers' capacity that has to be used.
func slowStartDays() map[string]struct {
	least float64
	day   slowStartDay
} {
	crossing := func(s *Settings) { s.CrossZonePrice = 0.01 }
	regulars := func(s *Settings) { s.ConnectionPrice = 0.01 }
	words := func(s *Settings) { s.ConnectionPrice, s.PeerMessages = 0.01, true }
	day := func(change func(*slowStartDay)) slowStartDay {
		d := slowStartDay{schedulers: 30, workers: 40, warming: 24, load: 0.7, serviceTime: 2_000, length: 3 * second, change: crossing, zones: 3}
		change(&d)
		return d
	}
	return map[string]struct {
		least float64
		day   slowStartDay
	}{
		// Accurate reports: the admission probability must not leave the warming workers idle.
		"thirty":          {0.6, day(func(d *slowStartDay) {})},
		"thirty, full":    {0.65, day(func(d *slowStartDay) { d.load = 1 })},
		"thirty, burst":   {0.7, day(func(d *slowStartDay) { d.load, d.burst, d.clientRetries = 1, 1.5, 2 })},
		"quiet hundreds":  {0.5, day(func(d *slowStartDay) { d.schedulers, d.workers, d.warming = 300, 100, 60 })},
		"all cold":        {0.45, day(func(d *slowStartDay) { d.warming = 40 })},
		"no probes":       {0.2, day(func(d *slowStartDay) { d.change = func(s *Settings) { s.Probes = false } })},
		"no probes, full": {0.35, day(func(d *slowStartDay) { d.load, d.change = 1, func(s *Settings) { s.Probes = false } })},
		"no probes, burst": {0.5, day(func(d *slowStartDay) {
			d.load, d.burst, d.clientRetries, d.change = 1, 1.5, 2, func(s *Settings) { s.Probes = false }
		})},
		"no probes, all cold":  {0.5, day(func(d *slowStartDay) { d.warming, d.change = 40, func(s *Settings) { s.Probes = false } })},
		"no probes, threefold": {0.5, day(func(d *slowStartDay) { d.load, d.change = 3, func(s *Settings) { s.Probes = false } })},
		"hundreds, all cold":   {0.3, day(func(d *slowStartDay) { d.schedulers, d.workers, d.warming = 200, 60, 60 })},
		"late reports":         {0.35, day(func(d *slowStartDay) { d.reportAge, d.load = second, 1 })},
		"long jobs":            {0, day(func(d *slowStartDay) { d.serviceTime = 20_000 })},
		"one has 90%":          {0.4, day(func(d *slowStartDay) { d.firstSchedulerLoad = 0.9 })},
		"regulars, 90%":        {0.1, day(func(d *slowStartDay) { d.firstSchedulerLoad, d.change, d.zones = 0.9, regulars, 1 })},
		"few ready, truth":     {0.15, day(func(d *slowStartDay) { d.workers, d.warming = 5, 3 })},
		// Reports by which each warming worker is idle: the admission probability alone decides.
		"blind, full":  {0.5, day(func(d *slowStartDay) { d.reportsIdle, d.load = true, 1 })},
		"blind, burst": {0.5, day(func(d *slowStartDay) { d.reportsIdle, d.load, d.burst, d.clientRetries = true, 1, 1.5, 2 })},
		"blind all at once": {0.5, day(func(d *slowStartDay) {
			d.reportsIdle, d.reportsIdleAfter, d.load, d.burst, d.clientRetries = true, second, 1, 1.5, 2
		})},
		"blind hundreds": {0.4, day(func(d *slowStartDay) {
			d.schedulers, d.workers, d.warming = 300, 100, 60
			d.reportsIdle, d.load, d.burst = true, 1, 1.5
		})},
		"blind hundreds, repeats": {0.5, day(func(d *slowStartDay) {
			d.schedulers, d.workers, d.warming = 300, 100, 60
			d.reportsIdle, d.load, d.burst, d.clientRetries = true, 1, 1.5, 3
		})},
		"blind, threefold": {0.5, day(func(d *slowStartDay) { d.reportsIdle, d.load = true, 3 })},
		"blind, all cold":  {0.3, day(func(d *slowStartDay) { d.warming, d.reportsIdle, d.load = 40, true, 1 })},
		"blind, 90%":       {0.3, day(func(d *slowStartDay) { d.firstSchedulerLoad, d.reportsIdle, d.load = 0.9, true, 1 })},
		"blind, few ready": {0.3, day(func(d *slowStartDay) { d.workers, d.warming, d.reportsIdle, d.load = 5, 3, true, 1 })},
		"blind small zone": {0.5, day(func(d *slowStartDay) { d.ownZoneWorkers, d.warming, d.reportsIdle, d.load = 4, 4, true, 1 })},
		"blind crowded zone": {0.5, day(func(d *slowStartDay) {
			d.ownZoneWorkers, d.warming, d.ownZoneSchedulers, d.reportsIdle, d.load = 4, 4, 0.7, true, 1
		})},
		"blind regulars": {0.5, day(func(d *slowStartDay) { d.reportsIdle, d.load, d.change, d.zones = true, 1, regulars, 1 })},
		"blind, words":   {0.5, day(func(d *slowStartDay) { d.reportsIdle, d.load, d.change, d.zones = true, 1, words, 1 })},
		"blind regulars, 90%": {0, day(func(d *slowStartDay) {
			d.workers, d.warming, d.firstSchedulerLoad, d.reportsIdle, d.change, d.zones = 20, 20, 0.9, true, regulars, 1
		})},
		"blind long jobs": {0, day(func(d *slowStartDay) { d.serviceTime, d.reportsIdle, d.load, d.burst = 20_000, true, 1, 1.5 })},
		"blind longer jobs": {0, day(func(d *slowStartDay) {
			d.serviceTime, d.reportsIdle, d.load, d.burst, d.workers, d.warming = 100_000, true, 1, 1.5, 200, 120
		})},
		"blind short jobs": {0.5, day(func(d *slowStartDay) {
			d.workers, d.warming, d.serviceTime, d.reportsIdle, d.load, d.burst = 10, 6, 300, true, 1, 1.5
		})},
	}
}

// A warming worker fails under the sum of what all schedulers send. With a probability whose mean came to the budget
// the bound was passed, as soon as reports said nothing or one scheduler had most of the ops at its preferred
// workers. COLD_SEEDS simulates more days of each kind, and prints their figures.
func TestNoSumFellsAColdWorkerAndNoneLiesIdle(t *testing.T) {
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("COLD_SEEDS")); err == nil {
		seeds = n
	}
	for name, c := range slowStartDays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all slowStartFigures
			for seed := range seeds {
				f := simulateSlowStart(c.day, int64(seed+1))
				all.overloaded, all.worstLoad = all.overloaded+f.overloaded, max(all.worstLoad, f.worstLoad)
				all.meanLoad, all.dispersion = all.meanLoad+f.meanLoad/float64(seeds), all.dispersion+f.dispersion/float64(seeds)
				all.utilization, all.succeeded = all.utilization+f.utilization/float64(seeds), all.succeeded+f.succeeded/float64(seeds)
			}
			t.Logf("%d of %d fell; worst %.2f of the bound; mean %.2f of the budget, variance %.2f of it; %.2f busy, %.3f served",
				all.overloaded, seeds*c.day.warming, all.worstLoad, all.meanLoad, all.dispersion, all.utilization, all.succeeded)
			if all.overloaded > 0 {
				t.Errorf("seeds 1 to %d: %d cold workers fell, under %.2f of what one bears", seeds, all.overloaded, all.worstLoad)
			}
			if all.utilization < c.least {
				t.Errorf("seeds 1 to %d: of what cold workers could do %.2f was used, below %.2f", seeds, all.utilization, c.least)
			}
		})
	}
}

// Each further pair of an op asks again: after an attempt as after a probe round.
func TestAdmissionProbabilityFallsWithEachPair(t *testing.T) {
	let := func(looks, legs int) (n int) {
		d := fleet(10, nil)
		d.UpsertWorker(10, WorkerEntry{Ready: true, StartedAt: d.now - second})
		d.EndUpdate()
		for range 4_000 {
			n += 1 - stats.Bit(d.excludedBySlowStart(&op{probes: opProbes{rounds: looks}, attempts: legs}, &d.fleet.workers[10], 11))
		}
		return n
	}
	first := let(0, 0)
	for _, c := range [][2]int{{1, 0}, {0, 1}} {
		if again := let(c[0], c[1]); first < 500 || 10*again > 6*first || 10*again < 4*first {
			t.Errorf("of 4000 first pairs %d had the cold worker; with %d looks and %d pushes before %d", first, c[0], c[1], again)
		}
	}
}

// The mean has to leave a margin for chance at every size of the budget, from a fraction of an op to hundreds.
func TestChanceDoesNotPassTheBound(t *testing.T) {
	for n := 0.05; n < 400; n *= 1.01 {
		mean, bound := n*meanWithinBudget(n), overloadBound(n)
		beyond, p := 0.0, math.Exp(-mean)
		for k := 1.0; k < 2*bound+20; k++ {
			if p *= mean / k; k > bound {
				beyond += p
			}
		}
		if beyond > 3.3e-5 {
			t.Errorf("with %.2f in the mean, of a budget of %.2f, more than %.1f come in %.1e of the spans", mean, n, bound, beyond)
		}
	}
}

// Hundreds of schedulers, most of them quiet and a few that have most ops, use one warming worker at full load, and
// reports show them nothing: together they must stay within its budget.
func TestSlowStartBudgetAcrossHundredsOfSchedulers(t *testing.T) {
	const schedulers, workers, length, rate, days = 200, 200, 500, 480, 3 // 480 ops of 50 ms a worker in 6 s
	total, worst := 0, 0.0
	for day := range days {
		r := rand.New(rand.NewSource(int64(day)))
		all := make([]*Dispatcher, schedulers)
		for i := range all {
			all[i] = New(r.Uint64(), testSettings(func(s *Settings) { s.Schedulers, s.Scheduler = 200, i }))
			all[i].AdvanceClock(1_000_000)
			all[i].BeginSnapshot()
			for w := range workers {
				all[i].UpsertWorker(w, WorkerEntry{Ready: true, StartedAt: Time(1_000_000 * stats.Bit(w == 0))})
			}
			all[i].EndUpdate()
		}
		var at []Time
		for n := range workers * rate {
			now := 1_000_000 + Time(n*60_000/(workers*rate))
			s := r.Intn(schedulers)
			if r.Intn(4) > 0 {
				s = r.Intn(5)
			}
			d := all[s]
			d.AdvanceClock(now)
			d.AddOp(0, OpSpec{TTL: now + 50_000, Slots: 1})
			for _, a := range decisions(d) {
				if a.Kind == Probe {
					d.ProbeAnswered(a.Worker, 0, jobs(2*float64(stats.Bit(a.Worker > 0)))) // the warming one reports idle
				}
			}
			d.AdvanceClock(now)
			for _, a := range decisions(d) {
				if a.Kind == Push && a.Worker == 0 {
					at, total = append(at, now), total+1
				}
			}
			d.AttemptEnded(0, 0, Succeeded, true)
			d.AdvanceClock(now)
			decisions(d)
		}
		for i := range at {
			for j := range i + 1 {
				if span := at[i] - at[j]; span < 15_000 {
					share := 0.3 + 0.7*float64(at[i]-15_000-1_000_000)/80_000
					worst = max(worst, float64((i-j+1)*length)/(2.5*4*max(share, 0.3)*15_000))
				}
			}
		}
	}
	if total < days*rate/10 {
		t.Errorf("%d pushes to a cold worker: it lies idle", total)
	}
	if worst > 1 {
		t.Errorf("%.2f of a cold worker's budget was sent", worst)
	}
}
