// Package discovery is the emulated discovery: an agent for each scheduler that gives the list of workers and a watch
// on its changes, each told late by a span drawn from the seed; silent, broken or moved when the script says so.
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

// target is a line of the list in discovery's form.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	PodGroup int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

// message is a list or its changes.
type message struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

var words = map[string]string{"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}

type change struct {
	rev int64
	at  time.Time // when this agent has it
	of  fleet.Entry
}

// Agent is discovery as one scheduler has it.
type Agent struct {
	n    int // of the scheduler, from 0
	book *ledger.Book
	addr func(slot, scheduler int) string
	rand *rand.Rand
	late [2]time.Duration
	sky  *links.Weather
	sent *meter.Meter

	mu       sync.Mutex
	changes  []change
	silent   bool
	broken   bool
	told     map[string]string
	woken    chan struct{} // closed when something has changed
	server   *http.Server
	listener net.Listener
	watches  map[int]func()
	number   int
}

// New starts the agent of a scheduler on an address of its own.
func New(n int, book *ledger.Book, addr func(slot, scheduler int) string, late [2]time.Duration, sky links.Sky, seed uint64, m *meter.Meter) (*Agent, error) {
	a := &Agent{n: n, book: book, addr: addr, late: late, rand: rand.New(rand.NewPCG(seed, uint64(n))), told: map[string]string{},
		woken: make(chan struct{}), watches: map[int]func(){}, sky: links.New(sky, seed+uint64(n)), sent: m}
	return a, a.listen()
}

func (a *Agent) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.list)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	a.mu.Lock()
	a.listener, a.server = l, s
	a.mu.Unlock()
	go s.Serve(&through{l, a})
	return nil
}

// through puts the agent's link before each connection, and counts what passes.
type through struct {
	net.Listener
	of *Agent
}

// counted is a connection from a scheduler.
type counted struct {
	net.Conn
	of *Agent
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.sent.Add(c.of.n, meter.List, 0, n, 0)
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.sent.Add(c.of.n, meter.List, n, 0, 1)
	return n, err
}

func (t *through) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !t.of.sky.Free() {
		c = links.Through(c, t.of.sky)
	}
	return counted{c, t.of}, nil
}

// Addr is where the agent listens now.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener.Addr().String()
}

// Hear takes a change of the list; the agent has it late.
func (a *Agent) Hear(e fleet.Entry, atOnce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := a.late[0] + time.Duration(a.rand.Float64()*float64(a.late[1]-a.late[0]))
	if atOnce {
		late = 0
	}
	at := time.Now().Add(late)
	if n := len(a.changes); n > 0 && at.Before(a.changes[n-1].at) {
		at = a.changes[n-1].at // a list's versions come in order
	}
	a.changes = append(a.changes, change{int64(len(a.changes) + 1), at, e})
	if late > 0 {
		time.AfterFunc(time.Until(at), a.wake)
	}
}

func (a *Agent) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.woken)
	a.woken = make(chan struct{})
}

// Silence lets the agent say nothing, or speak again.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	a.silent = on
	a.mu.Unlock()
	a.wake()
}

// Break ends all watches, and refuses new ones until it is over.
func (a *Agent) Break(on bool) {
	a.mu.Lock()
	a.broken = on
	var ends []func()
	for _, end := range a.watches {
		ends = append(ends, end)
	}
	a.mu.Unlock()
	if on {
		for _, end := range ends {
			end()
		}
	}
}

// Move goes over to a new address. The old one takes no new connection, and ends the open ones after a while.
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

// Stop ends the agent.
func (a *Agent) Stop() {
	a.mu.Lock()
	s := a.server
	a.mu.Unlock()
	s.Close()
}

