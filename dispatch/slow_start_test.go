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
	cold                       int             // so many workers start a second into the day
	own                        int             // workers of zone 0; an equal part where it is 0
	home                       float64         // share of the schedulers that are in zone 0; an equal part where it is 0
	first                      float64         // share of the arrivals that scheduler 0 has; an equal one where it is 0
	load, burst                float64         // arrivals over what the warm fleet does; the same for the 2 s after 1 s of cold
	run                        Time            // of a mean job at a warm worker
	late                       Time            // how old the reports are
	blind                      bool            // a cold worker's reports say that it is idle
	turn                       Time            // that is so from this long after the start on
	again                      int             // how often a client comes back after a nack
	span                       Time            // of arrivals after the start
	more                       func(*Settings) // may be nil
}

// slowStartFigures are what a day shows of its cold workers.
type slowStartFigures struct {
	falls  int     // of them, those that got more than N + 2 sqrt(N) + 2 in some span of tipAfter
	worst  float64 // the most that one got in a span, over that bound
	mean   float64 // got in a span, over N, of all of them
	spread float64 // the variance of what one gets in a span, over its mean
	busy   float64 // the share of their capacity that was used
	served float64 // the share of the fleet's ops that were served within their target
}

const (
	coldSlots = 4
	coldTip   = 15_000
	coldWarm  = 80_000
	coldBegan = Time(1_000_000)
	coldStart = coldBegan + second
)

func capacityAtAge(age Time) float64 { return min(1, 0.3+0.7*float64(max(age, 0))/coldWarm) }

// coldAllows is N at an age: the mean jobs that the settings allow in a span.
func (p *slowStartDay) allows(age Time) float64 {
	return 2.5 * capacityAtAge(age) * coldSlots * coldTip / float64(p.run)
}

type simulatedEvent struct {
	at Time
	n  int // breaks ties
	do func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
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
	by      *simulatedScheduler
	op, leg int
}

type simulatedReading struct {
	at   Time
	load LoadReport
}

type simulatedWorker struct {
	since   Time
	running int
	waiting []simulatedJob
	shown   []simulatedReading
	got     []Time
	used    float64 // slot time at its warm speed, while it was cold
}

type simulatedOp struct{ tries, legs int }

type simulatedScheduler struct {
	d    *Dispatcher
	ops  map[int]*simulatedOp
	free []int
	all  int
}

type slowStartSimulation struct {
	slowStartDay
	r             *rand.Rand
	agenda        eventQueue
	n             int
	now           Time
	schedulers    []*simulatedScheduler
	workers       []*simulatedWorker
	asked, served int
}

func (p *slowStartSimulation) in(span Time, do func()) {
	p.n++
	heap.Push(&p.agenda, simulatedEvent{p.now + max(span, 1), p.n, do})
}

func (p *slowStartSimulation) zone(i int) int {
	if p.own == 0 {
		return i % p.zones
	}
	if i < p.own {
		return 0
	}
	return 1 + (i-p.own)%(p.zones-1)
}

func simulateSlowStart(day slowStartDay, seed int64) slowStartFigures {
	p := &slowStartSimulation{slowStartDay: day, r: rand.New(rand.NewSource(seed)), now: coldBegan}
	p.zones = max(p.zones, 1)
	for range day.workers {
		p.workers = append(p.workers, &simulatedWorker{})
	}
	for s := range day.schedulers {
		at := s % p.zones
		if day.home > 0 {
			if at = 0; float64(s) >= day.home*float64(day.schedulers) {
				at = 1 + s%(p.zones-1)
			}
		}
		settings := testSettings(day.more)
		settings.Schedulers, settings.Scheduler, settings.Zone = day.schedulers, s, at
		x := &simulatedScheduler{d: New(p.r.Uint64(), settings), ops: map[int]*simulatedOp{}}
		x.d.AdvanceClock(p.now)
		p.schedulers = append(p.schedulers, x)
	}
	for i, w := range p.workers {
		p.note(i)
		if i < day.cold {
			w.since = coldStart
		}
	}
	p.list()
	p.in(second, p.list)
	p.arrive()
	for len(p.agenda) > 0 {
		e := heap.Pop(&p.agenda).(simulatedEvent)
		p.now = e.at
		e.do()
	}
	return p.figures()
}

