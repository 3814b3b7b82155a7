// Package workermodel holds an emulated worker: its queue, its slots and cores, how warm it is and what ails it. It takes
// inputs with their time and returns effects; it reads no clock and writes to no connection.
package workermodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"

	"woaddyke/internal/lab/ledger"
)

// Make is what a kind of worker is built like.
type Make struct {
	Cores       float64
	Speed       float64 // 1: the yardstick on which work is stated
	Slots       float64
	Memory      float64
	Queue       int         // jobs that may wait; more are turned away
	ReportEvery ledger.Time // a load report is as old as this at most
	Progress    ledger.Time // a running job tells of itself this often; 0 for never
	TellsStart  bool
	ConnWork    float64 // core time that a new connection costs, ms on the yardstick
	ProbeWork   float64
	Connections int
	ErrorRate   float64
	CancelDrops bool // a closed push is dropped while it waits
}

// Job is what a push asks for.
type Job struct {
	Op, Effect string
	Work       float64 // running time on the yardstick, ms
	Usual      float64 // what a job of its category takes: all that a scheduler can know
	Slots      float64
	Memory     float64
	Dedup      bool
	Window     ledger.Time
	Scope      string
}

// Ails are what is wrong with a worker; the zero value is a sound one.
type Ails struct {
	Slow       float64 // how many times slower it runs; below 1 counts as 1
	Hung       bool    // it takes jobs, and nothing moves
	Taken      float64 // share of its cores that another program has
	Mute       float64 // chance that nothing is heard of a push after it was taken
	Fails      float64 // chance that a job fails
	Lies       bool    // its reports say that it is idle
	StaleBy    ledger.Time
	TurnsAway  bool
	Draining   bool
	UnfitShare float64 // chance that it calls a sound op unfit
}

// Input is one of Pushed, Closed, Probed, Dialed, Hangup, Woken and Changed.
type Input interface{ input() }

// Pushed is a whole push.
type Pushed struct {
	Push int
	Job  Job
}

// Closed says that the push's connection was ended from the other side.
type Closed struct{ Push int }

// Probed asks for a load report.
type Probed struct{ Probe int }

// Dialed is a new connection, Hangup the end of one.
type Dialed struct{ Conn int }

// Hangup ends a connection.
type Hangup struct{}

// Woken says that the moment asked for has come.
type Woken struct{}

// Changed says what ails the worker from here on.
type Changed struct{ Ails Ails }

func (Pushed) input()  {}
func (Closed) input()  {}
func (Probed) input()  {}
func (Dialed) input()  {}
func (Hangup) input()  {}
func (Woken) input()   {}
func (Changed) input() {}

// Effect is one of Say, Happened, Report, Admit, Wake and Collapse.
type Effect interface{ effect() }

// Word is what a worker says of a push.
type Word string

// What may be said; the last five end a push.
const (
	Taken      Word = "taken"
	Started    Word = "started"
	Running    Word = "running"
	Done       Word = ledger.Done
	Failed     Word = ledger.Failed
	Returned   Word = ledger.Returned
	TurnedAway Word = ledger.TurnedAway
	Unfit      Word = "unfit"
)

// Say tells the other side of a push.
type Say struct {
	Push   int
	Word   Word
	Share  float64
	Result string
}

// Happened is for the ledger.
type Happened struct {
	Kind ledger.Kind
	Push int
	Op   string
	Text string
}

// Report answers a probe.
type Report struct {
	Probe         int
	Ready, Silent bool
	Load          Load
}

// Load is a load report.
type Load struct {
	Jobs, Waiting int
	Free, Memory  float64
}

// Admit says whether a connection may stay.
type Admit struct {
	Conn int
	May  bool
}

// Wake asks for Woken at a moment, in place of what was asked for before.
type Wake struct{ At ledger.Time }

// Collapse ends the worker's process.
type Collapse struct{}

func (Say) effect()      {}
func (Happened) effect() {}
func (Report) effect()   {}
func (Admit) effect()    {}
func (Wake) effect()     {}
func (Collapse) effect() {}

