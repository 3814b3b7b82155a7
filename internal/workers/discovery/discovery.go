// Package discovery holds discovery's list of workers: it reads the list, watches its changes and connects again
// when the watch breaks.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler/reducer"
)

// errTurnedAway is a call that discovery had no time for.
var errTurnedAway = errors.New("turned away")

const deleted = "DELETED" // the state, among changes only, of a worker that has left the list

// Message is a list as discovery words it.
type Message struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	PodGroup int    `json:"pod_group"`
	Model    string `json:"model"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

// EndpointsChanged is the message as the reducer takes it.
func (m *Message) EndpointsChanged(starts *StartTimes) reducer.EndpointsChanged {
	in := reducer.EndpointsChanged{Snapshot: m.All, Revision: m.Rev}
	for i := range m.Targets {
		t := &m.Targets[i]
		if t.UID == "" {
			continue // nobody could ever be told that it has gone
		}
		in.Endpoints = append(in.Endpoints, reducer.Endpoint{Worker: t.UID, Addr: t.Endpoint, Zone: t.AZ, MachineKind: t.Model, WorkerGroup: t.PodGroup,
			Ready: t.State == "SERVING", Removed: t.State == deleted, BootID: t.BootMS, StartedAt: starts.of(t)})
	}
	return in
}

// Client is discovery at the address last given, as of one version of its list.
type Client struct {
	tell   func(reducer.Input)
	client http.Client

	watched atomic.Pointer[watchConn] // of the watch that is on, nil without one
	log     zerolog.Logger
	one     sync.Mutex // held by the watch that is on
	chance  *rand.Rand // Keep's
	spans   Timeouts
	starts  *StartTimes
	moved   chan struct{} // wakes Keep

	mu   sync.Mutex
	addr string
	end  context.CancelFunc // of the watch that is on
	rev  int64              // of the list
	list map[string]target  // by uid
}

// New makes a roster that goes on from a remembered list, and draws the moments of its calls from its seed
// over a spread that it shares with the other schedulers.
func New(addr string, known Message, spans Timeouts, seed uint64, starts *StartTimes, tell func(reducer.Input), log zerolog.Logger) *Client {
	known.All = true
	r := &Client{addr: addr, tell: tell, log: log, starts: starts, end: func() {}, moved: make(chan struct{}, 1),
		chance: rand.New(rand.NewPCG(seed, 0)), spans: spans,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: dialWatch(min(spans.Settle, dialed))}}}
	r.keep(context.Background(), &known)
	return r
}

// keep takes a message into the list, unless the watch that it came by has been ended: what the discovery of before said late
// must not stand over what the next one says.
func (r *Client) keep(on context.Context, m *Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on.Err() != nil {
		return false
	}
	if r.rev = m.Rev; m.All {
		r.list = map[string]target{}
	}
	for _, t := range m.Targets {
		if r.list[t.UID] = t; t.State == deleted {
			delete(r.list, t.UID)
		}
	}
	r.starts.forget(r.list)
	return true
}

// Snapshot is the whole list as of now, in discovery's form.
func (r *Client) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Message{Rev: r.rev, All: true, Targets: []target{}}
	for _, uid := range slices.Sorted(maps.Keys(r.list)) {
		m.Targets = append(m.Targets, r.list[uid])
	}
	return json.Marshal(m)
}

// SetAddress goes over to another address at once, also where no watch is on: the old one may tell nothing more.
func (r *Client) SetAddress(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr != addr {
		r.rev = 0 // another discovery counts as it likes: it is to tell all
	}
	r.addr = addr
	r.end()
	select {
	case r.moved <- struct{}{}:
	default:
	}
}

// Run watches until the context ends, and connects again whenever the watch breaks.
func (r *Client) Run(ctx context.Context) {
	var b broken
	wait := r.spans.again(b, r.chance.Float64()) // the remembered list serves meanwhile
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.moved:
			b, wait = broken{}, 0
		case <-time.After(wait):
		}
		r.mu.Lock()
		on := r.replace(ctx)
		r.mu.Unlock()
		began := time.Now()
		heard, err := r.watch(on)
		if ctx.Err() != nil {
			return
		}
		if heard {
			b = broken{}
		} else {
			b.failed(errors.Is(err, errTurnedAway))
		}
		b.silent, b.took, b.waited = errors.Is(err, errSilent), time.Since(began), wait
		wait = r.spans.again(b, r.chance.Float64())
		if !errors.Is(err, context.Canceled) { // a move is no break
			r.log.Warn().Err(err).Dur("again_in_ms", wait).Msg("watch broke")
		}
	}
}

// replace ends the watch that is on, with the lock held, and returns the context of the next one.
func (r *Client) replace(ctx context.Context) context.Context {
	r.end()
	ctx, r.end = context.WithCancel(ctx)
	return ctx
}
