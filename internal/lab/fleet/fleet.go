// Package fleet runs the emulated workers on loopback sockets. Each worker has a separate address for each
// scheduler. It therefore knows which scheduler sends a push, and each pair has its own link. Package
// workermodel decides what a worker does.
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

// Entry is the entry of a worker in the endpoint list.
type Entry struct {
	Name, Zone string
	Cell       int
	Slot       int    // index in the workload's list of workers; a successor has the slot of its predecessor
	State      string // ready, draining or gone
	StartTime  time.Time
	Cold       bool
}

// Fleet is the set of all emulated workers.
type Fleet struct {
	ledger      *ledger.Writer
	experiment  *experiment.Experiment
	workload    *workload.Workload
	requests    *requests.Registry
	publish     func(Entry)
	rules       *ledger.Rules
	lastPush    atomic.Int64
	zoneDedup   map[string]*workermodel.DedupStore
	cellDedup   map[int]*workermodel.DedupStore
	globalDedup *workermodel.DedupStore

	addrs               [][]string      // by slot and scheduler
	links               [][]*links.Link // by slot and scheduler
	workers             []*worker       // the current worker of each slot
	mu                  sync.Mutex
	replacements        []int // by slot: number of restarts and successors so far
	seed                uint64
	ports               *ports // claimed for hollow workers
	descriptorShortages atomic.Int64
	meter               *meter.Meter
	background          sync.WaitGroup
}

