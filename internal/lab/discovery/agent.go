// Package discovery emulates the discovery service. Each scheduler has a separate agent, which serves the
// list of workers and a watch for changes. Changes become visible after a random delay that depends on the
// seed. The workload can silence, break or move an agent.
package discovery

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"woaddyke/internal/lab/fleet"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/links"
	"woaddyke/internal/lab/meter"
)

// target is a worker in the format of the discovery service.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	PodGroup int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

// message is a snapshot of the list, with All set, or a delta.
type message struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// stateNames maps the states of a fleet.Entry to those of the discovery service.
var stateNames = map[string]string{"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}

// change is a change of the list, with its version.
type change struct {
	rev       int64
	visibleAt time.Time // when the agent shows the change
	entry     fleet.Entry
}

// Agent is the discovery service as seen by one scheduler.
type Agent struct {
	scheduler  int // index of the scheduler, from 0
	ledger     *ledger.Writer
	addr       func(slot, scheduler int) string
	rand       *rand.Rand
	delayRange [2]time.Duration
	link       *links.Link
	meter      *meter.Meter

	mu          sync.Mutex
	changes     []change
	silent      bool
	broken      bool
	reported    map[string]string
	updated     chan struct{} // closed and replaced when something has changed
	server      *http.Server
	listener    net.Listener
	cancelWatch map[int]func()
	lastWatch   int
}

// New starts the agent of a scheduler at a separate address.
func New(scheduler int, events *ledger.Writer, addr func(slot, scheduler int) string, delayRange [2]time.Duration, conditions links.Conditions, seed uint64, m *meter.Meter) (*Agent, error) {
	a := &Agent{scheduler: scheduler, ledger: events, addr: addr, delayRange: delayRange, rand: rand.New(rand.NewPCG(seed, uint64(scheduler))), reported: map[string]string{},
		updated: make(chan struct{}), cancelWatch: map[int]func(){}, link: links.New(conditions, seed+uint64(scheduler)), meter: m}
	return a, a.listen()
}

func (a *Agent) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.serveList)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	a.mu.Lock()
	a.listener, a.server = l, s
	a.mu.Unlock()
	go s.Serve(&agentListener{l, a})
	return nil
}

// agentListener wraps each connection in the agent's link and counts its bytes.
type agentListener struct {
	net.Listener
	agent *Agent
}

// countingConn counts the bytes of a connection from a scheduler.
type countingConn struct {
	net.Conn
	agent *Agent
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.agent.meter.Add(c.agent.scheduler, meter.List, 0, n, 0)
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.agent.meter.Add(c.agent.scheduler, meter.List, n, 0, 1)
	return n, err
}

func (l *agentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.agent.link.IsTransparent() {
		c = links.Wrap(c, l.agent.link)
	}
	return countingConn{c, l.agent}, nil
}

// Addr returns the current listen address.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener.Addr().String()
}

// Update adds a change of the list. The agent shows the change after a random delay, or without delay if
// immediate is set.
func (a *Agent) Update(e fleet.Entry, immediate bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delay := a.delayRange[0] + time.Duration(a.rand.Float64()*float64(a.delayRange[1]-a.delayRange[0]))
	if immediate {
		delay = 0
	}
	visibleAt := time.Now().Add(delay)
	if n := len(a.changes); n > 0 && visibleAt.Before(a.changes[n-1].visibleAt) {
		visibleAt = a.changes[n-1].visibleAt // changes become visible in the order of their versions
	}
	a.changes = append(a.changes, change{int64(len(a.changes) + 1), visibleAt, e})
	if delay > 0 {
		time.AfterFunc(time.Until(visibleAt), a.notifyWatches)
	}
}

func (a *Agent) notifyWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.updated)
	a.updated = make(chan struct{})
}

// Silence makes the agent stop or resume answering.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	a.silent = on
	a.mu.Unlock()
	a.notifyWatches()
}

// Break makes the agent reject requests, and ends all watches. Break(false) makes the agent serve requests
// again.
func (a *Agent) Break(on bool) {
	a.mu.Lock()
	a.broken = on
	var cancels []func()
	for _, cancel := range a.cancelWatch {
		cancels = append(cancels, cancel)
	}
	a.mu.Unlock()
	if on {
		for _, cancel := range cancels {
			cancel()
		}
	}
}

// Move switches to a new address. The old address accepts no new connections, and its open connections end
// after a short time.
func (a *Agent) Move() error {
	a.mu.Lock()
	l, s := a.listener, a.server
	a.mu.Unlock()
	if err := a.listen(); err != nil {
		return err
	}
	l.Close()
	time.AfterFunc(1500*time.Millisecond, func() { s.Close() })
	return nil
}

// Stop closes the agent's server.
func (a *Agent) Stop() {
	a.mu.Lock()
	s := a.server
	a.mu.Unlock()
	s.Close()
}

