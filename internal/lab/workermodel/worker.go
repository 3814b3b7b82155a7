// Package workermodel models an emulated worker: its queue, slots, cores, warm-up and faults. The model takes
// inputs with their time and returns effects. It reads no clock and writes to no connection.
package workermodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"

	"woaddyke/internal/lab/ledger"
)

// Config describes a kind of worker. FailureRate is the probability that a job fails at a healthy worker.
type Config struct {
	Cores        float64
	Speed        float64 // 1 for the reference core on which work is stated
	Slots        float64
	Memory       float64
	Queue        int         // maximum number of waiting jobs; further jobs are rejected
	ReportEvery  ledger.Time // maximum age of a load report
	Progress     ledger.Time // interval between progress messages of a running job; 0 for none
	ReportsStart bool
	ConnWork     float64 // core time that a new connection costs, in ms on the reference core
	ProbeWork    float64
	Connections  int
	FailureRate  float64
	CancelDrops  bool // a canceled push is dropped if it is still waiting
}

// Job is the work that a push requests. With Dedup, the job is dropped if a worker in its Scope has started a
// job with the same Effect in the last Window. Scope "zone" means the workers of the same zone, "all" means
// all workers, and any other value means the workers of the same cell.
type Job struct {
	Op, Effect   string
	Work         float64 // running time on the reference core, in ms
	ExpectedWork float64 // typical work of the category, in ms: the most that a scheduler can know
	Slots        float64
	Memory       float64
	Dedup        bool
	Window       ledger.Time
	Scope        string
}

// Faults holds the faults of a worker. The zero value is a healthy worker.
type Faults struct {
	Slow           float64 // factor by which the worker is slower; values below 1 count as 1
	Hung           bool    // the worker accepts jobs, but makes no progress
	StolenShare    float64 // share of the cores that another program uses
	SilentRate     float64 // probability that nothing more is sent for a push after it is accepted
	FailureRate    float64 // probability that a job fails
	ReportsIdle    bool    // load reports show an idle worker
	ExtraReportAge ledger.Time
	RejectsAll     bool
	Draining       bool
	UnfitRate      float64 // probability that a valid push is answered as unfit
}

// Input is one of Pushed, Closed, Probed, Connected, Disconnected, TimerFired and FaultsChanged.
type Input interface{ input() }

// Pushed is a completely received push.
type Pushed struct {
	Push int
	Job  Job
}

// Closed reports that the scheduler closed the connection of a push.
type Closed struct{ Push int }

// Probed is a load probe.
type Probed struct{ Probe int }

// Connected is a new connection. The Admit effect answers it.
type Connected struct{ Conn int }

// Disconnected is the end of a connection.
type Disconnected struct{}

// TimerFired reports that the time of the last SetTimer has come.
type TimerFired struct{}

// FaultsChanged replaces the worker's faults.
type FaultsChanged struct{ Faults Faults }

func (Pushed) input()        {}
func (Closed) input()        {}
func (Probed) input()        {}
func (Connected) input()     {}
func (Disconnected) input()  {}
func (TimerFired) input()    {}
func (FaultsChanged) input() {}

// Effect is one of SendStatus, Record, Report, Admit, SetTimer and Crash.
type Effect interface{ effect() }

// Status is the state of a push as the worker reports it.
type Status string

// Statuses of a push. The last five end the push.
const (
	Accepted Status = "taken"
	Started  Status = "started"
	Running  Status = "running"
	Done     Status = ledger.Done
	Failed   Status = ledger.Failed
	Returned Status = ledger.Returned
	Rejected Status = ledger.TurnedAway
	Unfit    Status = "unfit"
)

// SendStatus sends the status of a push to the scheduler.
type SendStatus struct {
	Push     int
	Status   Status
	Progress float64
	Result   string
}

// Record adds an event to the ledger.
type Record struct {
	Kind ledger.Kind
	Push int
	Op   string
	Text string
}

// Report answers a load probe.
type Report struct {
	Probe         int
	Ready, Silent bool
	Load          Load
}

// Load is the content of a load report.
type Load struct {
	Jobs, Waiting int
	Free, Memory  float64
}

// Admit reports whether a connection is accepted.
type Admit struct {
	Conn    int
	Allowed bool
}

// SetTimer requests TimerFired at a time. It replaces an earlier request.
type SetTimer struct{ At ledger.Time }

// Crash ends the worker's process.
type Crash struct{}