// Memory is what the workers of a group remember of effects that have begun, so that repeats are dropped.
type Memory struct {
	mu    sync.Mutex
	began map[string]ledger.Time
	sweep int
}

// NewMemory makes a group's memory.
func NewMemory() *Memory { return &Memory{began: map[string]ledger.Time{}, sweep: 1024} }

// Begin notes that an effect begins, and tells whether it is a repeat that is still remembered.
func (m *Memory) Begin(effect string, now, window ledger.Time) (repeat bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.began[effect]; ok && now <= at+window {
		return true
	}
	if len(m.began) >= m.sweep { // it holds what of a window there is, and as much again at most
		for e, at := range m.began {
			if now > at+window {
				delete(m.began, e)
			}
		}
		m.sweep = max(2*len(m.began), 1024)
	}
	m.began[effect] = now
	return false
}

type job struct {
	Job
	push     int
	left     float64 // work
	mute     bool
	fails    bool
	closed   bool
	progress ledger.Time
}

type sent struct {
	at   ledger.Time
	work float64
}

// Box is one worker from its start on.
type Box struct {
	Name   string
	make   Make
	rules  ledger.Rules
	memory *Memory // of its group for each scope
	rand   *rand.Rand
	boot   ledger.Time
	cold   bool

	ails    Ails
	now     ledger.Time
	waiting []*job
	running []*job
	debt    float64 // work of connections and probes
	conns   int
	asked   []sent
	fallen  bool
	report  Load
	seenAt  ledger.Time
	memoryZ *Memory
	memoryA *Memory
}

// New starts a worker. The memories are those of its cell, its zone and all workers.
func New(name string, m Make, rules ledger.Rules, cell, zone, all *Memory, seed uint64, boot ledger.Time, cold bool) *Box {
	b := &Box{Name: name, make: m, rules: rules, memory: cell, memoryZ: zone, memoryA: all,
		rand: rand.New(rand.NewPCG(seed, 0x626f78)), boot: boot, cold: cold, now: boot, seenAt: -1 << 40}
	return b
}

// capacity is the cores' speed at this moment, and how many cores there are.
func (b *Box) capacity() (speed, cores float64) {
	if b.ails.Hung {
		return 0, b.make.Cores
	}
	speed = b.make.Speed / max(b.ails.Slow, 1)
	if b.cold {
		speed *= b.rules.Warmth(b.now - b.boot)
	}
	return speed, b.make.Cores * (1 - b.ails.Taken)
}

// rate is how much work each running job does in a unit of time.
func (b *Box) rate() float64 {
	speed, cores := b.capacity()
	busy := 0.0
	for _, j := range b.running {
		busy += j.Slots
	}
	if b.debt > 0 {
		busy++
	}
	if busy == 0 {
		return speed / 10
	}
	return speed * min(1, cores/busy) / 10
}

const step ledger.Time = 500 // while its warmth changes, a worker's speed is worked out anew this often

// advance lets time go by.
func (b *Box) advance(now ledger.Time) {
	for b.now < now && !b.fallen {
		rate := b.rate()
		until := now
		if b.cold && b.now < b.boot+b.rules.WarmAfter {
			until = min(until, b.now+step)
		}
		if rate > 0 {
			for _, j := range b.running {
				until = min(until, b.now+max(ledger.Time(math.Ceil(j.left/rate)), 1))
			}
			if b.debt > 0 {
				until = min(until, b.now+max(ledger.Time(math.Ceil(b.debt/rate)), 1))
			}
		}
		did := rate * float64(until-b.now)
		for _, j := range b.running {
			j.left -= did
		}
		b.debt = max(b.debt-did, 0)
		b.now = until
		if b.ready() { // what ends in this span must end before the rest of it goes by
			return
		}
	}
	b.now = max(b.now, now)
}