func (p *slowStartSimulation) list() {
	for _, s := range p.schedulers {
		s.d.AdvanceClock(p.now)
		s.d.BeginSnapshot()
		for i, w := range p.workers {
			if w.since <= p.now {
				s.d.UpsertWorker(i, WorkerEntry{Zone: p.zone(i), Group: p.zone(i)*100 + i%7, Ready: true, StartedAt: w.since})
				identify(s.d, i, uint64(i+1)*0x9e3779b97f4a7c15, 0)
			}
		}
		s.d.EndUpdate()
	}
}

// arrive lets ops come by chance, at the day's rate.
func (p *slowStartSimulation) arrive() {
	load := p.load
	if p.now < coldStart {
		load *= 1 - float64(p.cold)/float64(len(p.workers)) // of those that are there
	}
	if age := p.now - coldStart; p.burst > 0 && age >= second && age < 3*second {
		load = p.burst
	}
	if load == 0 {
		p.in(coldStart-p.now, p.arrive)
		return
	}
	p.in(Time(p.r.ExpFloat64()*float64(p.run)/(coldSlots*float64(len(p.workers))*load)), func() {
		if p.now >= coldStart+p.span {
			return
		}
		s := p.r.Intn(len(p.schedulers))
		if p.first > 0 {
			if s = 0; p.r.Float64() >= p.first {
				s = 1 + p.r.Intn(len(p.schedulers)-1)
			}
		}
		if p.now >= coldStart {
			p.asked++
		}
		p.op(p.schedulers[s], 0)
		p.arrive()
	})
}

func (p *slowStartSimulation) op(s *simulatedScheduler, tries int) {
	i := s.all
	if len(s.free) > 0 {
		i, s.free = s.free[len(s.free)-1], s.free[:len(s.free)-1]
	} else {
		s.all++
	}
	s.ops[i] = &simulatedOp{tries: tries}
	s.d.AdvanceClock(p.now)
	s.d.AddOp(i, OpSpec{TTL: p.now + 50_000, Slots: 1})
	p.pull(s)
}

const coldTrip = 5 // each way

