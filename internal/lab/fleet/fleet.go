// Package fleet holds the emulated workers on loopback sockets. Each has an address of its own for each scheduler,
// so that it knows who pushes and each pair has a link of its own. What a worker does is decided in package box.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/links"
	"woaddyke/internal/lab/meter"
	"woaddyke/internal/lab/requests"
	"woaddyke/internal/lab/workermodel"
	"woaddyke/internal/lab/workload"
)

// Entry is what the list says of a worker.
type Entry struct {
	Name, Zone string
	Cell       int
	Slot       int    // which of the script's workers it is, or has succeeded
	State      string // ready, draining or gone
	Boot       time.Time
	Cold       bool
}

// Fleet is all workers.
type Fleet struct {
	book   *ledger.Book
	plan   *experiment.Experiment
	script *workload.Script
	desk   *requests.Desk
	list   func(Entry)
	rules  *ledger.Rules
	pushes atomic.Int64
	zones  map[string]*workermodel.Memory
	cells  map[int]*workermodel.Memory
	all    *workermodel.Memory

	addrs   [][]string         // by slot and scheduler
	weather [][]*links.Weather // the same
	slots   []*worker          // what stands there now
	mu      sync.Mutex
	births  []int // by slot: how many successors it had
	seed    uint64
	ports   *ports // of hollow workers
	starved atomic.Int64
	meter   *meter.Meter
	ending  sync.WaitGroup
}

// New makes a fleet and reserves its addresses; nothing listens yet. The list is told of each change of state.
func New(e *experiment.Experiment, s *workload.Script, book *ledger.Book, desk *requests.Desk, m *meter.Meter, list func(Entry)) (*Fleet, error) {
	f := &Fleet{book: book, plan: e, script: s, desk: desk, list: list, rules: e.Judged(), zones: map[string]*workermodel.Memory{},
		cells: map[int]*workermodel.Memory{}, all: workermodel.NewMemory(), births: make([]int, len(s.Workers)), seed: e.Seed, meter: m}
	hollow := 0
	for _, w := range s.Workers {
		if e.Workers[w.Kind].Hollow {
			hollow++
		}
	}
	var err error
	if f.ports, err = claimPorts(hollow); err != nil {
		return nil, err
	}
	for i, w := range s.Workers {
		if f.zones[w.Zone] == nil {
			f.zones[w.Zone] = workermodel.NewMemory()
		}
		if f.cells[w.Cell] == nil {
			f.cells[w.Cell] = workermodel.NewMemory()
		}
		var weather []*links.Weather
		for n := range e.Schedulers.Count {
			weather = append(weather, links.New(Sky(e, "workers", e.Zones[n%len(e.Zones)], w.Zone), w.Seed+uint64(n)))
		}
		f.weather = append(f.weather, weather)
		f.addrs = append(f.addrs, make([]string, e.Schedulers.Count))
		f.slots = append(f.slots, nil)
		if err := f.boot(i, w.Name, false); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Sky is what an experiment's links say of two parties; the last that fits counts.
func Sky(e *experiment.Experiment, between, from, to string) (sky links.Sky) {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	for _, l := range e.Links {
		if l.Between == between && e.In(l.From, from) && e.In(l.To, to) {
			sky = links.Sky{Delay: ms(l.DelayMS), Jitter: ms(l.JitterMS), Rate: 1000 * l.RateKBps, Stall: l.Stall,
				StallFor: ms(l.StallMS), ResetFirst: l.ResetFirst, ResetAfter: l.ResetAfter, Mute: l.Mute}
		}
	}
	return sky
}

// worker is one process of a worker.
type worker struct {
	f         *Fleet
	slot      int
	name      string
	made      experiment.Workers
	listeners []net.Listener

	mu    sync.Mutex
	box   *workermodel.Box
	dead  bool
	ails  workermodel.Ails
	legs  map[int]*leg
	conns map[*link]bool
	wake  *time.Timer
	calls map[int]chan workermodel.Report
	next  int // numbers probes
	shut  []*shut
	cutAt ledger.Time // when its link was cut last, or that was over
	admit bool
}

// leg is one push that has come and is not over.
type leg struct {
	push int
	op   string
	on   *link
	over chan struct{}
	done bool
}

// boot starts a worker's process in a slot.
func (f *Fleet) boot(slot int, name string, cold bool) error {
	at := f.script.Workers[slot]
	made := f.plan.Workers[at.Kind]
	w := &worker{f: f, slot: slot, name: name, made: made, legs: map[int]*leg{}, conns: map[*link]bool{}, calls: map[int]chan workermodel.Report{}}
	b := workermodel.Make{Cores: made.Cores, Speed: at.Speed, Slots: made.Slots, Memory: made.Memory, Queue: made.Queue,
		ReportEvery: experiment.MS(made.ReportEveryMS), Progress: experiment.MS(made.ProgressMS), TellsStart: true, ConnWork: made.ConnWorkMS,
		ProbeWork: made.ProbeWorkMS, Connections: made.Connections, ErrorRate: made.ErrorRate, CancelDrops: made.CancelDrops}
	if err := w.listen(); err != nil {
		return fmt.Errorf("worker %s: %w", name, err)
	}
	now := time.Now()
	booted := f.book.Add(ledger.Event{Kind: ledger.Boot, Worker: name, Zone: at.Zone, Cell: at.Cell, Cold: cold, Cores: made.Cores * at.Speed})
	w.box = workermodel.New(name, b, *f.rules, f.cells[at.Cell], f.zones[at.Zone], f.all, at.Seed+uint64(f.births[slot]), booted, cold)
	w.wake = time.AfterFunc(time.Hour, func() { w.take(workermodel.Woken{}) })
	f.mu.Lock()
	f.slots[slot] = w
	f.mu.Unlock()
	for n, l := range w.listeners {
		go w.accept(l, n)
	}
	f.list(Entry{Name: name, Zone: at.Zone, Cell: at.Cell, Slot: slot, State: "ready", Boot: now, Cold: cold})
	return nil
}

// listen opens a worker's listeners: one for each scheduler, or one for all where it is hollow.
func (w *worker) listen() error {
	f := w.f
	if w.made.Hollow {
		l, err := f.ports.listen(f.addrs[w.slot])
		if err != nil {
			return err
		}
		w.listeners = []net.Listener{l}
		return nil
	}
	for n := range f.plan.Schedulers.Count {
		addr := f.addrs[w.slot][n]
		if addr == "" {
			// Its own address, so that no connection from this machine can take its port while it is down.
			addr = fmt.Sprintf("127.1.%d.%d:0", w.slot/250, w.slot%250+1)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, l := range w.listeners {
				l.Close()
			}
			return err
		}
		f.addrs[w.slot][n] = l.Addr().String()
		w.listeners = append(w.listeners, l)
	}
	return nil
}

// Addr is where a scheduler reaches the worker of a slot.
func (f *Fleet) Addr(slot, scheduler int) string { return f.addrs[slot][scheduler] }

// take hands an input to the box and carries out its effects, in order.
func (w *worker) take(in workermodel.Input) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeLocked(in)
}

func (w *worker) takeLocked(in workermodel.Input) {
	if w.dead {
		return
	}
	for _, e := range w.box.Take(w.f.book.Now(), in) {
		switch e := e.(type) {
		case workermodel.Say:
			w.say(e)
		case workermodel.Happened:
			w.f.book.Add(ledger.Event{Kind: e.Kind, Worker: w.name, Push: e.Push, Op: e.Op, Text: e.Text})
		case workermodel.Report:
			if c := w.calls[e.Probe]; c != nil {
				delete(w.calls, e.Probe)
				c <- e
			}
		case workermodel.Admit:
			w.admit = e.May
		case workermodel.Wake:
			w.wake.Reset(max(time.Until(w.f.book.Wall(e.At)), 0))
		case workermodel.Collapse:
			go w.end()
		}
	}
}

// end ends the process: its connections break.
func (w *worker) end() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	w.wake.Stop()
	for _, s := range w.shut {
		s.open()
	}
	w.f.book.Add(ledger.Event{Kind: ledger.Gone, Worker: w.name})
	var open []*link
	for c := range w.conns {
		open = append(open, c)
	}
	for _, l := range w.legs {
		w.finish(l)
	}
	w.mu.Unlock()
	for _, l := range w.listeners {
		l.Close()
	}
	for _, c := range open {
		c.reset()
	}
}

