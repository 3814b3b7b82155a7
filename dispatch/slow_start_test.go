package dispatch

import (
	"container/heap"
	"math"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"woaddyke/internal/base/stats"
)

// slowStartDay is a fleet part of which has just started, and the schedulers that meet it. Each worker has four slots; jobs
// are exponential.
type slowStartDay struct {
	schedulers, workers, zones int
	warming                    int             // so many workers start a second into the day
	ownZoneWorkers             int             // workers of zone 0; an equal part where it is 0
	ownZoneSchedulers          float64         // share of the schedulers that are in zone 0; an equal part where it is 0
	firstSchedulerLoad         float64         // share of the arrivals that scheduler 0 has; an equal one where it is 0
	load, burst                float64         // arrivals over what the warm fleet does; the same for the 2 s after 1 s of cold
	serviceTime                Time            // of a mean job at a warm worker
	reportAge                  Time            // how old the reports are
	reportsIdle                bool            // a cold worker's reports say that it is idle
	reportsIdleAfter           Time            // that is so from this long after the start on
	clientRetries              int             // how often a client comes back after a nack
	length                     Time            // of arrivals after the start
	change                     func(*Settings) // may be nil
}

// slowStartFigures are what a day shows of its cold workers.
type slowStartFigures struct {
	overloaded  int     // of them, those that got more than N + 2 sqrt(N) + 2 in some span of tipAfter
	worstLoad   float64 // the most that one got in a span, over that bound
	meanLoad    float64 // got in a span, over N, of all of them
	dispersion  float64 // the variance of what one gets in a span, over its mean
	utilization float64 // the share of their capacity that was used
	succeeded   float64 // the share of the fleet's ops that were served within their target
}

const (
	simulatedSlots  = 4
	overloadWindow  = 15_000
	warmAfter       = 80_000
	simulationStart = Time(1_000_000)
	restartAt       = simulationStart + second
)

func capacityAtAge(age Time) float64 { return min(1, 0.3+0.7*float64(max(age, 0))/warmAfter) }

// coldAllows is N at an age: the mean jobs that the settings allow in a span.
func (p *slowStartDay) budget(age Time) float64 {
	return 2.5 * capacityAtAge(age) * simulatedSlots * overloadWindow / float64(p.serviceTime)
}

type simulatedEvent struct {
	at    Time
	order int // breaks ties
	run   func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// simulatedJob is one push at a worker.
type simulatedJob struct {
	owner       *simulatedScheduler
	op, attempt int
}

type simulatedReading struct {
	at   Time
	load LoadReport
}

type simulatedWorker struct {
	startedAt        Time
	running          int
	waiting          []simulatedJob
	readings         []simulatedReading
	arrivals         []Time
	usedWhileWarming float64 // slot time at its warm speed, while it was cold
}

type simulatedOp struct{ clientTries, attempts int }

type simulatedScheduler struct {
	d       *Dispatcher
	ops     map[int]*simulatedOp
	freeOps []int
	opCount int
}

type slowStartSimulation struct {
	slowStartDay
	random             *rand.Rand
	events             eventQueue
	eventCount         int
	now                Time
	schedulers         []*simulatedScheduler
	workers            []*simulatedWorker
	arrived, succeeded int
}

func (p *slowStartSimulation) after(span Time, do func()) {
	p.eventCount++
	heap.Push(&p.events, simulatedEvent{p.now + max(span, 1), p.eventCount, do})
}

func (p *slowStartSimulation) zoneOf(i int) int {
	if p.ownZoneWorkers == 0 {
		return i % p.zones
	}
	if i < p.ownZoneWorkers {
		return 0
	}
	return 1 + (i-p.ownZoneWorkers)%(p.zones-1)
}

func simulateSlowStart(day slowStartDay, seed int64) slowStartFigures {
	p := &slowStartSimulation{slowStartDay: day, random: rand.New(rand.NewSource(seed)), now: simulationStart}
	p.zones = max(p.zones, 1)
	for range day.workers {
		p.workers = append(p.workers, &simulatedWorker{})
	}
	for s := range day.schedulers {
		at := s % p.zones
		if day.ownZoneSchedulers > 0 {
			if at = 0; float64(s) >= day.ownZoneSchedulers*float64(day.schedulers) {
				at = 1 + s%(p.zones-1)
			}
		}
		settings := testSettings(day.change)
		settings.Schedulers, settings.Scheduler, settings.Zone = day.schedulers, s, at
		x := &simulatedScheduler{d: New(p.random.Uint64(), settings), ops: map[int]*simulatedOp{}}
		x.d.AdvanceClock(p.now)
		p.schedulers = append(p.schedulers, x)
	}
	for i, w := range p.workers {
		p.recordReading(i)
		if i < day.warming {
			w.startedAt = restartAt
		}
	}
	p.updateEndpoints()
	p.after(second, p.updateEndpoints)
	p.scheduleArrivals()
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(simulatedEvent)
		p.now = e.at
		e.run()
	}
	return p.figures()
}

