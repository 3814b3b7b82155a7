package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
)

// gatedScheduler is a scheduler whose one worker answers probes only when released, and records the ops that
// it receives. It rejects an op with the ID "refused", and takes 20 ms to start one with the ID "slow".
type gatedScheduler struct {
	server          *Server
	addr            string
	probed          chan bool    // a probe has arrived
	releaseProbe    chan bool    // lets the worker answer one probe
	reportedLoad    atomic.Int64 // pending and running requests in the load report; read when a probe arrives
	pushed          chan string  // the IDs of ops that the worker received
	releaseRejected chan bool    // lets the worker reject an op with the ID "refused"
}

// newGatedScheduler starts a gatedScheduler. With probes, no op is decided on before a probe is released,
// since probes may take a minute.
func newGatedScheduler(t *testing.T, cancel, probes bool) *gatedScheduler {
	return newGatedSchedulerBehind(t, cancel, probes, func(l net.Listener) net.Listener { return l })
}

// newGatedSchedulerBehind is newGatedScheduler with a wrapper around the listener and with further
// categories. Probes may take a quarter of the lowest latency objective.
func newGatedSchedulerBehind(
	t *testing.T, cancel, probes bool, wrap func(net.Listener) net.Listener, extraCategories ...any,
) *gatedScheduler {
	g := &gatedScheduler{probed: make(chan bool, 99), releaseProbe: make(chan bool), pushed: make(chan string, 9999), releaseRejected: make(chan bool)}
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			busy := g.reportedLoad.Load()
			g.probed <- true
			select {
			case <-g.releaseProbe:
			case <-r.Context().Done():
			}
			fmt.Fprintf(w, `{"pending":%d,"busy_reqs":%[1]d}`+"\n", busy)
			return
		}
		io.Copy(io.Discard, r.Body)
		g.pushed <- r.Header.Get(idHeader)
		if r.Header.Get(idHeader) == "refused" {
			select {
			case <-g.releaseRejected:
			case <-r.Context().Done():
			}
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Header.Get(idHeader) == "slow" {
			time.Sleep(20 * time.Millisecond) // the start delay by which the scheduler judges a queue
			fmt.Fprintln(w, `{"id":"slow","state":"started"}`)
		}
		writeDone(w, r.Header.Get(idHeader))
	}))
	t.Cleanup(func() {
		worker.CloseClientConnections() // a probe may still wait if the test has failed
		worker.Close()
	})
	bootstrap := testBootstrap(t, oneWorkerList(worker.Listener.Addr().String()))
	bootstrap.Settings = config.Flatten(map[string]any{
		"bounds": map[string]any{"maxPushes": 3.0, "cancel": cancel, "probes": probes, "connectTimeoutNs": 60e9},
		"report": map[string]any{"fields": []any{"pending", "busy_reqs"}, "how": "on_probe"},
		"categories": append([]any{category("look", "fragile", 300e9, 240e9),
			category("asked", "fragile", 300e9, 240e9)}, extraCategories...)})
	server, err := New(bootstrap, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	g.server = server
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	g.addr = l.Addr().String()
	go server.Serve(ctx, wrap(l), time.Second)
	return g
}

// expectOnlyLaterOps releases all probes and sends three further ops of connected clients. It fails if the
// worker receives any other op: an earlier op would arrive before these.
func (g *gatedScheduler) expectOnlyLaterOps(t *testing.T, step string) {
	t.Helper()
	go func() {
		for {
			select {
			case g.releaseProbe <- true:
			case <-t.Context().Done():
				return
			}
		}
	}()
	for k := range 3 {
		if resp, _ := post(t, g.addr, "", idHeader+": "+fmt.Sprint(step, k)); resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: an op of a connected client: %s", step, resp.Status)
		}
		if id := <-g.pushed; id != fmt.Sprint(step, k) {
			t.Errorf("%s: the op of a disconnected client was pushed: %q", step, id)
			<-g.pushed
		}
	}
}

func (g *gatedScheduler) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within 10 s; metrics %+v", what, g.server.Metrics())
		}
	}
}

