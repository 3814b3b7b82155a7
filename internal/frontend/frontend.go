// Package frontend serves clients: it takes ops over HTTP, submits each to the scheduler's loop, and answers when the
// op has its one final answer.
package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httputil"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/base/spillqueue"
	"woaddyke/internal/config"
	"woaddyke/internal/frontend/clientconn"
	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/discovery"
	"woaddyke/internal/workers/workerconn"
)

const (
	descriptorsReserved    = 36                      // descriptors kept for the runtime, the listener, discovery, a file, staff and a takeover
	headerTimeout          = 1500 * time.Millisecond // for a head, and for a connection to say anything at all
	bodyTimeout            = time.Second             // for a body after that: on a whole request nobody waits for 3 s
	answerReadTimeout      = 10 * time.Second        // with a client that does not read its answer
	softClientFraction     = 0.3                     // of the descriptors are for clients; beyond them those that wait give way
	maxClientFraction      = 0.55                    // so many are for clients at the most
	workerFraction         = 0.45
	killGrace              = 600 * time.Millisecond // after the longest TTL a process that stops may be killed
	firstListTimeout       = 3 * time.Second        // for discovery's first list, before the remembered one has to do
	connectionPollInterval = 20 * time.Millisecond  // while the last connections end
	newConnectionGrace     = 60 * time.Millisecond  // one that has just come up, or was answered, may have its request on the way
	acceptErrorLogInterval = time.Second            // between two lines about failures of accept
	keepAliveFraction      = 0.6                    // of its last time it keeps connections: their clients may have no other
)

// Server is one scheduler on sockets.
type Server struct {
	bootstrap    *config.Bootstrap
	loop         *scheduler.Loop
	ops          opSubmitter // the loop, as one op sees it
	workers      *workerconn.Pool
	checker      *invariant.Checker
	clock        clock.Clock
	peers        *peerTransport            // nil without addresses in the configuration
	peerSender   func(to int, text string) // in place of peers where members carry words, nil without
	discovery    *discovery.Client
	workerStarts *discovery.StartTimes
	proxy        *httputil.ReverseProxy
	log          zerolog.Logger
	lastOp       atomic.Uint64
	unhealthy    atomic.Bool
	successor    atomic.Bool // another process takes the place of this one
	closing      atomic.Bool // answers end their connections
	ready        chan struct{}
	clients      *clientconn.Pool
	metrics      *metrics.Recorder

	peerChanges *spillqueue.Queue[scheduler.Message] // of other schedulers, to the loop

	acceptErrorLoggedAt atomic.Pointer[time.Time] // when a failure of accept was logged last

	inForce             atomic.Pointer[settings]
	reservedDescriptors int // descriptors for what runs beside it in this process
	drain               *clientDrainer
	inheritedPeerConn   *net.UDPConn                 // that of the process before, nil without one
	memberCounts        func() *metrics.MemberCounts // nil where this is no member
	lostLogLines        func() uint64                // lines of the log, nil where nobody counts
	peerDrains          *peerDrains                  // nil: only the own discovery counts
	cachedEndpoints     reducer.EndpointsChanged     // as remembered at the start
	claims              ClaimRegistry                // nil: this scheduler alone knows its ops
	claimRequired       func(category string) bool   // nil: no op needs a claim
}

// opSubmitter takes ops and answers them.
type opSubmitter interface {
	Submit(context.Context, scheduler.Submit) error
	Send(reducer.Input)
	Ended() <-chan struct{}
}

type pendingOpKey struct{}

// probeRequest asks a worker for its load.
const probeRequest = "GET /load HTTP/1.1\r\nHost: worker\r\n\r\n"

// New makes a scheduler from what it is told at its start.
func New(sheet *config.Bootstrap, log zerolog.Logger) (*Server, error) {
	return NewSuccessor(sheet, nil, log)
}