func (SendStatus) effect() {}
func (Record) effect()     {}
func (Report) effect()     {}
func (Admit) effect()      {}
func (SetTimer) effect()   {}
func (Crash) effect()      {}

// DedupStore remembers the effects that the workers of a group have started, so that duplicates are dropped.
type DedupStore struct {
	mu        sync.Mutex
	started   map[string]ledger.Time
	sweepSize int
}

// NewDedupStore creates an empty store.
func NewDedupStore() *DedupStore {
	return &DedupStore{started: map[string]ledger.Time{}, sweepSize: 1024}
}

// Begin records the start of an effect. If the effect was already started within the window, Begin records
// nothing and returns true.
func (s *DedupStore) Begin(effect string, now, window ledger.Time) (duplicate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.started[effect]; ok && now <= at+window {
		return true
	}
	// The store holds at most twice as many entries as were within their window at the last removal, or 1024.
	if len(s.started) >= s.sweepSize {
		for e, at := range s.started {
			if now > at+window {
				delete(s.started, e)
			}
		}
		s.sweepSize = max(2*len(s.started), 1024)
	}
	s.started[effect] = now
	return false
}

type job struct {
	Job
	push         int
	remaining    float64 // work that is left, in ms
	silent       bool
	fails        bool
	canceled     bool
	nextProgress ledger.Time
}

// arrival is a push that a cold worker received.
type arrival struct {
	at   ledger.Time
	work float64
}

// Worker models one worker process.
type Worker struct {
	Name      string
	config    Config
	rules     ledger.Rules
	cellDedup *DedupStore // zoneDedup and globalDedup are the stores of the other scopes
	rand      *rand.Rand
	startTime ledger.Time
	cold      bool

	faults      Faults
	now         ledger.Time
	waiting     []*job
	running     []*job
	overhead    float64 // work of connections and probes that is not done yet, in ms
	connections int
	arrivals    []arrival
	crashed     bool
	lastReport  Load
	reportedAt  ledger.Time
	zoneDedup   *DedupStore
	globalDedup *DedupStore
}

// New creates the model of a worker that starts at startTime. The dedup stores are those of its cell, of its
// zone and of all workers.
func New(name string, config Config, rules ledger.Rules, cell, zone, all *DedupStore, seed uint64, startTime ledger.Time, cold bool) *Worker {
	w := &Worker{Name: name, config: config, rules: rules, cellDedup: cell, zoneDedup: zone, globalDedup: all,
		rand: rand.New(rand.NewPCG(seed, 0x626f78)), startTime: startTime, cold: cold, now: startTime, reportedAt: -1 << 40}
	return w
}

// capacity returns the current speed of a core and the number of usable cores.
func (w *Worker) capacity() (speed, cores float64) {
	if w.faults.Hung {
		return 0, w.config.Cores
	}
	speed = w.config.Speed / max(w.faults.Slow, 1)
	if w.cold {
		speed *= w.rules.CapacityShare(w.now - w.startTime)
	}
	return speed, w.config.Cores * (1 - w.faults.StolenShare)
}

// jobRate returns how many ms of work each running job completes per unit of ledger time, which is a tenth of
// a millisecond.
func (w *Worker) jobRate() float64 {
	speed, cores := w.capacity()
	busy := 0.0
	for _, j := range w.running {
		busy += j.Slots
	}
	if w.overhead > 0 {
		busy++
	}
	if busy == 0 {
		return speed / 10
	}
	return speed * min(1, cores/busy) / 10
}

const warmUpStep ledger.Time = 500 // interval at which the speed is recomputed while the worker warms up

// advance moves the model's clock to the given time. It stops earlier if a job finishes before that.
func (w *Worker) advance(now ledger.Time) {
	for w.now < now && !w.crashed {
		rate := w.jobRate()
		next := now
		if w.cold && w.now < w.startTime+w.rules.WarmAfter {
			next = min(next, w.now+warmUpStep)
		}
		if rate > 0 {
			for _, j := range w.running {
				next = min(next, w.now+max(ledger.Time(math.Ceil(j.remaining/rate)), 1))
			}
			if w.overhead > 0 {
				next = min(next, w.now+max(ledger.Time(math.Ceil(w.overhead/rate)), 1))
			}
		}
		done := rate * float64(next-w.now)
		for _, j := range w.running {
			j.remaining -= done
		}
		w.overhead = max(w.overhead-done, 0)
		w.now = next
		if w.hasFinished() { // the freed capacity changes the rate of the other jobs
			return
		}
	}
	w.now = max(w.now, now)
}

