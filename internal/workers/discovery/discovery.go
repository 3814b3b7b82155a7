// Package discovery reads the list of workers: it watches the list's changes, reports them, and opens the
// watch again when it breaks.
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

// Client watches the endpoint list of the discovery at one address.
type Client struct {
	notify     func(reducer.Input) // reports each message of the watch
	httpClient http.Client
	log        zerolog.Logger
	timeouts   Timeouts
	startTimes *StartTimes
	random     *rand.Rand // of Run alone

	addressChanged chan struct{}             // wakes Run
	watching       sync.Mutex                // held by the open watch
	watchedConn    atomic.Pointer[watchConn] // of the open watch, nil without one

	mu          sync.Mutex
	addr        string
	cancelWatch context.CancelFunc // ends the open watch
	revision    int64              // of workers
	workers     map[string]target  // by UID
}

// NewClient returns a client that starts from a list that is known already. The moments of its calls are
// drawn from the seed, over a span that it shares with the other schedulers.
func NewClient(
	addr string,
	known EndpointList,
	timeouts Timeouts,
	seed uint64,
	starts *StartTimes,
	notify func(reducer.Input),
	log zerolog.Logger,
) *Client {
	c := &Client{
		addr:           addr,
		notify:         notify,
		log:            log,
		timeouts:       timeouts,
		startTimes:     starts,
		random:         rand.New(rand.NewPCG(seed, 0)),
		addressChanged: make(chan struct{}, 1),
		cancelWatch:    func() {},
		httpClient: http.Client{Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext:        dialWatch(min(timeouts.Response, dialTimeout)),
		}},
	}
	known.All = true
	c.apply(context.Background(), &known)
	return c
}

// apply takes a message into the list. It does nothing and returns false where the watch that the message
// came by has been ended: a late message of the former discovery must not overwrite what the present one
// says.
func (c *Client) apply(watch context.Context, m *EndpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if watch.Err() != nil {
		return false
	}
	c.revision = m.Rev
	if m.All {
		c.workers = map[string]target{}
	}
	for _, t := range m.Targets {
		if t.State == stateDeleted {
			delete(c.workers, t.UID)
		} else {
			c.workers[t.UID] = t
		}
	}
	c.startTimes.prune(c.workers)
	return true
}

// Snapshot returns the complete list in discovery's form.
func (c *Client) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := EndpointList{Rev: c.revision, All: true, Targets: []target{}}
	for _, uid := range slices.Sorted(maps.Keys(c.workers)) {
		m.Targets = append(m.Targets, c.workers[uid])
	}
	return json.Marshal(m)
}

// SetAddress ends the open watch and opens the next one at once, at this address. Nothing that the former
// discovery sends counts any more.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr != addr {
		c.revision = 0 // versions of another discovery are not comparable: it has to send its complete list
	}
	c.addr = addr
	c.cancelWatch()
	select {
	case c.addressChanged <- struct{}{}:
	default:
	}
}

// Run watches until the context ends, and opens the watch again whenever it breaks.
func (c *Client) Run(ctx context.Context) {
	var history callHistory
	backoff := c.nextBackoff(history) // the known list serves meanwhile
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.addressChanged:
			history, backoff = callHistory{}, 0
		case <-time.After(backoff):
		}
		watchCtx := c.replaceWatch(ctx)
		startedAt := time.Now()
		alive, err := c.watch(watchCtx)
		if ctx.Err() != nil {
			return
		}
		history.addCall(call{
			alive:    alive,
			rejected: errors.Is(err, errRejected),
			idle:     errors.Is(err, errIdleTimeout),
			duration: time.Since(startedAt),
			backoff:  backoff,
		})
		backoff = c.nextBackoff(history)
		if !errors.Is(err, context.Canceled) { // SetAddress is no failure
			c.log.Warn().Err(err).Dur("again_in_ms", backoff).Msg("watch broke")
		}
	}
}

func (c *Client) nextBackoff(history callHistory) time.Duration {
	return c.timeouts.nextBackoff(history, c.random.Float64())
}

// replaceWatch ends the open watch and returns the context of the next one.
func (c *Client) replaceWatch(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWatch()
	ctx, c.cancelWatch = context.WithCancel(ctx)
	return ctx
}
