// Package discovery is the client of the discovery service: it watches the endpoint list of the workers,
// reports each change and reopens the watch when it breaks.
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

// Client watches the endpoint list of the discovery service at one address.
type Client struct {
	notify     func(reducer.Input) // called for each list that a watch receives
	httpClient http.Client
	log        zerolog.Logger
	timeouts   Timeouts
	startTimes *StartTimes
	random     *rand.Rand // used by Run only

	addressChanged chan struct{}             // signals Run
	watchMu        sync.Mutex                // locked while a watch is open
	watchedConn    atomic.Pointer[watchConn] // connection of the open watch, nil if none

	mu          sync.Mutex
	addr        string
	cancelWatch context.CancelFunc // cancels the open watch
	revision    int64              // revision of the list in workers
	workers     map[string]target  // by UID
}

// NewClient returns a client that starts from a known endpoint list. The seed determines the jitter, which
// differs between schedulers and so spreads their calls over a period.
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

// apply applies a received snapshot or delta to the current list. It does nothing and returns false if the
// watch that received it has been cancelled: late data of the previous discovery service must not overwrite
// the list of the current service.
func (c *Client) apply(watchCtx context.Context, received *EndpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if watchCtx.Err() != nil {
		return false
	}
	c.revision = received.Rev
	if received.All {
		c.workers = map[string]target{}
	}
	for _, t := range received.Targets {
		if t.State == stateDeleted {
			delete(c.workers, t.UID)
		} else {
			c.workers[t.UID] = t
		}
	}
	c.startTimes.prune(c.workers)
	return true
}

// Snapshot returns the complete list in the JSON format of discovery.
func (c *Client) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := EndpointList{Rev: c.revision, All: true, Targets: []target{}}
	for _, uid := range slices.Sorted(maps.Keys(c.workers)) {
		m.Targets = append(m.Targets, c.workers[uid])
	}
	return json.Marshal(m)
}

// SetAddress cancels the open watch and opens the next watch immediately, at this address. Lists of the
// previous discovery service are ignored from then on.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr != addr {
		c.revision = 0 // revisions of two services are not comparable: the new one must send a snapshot
	}
	c.addr = addr
	c.cancelWatch()
	select {
	case c.addressChanged <- struct{}{}:
	default:
	}
}

// Run watches until ctx ends and reopens the watch whenever it breaks.
func (c *Client) Run(ctx context.Context) {
	var history callHistory
	backoff := c.nextBackoff(history) // the known list is used in the meantime
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
		if !errors.Is(err, context.Canceled) { // cancellation by SetAddress is not a failure
			c.log.Warn().Err(err).Dur("again_in_ms", backoff).Msg("watch broke")
		}
	}
}

func (c *Client) nextBackoff(history callHistory) time.Duration {
	return c.timeouts.nextBackoff(history, c.random.Float64())
}

// replaceWatch cancels the open watch and returns the context for the next one.
func (c *Client) replaceWatch(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWatch()
	ctx, c.cancelWatch = context.WithCancel(ctx)
	return ctx
}