func opText(id, framing string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: look\r\n%s: 250000\r\n%s", idHeader, id, categoryHeader,
		timeLeftHeader, framing)
}

// However a client disconnects while its op waits for probes, the disconnect must be detected and
// counted, and the op must not be pushed. Formerly the disconnect of a client that had sent a byte of another
// request was not detected: http.Server stops reading from the connection once it has that byte.
func TestNoOpIsPushedAfterItsClientDisconnected(t *testing.T) {
	const empty, chunked = "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		framing, then string
		disconnect    func(*net.TCPConn)
	}{
		"shuts its sending down":           {empty, "", func(c *net.TCPConn) { c.CloseWrite() }},
		"closes":                           {empty, "", func(c *net.TCPConn) { c.Close() }},
		"resets":                           {empty, "", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"closes after a body":              {"Content-Length: 3\r\n\r\nabc", "", func(c *net.TCPConn) { c.Close() }},
		"closes after chunks":              {chunked, "", func(c *net.TCPConn) { c.Close() }},
		"closes after a further byte":      {empty, "P", func(c *net.TCPConn) { c.Close() }},
		"closes after a body and a byte":   {"Content-Length: 3\r\n\r\nabc", "P", func(c *net.TCPConn) { c.Close() }},
		"closes after chunks and a byte":   {chunked, "P", func(c *net.TCPConn) { c.Close() }},
		"shuts down after a further byte":  {empty, "P", func(c *net.TCPConn) { c.CloseWrite() }},
		"resets after a further byte":      {empty, "P", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"closes after another request":     {empty, opText("next", empty), func(c *net.TCPConn) { c.Close() }},
		"closes after one longer than 4 K": {empty, opText("next", "Content-Length: 9000\r\n\r\n"+string(make([]byte, 9000))), func(c *net.TCPConn) { c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGatedScheduler(t, true, true)
			nc, err := net.Dial("tcp", g.addr)
			if err != nil {
				t.Fatal(err)
			}
			c := nc.(*net.TCPConn)
			defer c.Close()
			fmt.Fprint(c, opText("left", test.framing))
			<-g.probed // the op waits for its probe
			io.WriteString(c, test.then)
			test.disconnect(c)
			g.await(t, "the disconnect is detected", func() bool {
				m := g.server.Metrics()
				return m.OpsInFlight == 0 && m.Requests["look"].Disconnected >= 1 && m.Requests["look"].Failed+m.Requests["look"].Rejected == 0
			})
			g.expectOnlyLaterOps(t, "later ")
		})
	}
}

// A pipelined request, which arrives before the answer to the previous request, must be served unchanged
// after that answer.
func TestAPipelinedRequestIsServedAfterTheOneBeforeIt(t *testing.T) {
	g := newGatedScheduler(t, true, true)
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, opText("first", "Content-Length: 0\r\n\r\n"))
	<-g.probed
	fmt.Fprint(c, opText("second", "Content-Length: 3\r\n\r\nabc"))
	g.releaseProbe <- true
	if id := <-g.pushed; id != "first" {
		t.Fatal(id)
	}
	<-g.probed
	g.releaseProbe <- true
	if id := <-g.pushed; id != "second" {
		t.Fatal(id)
	}
}

// An op in the inbox of a busy loop, with its client's disconnect after it in the inbox, must not be pushed.
// Formerly the loop pushed it immediately if no probe had to be awaited, before it took the disconnect.
func TestAnOpInTheInboxIsNotPushedAfterItsClientDisconnected(t *testing.T) {
	g := newGatedScheduler(t, false, false)
	busy, release := make(chan bool), make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) { busy <- true; <-release })
	<-busy
	for k, framing := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nabc"} {
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, opText(fmt.Sprint("left", k), framing))
		g.await(t, "the op is in the inbox", func() bool { return len(g.server.loop.Inbox()) > 2*k })
		c.Close()
		g.await(t, "its disconnect is in the inbox", func() bool { return len(g.server.loop.Inbox()) > 2*k+1 })
	}
	close(release)
	g.expectOnlyLaterOps(t, "later ")
}