// hasFinished reports whether a running job has no work left.
func (w *Worker) hasFinished() bool {
	for _, j := range w.running {
		if j.remaining <= 1e-9 {
			return true
		}
	}
	return false
}

// Handle applies an input and returns the resulting effects.
func (w *Worker) Handle(now ledger.Time, in Input) []Effect {
	var effects []Effect
	if w.crashed {
		return nil
	}
	now = max(now, w.now)
	for {
		w.advance(now)
		effects = w.finishAndStart(effects)
		if w.now >= now && !w.hasFinished() {
			break
		}
	}
	switch in := in.(type) {
	case Pushed:
		effects = w.addPush(effects, in)
	case Closed:
		effects = w.cancelPush(effects, in.Push)
	case Probed:
		effects = w.reportLoad(effects, in.Probe)
	case Connected:
		admitted := w.connections < w.config.Connections
		if admitted {
			w.connections++
			w.overhead += w.config.ConnWork
		}
		effects = append(effects, Admit{in.Conn, admitted})
	case Disconnected:
		w.connections--
	case FaultsChanged:
		effects = w.setFaults(effects, in.Faults)
	}
	effects = w.finishAndStart(effects)
	if w.crashed {
		return effects
	}
	if at, ok := w.nextEvent(); ok {
		effects = append(effects, SetTimer{at})
	}
	return effects
}

func (w *Worker) setFaults(effects []Effect, faults Faults) []Effect {
	startsDraining := faults.Draining && !w.faults.Draining
	w.faults = faults
	if startsDraining { // a draining worker returns the jobs that it has not started
		for _, j := range w.waiting {
			effects = w.sendStatus(effects, j, SendStatus{Push: j.push, Status: Returned})
		}
		w.waiting = nil
	}
	return effects
}

func (w *Worker) addPush(effects []Effect, in Pushed) []Effect {
	j := &job{Job: in.Job, push: in.Push, remaining: in.Job.Work}
	if j.Slots <= 0 {
		j.Slots = 1
	}
	if effects, crashed := w.checkOverload(effects, j); crashed {
		return effects
	}
	switch {
	case w.faults.UnfitRate > 0 && w.rand.Float64() < w.faults.UnfitRate:
		return append(effects, SendStatus{Push: in.Push, Status: Unfit})
	case w.faults.RejectsAll || w.faults.Draining || len(w.waiting) >= w.config.Queue || j.Slots > w.config.Slots || j.Memory > w.config.Memory && w.config.Memory > 0:
		return append(effects, SendStatus{Push: in.Push, Status: Rejected})
	}
	// Both values are always drawn, at arrival and in this order. A seed then gives the same run whatever the
	// faults are.
	silentDraw, failDraw := w.rand.Float64(), w.rand.Float64()
	j.silent = silentDraw < w.faults.SilentRate
	j.fails = failDraw < max(w.config.FailureRate, w.faults.FailureRate)
	effects = append(effects, SendStatus{Push: in.Push, Status: Accepted})
	w.waiting = append(w.waiting, j)
	return effects
}

// checkOverload adds a push to the arrivals of a cold worker. It crashes the worker if more work arrived
// within OverloadWindow than the limit allows.
func (w *Worker) checkOverload(effects []Effect, j *job) ([]Effect, bool) {
	if !w.cold || w.rules.OverloadWindow == 0 || w.now-w.startTime >= w.rules.WarmAfter {
		return effects, false
	}
	w.arrivals = append(w.arrivals, arrival{w.now, j.ExpectedWork * j.Slots})
	sum, recent := 0.0, w.arrivals[:0]
	for _, a := range w.arrivals {
		if a.at > w.now-w.rules.OverloadWindow {
			sum, recent = sum+a.work, append(recent, a)
		}
	}
	w.arrivals = recent
	limit := w.rules.ColdWorkLimit(w.config.Cores*w.config.Speed, w.now-w.startTime)
	// The limit applies to the whole interval OverloadWindow. A short burst right after the start can already
	// exceed it.
	if sum <= limit {
		return effects, false
	}
	w.crashed = true
	return append(effects, Record{Kind: ledger.WorkerOverloaded, Text: fmt.Sprintf("%.0f ms asked, %.0f borne", sum, limit)}, Crash{}), true
}

func (w *Worker) cancelPush(effects []Effect, push int) []Effect {
	for i, j := range w.waiting {
		if j.push == push {
			if j.canceled = true; w.config.CancelDrops {
				w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			}
			return effects
		}
	}
	for _, j := range w.running {
		if j.push == push {
			j.canceled = true // a running job continues after a cancel
		}
	}
	return effects
}