func (p *slowStartSimulation) updateEndpoints() {
	for _, s := range p.schedulers {
		s.d.AdvanceClock(p.now)
		s.d.BeginSnapshot()
		for i, w := range p.workers {
			if w.startedAt <= p.now {
				s.d.UpsertWorker(i, WorkerEntry{Zone: p.zoneOf(i), Group: p.zoneOf(i)*100 + i%7, Ready: true, StartedAt: w.startedAt})
				identify(s.d, i, uint64(i+1)*0x9e3779b97f4a7c15, 0)
			}
		}
		s.d.EndUpdate()
	}
}

// scheduleArrivals lets ops come by chance, at the day's rate.
func (p *slowStartSimulation) scheduleArrivals() {
	load := p.load
	if p.now < restartAt {
		load *= 1 - float64(p.warming)/float64(len(p.workers)) // of those that are there
	}
	if age := p.now - restartAt; p.burst > 0 && age >= second && age < 3*second {
		load = p.burst
	}
	if load == 0 {
		p.after(restartAt-p.now, p.scheduleArrivals)
		return
	}
	p.after(Time(p.random.ExpFloat64()*float64(p.serviceTime)/(simulatedSlots*float64(len(p.workers))*load)), func() {
		if p.now >= restartAt+p.length {
			return
		}
		s := p.random.Intn(len(p.schedulers))
		if p.firstSchedulerLoad > 0 {
			if s = 0; p.random.Float64() >= p.firstSchedulerLoad {
				s = 1 + p.random.Intn(len(p.schedulers)-1)
			}
		}
		if p.now >= restartAt {
			p.arrived++
		}
		p.admitOp(p.schedulers[s], 0)
		p.scheduleArrivals()
	})
}

func (p *slowStartSimulation) admitOp(s *simulatedScheduler, tries int) {
	i := s.opCount
	if len(s.freeOps) > 0 {
		i, s.freeOps = s.freeOps[len(s.freeOps)-1], s.freeOps[:len(s.freeOps)-1]
	} else {
		s.opCount++
	}
	s.ops[i] = &simulatedOp{clientTries: tries}
	s.d.AdvanceClock(p.now)
	s.d.AddOp(i, OpSpec{TTL: p.now + 50_000, Slots: 1})
	p.carryOutDecisions(s)
}

const oneWayTrip = 5 // each way

func (p *slowStartSimulation) carryOutDecisions(s *simulatedScheduler) {
	for _, a := range allDecisions(s.d) {
		o := s.ops[a.Op]
		switch a.Kind {
		case SetTimer:
			p.after(a.Duration, func() {
				s.d.AdvanceClock(p.now)
				p.carryOutDecisions(s)
			})
		case Probe:
			asked := p.now
			p.after(oneWayTrip, func() {
				load := p.reportedLoad(a.Worker)
				p.after(oneWayTrip, func() {
					s.d.AdvanceClock(p.now)
					s.d.ProbeAnswered(a.Worker, p.now-asked, load)
					p.carryOutDecisions(s)
				})
			})
		case Push:
			j := simulatedJob{s, a.Op, o.attempts}
			o.attempts++
			p.after(oneWayTrip, func() { p.enqueue(a.Worker, j) })
		case Nack, DeadLetter:
			if o.clientTries < p.clientRetries {
				p.after(a.Duration+Time(p.random.Intn(2_000)), func() { p.admitOp(s, o.clientTries+1) })
			}
		case Forget:
			delete(s.ops, a.Op)
			s.freeOps = append(s.freeOps, a.Op)
		}
	}
}

func allDecisions(d *Dispatcher) (all []Decision) {
	for {
		next := d.Next()
		if next.Kind == NoDecision {
			return all
		}
		all = append(all, next)
	}
}

func (p *slowStartSimulation) reportedLoad(i int) LoadReport {
	w := p.workers[i]
	if p.reportsIdle && w.startedAt > 0 && p.now >= restartAt+p.reportsIdleAfter {
		return jobs(0)
	}
	for k := len(w.readings) - 1; k > 0; k-- {
		if w.readings[k].at <= p.now-p.reportAge {
			return w.readings[k].load
		}
	}
	return w.readings[0].load
}