// ready tells whether a running job is at its end.
func (b *Box) ready() bool {
	for _, j := range b.running {
		if j.left <= 1e-9 {
			return true
		}
	}
	return false
}

// Take tells the worker of an input and returns what it does.
func (b *Box) Take(now ledger.Time, in Input) []Effect {
	var do []Effect
	if b.fallen {
		return nil
	}
	now = max(now, b.now)
	for {
		b.advance(now)
		do = b.settle(do)
		if b.now >= now && !b.ready() {
			break
		}
	}
	switch in := in.(type) {
	case Pushed:
		do = b.pushed(do, in)
	case Closed:
		do = b.closed(do, in.Push)
	case Probed:
		do = b.probed(do, in.Probe)
	case Dialed:
		may := b.conns < b.make.Connections
		if may {
			b.conns++
			b.debt += b.make.ConnWork
		}
		do = append(do, Admit{in.Conn, may})
	case Hangup:
		b.conns--
	case Changed:
		do = b.changed(do, in.Ails)
	}
	do = b.settle(do)
	if b.fallen {
		return do
	}
	if at, ok := b.due(); ok {
		do = append(do, Wake{at})
	}
	return do
}

func (b *Box) changed(do []Effect, ails Ails) []Effect {
	drains := ails.Draining && !b.ails.Draining
	b.ails = ails
	if drains { // it hands back what it has not begun
		for _, j := range b.waiting {
			do = b.say(do, j, Say{Push: j.push, Word: Returned})
		}
		b.waiting = nil
	}
	return do
}

func (b *Box) pushed(do []Effect, in Pushed) []Effect {
	j := &job{Job: in.Job, push: in.Push, left: in.Job.Work}
	if j.Slots <= 0 {
		j.Slots = 1
	}
	if do, fell := b.overload(do, j); fell {
		return do
	}
	switch {
	case b.ails.UnfitShare > 0 && b.rand.Float64() < b.ails.UnfitShare:
		return append(do, Say{Push: in.Push, Word: Unfit})
	case b.ails.TurnsAway || b.ails.Draining || len(b.waiting) >= b.make.Queue || j.Slots > b.make.Slots || j.Memory > b.make.Memory && b.make.Memory > 0:
		return append(do, Say{Push: in.Push, Word: TurnedAway})
	}
	// Chances are drawn at arrival and in one order, so that a seed gives the same day whatever is asked for.
	mute, fail := b.rand.Float64(), b.rand.Float64()
	j.mute = mute < b.ails.Mute
	j.fails = fail < max(b.make.ErrorRate, b.ails.Fails)
	do = append(do, Say{Push: in.Push, Word: Taken})
	b.waiting = append(b.waiting, j)
	return do
}

// overload lets a cold worker fall over that was pushed to more than it can bear.
func (b *Box) overload(do []Effect, j *job) ([]Effect, bool) {
	if !b.cold || b.rules.TipAfter == 0 || b.now-b.boot >= b.rules.WarmAfter {
		return do, false
	}
	b.asked = append(b.asked, sent{b.now, j.Usual * j.Slots})
	sum, kept := 0.0, b.asked[:0]
	for _, s := range b.asked {
		if s.at > b.now-b.rules.TipAfter {
			sum, kept = sum+s.work, append(kept, s)
		}
	}
	b.asked = kept
	bears := b.rules.Bears(b.make.Cores*b.make.Speed, b.now-b.boot)
	if sum <= bears { // also right after its start: a short heavy burst can spend what the whole span allows
		return do, false
	}
	b.fallen = true
	return append(do, Happened{Kind: ledger.Fell, Text: fmt.Sprintf("%.0f ms asked, %.0f borne", sum, bears)}, Collapse{}), true
}

func (b *Box) closed(do []Effect, push int) []Effect {
	for i, j := range b.waiting {
		if j.push == push {
			if j.closed = true; b.make.CancelDrops {
				b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			}
			return do
		}
	}
	for _, j := range b.running {
		if j.push == push {
			j.closed = true // a cancel stops nothing that runs
		}
	}
	return do
}