// load returns the current load.
func (w *Worker) load() Load {
	l := Load{Jobs: len(w.waiting) + len(w.running), Waiting: len(w.waiting), Free: w.config.Slots, Memory: w.config.Memory}
	for _, j := range w.running {
		l.Free -= j.Slots
		l.Memory -= j.Memory
	}
	return l
}

func (w *Worker) reportLoad(effects []Effect, probe int) []Effect {
	w.overhead += w.config.ProbeWork
	if w.now-w.reportedAt >= w.config.ReportEvery+w.faults.ExtraReportAge {
		w.lastReport, w.reportedAt = w.load(), w.now
	}
	r := Report{Probe: probe, Ready: !w.faults.Draining, Silent: w.faults.Hung, Load: w.lastReport}
	if w.faults.ReportsIdle {
		r.Load = Load{Free: w.config.Slots, Memory: w.config.Memory}
	}
	return append(effects, r)
}

func (w *Worker) sendStatus(effects []Effect, j *job, s SendStatus) []Effect {
	if j.silent || j.canceled {
		return effects
	}
	return append(effects, s)
}

// finishAndStart ends finished jobs, sends progress messages and starts the jobs that fit. Jobs start in the
// order of arrival: a job at the head of the queue that does not fit delays those behind it.
func (w *Worker) finishAndStart(effects []Effect) []Effect {
	if w.faults.Hung {
		return effects
	}
	unfinished := w.running[:0]
	for _, j := range w.running {
		if j.remaining > 1e-9 {
			unfinished = append(unfinished, j)
			continue
		}
		status := Done
		if j.fails {
			status = Failed
		}
		effects = w.sendStatus(effects, j, SendStatus{Push: j.push, Status: status, Result: w.result(j, "made")})
	}
	w.running = unfinished
	for _, j := range w.running {
		if w.config.Progress > 0 && w.now >= j.nextProgress {
			j.nextProgress += w.config.Progress
			effects = w.sendStatus(effects, j, SendStatus{Push: j.push, Status: Running, Progress: math.Round(100*(1-j.remaining/max(j.Work, 1e-9))) / 100})
		}
	}
	available := w.load()
	for len(w.waiting) > 0 {
		j := w.waiting[0]
		if j.Slots > available.Free || w.config.Memory > 0 && j.Memory > available.Memory {
			break
		}
		w.waiting = w.waiting[1:]
		if w.config.ReportsStart {
			effects = w.sendStatus(effects, j, SendStatus{Push: j.push, Status: Started})
		}
		if j.Dedup && w.dedupStore(j.Scope).Begin(j.Effect, w.now, j.Window) {
			effects = append(effects, Record{Kind: ledger.Dropped, Push: j.push, Op: j.Op})
			effects = w.sendStatus(effects, j, SendStatus{Push: j.push, Status: Done, Result: w.result(j, "repeat")})
			continue
		}
		effects = append(effects, Record{Kind: ledger.Ran, Push: j.push, Op: j.Op})
		j.nextProgress = w.now + w.config.Progress
		w.running = append(w.running, j)
		available.Free -= j.Slots
		available.Memory -= j.Memory
	}
	return effects
}

func (w *Worker) dedupStore(scope string) *DedupStore {
	switch scope {
	case "zone":
		return w.zoneDedup
	case "all":
		return w.globalDedup
	}
	return w.cellDedup
}

func (w *Worker) result(j *job, how string) string {
	return fmt.Sprintf("%s for %s by %s, push %d", how, j.Op, w.Name, j.push)
}

// nextEvent returns the time at which the next job finishes or reports progress.
func (w *Worker) nextEvent() (at ledger.Time, ok bool) {
	rate := w.jobRate()
	at = math.MaxInt64
	if rate <= 0 {
		return 0, false
	}
	for _, j := range w.running {
		at = min(at, w.now+max(ledger.Time(math.Ceil(j.remaining/rate)), 1))
		if w.config.Progress > 0 {
			at = min(at, max(j.nextProgress, w.now+1))
		}
	}
	return at, at < math.MaxInt64
}

// Idle reports whether no job is running or waiting.
func (w *Worker) Idle() bool { return len(w.waiting)+len(w.running) == 0 }

// QueueLengths returns the numbers of running and waiting jobs.
func (w *Worker) QueueLengths() (running, waiting int) { return len(w.running), len(w.waiting) }