// NewSuccessor makes a scheduler that takes the place of another, from what that one handed over and its workers in the sheet; nil for one that
// takes nobody's.
func NewSuccessor(sheet *config.Bootstrap, before *hotrestart.State, log zerolog.Logger) (*Server, error) {
	now := clock.New()
	starts, err := inheritedStarts(before, now)
	if err != nil {
		return nil, err
	}
	f := &Server{bootstrap: sheet, log: log, ready: make(chan struct{}), workerStarts: starts, clock: now, checker: invariant.New(log)}
	f.clients = clientconn.New(0, 0) // limit sets both bounds
	f.clients.Failed, f.clients.HeadTime = f.acceptFailed, headerTimeout
	f.inForce.Store(newSettings(sheet, nil, time.Time{}, time.Time{}))
	f.drain = &clientDrainer{clients: f.clients}
	f.metrics = metrics.New(sheet.Categories())
	dial := sheet.Duration("bounds.connectTimeout", time.Second)
	f.workers = workerconn.New(workerconn.Bounds{Dial: dial, Idle: sheet.Duration("bounds.keepalive", 10*time.Second)})
	decisions := reducer.New(sheet.SeedValue, sheet.Settings)
	if sheet.ShadowSettings != nil {
		decisions.SetShadowSettings(sheet.ShadowSettings)
	}
	f.loop = scheduler.New(scheduler.Options{
		Reducer:        decisions,
		Workers:        f.workers,
		Policy:         settingsInForce{f},
		Checker:        f.checker,
		Metrics:        f.metrics,
		Clock:          now,
		Log:            log,
		ProbeRequest:   []byte(probeRequest),
		ConnectTimeout: dial,
		DrainGrace:     sheet.Duration("safety.drainGrace", time.Second),
		SendToPeer:     f.sendToPeer,
		OnStep:         f.clients.Runs,
		PublishWorkers: sheet.Console != "",
		LogDivergence:  sheet.ShadowSettings != nil,
	})
	f.ops = f.loop
	f.peerChanges = spillqueue.New(f.loop.Inbox(), f.loop.Ended())
	f.clients.Ended = func(why clientconn.Reason, addr string) {
		log.Debug().Str("why", string(why)).Str("client", addr).Msg("client's connection ends")
	}
	f.clients.Unanswered = func(addr string) {
		f.checker.Violated(invariant.Closing, invariant.Unanswered, func(e *zerolog.Event) { e.Str("client", addr) })
	}
	f.Limit(sheet.Limits.Sockets)
	var known discovery.Message
	if len(sheet.KnownWorkers) > 0 {
		if err := json.Unmarshal(sheet.KnownWorkers, &known); err != nil {
			return nil, fmt.Errorf("known workers: %w", err)
		}
	}
	list := known.EndpointsChanged(starts)
	list.Snapshot, list.Cached = true, true
	f.loop.Send(list)
	f.cachedEndpoints = list
	spans := discovery.TimeoutsFor(sheet.Settings["discovery"] != "on_request", sheet.Schedulers(), sheet.Duration("safety.drainGrace", time.Second))
	f.discovery = discovery.New(sheet.Discovery, known, spans, sheet.SeedValue, starts, f.endpointsChanged, log)
	f.workers.Stale = f.hasUnreadLists
	f.proxy = &httputil.ReverseProxy{
		Transport:  f,
		Rewrite:    func(r *httputil.ProxyRequest) { r.Out.URL.RawQuery = r.In.URL.RawQuery },
		BufferPool: &bufferPool{},
		ModifyResponse: func(r *http.Response) error {
			f.closeAfter(r.Request.Context(), r.Header, r.StatusCode)
			return nil
		},
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			if r.Context().Err() == nil {
				log.Error().Err(err).Msg("no answer from the loop")
			}
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	return f, nil
}

// Serve takes ops until the context ends, and then answers what it has taken within the time given.
func (f *Server) Serve(ctx context.Context, l net.Listener, within time.Duration) error {
	watching, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	if p := f.bootstrap.Peers; p != nil {
		var err error
		if f.peers, err = newPeerTransport(p, f.inheritedPeerConn, f.log); err != nil {
			return err
		}
		defer f.peers.conn.Close()
		go f.peers.receive(f.loop.Send)
	}
	go f.discovery.Run(watching)
	running, quit := context.WithCancel(context.Background())
	defer func() {
		quit()
		<-f.loop.Ended() // its last counts are logged by then
	}()
	go f.loop.Run(running)
	if f.peerDrains != nil {
		go f.peerDrains.run(running)
	}
	s := &http.Server{Handler: f, ConnState: f.clients.Track, ConnContext: clientconn.With, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: 5 * time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: stdlog.New(f.log.With().Str("level", "warn").Logger(), "", 0)}
	failed := make(chan error, 1)
	f.clients.Listener = l
	go func() { failed <- s.Serve(f.clients) }()
	go func() {
		select {
		case <-f.loop.Listed():
		case <-time.After(firstListTimeout):
		}
		close(f.ready)
	}()
	f.log.Info().Str("name", f.bootstrap.Name).Str("listen", f.bootstrap.Listen).Int("most_clients", f.clients.Most()).
		Msg("serving")
	select {
	case err := <-failed:
		// Nobody can come any more. What is held is owed its answers still.
		f.log.Error().Err(err).Msg("accepting has ended")
		f.stop(s, within)
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	f.stop(s, within)
	return nil
}

// hasUnreadLists tells whether discovery has told something that the loop has not taken up yet. What a push was decided by may hold no more. It
// follows the way of a list: one that has left the one place when that is asked is in the next by then.
func (f *Server) hasUnreadLists() bool {
	return f.discovery.HasUnreadData() || f.loop.HasUnappliedLists()
}

// acceptFailed counts a failure of accept that is waited out, and says so at a bounded rate.
func (f *Server) acceptFailed(err error) {
	n := f.metrics.AcceptFailed()
	now := time.Now()
	if last := f.acceptErrorLoggedAt.Load(); last != nil && now.Sub(*last) < acceptErrorLogInterval {
		return
	}
	f.acceptErrorLoggedAt.Store(&now)
	f.log.Warn().Err(err).Int("failures", n).Msg("accept fails")
}

// Metrics are what staff read. They wait for nothing.
func (f *Server) Metrics() metrics.Metrics {
	x := f.metrics.Snapshot()
	if f.memberCounts != nil {
		x.Members = f.memberCounts()
	}
	x.Violations, x.Goroutines = f.checker.Counts(), runtime.NumGoroutine()
	if f.lostLogLines != nil {
		x.LogLinesLost = f.lostLogLines()
	}
	return x
}

// SetMemberCounts has the figures tell of the other schedulers. It is called before Serve.
func (f *Server) SetMemberCounts(others func() *metrics.MemberCounts) { f.memberCounts = others }

// SetLostLogLines has the figures tell of lines of the log that were lost. It is called before Serve.
func (f *Server) SetLostLogLines(lost func() uint64) { f.lostLogLines = lost }

// Ready is closed when this process can serve: it takes clients, and discovery has told it of the workers. One whose
// discovery says nothing serves by the list that it remembers.
func (f *Server) Ready() <-chan struct{} { return f.ready }

// stop answers all that was taken. Connections go on being accepted and used for a while: what a client wrote to
// one that the machine had accepted counts as taken, and the scheduler that it would turn to may be down still. With an
// heir, that one accepts from the same socket, so this process does no more, and no client need be sent away.
func (f *Server) stop(s *http.Server, within time.Duration) {
	within = min(within, f.inForce.Load().LongestTTL()) + killGrace/3
	by := time.Now().Add(within)
	heir := f.successor.Load()
	f.unhealthy.Store(!heir)
	f.closing.Store(heir)
	f.log.Info().Time("by", by).Bool("heir", heir).Msg("stopping")
	last := reducer.ShutdownStarted{Deadline: config.RoundDown(f.clock.Nanos(by))}
	f.loop.Send(last)
	defer time.AfterFunc(time.Until(by), func() { f.loop.Send(last) }).Stop()
	leaves := time.Now().Add(time.Duration(keepAliveFraction * float64(within)))
	if heir {
		f.clients.Pause()
		f.peers.stopReceiving()
	}
	f.drainConnections(leaves, by.Add(killGrace/3))
	// Only now: from its beginning on it drops a request that it has read a moment ago, and closes connections on which one has begun.
	ctx, cancel := context.WithDeadline(context.Background(), by.Add(killGrace/3))
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		f.log.Warn().Err(err).Msg("connections were left open")
	}
	open, dialed := f.workers.Counts()
	f.log.Info().Int("open", open).Int("dialed", dialed).Interface("violations", f.checker.Counts()).Msg("stopped")
}

// drainConnections has all clients gone: from a moment on each answer ends its connection, and those that wait for a request are told that
// their wait is over. Without an heir it goes on accepting to the end: what a client wrote to a connection that the machine
// accepted is taken. An heir may die meanwhile: then this process has none. It returns when nothing is open, or at the last moment.
func (f *Server) drainConnections(from, last time.Time) {
	for empty := 0; empty < 2 && time.Now().Before(last); time.Sleep(connectionPollInterval) {
		if time.Now().After(from) {
			f.closing.Store(true)
			f.clients.Part(f.clients.Count(), newConnectionGrace)
		}
		if (f.successor.Load() || time.Now().After(from)) && f.clients.Sockets() == 0 {
			empty++ // one that was accepted between two looks is seen at the second
		} else {
			empty = 0
		}
	}
}

// ServeHTTP answers health checks, takes ops and turns away what is none.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	control := http.NewResponseController(w)
	control.SetWriteDeadline(came.Add(answerReadTimeout))
	if r.ContentLength != 0 {
		control.SetReadDeadline(came.Add(bodyTimeout)) // the server itself would wait for the rest of what is refused
	} // without a body the watch for the client's end is on already, and has no deadline
	if len(r.TransferEncoding) > 0 && !clientconn.OnlyChunked(r.Context()) {
		// net/http has dropped a Content-Length beside it. A peer that went by that one would take what follows the
		// last chunk for body, so nothing more may be read from this connection (RFC 9112, 6.1).
		f.answer(w, r, nil, &Rejection{http.StatusLengthRequired, "an op comes with a Content-Length or in chunks, not with both", true})
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		f.health(w, r)
		return
	}
	h, no := f.readOp(w, r, came)
	if no == nil && !f.drain.admits(time.Now()) {
		w.Header().Set("Retry-After", "0") // to another scheduler, at once
		no = &Rejection{status: http.StatusServiceUnavailable, text: "clients are sent away"}
	}
	f.answer(w, r, h, no)
}

