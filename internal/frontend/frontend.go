// Package frontend serves clients: it reads ops from HTTP requests, submits each to the scheduler's loop,
// and responds when the op has its one final answer.
package frontend

import (
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/workerconn"
)

const (
	// Timeouts of connections to workers.
	defaultConnectTimeout   = time.Second
	defaultKeepAliveTimeout = 10 * time.Second // of an idle connection

	// defaultDrainGrace is the time for which a worker may get attempts after its drain was announced.
	defaultDrainGrace = time.Second
)

// probeRequest asks a worker for its load.
const probeRequest = "GET /load HTTP/1.1\r\nHost: worker\r\n\r\n"

// Server is one scheduler: it serves clients over HTTP and pushes their ops to workers.
type Server struct {
	bootstrap *config.Bootstrap
	log       zerolog.Logger
	clock     clock.Clock
	metrics   *metrics.Recorder
	checker   *invariant.Checker

	settings  atomic.Pointer[settings] // the current settings
	loop      *scheduler.Loop
	workers   *workerconn.Pool
	endpoints *endpointFeed
	peers     *peerMessages

	clients   *clientconn.Pool
	proxy     *httputil.ReverseProxy
	transport *opTransport
	drain     *clientDrainer
	lifecycle lifecycle

	extraDescriptors    int // for other parts of the process
	external            externalCounts
	acceptErrorLoggedAt atomic.Pointer[time.Time] // time of the last log line about an accept error
}

// lifecycle is the state of this process between its start and its end.
type lifecycle struct {
	ready                    chan struct{} // closed once this process can serve
	hasSuccessor             atomic.Bool   // another process is replacing this one
	stoppingWithoutSuccessor atomic.Bool   // shutting down without a successor
	closeAfterResponse       atomic.Bool   // each response closes its connection
	clientsMove              atomic.Bool   // each response closes its connection, as the successor takes the clients
}

// healthy tells whether load balancers should send clients to this address. They should if there is a
// successor, which accepts on the same socket.
func (l *lifecycle) healthy() bool {
	if l.stoppingWithoutSuccessor.Load() {
		return false
	}
	return !l.closeAfterResponse.Load() || l.hasSuccessor.Load()
}

// New returns a scheduler with the given configuration.
func New(bootstrap *config.Bootstrap, log zerolog.Logger) (*Server, error) {
	return NewSuccessor(bootstrap, nil, log)
}

// NewSuccessor returns a scheduler that replaces another process. It takes the start times of workers from
// the predecessor's state; RestoreState restores the rest. The endpoint list comes from
// bootstrap.KnownWorkers, which the caller sets from the state. predecessor is nil if there is none.
func NewSuccessor(
	bootstrap *config.Bootstrap, predecessor *hotrestart.State, log zerolog.Logger,
) (*Server, error) {
	ownClock := clock.New()
	starts, err := inheritedStarts(predecessor, ownClock)
	if err != nil {
		return nil, err
	}
	cached, err := decodeCachedEndpoints(bootstrap)
	if err != nil {
		return nil, err
	}
	s := &Server{
		bootstrap: bootstrap,
		log:       log,
		clock:     ownClock,
		metrics:   metrics.New(bootstrap.Categories()),
		checker:   invariant.New(log),
		lifecycle: lifecycle{ready: make(chan struct{})},
	}
	s.settings.Store(newSettings(bootstrap, nil, time.Time{}, time.Time{}))
	s.clients = s.newClientPool()
	s.drain = &clientDrainer{clients: s.clients}
	s.workers = newWorkerPool(bootstrap)
	s.transport = s.newOpTransport()
	s.loop = scheduler.New(s.schedulerOptions())
	s.transport.loop = s.loop
	s.peers = newPeerMessages(s.loop, log)
	s.SetDescriptorLimit(bootstrap.Limits.Descriptors)
	s.SetMemoryLimit(int64(bootstrap.Limits.MemoryMB) << 20)
	s.endpoints = newEndpointFeed(bootstrap, cached, starts, s.loop, log)
	s.workers.Stale = s.endpoints.hasUnappliedUpdates
	s.proxy = s.newProxy()
	return s, nil
}

func (s *Server) newClientPool() *clientconn.Pool {
	clients := clientconn.New(0, 0) // setLimits sets both bounds
	clients.HeaderTimeout = headerTimeout
	clients.MaxBodyBytes = maxBodyBytes
	clients.OnAcceptError = s.acceptFailed
	clients.OnEnded = func(reason clientconn.Reason, addr string) {
		s.log.Debug().Str("why", string(reason)).Str("client", addr).Msg("client connection ended")
	}
	clients.OnUnanswered = func(addr string) {
		withClient := func(e *zerolog.Event) { e.Str("client", addr) }
		s.checker.Violated(invariant.ClosingRule, invariant.Unanswered, withClient)
	}
	return clients
}

func newWorkerPool(bootstrap *config.Bootstrap) *workerconn.Pool {
	return workerconn.New(workerconn.Bounds{
		DialTimeout: connectTimeout(bootstrap),
		IdleTimeout: bootstrap.Duration("bounds.keepalive", defaultKeepAliveTimeout),
	})
}

func (s *Server) schedulerOptions() scheduler.Options {
	return scheduler.Options{
		Reducer:             newReducer(s.bootstrap),
		Workers:             s.workers,
		Policy:              schedulerPolicy{settings: &s.settings, claims: &s.transport.claims},
		Checker:             s.checker,
		Metrics:             s.metrics,
		Clock:               s.clock,
		Log:                 s.log,
		ProbeRequest:        []byte(probeRequest),
		ConnectTimeout:      connectTimeout(s.bootstrap),
		DrainGrace:          drainGrace(s.bootstrap),
		SendToPeer:          func(peer int, text string) { s.peers.send(peer, text) },
		OnStep:              s.clients.Heartbeat,
		PublishWorkerCounts: s.bootstrap.Console != "",
		LogDivergence:       s.bootstrap.ShadowSettings != nil,
	}
}

func newReducer(bootstrap *config.Bootstrap) *reducer.Reducer {
	r := reducer.New(bootstrap.SeedValue, bootstrap.Settings)
	if bootstrap.ShadowSettings != nil {
		r.SetShadowSettings(bootstrap.ShadowSettings)
	}
	return r
}

func connectTimeout(bootstrap *config.Bootstrap) time.Duration {
	return bootstrap.Duration("bounds.connectTimeout", defaultConnectTimeout)
}

func drainGrace(bootstrap *config.Bootstrap) time.Duration {
	return bootstrap.Duration("safety.drainGrace", defaultDrainGrace)
}