// New creates a fleet and starts its workers. It calls publish for each change of a worker's state.
func New(e *experiment.Experiment, s *workload.Workload, events *ledger.Writer, registry *requests.Registry, m *meter.Meter, publish func(Entry)) (*Fleet, error) {
	f := &Fleet{ledger: events, experiment: e, workload: s, requests: registry, publish: publish, rules: e.LedgerRules(), zoneDedup: map[string]*workermodel.DedupStore{},
		cellDedup: map[int]*workermodel.DedupStore{}, globalDedup: workermodel.NewDedupStore(), replacements: make([]int, len(s.Workers)), seed: e.Seed, meter: m}
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
		if f.zoneDedup[w.Zone] == nil {
			f.zoneDedup[w.Zone] = workermodel.NewDedupStore()
		}
		if f.cellDedup[w.Cell] == nil {
			f.cellDedup[w.Cell] = workermodel.NewDedupStore()
		}
		var workerLinks []*links.Link
		for n := range e.Schedulers.Count {
			workerLinks = append(workerLinks, links.New(LinkConditions(e, "workers", e.Zones[n%len(e.Zones)], w.Zone), w.Seed+uint64(n)))
		}
		f.links = append(f.links, workerLinks)
		f.addrs = append(f.addrs, make([]string, e.Schedulers.Count))
		f.workers = append(f.workers, nil)
		if err := f.startWorker(i, w.Name, false); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// LinkConditions returns the link conditions that an experiment sets between two parties. If several entries of e.Links
// match, the last one applies.
func LinkConditions(e *experiment.Experiment, between, from, to string) (conditions links.Conditions) {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	for _, link := range e.Links {
		if link.Between == between && e.ZoneMatches(link.From, from) && e.ZoneMatches(link.To, to) {
			conditions = links.Conditions{Delay: ms(link.DelayMS), Jitter: ms(link.JitterMS), Rate: 1000 * link.RateKBps, Stall: link.Stall,
				StallFor: ms(link.StallMS), ResetFirst: link.ResetBefore, ResetAfter: link.ResetAfter, Mute: link.Mute}
		}
	}
	return conditions
}

// worker is an emulated worker process, from its start to its end. A restart or a successor is a new worker
// in the same slot.
type worker struct {
	fleet     *Fleet
	slot      int
	name      string
	kind      experiment.Workers
	listeners []net.Listener

	mu           sync.Mutex
	model        *workermodel.Worker
	ended        bool
	faults       workermodel.Faults
	pushes       map[int]*activePush
	conns        map[*schedulerConn]bool
	timer        *time.Timer
	probes       map[int]chan workermodel.Report
	lastProbe    int // number of the last probe
	blocked      []*blockedListener
	cutChangedAt ledger.Time // when a cut of the worker's links last began or ended
	admitted     bool
}

// activePush is a push that has arrived and has not ended.
type activePush struct {
	id       int
	op       string
	conn     *schedulerConn
	finished chan struct{}
	done     bool
}

// startWorker starts a worker process in a slot.
func (f *Fleet) startWorker(slot int, name string, cold bool) error {
	spec := f.workload.Workers[slot]
	kind := f.experiment.Workers[spec.Kind]
	w := &worker{fleet: f, slot: slot, name: name, kind: kind, pushes: map[int]*activePush{}, conns: map[*schedulerConn]bool{}, probes: map[int]chan workermodel.Report{}}
	config := workermodel.Config{Cores: kind.Cores, Speed: spec.Speed, Slots: kind.Slots, Memory: kind.Memory, Queue: kind.Queue,
		ReportEvery: experiment.FromMilliseconds(kind.ReportEveryMS), Progress: experiment.FromMilliseconds(kind.ProgressMS), ReportsStart: true, ConnWork: kind.ConnWorkMS,
		ProbeWork: kind.ProbeWorkMS, Connections: kind.Connections, FailureRate: kind.ErrorRate, CancelDrops: kind.CancelDrops}
	if err := w.listen(); err != nil {
		return fmt.Errorf("worker %s: %w", name, err)
	}
	now := time.Now()
	startTime := f.ledger.Add(ledger.Event{Kind: ledger.Boot, Worker: name, Zone: spec.Zone, Cell: spec.Cell, Cold: cold, Cores: kind.Cores * spec.Speed})
	w.model = workermodel.New(name, config, *f.rules, f.cellDedup[spec.Cell], f.zoneDedup[spec.Zone], f.globalDedup, spec.Seed+uint64(f.replacements[slot]), startTime, cold)
	w.timer = time.AfterFunc(time.Hour, func() { w.handle(workermodel.TimerFired{}) })
	f.mu.Lock()
	f.workers[slot] = w
	f.mu.Unlock()
	for n, l := range w.listeners {
		go w.accept(l, n)
	}
	f.publish(Entry{Name: name, Zone: spec.Zone, Cell: spec.Cell, Slot: slot, State: "ready", StartTime: now, Cold: cold})
	return nil
}

// listen opens the listeners of a worker: one for each scheduler, or a single listener for a hollow worker.
func (w *worker) listen() error {
	f := w.fleet
	if w.kind.Hollow {
		l, err := f.ports.listen(f.addrs[w.slot])
		if err != nil {
			return err
		}
		w.listeners = []net.Listener{l}
		return nil
	}
	for n := range f.experiment.Schedulers.Count {
		addr := f.addrs[w.slot][n]
		if addr == "" {
			// Each worker has a separate IP address. A connection from this machine could otherwise take the
			// worker's port while the worker is down.
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

// Addr returns the address at which a scheduler reaches the worker of a slot.
func (f *Fleet) Addr(slot, scheduler int) string { return f.addrs[slot][scheduler] }

// handle passes an input to the worker model and carries out the effects in order.
func (w *worker) handle(in workermodel.Input) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handleLocked(in)
}

func (w *worker) handleLocked(in workermodel.Input) {
	if w.ended {
		return
	}
	for _, e := range w.model.Handle(w.fleet.ledger.Now(), in) {
		switch e := e.(type) {
		case workermodel.SendStatus:
			w.sendStatus(e)
		case workermodel.Record:
			w.fleet.ledger.Add(ledger.Event{Kind: e.Kind, Worker: w.name, Push: e.Push, Op: e.Op, Text: e.Text})
		case workermodel.Report:
			if c := w.probes[e.Probe]; c != nil {
				delete(w.probes, e.Probe)
				c <- e
			}
		case workermodel.Admit:
			w.admitted = e.Allowed
		case workermodel.SetTimer:
			w.timer.Reset(max(time.Until(w.fleet.ledger.ToTime(e.At)), 0))
		case workermodel.Crash:
			go w.end()
		}
	}
}

// end ends the worker process and resets its connections.
func (w *worker) end() {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended = true
	w.timer.Stop()
	for _, b := range w.blocked {
		b.unblock()
	}
	w.fleet.ledger.Add(ledger.Event{Kind: ledger.Gone, Worker: w.name})
	var open []*schedulerConn
	for c := range w.conns {
		open = append(open, c)
	}
	for _, p := range w.pushes {
		w.finishPush(p)
	}
	w.mu.Unlock()
	for _, l := range w.listeners {
		l.Close()
	}
	for _, c := range open {
		c.reset()
	}
}

// workerAt returns the current worker of a slot.
func (f *Fleet) workerAt(slot int) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[slot]
}

func (f *Fleet) entry(w *worker, state string) Entry {
	spec := f.workload.Workers[w.slot]
	return Entry{Name: w.name, Zone: spec.Zone, Cell: spec.Cell, Slot: w.slot, State: state}
}

// SetFaults changes the faults of the worker in a slot.
func (f *Fleet) SetFaults(slot int, change func(*workermodel.Faults)) {
	w := f.workerAt(slot)
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
	w.handleLocked(workermodel.FaultsChanged{Faults: w.faults})
}

// Cut begins or ends a cut of all links of the worker in a slot. During a cut, open connections carry nothing
// and new connections are not established.
func (f *Fleet) Cut(slot int, on bool) {
	for _, link := range f.links[slot] {
		link.SetCut(on)
	}
	w := f.workerAt(slot)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutChangedAt = f.ledger.Now()
	if w.ended || (len(w.blocked) > 0) == on {
		return
	}
	if !on {
		for _, b := range w.blocked {
			b.unblock()
		}
		w.blocked = nil
		return
	}
	for _, l := range w.listeners {
		if b, err := blockListener(l.(*net.TCPListener)); err == nil {
			w.blocked = append(w.blocked, b)
		} else {
			f.ledger.Add(ledger.Event{Kind: ledger.Fault, Worker: w.name, Text: "its listener can't be silenced: " + err.Error()})
		}
	}
}

// CutFrom begins or ends a cut of the link between the worker in a slot and one scheduler. All schedulers may
// share the worker's listener. During the cut a new connection of this scheduler is therefore established,
// but carries nothing.
func (f *Fleet) CutFrom(slot, scheduler int, on bool) { f.links[slot][scheduler].SetCut(on) }

// Kill ends the worker in a slot and publishes that it is gone.
func (f *Fleet) Kill(slot int) {
	w := f.workerAt(slot)
	w.end()
	f.publish(f.entry(w, "gone"))
}

// Restart starts a killed worker again under the same name, cold. It does nothing if a worker already runs in
// the slot.
func (f *Fleet) Restart(slot int) error {
	w := f.workerAt(slot)
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	if !ended {
		return nil
	}
	f.mu.Lock()
	f.replacements[slot]++
	f.mu.Unlock()
	return f.startWorker(slot, w.name, true)
}

// maxDrain bounds how long a draining worker may take to finish its jobs. drainMargin is added to the
// discovery delay and the grace, for which the worker stays at least.
const (
	maxDrain    = 15 * time.Second
	drainMargin = time.Second
)

// AnnounceDrain publishes that a worker drains, but does not inform the worker, which keeps accepting jobs. After
// the given time the worker ends, and a successor replaces it.
func (f *Fleet) AnnounceDrain(slot int, delay time.Duration) {
	w := f.workerAt(slot)
	f.publish(f.entry(w, "draining"))
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		time.Sleep(delay)
		w.end()
		f.publish(f.entry(w, "gone"))
		f.startSuccessor(slot, w)
	}()
}

// Drain lets a worker finish its running jobs and end. After the given time a successor with another name
// replaces it. If the time is negative, no successor starts.
func (f *Fleet) Drain(slot int, successorAfter time.Duration) {
	w := f.workerAt(slot)
	w.mu.Lock()
	if w.ended || w.faults.Draining {
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	f.SetFaults(slot, func(faults *workermodel.Faults) { faults.Draining = true })
	f.publish(f.entry(w, "draining"))
	start := time.Now()
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		for {
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			idle, ended := w.model.Idle(), w.ended
			w.mu.Unlock()
			// The worker stays until discovery has reported the drain and the grace has passed, so that late
			// pushes to it are recorded.
			observed := time.Since(start) > time.Duration((f.experiment.Discovery.DelayMS[1]+f.experiment.Rules.DrainGraceMS)*float64(time.Millisecond))+drainMargin
			if ended || idle && observed || time.Since(start) > maxDrain {
				break
			}
		}
		w.end()
		f.publish(f.entry(w, "gone"))
		if successorAfter < 0 {
			return
		}
		if wait := successorAfter - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		f.startSuccessor(slot, w)
	}()
}

// startSuccessor starts the successor of a worker under another name.
func (f *Fleet) startSuccessor(slot int, w *worker) {
	f.mu.Lock()
	if f.workers[slot] != w { // the worker was killed and restarted in the meantime
		f.mu.Unlock()
		return
	}
	f.replacements[slot]++
	name := fmt.Sprintf("%s-%d", f.workload.Workers[slot].Name, f.replacements[slot])
	f.mu.Unlock()
	if err := f.startWorker(slot, name, true); err != nil {
		f.ledger.Add(ledger.Event{Kind: ledger.Fault, Text: err.Error()})
	}
}

// Depth holds the numbers of running and waiting jobs of the worker in a slot.
type Depth struct {
	Slot             int
	Running, Waiting int
}

// QueueDepths returns the current Depth of each slot.
func (f *Fleet) QueueDepths() []Depth {
	var depths []Depth
	for i := range f.workers {
		w := f.workerAt(i)
		w.mu.Lock()
		d := Depth{Slot: i}
		if !w.ended {
			d.Running, d.Waiting = w.model.QueueLengths()
		}
		w.mu.Unlock()
		depths = append(depths, d)
	}
	return depths
}

// Stop ends all workers.
func (f *Fleet) Stop() {
	for i := range f.workers {
		if w := f.workerAt(i); w != nil {
			w.end()
		}
	}
	f.ports.release()
}

const descriptorPause = 100 * time.Millisecond

// DescriptorShortages returns how often a worker failed to accept a connection for lack of file descriptors. If the
// number is not zero, the result of the run is void.
func (f *Fleet) DescriptorShortages() int64 { return f.descriptorShortages.Load() }

func (w *worker) accept(l net.Listener, scheduler int) {
	for {
		c, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // the listener is blocked
			time.Sleep(blockedPollInterval)
			continue
		}
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				// A shortage is counted and adds no ledger event: thousands of workers hit the limit at the
				// same time and repeatedly.
				w.fleet.descriptorShortages.Add(1)
				time.Sleep(descriptorPause)
				continue
			}
			if !errors.Is(err, net.ErrClosed) {
				w.fleet.ledger.Add(ledger.Event{Kind: ledger.Fault, Worker: w.name, Text: err.Error()})
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return
		}
		if isFiller(c) {
			c.Close()
			continue
		}
		if w.kind.Hollow {
			if scheduler = dialingScheduler(c); scheduler < 0 || scheduler >= w.fleet.experiment.Schedulers.Count {
				c.Close()
				continue
			}
		}
		w.mu.Lock()
		w.fleet.ledger.Add(ledger.Event{Kind: ledger.Dialed, Worker: w.name, Scheduler: scheduler + 1})
		w.admitted = false
		w.handleLocked(workermodel.Connected{})
		admitted := w.admitted && !w.ended
		if !admitted {
			w.mu.Unlock()
			c.Close()
			continue
		}
		conn := &schedulerConn{worker: w, scheduler: scheduler, conn: links.Wrap(c, w.fleet.links[w.slot][scheduler])}
		w.conns[conn] = true
		w.mu.Unlock()
		conn.conn.OnPeerClose(conn.onPeerClose)
		go conn.serve()
	}
}
