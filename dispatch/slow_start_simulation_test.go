package dispatch

import (
	"container/heap"
	"math"
	"math/rand"

	"woaddyke/internal/base/stats"
)

// slowStartScenario describes a fleet of which some workers have just started, and the schedulers that use
// it. Each worker has simulatedSlots slots; service times are exponential.
type slowStartScenario struct {
	schedulers, workers, zones int
	warming                    int             // workers that restart after one second
	ownZoneWorkers             int             // number of workers in zone 0; an equal part if 0
	ownZoneSchedulers          float64         // fraction of the schedulers in zone 0; an equal part if 0
	firstSchedulerLoad         float64         // fraction of the arrivals at scheduler 0; an equal part if 0
	load                       float64         // arrivals relative to the capacity of the warm fleet
	burst                      float64         // load from 1 to 3 s after the restart; 0 for no burst
	serviceTime                Time            // mean at a warm worker
	reportAge                  Time            // of load reports
	reportsIdle                bool            // load reports of warming workers show them as idle
	reportsIdleAfter           Time            // delay after the restart from which reportsIdle applies
	clientRetries              int             // number of retries of a client after nacks
	length                     Time            // duration of arrivals after the restart
	change                     func(*Settings) // may be nil
}

// slowStartResult holds the measurements at the warming workers of a simulation.
type slowStartResult struct {
	overloaded  int     // workers whose load exceeded overloadBound in any overload window
	worstLoad   float64 // highest load of a worker in a window, relative to overloadBound
	meanLoad    float64 // load of a worker in a window, relative to the budget
	dispersion  float64 // variance of a worker's load in a window, relative to its mean
	utilization float64 // fraction of the warming workers' capacity that was used
	succeeded   float64 // fraction of the fleet's ops that succeeded
}

const (
	simulatedSlots  = 4
	overloadWindow  = 15_000
	warmAfter       = 80_000
	simulationStart = Time(1_000_000)
	restartAt       = simulationStart + second
)

func capacityAtAge(age Time) float64 { return min(1, 0.3+0.7*float64(max(age, 0))/warmAfter) }

// budget returns how many jobs the settings allow for a worker of this age in an overload window.
func (p *slowStartScenario) budget(age Time) float64 {
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

// simulatedJob is one attempt at a worker.
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
	usedWhileWarming float64 // slot time used while it was warming up, scaled to the speed of a warm worker
}

type simulatedOp struct{ clientTries, attempts int }

type simulatedScheduler struct {
	d       *Dispatcher
	ops     map[int]*simulatedOp
	freeOps []int
	opCount int
}

type slowStartSimulation struct {
	slowStartScenario
	random             *rand.Rand
	events             eventQueue
	eventCount         int
	now                Time
	schedulers         []*simulatedScheduler
	workers            []*simulatedWorker
	arrived, succeeded int
}