// view is the list as of now: the last change of each worker that the agent has, and its version.
func (a *Agent) view(now time.Time) (rev int64, of map[string]fleet.Entry, order []string) {
	of = map[string]fleet.Entry{}
	for _, c := range a.changes {
		if c.at.After(now) {
			break
		}
		if _, ok := of[c.of.Name]; !ok {
			order = append(order, c.of.Name)
		}
		rev, of[c.of.Name] = c.rev, c.of
	}
	return rev, of, order
}

func (a *Agent) target(e fleet.Entry) target {
	t := target{UID: e.Name, Endpoint: a.addr(e.Slot, a.n), AZ: e.Zone, Model: "m", PodGroup: e.Cell, State: words[e.State]}
	if e.Cold {
		t.BootMS = e.Boot.UnixMilli()
	}
	return t
}

// Known is the list as it is now, in the form in which a scheduler is told it at its start.
func (a *Agent) Known() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, _ := a.whole(time.Now())
	text, _ := json.Marshal(m)
	return text
}

func (a *Agent) whole(now time.Time) (message, []fleet.Entry) {
	rev, of, order := a.view(now)
	m := message{Rev: rev, All: true, Targets: []target{}}
	var all []fleet.Entry
	for _, name := range order {
		e := of[name]
		all = append(all, e)
		if e.State != "gone" {
			m.Targets = append(m.Targets, a.target(e))
		}
	}
	return m, all
}

// since are the changes after a version that the agent has by now.
func (a *Agent) since(rev int64, now time.Time) (message, []fleet.Entry) {
	m := message{Rev: rev, Targets: []target{}}
	var some []fleet.Entry
	for _, c := range a.changes[min(max(rev, 0), int64(len(a.changes))):] {
		if c.at.After(now) {
			break
		}
		m.Rev, m.Targets, some = c.rev, append(m.Targets, a.target(c.of)), append(some, c.of)
	}
	return m, some
}

// note writes down what a scheduler is told, just before it is written to it. A boot time is Unix time.
func (a *Agent) note(whole bool, of []fleet.Entry) {
	for _, e := range of {
		if a.told[e.Name] == e.State && !(whole && e.State != "ready") {
			continue
		}
		a.told[e.Name] = e.State
		a.book.Add(ledger.Event{Kind: ledger.Told, Scheduler: a.n + 1, Worker: e.Name, State: e.State})
	}
}

const beat = 2 * time.Second

// list answers the list, or a watch on it.
func (a *Agent) list(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	broken := a.broken
	a.mu.Unlock()
	if broken {
		http.Error(w, "no list", http.StatusServiceUnavailable)
		return
	}
	for a.quiet() {
		if !a.changed(r) {
			return
		}
	}
	say := json.NewEncoder(w)
	if r.URL.Query().Get("stream") != "1" {
		a.mu.Lock()
		m, all := a.whole(time.Now())
		a.note(true, all)
		a.mu.Unlock()
		say.Encode(m)
		return
	}
	rev, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	ctx, end := r.Context(), make(chan struct{})
	a.mu.Lock()
	a.number++
	n := a.number
	var once sync.Once
	a.watches[n] = func() { once.Do(func() { close(end) }) }
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.watches, n)
		a.mu.Unlock()
	}()
	first := true
	for {
		a.mu.Lock()
		now, silent, woken := time.Now(), a.silent, a.woken
		var m message
		var of []fleet.Entry
		switch {
		case silent:
		case first && (err != nil || rev <= 0 || rev > int64(len(a.changes))):
			m, of = a.whole(now)
		default:
			m, of = a.since(rev, now)
		}
		speak := !silent && (first || len(of) > 0)
		if speak {
			a.note(m.All, of)
			rev, first = m.Rev, false
		}
		a.mu.Unlock()
		if speak {
			if say.Encode(m) != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-woken:
		case <-time.After(beat):
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

// changed waits for a change, and tells whether the request still stands.
func (a *Agent) changed(r *http.Request) bool {
	a.mu.Lock()
	woken := a.woken
	a.mu.Unlock()
	select {
	case <-r.Context().Done():
		return false
	case <-woken:
		return true
	}
}