func (p *slowStartSimulation) pull(s *simulatedScheduler) {
	for _, a := range allDecisions(s.d) {
		o := s.ops[a.Op]
		switch a.Kind {
		case SetTimer:
			p.in(a.Duration, func() {
				s.d.AdvanceClock(p.now)
				p.pull(s)
			})
		case Probe:
			asked := p.now
			p.in(coldTrip, func() {
				load := p.shown(a.Worker)
				p.in(coldTrip, func() {
					s.d.AdvanceClock(p.now)
					s.d.ProbeAnswered(a.Worker, p.now-asked, load)
					p.pull(s)
				})
			})
		case Push:
			j := simulatedJob{s, a.Op, o.legs}
			o.legs++
			p.in(coldTrip, func() { p.push(a.Worker, j) })
		case Nack, DeadLetter:
			if o.tries < p.again {
				p.in(a.Duration+Time(p.r.Intn(2_000)), func() { p.op(s, o.tries+1) })
			}
		case Forget:
			delete(s.ops, a.Op)
			s.free = append(s.free, a.Op)
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

func (p *slowStartSimulation) shown(i int) LoadReport {
	w := p.workers[i]
	if p.blind && w.since > 0 && p.now >= coldStart+p.turn {
		return jobs(0)
	}
	for k := len(w.shown) - 1; k > 0; k-- {
		if w.shown[k].at <= p.now-p.late {
			return w.shown[k].load
		}
	}
	return w.shown[0].load
}

func (p *slowStartSimulation) note(i int) {
	w := p.workers[i]
	w.shown = append(w.shown, simulatedReading{p.now, LoadReport{RunningJobs: float64(w.running + len(w.waiting)),
		QueuedJobs: float64(len(w.waiting)), FreeSlots: float64(coldSlots - w.running), FreeMemory: -1}})
}

func (p *slowStartSimulation) push(i int, j simulatedJob) {
	w := p.workers[i]
	if w.since > 0 {
		w.got = append(w.got, p.now)
	}
	if len(w.waiting) >= 7*coldSlots {
		p.end(j, Rejected)
		return
	}
	w.waiting = append(w.waiting, j)
	p.begin(i)
}

func (p *slowStartSimulation) begin(i int) {
	w := p.workers[i]
	for len(w.waiting) > 0 && w.running < coldSlots {
		j := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.running++
		speed := 1.0
		if w.since > 0 {
			speed = capacityAtAge(p.now - w.since)
		}
		run := Time(p.r.ExpFloat64()*float64(p.run)/speed) + 1
		if end := coldStart + min(coldWarm, p.span); w.since > 0 && p.now < end {
			w.used += float64(min(run, end-p.now)) * speed
		}
		p.in(coldTrip, func() {
			j.by.d.AdvanceClock(p.now)
			j.by.d.AttemptProgress(j.op, j.leg, Progress{Started: true})
			p.pull(j.by)
		})
		p.in(coldTrip+run, func() {
			w.running--
			p.begin(i)
			p.note(i)
			p.end(j, Succeeded)
		})
	}
	p.note(i)
}

func (p *slowStartSimulation) end(j simulatedJob, how Outcome) {
	p.in(coldTrip, func() {
		if how == Succeeded && p.now >= coldStart {
			p.served++
		}
		j.by.d.AdvanceClock(p.now)
		j.by.d.AttemptEnded(j.op, j.leg, how, how == Succeeded)
		p.pull(j.by)
	})
}

func (p *slowStartSimulation) figures() (f slowStartFigures) {
	spans, all, can, used := 0, 0.0, 0.0, 0.0
	var x, xx float64
	for i := range p.cold {
		w := p.workers[i]
		if o := p.over(w.got); o > 0 {
			f.worst = max(f.worst, o)
			f.falls += stats.Bit(o > 1)
		}
		for from := Time(0); from+coldTip <= min(coldWarm, p.span); from += coldTip {
			n := 0.0
			for _, t := range w.got {
				n += float64(stats.Bit(t > coldStart+from && t <= coldStart+from+coldTip))
			}
			allows := p.allows(from + coldTip)
			spans, all = spans+1, all+n/allows
			if from == 0 {
				x, xx = x+n, xx+n*n
			}
		}
		for at := Time(0); at < min(coldWarm, p.span); at += 100 {
			can += coldSlots * 100 * capacityAtAge(at)
		}
		used += w.used
	}
	n := float64(p.cold)
	f.mean, f.busy, f.served = all/float64(spans), used/can, float64(p.served)/float64(p.asked)
	if x > 0 {
		f.spread = (xx/n - x/n*x/n) / (x / n)
	}
	return f
}

// over is the most that a cold worker got in a span, over the bound at the span's end.
func (p *slowStartSimulation) over(got []Time) (worst float64) {
	from := 0
	for k, t := range got {
		age := t - coldStart
		if age >= coldWarm {
			break
		}
		for got[from] <= t-coldTip {
			from++
		}
		worst = max(worst, float64(k-from+1)/overloadBound(p.allows(age)))
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
		d := slowStartDay{schedulers: 30, workers: 40, cold: 24, load: 0.7, run: 2_000, span: 3 * second, more: crossing, zones: 3}
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
		"thirty, burst":   {0.7, day(func(d *slowStartDay) { d.load, d.burst, d.again = 1, 1.5, 2 })},
		"quiet hundreds":  {0.5, day(func(d *slowStartDay) { d.schedulers, d.workers, d.cold = 300, 100, 60 })},
		"all cold":        {0.45, day(func(d *slowStartDay) { d.cold = 40 })},
		"no probes":       {0.2, day(func(d *slowStartDay) { d.more = func(s *Settings) { s.Probes = false } })},
		"no probes, full": {0.35, day(func(d *slowStartDay) { d.load, d.more = 1, func(s *Settings) { s.Probes = false } })},
		"no probes, burst": {0.5, day(func(d *slowStartDay) {
			d.load, d.burst, d.again, d.more = 1, 1.5, 2, func(s *Settings) { s.Probes = false }
		})},
		"no probes, all cold":  {0.5, day(func(d *slowStartDay) { d.cold, d.more = 40, func(s *Settings) { s.Probes = false } })},
		"no probes, threefold": {0.5, day(func(d *slowStartDay) { d.load, d.more = 3, func(s *Settings) { s.Probes = false } })},
		"hundreds, all cold":   {0.3, day(func(d *slowStartDay) { d.schedulers, d.workers, d.cold = 200, 60, 60 })},
		"late reports":         {0.35, day(func(d *slowStartDay) { d.late, d.load = second, 1 })},
		"long jobs":            {0, day(func(d *slowStartDay) { d.run = 20_000 })},
		"one has 90%":          {0.4, day(func(d *slowStartDay) { d.first = 0.9 })},
		"regulars, 90%":        {0.1, day(func(d *slowStartDay) { d.first, d.more, d.zones = 0.9, regulars, 1 })},
		"few ready, truth":     {0.15, day(func(d *slowStartDay) { d.workers, d.cold = 5, 3 })},
		// Reports by which each cold worker is idle: the lot alone decides.
		"blind, full":       {0.5, day(func(d *slowStartDay) { d.blind, d.load = true, 1 })},
		"blind, burst":      {0.5, day(func(d *slowStartDay) { d.blind, d.load, d.burst, d.again = true, 1, 1.5, 2 })},
		"blind all at once": {0.5, day(func(d *slowStartDay) { d.blind, d.turn, d.load, d.burst, d.again = true, second, 1, 1.5, 2 })},
		"blind hundreds": {0.4, day(func(d *slowStartDay) {
			d.schedulers, d.workers, d.cold = 300, 100, 60
			d.blind, d.load, d.burst = true, 1, 1.5
		})},
		"blind hundreds, repeats": {0.5, day(func(d *slowStartDay) {
			d.schedulers, d.workers, d.cold = 300, 100, 60
			d.blind, d.load, d.burst, d.again = true, 1, 1.5, 3
		})},
		"blind, threefold":   {0.5, day(func(d *slowStartDay) { d.blind, d.load = true, 3 })},
		"blind, all cold":    {0.3, day(func(d *slowStartDay) { d.cold, d.blind, d.load = 40, true, 1 })},
		"blind, 90%":         {0.3, day(func(d *slowStartDay) { d.first, d.blind, d.load = 0.9, true, 1 })},
		"blind, few ready":   {0.3, day(func(d *slowStartDay) { d.workers, d.cold, d.blind, d.load = 5, 3, true, 1 })},
		"blind small zone":   {0.5, day(func(d *slowStartDay) { d.own, d.cold, d.blind, d.load = 4, 4, true, 1 })},
		"blind crowded zone": {0.5, day(func(d *slowStartDay) { d.own, d.cold, d.home, d.blind, d.load = 4, 4, 0.7, true, 1 })},
		"blind regulars":     {0.5, day(func(d *slowStartDay) { d.blind, d.load, d.more, d.zones = true, 1, regulars, 1 })},
		"blind, words":       {0.5, day(func(d *slowStartDay) { d.blind, d.load, d.more, d.zones = true, 1, words, 1 })},
		"blind regulars, 90%": {0, day(func(d *slowStartDay) {
			d.workers, d.cold, d.first, d.blind, d.more, d.zones = 20, 20, 0.9, true, regulars, 1
		})},
		"blind long jobs": {0, day(func(d *slowStartDay) { d.run, d.blind, d.load, d.burst = 20_000, true, 1, 1.5 })},
		"blind longer jobs": {0, day(func(d *slowStartDay) {
			d.run, d.blind, d.load, d.burst, d.workers, d.cold = 100_000, true, 1, 1.5, 200, 120
		})},
		"blind short jobs": {0.5, day(func(d *slowStartDay) { d.workers, d.cold, d.run, d.blind, d.load, d.burst = 10, 6, 300, true, 1, 1.5 })},
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
				all.falls, all.worst = all.falls+f.falls, max(all.worst, f.worst)
				all.mean, all.spread = all.mean+f.mean/float64(seeds), all.spread+f.spread/float64(seeds)
				all.busy, all.served = all.busy+f.busy/float64(seeds), all.served+f.served/float64(seeds)
			}
			t.Logf("%d of %d fell; worst %.2f of the bound; mean %.2f of the budget, variance %.2f of it; %.2f busy, %.3f served",
				all.falls, seeds*c.day.cold, all.worst, all.mean, all.spread, all.busy, all.served)
			if all.falls > 0 {
				t.Errorf("seeds 1 to %d: %d cold workers fell, under %.2f of what one bears", seeds, all.falls, all.worst)
			}
			if all.busy < c.least {
				t.Errorf("seeds 1 to %d: of what cold workers could do %.2f was used, below %.2f", seeds, all.busy, c.least)
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