// at is the worker in a slot.
func (f *Fleet) at(slot int) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots[slot]
}

func (f *Fleet) entry(w *worker, state string) Entry {
	at := f.script.Workers[w.slot]
	return Entry{Name: w.name, Zone: at.Zone, Cell: at.Cell, Slot: w.slot, State: state}
}

// Ail changes what ails the worker of a slot.
func (f *Fleet) Ail(slot int, change func(*workermodel.Ails)) {
	w := f.at(slot)
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.ails)
	w.takeLocked(workermodel.Changed{Ails: w.ails})
}

// Cut silences the links of a slot's worker, or lets them speak again: open connections are silent, and new ones do
// not come up.
func (f *Fleet) Cut(slot int, on bool) {
	for _, weather := range f.weather[slot] {
		weather.Cut(on)
	}
	w := f.at(slot)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutAt = f.book.Now()
	if w.dead || (len(w.shut) > 0) == on {
		return
	}
	if !on {
		for _, s := range w.shut {
			s.open()
		}
		w.shut = nil
		return
	}
	for _, l := range w.listeners {
		if s, err := shutListener(l.(*net.TCPListener)); err == nil {
			w.shut = append(w.shut, s)
		} else {
			f.book.Add(ledger.Event{Kind: ledger.Fault, Worker: w.name, Text: "its listener can't be silenced: " + err.Error()})
		}
	}
}

// CutFrom silences the link between a slot's worker and one scheduler, or lets it speak again. The worker's listener may be that of all
// schedulers, so what this one dials comes up, and is silent.
func (f *Fleet) CutFrom(slot, scheduler int, on bool) { f.weather[slot][scheduler].Cut(on) }