func (p *slowStartSimulation) recordReading(i int) {
	w := p.workers[i]
	w.readings = append(w.readings, simulatedReading{p.now, LoadReport{RunningJobs: float64(w.running + len(w.waiting)),
		QueuedJobs: float64(len(w.waiting)), FreeSlots: float64(simulatedSlots - w.running), FreeMemory: -1}})
}

func (p *slowStartSimulation) enqueue(i int, j simulatedJob) {
	w := p.workers[i]
	if w.startedAt > 0 {
		w.arrivals = append(w.arrivals, p.now)
	}
	if len(w.waiting) >= 7*simulatedSlots {
		p.endJob(j, Rejected)
		return
	}
	w.waiting = append(w.waiting, j)
	p.startJobs(i)
}

func (p *slowStartSimulation) startJobs(i int) {
	w := p.workers[i]
	for len(w.waiting) > 0 && w.running < simulatedSlots {
		j := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.running++
		speed := 1.0
		if w.startedAt > 0 {
			speed = capacityAtAge(p.now - w.startedAt)
		}
		run := Time(p.random.ExpFloat64()*float64(p.serviceTime)/speed) + 1
		if end := restartAt + min(warmAfter, p.length); w.startedAt > 0 && p.now < end {
			w.usedWhileWarming += float64(min(run, end-p.now)) * speed
		}
		p.after(oneWayTrip, func() {
			j.owner.d.AdvanceClock(p.now)
			j.owner.d.AttemptProgress(j.op, j.attempt, Progress{Started: true})
			p.carryOutDecisions(j.owner)
		})
		p.after(oneWayTrip+run, func() {
			w.running--
			p.startJobs(i)
			p.recordReading(i)
			p.endJob(j, Succeeded)
		})
	}
	p.recordReading(i)
}

func (p *slowStartSimulation) endJob(j simulatedJob, how Outcome) {
	p.after(oneWayTrip, func() {
		if how == Succeeded && p.now >= restartAt {
			p.succeeded++
		}
		j.owner.d.AdvanceClock(p.now)
		j.owner.d.AttemptEnded(j.op, j.attempt, how, how == Succeeded)
		p.carryOutDecisions(j.owner)
	})
}

func (p *slowStartSimulation) figures() (f slowStartFigures) {
	spans, all, can, used := 0, 0.0, 0.0, 0.0
	var x, xx float64
	for i := range p.warming {
		w := p.workers[i]
		if o := p.worstOverload(w.arrivals); o > 0 {
			f.worstLoad = max(f.worstLoad, o)
			f.overloaded += stats.Bit(o > 1)
		}
		for from := Time(0); from+overloadWindow <= min(warmAfter, p.length); from += overloadWindow {
			n := 0.0
			for _, t := range w.arrivals {
				n += float64(stats.Bit(t > restartAt+from && t <= restartAt+from+overloadWindow))
			}
			allows := p.budget(from + overloadWindow)
			spans, all = spans+1, all+n/allows
			if from == 0 {
				x, xx = x+n, xx+n*n
			}
		}
		for at := Time(0); at < min(warmAfter, p.length); at += 100 {
			can += simulatedSlots * 100 * capacityAtAge(at)
		}
		used += w.usedWhileWarming
	}
	n := float64(p.warming)
	f.meanLoad, f.utilization, f.succeeded = all/float64(spans), used/can, float64(p.succeeded)/float64(p.arrived)
	if x > 0 {
		f.dispersion = (xx/n - x/n*x/n) / (x / n)
	}
	return f
}

// worstOverload is the most that a cold worker got in a span, over the bound at the span's end.
func (p *slowStartSimulation) worstOverload(got []Time) (worst float64) {
	from := 0
	for k, t := range got {
		age := t - restartAt
		if age >= warmAfter {
			break
		}
		for got[from] <= t-overloadWindow {
			from++
		}
		worst = max(worst, float64(k-from+1)/overloadBound(p.budget(age)))
	}
	return worst
}

// overloadBound is what a worker bears where the settings allow it n: beyond that, so much is chance.
func overloadBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// slowStartDays are those on which the sum of what all send was, or could be, more than a cold worker bears; least is the share of
// the cold workers' capacity that has to be used.
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
		// Reports that tell the truth: the lot must not let the new ones lie idle.
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
		// Reports by which each cold worker is idle: the lot alone decides.
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

// A cold worker falls under the sum of what all schedulers send, and 2 sqrt(n) + 2 beyond the budget are all that chance is
// allowed: with a lot whose mean came to the budget it was passed, as soon as reports said nothing or one scheduler had most
// of the ops at its regulars. COLD_SEEDS plays more days of each kind, and prints what they show.
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

// Each further pair of an op asks again: after a push as after a look.
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

// The mean that the lot keeps to has to leave room for chance at every size of the budget, from a fraction of an op to hundreds.
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