// load is the state of this moment.
func (b *Box) load() Load {
	l := Load{Jobs: len(b.waiting) + len(b.running), Waiting: len(b.waiting), Free: b.make.Slots, Memory: b.make.Memory}
	for _, j := range b.running {
		l.Free -= j.Slots
		l.Memory -= j.Memory
	}
	return l
}

func (b *Box) probed(do []Effect, probe int) []Effect {
	b.debt += b.make.ProbeWork
	if b.now-b.seenAt >= b.make.ReportEvery+b.ails.StaleBy {
		b.report, b.seenAt = b.load(), b.now
	}
	r := Report{Probe: probe, Ready: !b.ails.Draining, Silent: b.ails.Hung, Load: b.report}
	if b.ails.Lies {
		r.Load = Load{Free: b.make.Slots, Memory: b.make.Memory}
	}
	return append(do, r)
}

func (b *Box) say(do []Effect, j *job, s Say) []Effect {
	if j.mute || j.closed {
		return do
	}
	return append(do, s)
}

// settle ends what is at its end, tells of progress and starts what fits: first come, first served, and the first
// waits until it fits.
func (b *Box) settle(do []Effect) []Effect {
	if b.ails.Hung {
		return do
	}
	kept := b.running[:0]
	for _, j := range b.running {
		if j.left > 1e-9 {
			kept = append(kept, j)
			continue
		}
		word := Done
		if j.fails {
			word = Failed
		}
		do = b.say(do, j, Say{Push: j.push, Word: word, Result: b.result(j, "made")})
	}
	b.running = kept
	for _, j := range b.running {
		if b.make.Progress > 0 && b.now >= j.progress {
			j.progress += b.make.Progress
			do = b.say(do, j, Say{Push: j.push, Word: Running, Share: math.Round(100*(1-j.left/max(j.Work, 1e-9))) / 100})
		}
	}
	free := b.load()
	for len(b.waiting) > 0 {
		j := b.waiting[0]
		if j.Slots > free.Free || b.make.Memory > 0 && j.Memory > free.Memory {
			break
		}
		b.waiting = b.waiting[1:]
		if b.make.TellsStart {
			do = b.say(do, j, Say{Push: j.push, Word: Started})
		}
		if j.Dedup && b.memoryOf(j.Scope).Begin(j.Effect, b.now, j.Window) {
			do = append(do, Happened{Kind: ledger.Dropped, Push: j.push, Op: j.Op})
			do = b.say(do, j, Say{Push: j.push, Word: Done, Result: b.result(j, "repeat")})
			continue
		}
		do = append(do, Happened{Kind: ledger.Ran, Push: j.push, Op: j.Op})
		j.progress = b.now + b.make.Progress
		b.running = append(b.running, j)
		free.Free -= j.Slots
		free.Memory -= j.Memory
	}
	return do
}

func (b *Box) memoryOf(scope string) *Memory {
	switch scope {
	case "zone":
		return b.memoryZ
	case "all":
		return b.memoryA
	}
	return b.memory
}

func (b *Box) result(j *job, how string) string {
	return fmt.Sprintf("%s for %s by %s, push %d", how, j.Op, b.Name, j.push)
}

// due is the next moment at which something happens by itself.
func (b *Box) due() (at ledger.Time, ok bool) {
	rate := b.rate()
	at = math.MaxInt64
	if rate <= 0 {
		return 0, false
	}
	for _, j := range b.running {
		at = min(at, b.now+max(ledger.Time(math.Ceil(j.left/rate)), 1))
		if b.make.Progress > 0 {
			at = min(at, max(j.progress, b.now+1))
		}
	}
	return at, at < math.MaxInt64
}

// Idle tells whether nothing is held.
func (b *Box) Idle() bool { return len(b.waiting)+len(b.running) == 0 }

// Queue tells how many jobs run and wait.
func (b *Box) Queue() (running, waiting int) { return len(b.running), len(b.waiting) }