// Kill ends the process of a slot's worker; the list is told.
func (f *Fleet) Kill(slot int) {
	w := f.at(slot)
	w.end()
	f.list(f.entry(w, "gone"))
}

// Restart starts a killed worker again under its name, cold. Where a successor stands already, that is enough.
func (f *Fleet) Restart(slot int) error {
	w := f.at(slot)
	w.mu.Lock()
	dead := w.dead
	w.mu.Unlock()
	if !dead {
		return nil
	}
	f.mu.Lock()
	f.births[slot]++
	f.mu.Unlock()
	return f.boot(slot, w.name, true)
}

// mostDrain bounds how long a draining worker finishes what it has.
const (
	mostDrain = 15 * time.Second
	seen      = time.Second
)

// Announce has discovery say that a worker drains while it knows nothing of that and goes on; after a span it is gone, and a successor
// stands in its place.
func (f *Fleet) Announce(slot int, span time.Duration) {
	w := f.at(slot)
	f.list(f.entry(w, "draining"))
	f.ending.Add(1)
	go func() {
		defer f.ending.Done()
		time.Sleep(span)
		w.end()
		f.list(f.entry(w, "gone"))
		f.succeed(slot, w)
	}()
}

// Drain lets a worker finish and go. After a span a successor stands in its place, under another name; with a span
// below 0 none does.
func (f *Fleet) Drain(slot int, next time.Duration) {
	w := f.at(slot)
	w.mu.Lock()
	if w.dead || w.ails.Draining {
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	f.Ail(slot, func(a *workermodel.Ails) { a.Draining = true })
	f.list(f.entry(w, "draining"))
	from := time.Now()
	f.ending.Add(1)
	go func() {
		defer f.ending.Done()
		for {
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			idle, dead := w.box.Idle(), w.dead
			w.mu.Unlock()
			// It stays until the list's word is about and the grace is over: what comes to it then must be seen.
			told := time.Since(from) > time.Duration((f.plan.Discovery.LateMS[1]+f.plan.Rules.DrainGraceMS)*float64(time.Millisecond))+seen
			if dead || idle && told || time.Since(from) > mostDrain {
				break
			}
		}
		w.end()
		f.list(f.entry(w, "gone"))
		if next < 0 {
			return
		}
		if wait := next - time.Since(from); wait > 0 {
			time.Sleep(wait)
		}
		f.succeed(slot, w)
	}()
}

// succeed starts a worker's successor under another name.
func (f *Fleet) succeed(slot int, w *worker) {
	f.mu.Lock()
	if f.slots[slot] != w { // it was killed meanwhile, and is back
		f.mu.Unlock()
		return
	}
	f.births[slot]++
	name := fmt.Sprintf("%s-%d", f.script.Workers[slot].Name, f.births[slot])
	f.mu.Unlock()
	if err := f.boot(slot, name, true); err != nil {
		f.book.Add(ledger.Event{Kind: ledger.Fault, Text: err.Error()})
	}
}

// Depth is a worker's queue at a moment.
type Depth struct {
	Slot             int
	Running, Waiting int
}

// Depths tells how many jobs each worker runs and holds.
func (f *Fleet) Depths() []Depth {
	var all []Depth
	for i := range f.slots {
		w := f.at(i)
		w.mu.Lock()
		d := Depth{Slot: i}
		if !w.dead {
			d.Running, d.Waiting = w.box.Queue()
		}
		w.mu.Unlock()
		all = append(all, d)
	}
	return all
}

// Stop ends all workers.
func (f *Fleet) Stop() {
	for i := range f.slots {
		if w := f.at(i); w != nil {
			w.end()
		}
	}
	f.ports.free()
}

const starvedPause = 100 * time.Millisecond

// Starved is how often a worker could not take a connection for want of descriptors: a run with any proves nothing.
func (f *Fleet) Starved() int64 { return f.starved.Load() }

func (w *worker) accept(l net.Listener, scheduler int) {
	for {
		c, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // it is silent
			time.Sleep(shutLook)
			continue
		}
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				w.f.starved.Add(1) // no line for each: thousands of workers meet it at once, again and again
				time.Sleep(starvedPause)
				continue
			}
			if !errors.Is(err, net.ErrClosed) {
				w.f.book.Add(ledger.Event{Kind: ledger.Fault, Worker: w.name, Text: err.Error()})
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return
		}
		if isFiller(c) {
			c.Close()
			continue
		}
		if w.made.Hollow {
			if scheduler = dialler(c); scheduler < 0 || scheduler >= w.f.plan.Schedulers.Count {
				c.Close()
				continue
			}
		}
		w.mu.Lock()
		w.f.book.Add(ledger.Event{Kind: ledger.Dialed, Worker: w.name, Scheduler: scheduler + 1})
		w.admit = false
		w.takeLocked(workermodel.Dialed{})
		may := w.admit && !w.dead
		if !may {
			w.mu.Unlock()
			c.Close()
			continue
		}
		k := &link{w: w, scheduler: scheduler, c: links.Through(c, w.f.weather[w.slot][scheduler])}
		w.conns[k] = true
		w.mu.Unlock()
		k.c.OnGone(k.gone)
		go k.serve()
	}
}