// If a client disconnects while its op waits for space in the loop's full inbox, its handler must stop
// waiting and the loop must never get the op.
func TestAnOpThatWaitsForAFullInboxIsDroppedWithItsClient(t *testing.T) {
	g := newGatedScheduler(t, false, false)
	busy, release := make(chan bool), make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) { busy <- true; <-release })
	<-busy
	for range cap(g.server.loop.Inbox()) {
		g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) {})
	}
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, opText("left", "Content-Length: 0\r\n\r\n"))
	g.await(t, "the op is in flight", func() bool { return g.server.Metrics().OpsInFlight == 1 })
	c.Close()
	g.await(t, "the disconnect is detected", func() bool {
		m := g.server.Metrics()
		return m.OpsInFlight == 0 && m.Requests["look"].Disconnected == 1
	})
	close(release)
	g.expectOnlyLaterOps(t, "later ")
}

// A push that is still dialing when its client disconnects must not be written. Formerly it was written if
// the settings forbid cancelling. They don't apply here: not writing a push cancels nothing.
func TestNoPushIsWrittenAfterItsClientDisconnectedDuringTheDial(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			g := newGatedScheduler(t, cancel, false)
			dials, connected := make(chan bool, 9), make(chan bool)
			g.server.workers.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
				dials <- true
				select {
				case <-connected:
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				return (&net.Dialer{}).Dial(network, addr)
			}
			c, err := net.Dial("tcp", g.addr)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprint(c, opText("left", "Content-Length: 0\r\n\r\n"))
			<-dials
			c.Close()
			g.await(t, "the disconnect is detected", func() bool { return g.server.Metrics().Requests["look"].Disconnected == 1 })
			close(connected)
			g.expectOnlyLaterOps(t, "later ")
			if m := g.server.Metrics(); m.Attempts != 3 {
				t.Errorf("%d pushes are counted as written, want 3", m.Attempts)
			}
		})
	}
}

// claimsAfterDisconnect is a registry that grants a claim once the op's client has disconnected, and records
// whether the op never ran.
type claimsAfterDisconnect struct {
	ignoredOutcomes
	requested chan bool
	neverRan  chan bool
}

func (c *claimsAfterDisconnect) Claim(
	ctx context.Context, _, _ string, _ []byte, _, _ time.Duration,
) replication.ClaimDecided {
	c.requested <- true
	<-ctx.Done()
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7} // granted although the client has disconnected
}

func (c *claimsAfterDisconnect) Finish(_ uint64, neverRan bool, _ int, _ []byte) {
	c.neverRan <- neverRan
}

// If a claim is granted as its client disconnects, the op must not be pushed, and must be reported as never
// run. Formerly the op was submitted without a client, and reported as one that may have run.
func TestAClaimGrantedAfterADisconnectFinishesAsNeverRan(t *testing.T) {
	g := newGatedScheduler(t, false, false)
	registry := &claimsAfterDisconnect{requested: make(chan bool, 1), neverRan: make(chan bool, 1)}
	g.server.RequireClaims(registry, func(category string) bool { return category == "asked" })
	for k := range 12 { // the inbox has space: a select between it and the disconnect would submit half of the ops
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%s: left%d\r\n%s: asked\r\n%s: 250000\r\n\r\n", idHeader, k,
			categoryHeader, timeLeftHeader)
		<-registry.requested
		c.Close()
		if !<-registry.neverRan {
			t.Error("the op was reported as one that may have run")
		}
	}
	g.expectOnlyLaterOps(t, "later ")
}

// Sending to a loop that has ended must not block: a blocked handler would keep its process from ending.
func TestNothingBlocksOnALoopThatHasEnded(t *testing.T) {
	server, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(context.Background())
	end()
	server.loop.Run(ended)
	for range 2 * cap(server.loop.Inbox()) {
		server.loop.Send(nil)
	}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	for range 2 * cap(server.loop.Inbox()) {
		op := &pendingOp{client: context.Background()}
		if _, err := server.transport.RoundTrip(r.WithContext(context.WithValue(r.Context(), pendingOpKey{}, op))); err == nil {
			t.Fatal("an answer without a loop")
		}
	}
}