// latest returns the visible version, the last visible entry of each worker, and the workers' names in the
// order in which they first appeared. The agent's lock must be held.
func (a *Agent) latest(now time.Time) (rev int64, entries map[string]fleet.Entry, order []string) {
	entries = map[string]fleet.Entry{}
	for _, c := range a.changes {
		if c.visibleAt.After(now) {
			break
		}
		if _, ok := entries[c.entry.Name]; !ok {
			order = append(order, c.entry.Name)
		}
		rev, entries[c.entry.Name] = c.rev, c.entry
	}
	return rev, entries, order
}

func (a *Agent) target(e fleet.Entry) target {
	t := target{UID: e.Name, Endpoint: a.addr(e.Slot, a.scheduler), AZ: e.Zone, Model: "m", PodGroup: e.Cell, State: stateNames[e.State]}
	if e.Cold {
		t.BootMS = e.StartTime.UnixMilli()
	}
	return t
}

// Snapshot returns the current list, in the format in which a scheduler receives it at its start.
func (a *Agent) Snapshot() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, _ := a.snapshot(time.Now())
	text, _ := json.Marshal(m)
	return text
}

func (a *Agent) snapshot(now time.Time) (message, []fleet.Entry) {
	rev, entries, order := a.latest(now)
	m := message{Rev: rev, All: true, Targets: []target{}}
	var listed []fleet.Entry
	for _, name := range order {
		e := entries[name]
		listed = append(listed, e)
		if e.State != "gone" {
			m.Targets = append(m.Targets, a.target(e))
		}
	}
	return m, listed
}

// delta returns the visible changes after a version. The agent's lock must be held.
func (a *Agent) delta(rev int64, now time.Time) (message, []fleet.Entry) {
	m := message{Rev: rev, Targets: []target{}}
	var changed []fleet.Entry
	for _, c := range a.changes[min(max(rev, 0), int64(len(a.changes))):] {
		if c.visibleAt.After(now) {
			break
		}
		m.Rev, m.Targets, changed = c.rev, append(m.Targets, a.target(c.entry)), append(changed, c.entry)
	}
	return m, changed
}

// record adds a ledger event for each state that the scheduler is about to receive. It skips states that the
// scheduler already has, except those of draining and gone workers in a snapshot.
func (a *Agent) record(isSnapshot bool, entries []fleet.Entry) {
	for _, e := range entries {
		if a.reported[e.Name] == e.State && !(isSnapshot && e.State != "ready") {
			continue
		}
		a.reported[e.Name] = e.State
		a.ledger.Add(ledger.Event{Kind: ledger.WorkerStateSent, Scheduler: a.scheduler + 1, Worker: e.Name, State: e.State})
	}
}

const heartbeatInterval = 2 * time.Second

// serveList serves the list or a watch for changes.
func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	broken := a.broken
	a.mu.Unlock()
	if broken {
		http.Error(w, "no list", http.StatusServiceUnavailable)
		return
	}
	for a.quiet() {
		if !a.awaitUpdate(r) {
			return
		}
	}
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("stream") != "1" {
		a.mu.Lock()
		m, entries := a.snapshot(time.Now())
		a.record(true, entries)
		a.mu.Unlock()
		encoder.Encode(m)
		return
	}
	rev, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	ctx, canceled := r.Context(), make(chan struct{})
	a.mu.Lock()
	a.lastWatch++
	watch := a.lastWatch
	var once sync.Once
	a.cancelWatch[watch] = func() { once.Do(func() { close(canceled) }) }
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.cancelWatch, watch)
		a.mu.Unlock()
	}()
	first := true
	for {
		a.mu.Lock()
		now, silent, updated := time.Now(), a.silent, a.updated
		var m message
		var entries []fleet.Entry
		switch {
		case silent:
		case first && (err != nil || rev <= 0 || rev > int64(len(a.changes))):
			m, entries = a.snapshot(now)
		default:
			m, entries = a.delta(rev, now)
		}
		send := !silent && (first || len(entries) > 0)
		if send {
			a.record(m.All, entries)
			rev, first = m.Rev, false
		}
		a.mu.Unlock()
		if send {
			if encoder.Encode(m) != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
		select {
		case <-ctx.Done():
			return
		case <-canceled:
			return
		case <-updated:
		case <-time.After(heartbeatInterval):
			if !a.quiet() {
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
		}
	}
}

func (a *Agent) quiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent
}

// awaitUpdate waits for a change of the agent. It returns false if the request ends first.
func (a *Agent) awaitUpdate(r *http.Request) bool {
	a.mu.Lock()
	updated := a.updated
	a.mu.Unlock()
	select {
	case <-r.Context().Done():
		return false
	case <-updated:
		return true
	}
}