// answer answers a request, which is an op or is refused, and counts it.
func (f *Server) answer(w http.ResponseWriter, r *http.Request, h *pendingOp, no *Rejection) {
	f.metrics.RequestStarted()
	said, end := &recordedResponse{ResponseWriter: w}, metrics.Disconnected // as it stays where the proxy has the server drop the connection, by a panic
	defer func() { f.metrics.RequestEnded(r.Header.Get(categoryHeader), end) }()
	if no == nil {
		r.Body = http.NoBody
		f.proxy.ServeHTTP(said, r.WithContext(context.WithValue(r.Context(), pendingOpKey{}, h)))
	} else {
		f.reject(said, r, no)
	}
	end = said.finish(r.Context())
}

// recordedResponse keeps the status of an answer, whoever worded it.
type recordedResponse struct {
	http.ResponseWriter
	status int
}

func (a *recordedResponse) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (a *recordedResponse) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// finish writes what is left of an answer and tells what it was for its client.
func (a *recordedResponse) finish(ctx context.Context) metrics.RequestEnd {
	left := ctx.Err() // what leaves later has had its answer
	if err := http.NewResponseController(a).Flush(); err != nil || left != nil {
		return metrics.Disconnected
	}
	switch a.status {
	case http.StatusOK:
		return metrics.Succeeded
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return metrics.Rejected
	}
	return metrics.Failed
}