// immediateScheduler replaces the loop: it answers each op while it is submitted.
type immediateScheduler struct {
	answer func(scheduler.Submit)
	done   chan struct{}
}

func (s immediateScheduler) Submit(_ context.Context, op scheduler.Submit) error {
	s.answer(op)
	return nil
}
func (s immediateScheduler) Send(reducer.Input)    {}
func (s immediateScheduler) Done() <-chan struct{} { return s.done }

// brokenWriter is the response writer of a connection that breaks when the answer is written.
type brokenWriter struct{}

func (brokenWriter) Header() http.Header       { return http.Header{} }
func (brokenWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }
func (brokenWriter) WriteHeader(int)           {}

// The proxy panics if an answer can't be written. The metrics must then count the op as disconnected.
// Formerly they counted it as in flight forever.
func TestAnAnswerThatCannotBeWrittenCountsAsDisconnected(t *testing.T) {
	server, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	server.transport.loop = immediateScheduler{func(op scheduler.Submit) {
		op.Reply <- reducer.Respond{Verdict: reducer.Acked, Result: make([]byte, 64<<10)}
	}, nil}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	ctx := context.WithValue(r.Context(), http.ServerContextKey, &http.Server{})
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("panic with %v, want http.ErrAbortHandler so that the server closes the connection", p)
			}
		}()
		server.answer(brokenWriter{}, r.WithContext(ctx), &pendingOp{client: ctx, reply: make(chan reducer.Respond, 1)}, nil)
	}()
	if m := server.Metrics(); m.OpsInFlight != 0 || m.Other.Disconnected != 1 || m.RequestsRead != 1 {
		t.Errorf("%+v", m)
	}
}

// If an op's answer arrives together with its client's disconnect or with the loop's end, the answer
// counts, and its outcome is reported to the registry. Formerly the registry got the outcome "may have run"
// in half of such cases, and a retry with the same ID was dead-lettered.
func TestAnAnswerThatCoincidesWithADisconnectOrTheLoopsEndCounts(t *testing.T) {
	for _, loopEnds := range []bool{false, true} {
		for range 60 {
			server, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			registry := &recordedClaims{statuses: make(chan int, 1)}
			server.RequireClaims(registry, func(string) bool { return true })
			client, disconnect := context.WithCancel(context.Background())
			ended, both := make(chan struct{}), make(chan struct{})
			ctx := blockedContext{client, both}
			server.transport.loop = immediateScheduler{func(op scheduler.Submit) {
				defer close(both)
				op.Reply <- reducer.Respond{Verdict: reducer.Acked, Result: []byte("x")}
				if loopEnds {
					close(ended)
				} else {
					disconnect()
				}
			}, ended}
			op := &pendingOp{client: client, reply: make(chan reducer.Respond, 1)}
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			if resp, err := server.transport.RoundTrip(r.WithContext(context.WithValue(ctx, pendingOpKey{}, op))); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("loop ends %v: %v, %v", loopEnds, resp, err)
			}
			if status := <-registry.statuses; status != http.StatusOK {
				t.Fatalf("loop ends %v: the registry got status %d", loopEnds, status)
			}
			disconnect()
		}
	}
}

// blockedContext is a context whose Done blocks until the op's answer has arrived, and the client has
// disconnected or the loop has ended.
type blockedContext struct {
	context.Context
	unblocked chan struct{}
}

func (c blockedContext) Done() <-chan struct{} {
	<-c.unblocked
	return c.Context.Done()
}

// recordedClaims is a registry that grants every claim, and records the status of each outcome.
type recordedClaims struct {
	ignoredOutcomes
	statuses chan int
}

func (*recordedClaims) Claim(
	context.Context, string, string, []byte, time.Duration, time.Duration,
) replication.ClaimDecided {
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7}
}

func (c *recordedClaims) Finish(_ uint64, _ bool, status int, _ []byte) { c.statuses <- status }
