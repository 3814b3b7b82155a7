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

// errRejected is a call that discovery had no time for.
var errRejected = errors.New("turned away")

const stateDeleted = "DELETED" // the state, among changes only, of a worker that has left the list

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
			Ready: t.State == "SERVING", Removed: t.State == stateDeleted, BootID: t.BootMS, StartedAt: starts.startedAt(t)})
	}
	return in
}

// Client is discovery at the address last given, as of one version of its list.
type Client struct {
	notify     func(reducer.Input)
	httpClient http.Client

	watchedConn    atomic.Pointer[watchConn] // of the watch that is on, nil without one
	log            zerolog.Logger
	watching       sync.Mutex // held by the watch that is on
	random         *rand.Rand // Keep's
	timeouts       Timeouts
	startTimes     *StartTimes
	addressChanged chan struct{} // wakes Keep

	mu          sync.Mutex
	addr        string
	cancelWatch context.CancelFunc // of the watch that is on
	revision    int64              // of the list
	workers     map[string]target  // by uid
}

// New makes a roster that goes on from a remembered list, and draws the moments of its calls from its seed
// over a spread that it shares with the other schedulers.
func New(addr string, known Message, spans Timeouts, seed uint64, starts *StartTimes, tell func(reducer.Input), log zerolog.Logger) *Client {
	known.All = true
	r := &Client{addr: addr, notify: tell, log: log, startTimes: starts, cancelWatch: func() {}, addressChanged: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(seed, 0)), timeouts: spans,
		httpClient: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: dialWatch(min(spans.Response, dialTimeout))}}}
	r.apply(context.Background(), &known)
	return r
}

// apply takes a message into the list, unless the watch that it came by has been ended: what the discovery of before said late
// must not stand over what the next one says.
func (r *Client) apply(on context.Context, m *Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on.Err() != nil {
		return false
	}
	if r.revision = m.Rev; m.All {
		r.workers = map[string]target{}
	}
	for _, t := range m.Targets {
		if r.workers[t.UID] = t; t.State == stateDeleted {
			delete(r.workers, t.UID)
		}
	}
	r.startTimes.prune(r.workers)
	return true
}

// Snapshot is the whole list as of now, in discovery's form.
func (r *Client) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Message{Rev: r.revision, All: true, Targets: []target{}}
	for _, uid := range slices.Sorted(maps.Keys(r.workers)) {
		m.Targets = append(m.Targets, r.workers[uid])
	}
	return json.Marshal(m)
}

// SetAddress goes over to another address at once, also where no watch is on: the old one may tell nothing more.
func (r *Client) SetAddress(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr != addr {
		r.revision = 0 // another discovery counts as it likes: it is to tell all
	}
	r.addr = addr
	r.cancelWatch()
	select {
	case r.addressChanged <- struct{}{}:
	default:
	}
}

// Run watches until the context ends, and connects again whenever the watch breaks.
func (r *Client) Run(ctx context.Context) {
	var b callHistory
	wait := r.timeouts.nextBackoff(b, r.random.Float64()) // the remembered list serves meanwhile
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.addressChanged:
			b, wait = callHistory{}, 0
		case <-time.After(wait):
		}
		r.mu.Lock()
		on := r.replaceWatch(ctx)
		r.mu.Unlock()
		began := time.Now()
		heard, err := r.watch(on)
		if ctx.Err() != nil {
			return
		}
		if heard {
			b = callHistory{}
		} else {
			b.addFailure(errors.Is(err, errRejected))
		}
		b.idle, b.duration, b.backoff = errors.Is(err, errIdleTimeout), time.Since(began), wait
		wait = r.timeouts.nextBackoff(b, r.random.Float64())
		if !errors.Is(err, context.Canceled) { // a move is no break
			r.log.Warn().Err(err).Dur("again_in_ms", wait).Msg("watch broke")
		}
	}
}

// replaceWatch ends the watch that is on, with the lock held, and returns the context of the next one.
func (r *Client) replaceWatch(ctx context.Context) context.Context {
	r.cancelWatch()
	ctx, r.cancelWatch = context.WithCancel(ctx)
	return ctx
}