func (p *slowStartSimulation) after(delay Time, run func()) {
	p.eventCount++
	heap.Push(&p.events, simulatedEvent{p.now + max(delay, 1), p.eventCount, run})
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

func simulateSlowStart(scenario slowStartScenario, seed int64) slowStartResult {
	p := &slowStartSimulation{slowStartScenario: scenario, random: rand.New(rand.NewSource(seed)),
		now: simulationStart}
	p.zones = max(p.zones, 1)
	for range scenario.workers {
		p.workers = append(p.workers, &simulatedWorker{})
	}
	for s := range scenario.schedulers {
		zone := s % p.zones
		if scenario.ownZoneSchedulers > 0 {
			if zone = 0; float64(s) >= scenario.ownZoneSchedulers*float64(scenario.schedulers) {
				zone = 1 + s%(p.zones-1)
			}
		}
		settings := testSettings(scenario.change)
		settings.Schedulers, settings.Scheduler, settings.Zone = scenario.schedulers, s, zone
		scheduler := &simulatedScheduler{d: New(p.random.Uint64(), settings), ops: map[int]*simulatedOp{}}
		scheduler.d.AdvanceClock(p.now)
		p.schedulers = append(p.schedulers, scheduler)
	}
	for i, w := range p.workers {
		p.recordReading(i)
		if i < scenario.warming {
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
	return p.result()
}

func (p *slowStartSimulation) updateEndpoints() {
	for _, s := range p.schedulers {
		s.d.AdvanceClock(p.now)
		s.d.BeginSnapshot()
		for i, w := range p.workers {
			if w.startedAt <= p.now {
				s.d.UpsertWorker(i, WorkerEntry{Zone: p.zoneOf(i), Group: p.zoneOf(i)*100 + i%7, Ready: true,
					StartedAt: w.startedAt})
				setIdentity(s.d, i, uint64(i+1)*0x9e3779b97f4a7c15, 0)
			}
		}
		s.d.EndUpdate()
	}
}

// scheduleArrivals schedules the next op. Arrivals are a Poisson process at the rate of the scenario.
func (p *slowStartSimulation) scheduleArrivals() {
	load := p.load
	if p.now < restartAt {
		load *= 1 - float64(p.warming)/float64(len(p.workers)) // the warming workers have not started yet
	}
	if age := p.now - restartAt; p.burst > 0 && age >= second && age < 3*second {
		load = p.burst
	}
	if load == 0 {
		p.after(restartAt-p.now, p.scheduleArrivals)
		return
	}
	p.after(Time(p.random.ExpFloat64()*
		float64(p.serviceTime)/(simulatedSlots*float64(len(p.workers))*load)), func() {
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

// oneWayDelay is the network delay of a message.
const oneWayDelay = 5

func (p *slowStartSimulation) carryOutDecisions(s *simulatedScheduler) {
	for _, a := range pullAllDecisions(s.d) {
		o := s.ops[a.Op]
		switch a.Kind {
		case SetTimer:
			p.after(a.Duration, func() {
				s.d.AdvanceClock(p.now)
				p.carryOutDecisions(s)
			})
		case Probe:
			probedAt := p.now
			p.after(oneWayDelay, func() {
				load := p.reportedLoad(a.Worker)
				p.after(oneWayDelay, func() {
					s.d.AdvanceClock(p.now)
					s.d.ProbeAnswered(a.Worker, p.now-probedAt, load)
					p.carryOutDecisions(s)
				})
			})
		case Push:
			job := simulatedJob{s, a.Op, o.attempts}
			o.attempts++
			p.after(oneWayDelay, func() { p.enqueue(a.Worker, job) })
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

func pullAllDecisions(d *Dispatcher) (all []Decision) {
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
		return loadWithJobs(0)
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
	w.readings = append(w.readings, simulatedReading{p.now,
		LoadReport{RunningJobs: float64(w.running + len(w.waiting)),
			QueuedJobs: float64(len(w.waiting)), FreeSlots: float64(simulatedSlots - w.running), FreeMemory: -1}})
}

func (p *slowStartSimulation) enqueue(i int, job simulatedJob) {
	w := p.workers[i]
	if w.startedAt > 0 {
		w.arrivals = append(w.arrivals, p.now)
	}
	if len(w.waiting) >= 7*simulatedSlots {
		p.endJob(job, Rejected)
		return
	}
	w.waiting = append(w.waiting, job)
	p.startJobs(i)
}

func (p *slowStartSimulation) startJobs(i int) {
	w := p.workers[i]
	for len(w.waiting) > 0 && w.running < simulatedSlots {
		job := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.running++
		speed := 1.0
		if w.startedAt > 0 {
			speed = capacityAtAge(p.now - w.startedAt)
		}
		serviceTime := Time(p.random.ExpFloat64()*float64(p.serviceTime)/speed) + 1
		if end := restartAt + min(warmAfter, p.length); w.startedAt > 0 && p.now < end {
			w.usedWhileWarming += float64(min(serviceTime, end-p.now)) * speed
		}
		p.after(oneWayDelay, func() {
			job.owner.d.AdvanceClock(p.now)
			job.owner.d.AttemptProgress(job.op, job.attempt, Progress{Started: true})
			p.carryOutDecisions(job.owner)
		})
		p.after(oneWayDelay+serviceTime, func() {
			w.running--
			p.startJobs(i)
			p.recordReading(i)
			p.endJob(job, Succeeded)
		})
	}
	p.recordReading(i)
}

func (p *slowStartSimulation) endJob(j simulatedJob, outcome Outcome) {
	p.after(oneWayDelay, func() {
		if outcome == Succeeded && p.now >= restartAt {
			p.succeeded++
		}
		j.owner.d.AdvanceClock(p.now)
		j.owner.d.AttemptEnded(j.op, j.attempt, outcome, outcome == Succeeded)
		p.carryOutDecisions(j.owner)
	})
}

func (p *slowStartSimulation) result() (f slowStartResult) {
	windows, loadSum, capacity, used := 0, 0.0, 0.0, 0.0
	var sum, squares float64
	for i := range p.warming {
		w := p.workers[i]
		if o := p.worstOverload(w.arrivals); o > 0 {
			f.worstLoad = max(f.worstLoad, o)
			f.overloaded += stats.BoolToInt(o > 1)
		}
		for from := Time(0); from+overloadWindow <= min(warmAfter, p.length); from += overloadWindow {
			n := 0.0
			for _, t := range w.arrivals {
				n += float64(stats.BoolToInt(t > restartAt+from && t <= restartAt+from+overloadWindow))
			}
			allowed := p.budget(from + overloadWindow)
			windows, loadSum = windows+1, loadSum+n/allowed
			if from == 0 {
				sum, squares = sum+n, squares+n*n
			}
		}
		for at := Time(0); at < min(warmAfter, p.length); at += 100 {
			capacity += simulatedSlots * 100 * capacityAtAge(at)
		}
		used += w.usedWhileWarming
	}
	n := float64(p.warming)
	f.meanLoad, f.utilization, f.succeeded = loadSum/float64(windows), used/capacity,
		float64(p.succeeded)/float64(p.arrived)
	if sum > 0 {
		f.dispersion = (squares/n - sum/n*sum/n) / (sum / n)
	}
	return f
}

// worstOverload returns the highest load of a warming worker in an overload window, relative to the bound
// at the end of the window.
func (p *slowStartSimulation) worstOverload(arrivals []Time) (worst float64) {
	from := 0
	for k, t := range arrivals {
		age := t - restartAt
		if age >= warmAfter {
			break
		}
		for arrivals[from] <= t-overloadWindow {
			from++
		}
		worst = max(worst, float64(k-from+1)/overloadBound(p.budget(age)))
	}
	return worst
}

// overloadBound returns the load above which a worker with a budget of n fails: the budget plus about twice
// the standard deviation of a Poisson variable.
func overloadBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