// health tells whoever deals out clients whether to send them here.
func (f *Server) health(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if f.unhealthy.Load() || f.closing.Load() && !f.successor.Load() || f.drain.draining() {
		status = http.StatusServiceUnavailable
	}
	f.closeAfter(r.Context(), w.Header(), status)
	w.WriteHeader(status)
}

// closeAfter ends the connection of a request that is at fault: so may be what follows it. While clients are to leave, it ends any with
// its answer: one that is closed between requests may cross the next one. What was read behind the request is answered first.
func (f *Server) closeAfter(client context.Context, h http.Header, status int) {
	if (status/100 == 4 || f.closing.Load() || f.drain.draining()) && !clientconn.More(client) {
		h.Set("Connection", "close")
	}
}

// reject tells a client that its request is no op.
func (f *Server) reject(w http.ResponseWriter, r *http.Request, no *Rejection) {
	f.log.Debug().Str("error", no.text).Int("status", no.status).Msg("no op")
	if no.restUnread {
		clientconn.Forfeit(r.Context())
		w.Header().Set("Connection", "close")
	}
	f.closeAfter(r.Context(), w.Header(), no.status)
	http.Error(w, no.text, no.status)
}

// RoundTrip hands an op to the loop and waits for its one answer. http.Transport would send an op with an
// Idempotency-Key again by itself, and dial connections that nobody asked for.
func (f *Server) RoundTrip(r *http.Request) (*http.Response, error) {
	h, ok := r.Context().Value(pendingOpKey{}).(*pendingOp)
	if !ok {
		return nil, errors.New("a request that holds no op")
	}
	if f.claims != nil {
		h.Effect = f.CategoryEffect(h.Category) // that it is asked for by, or not
		if f.claimRequired(h.Category) {
			if no := f.claim(r, h); no != nil {
				return no, nil
			}
		}
	}
	h.Op, h.request.Head = f.lastOp.Add(1), requestHead(r, h)
	if err := f.ops.Submit(h.client, h.submission()); err != nil {
		if h.claimID != 0 {
			f.claims.Finish(h.claimID, true, 0, nil)
		}
		return nil, err
	}
	select {
	case a := <-h.reply:
		return f.finalResponse(r, h, a), nil
	case <-r.Context().Done():
		f.ops.Send(reducer.ClientDisconnected{Op: h.Op})
	case <-f.ops.Ended():
	}
	select {
	case a := <-h.reply: // it came in the same instant
		return f.finalResponse(r, h, a), nil
	default:
	}
	if h.claimID != 0 {
		f.claims.Finish(h.claimID, false, 0, nil) // it may have run; nobody knows
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return nil, scheduler.ErrEnded
}

// finalResponse is an op's one answer as it goes to its client.
func (f *Server) finalResponse(r *http.Request, h *pendingOp, a reducer.Respond) *http.Response {
	if a.Verdict == reducer.Acked {
		f.clients.Served(r.Context())
	}
	if h.claimID != 0 {
		f.reportOutcome(h, a)
	}
	return response(r, a)
}

func response(r *http.Request, a reducer.Respond) *http.Response {
	switch a.Verdict {
	case reducer.Acked:
		return textResponse(r, http.StatusOK, a.Result, 0)
	case reducer.Nacked:
		return textResponse(r, http.StatusServiceUnavailable, []byte("nacked: trying again is harmless\n"), time.Duration(a.RetryAfter)*config.Tenth)
	case reducer.UnknownCategory:
		return textResponse(r, http.StatusBadRequest, []byte("unknown category\n"), 0)
	case reducer.DuplicateID:
		return textResponse(r, http.StatusConflict, []byte("an op with this id is held already\n"), 0)
	}
	return textResponse(r, http.StatusBadGateway, []byte("dead-lettered\n"), 0)
}

// textResponse is an answer with a text, and with when to come back where there is a pause.
func textResponse(r *http.Request, status int, text []byte, pause time.Duration) *http.Response {
	resp := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: r,
		ContentLength: int64(len(text)), Body: io.NopCloser(bytes.NewReader(text))}
	resp.Header.Set("Content-Length", strconv.Itoa(len(text)))
	if pause > 0 {
		resp.Header.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 4, 64))
	}
	return resp
}

// bufferPool keeps the proxy from making a new buffer for each answer.
type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) Get() []byte {
	if v, ok := b.pool.Get().(*[]byte); ok {
		return *v
	}
	return make([]byte, 4<<10)
}

func (b *bufferPool) Put(v []byte) { b.pool.Put(&v) }
