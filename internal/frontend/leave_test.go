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

// gatedScheduler is a scheduler whose one worker answers probes only when let, and counts the ops that come.
type gatedScheduler struct {
	server          *Server
	addr            string
	probed          chan bool    // a probe has come
	releaseProbe    chan bool    // answers one
	busy            atomic.Int64 // what the answers say to be waiting and to run, as of the question
	pushed          chan string  // the ids of ops that came
	releaseRejected chan bool    // lets the worker turn away an op of the name "refused"; one of the name "slow" takes 20 ms to start
}

// newGatedScheduler starts one. Nothing is decided on an op before its worker has been let answer: probes
// may take a minute.
func newGatedScheduler(t *testing.T, cancel, probes bool) *gatedScheduler {
	return newGatedSchedulerBehind(t, cancel, probes, func(l net.Listener) net.Listener { return l })
}

// newGatedSchedulerBehind puts something before its listener, and may have it serve more categories.
// Probes may take a quarter of the least target.
func newGatedSchedulerBehind(t *testing.T, cancel, probes bool, before func(net.Listener) net.Listener, more ...any) *gatedScheduler {
	g := &gatedScheduler{probed: make(chan bool, 99), releaseProbe: make(chan bool), pushed: make(chan string, 9999), releaseRejected: make(chan bool)}
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			busy := g.busy.Load()
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
			time.Sleep(20 * time.Millisecond) // a start takes its time, by which a queue is judged
			fmt.Fprintln(w, `{"id":"slow","state":"started"}`)
		}
		writeDone(w, r.Header.Get(idHeader))
	}))
	t.Cleanup(func() {
		worker.CloseClientConnections() // a probe may wait still where a test has failed
		worker.Close()
	})
	sheet := testBootstrap(t, oneWorkerList(worker.Listener.Addr().String()))
	sheet.Settings = config.Flatten(map[string]any{
		"bounds": map[string]any{"maxPushes": 3.0, "cancel": cancel, "probes": probes, "connectTimeoutNs": 60e9},
		"report": map[string]any{"fields": []any{"pending", "busy_reqs"}, "how": "on_probe"},
		"categories": append([]any{category("look", "fragile", 300e9, 240e9),
			category("asked", "fragile", 300e9, 240e9)}, more...)})
	f, err := New(sheet, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	g.server = f
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	g.addr = l.Addr().String()
	go f.Serve(ctx, before(l), time.Second)
	return g
}

// expectNothingSent lets what is held go on, and has an op of a client that stays behind it: what was to
// be sent on before is there by then.
func (g *gatedScheduler) expectNothingSent(t *testing.T, step string) {
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
			t.Fatalf("%s: an op of a client that stays: %s", step, resp.Status)
		}
		if id := <-g.pushed; id != fmt.Sprint(step, k) {
			t.Errorf("%s: the op of a client that had left was sent on: %q", step, id)
			<-g.pushed
		}
	}
}

func (g *gatedScheduler) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: never; figures %+v", what, g.server.Metrics())
		}
	}
}

func opText(id, framing string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: look\r\n%s: 250000\r\n%s", idHeader, id, categoryHeader,
		timeLeftHeader, framing)
}

// However a client leaves while its op waits for probes, it is seen, counted as gone, and the op is not
// sent on. One that had sent a byte of a next request was not seen to leave: the server looks no more
// once it has that byte.
func TestNothingIsSentOnForAClientThatLeft(t *testing.T) {
	const empty, chunked = "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for name, x := range map[string]struct {
		framing, then string
		leave         func(*net.TCPConn)
	}{
		"ends its sending":                 {empty, "", func(c *net.TCPConn) { c.CloseWrite() }},
		"closes":                           {empty, "", func(c *net.TCPConn) { c.Close() }},
		"resets":                           {empty, "", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"closes after a body":              {"Content-Length: 3\r\n\r\nabc", "", func(c *net.TCPConn) { c.Close() }},
		"closes after chunks":              {chunked, "", func(c *net.TCPConn) { c.Close() }},
		"closes after a further byte":      {empty, "P", func(c *net.TCPConn) { c.Close() }},
		"closes after one and a body":      {"Content-Length: 3\r\n\r\nabc", "P", func(c *net.TCPConn) { c.Close() }},
		"closes after one and chunks":      {chunked, "P", func(c *net.TCPConn) { c.Close() }},
		"ends its sending after a byte":    {empty, "P", func(c *net.TCPConn) { c.CloseWrite() }},
		"resets after a further byte":      {empty, "P", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"closes after a whole next one":    {empty, opText("next", empty), func(c *net.TCPConn) { c.Close() }},
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
			fmt.Fprint(c, opText("left", x.framing))
			<-g.probed // the op waits now
			io.WriteString(c, x.then)
			x.leave(c)
			g.await(t, "seen to leave", func() bool {
				f := g.server.Metrics()
				return f.OpsInFlight == 0 && f.Requests["look"].Disconnected >= 1 && f.Requests["look"].Failed+f.Requests["look"].Rejected == 0
			})
			g.expectNothingSent(t, "behind ")
		})
	}
}

// A next request that is there before the answer to the first one is read once that is answered, as it came.
func TestARequestBehindAnotherIsServedAfterIt(t *testing.T) {
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

// An op that lay before a busy loop, with its client's leaving behind it, went to a worker at once where
// no probe is waited for.
func TestAnOpWhoseClientLeftInTheBacklogIsNotTaken(t *testing.T) {
	g := newGatedScheduler(t, false, false)
	busy, free := make(chan bool), make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) { busy <- true; <-free })
	<-busy
	for k, framing := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nabc"} {
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, opText(fmt.Sprint("left", k), framing))
		g.await(t, "the op lies before the loop", func() bool { return len(g.server.loop.Inbox()) > 2*k })
		c.Close()
		g.await(t, "its leaving too", func() bool { return len(g.server.loop.Inbox()) > 2*k+1 })
	}
	close(free)
	g.expectNothingSent(t, "behind ")
}

// A client that leaves while there is no room before the loop is waited for by nobody, and its op is
// never taken.
func TestAnOpWhoseClientLeftBeforeAFullLoopIsNotTaken(t *testing.T) {
	g := newGatedScheduler(t, false, false)
	busy, free := make(chan bool), make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) { busy <- true; <-free })
	<-busy
	for range cap(g.server.loop.Inbox()) {
		g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) {})
	}
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, opText("left", "Content-Length: 0\r\n\r\n"))
	g.await(t, "the op waits", func() bool { return g.server.Metrics().OpsInFlight == 1 })
	c.Close()
	g.await(t, "seen to leave", func() bool {
		f := g.server.Metrics()
		return f.OpsInFlight == 0 && f.Requests["look"].Disconnected == 1
	})
	close(free)
	g.expectNothingSent(t, "behind ")
}

// A push that is still dialling when its client leaves was written when the connection came up, where the
// settings allow no cancel: to keep back what is not written withdraws nothing.
func TestADialThatOutlastsItsClientIsNotWrittenTo(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			g := newGatedScheduler(t, cancel, false)
			dials, up := make(chan bool, 9), make(chan bool)
			g.server.workers.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
				dials <- true
				select {
				case <-up:
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
			g.await(t, "seen to leave", func() bool { return g.server.Metrics().Requests["look"].Disconnected == 1 })
			close(up)
			g.expectNothingSent(t, "behind ")
			if f := g.server.Metrics(); f.Attempts != 3 {
				t.Errorf("%d pushes are counted as written, of three", f.Attempts)
			}
		})
	}
}

// claimsAfterDisconnect is a registry that grants an op once its client has left, and records whether
// the op never ran.
type claimsAfterDisconnect struct {
	ignoredOutcomes
	waits chan bool
	ends  chan bool
}

func (c *claimsAfterDisconnect) Claim(
	ctx context.Context, _, _ string, _ []byte, _, _ time.Duration,
) replication.ClaimDecided {
	c.waits <- true
	<-ctx.Done()
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7} // the grant that crosses it
}

func (c *claimsAfterDisconnect) Finish(_ uint64, neverRan bool, _ int, _ []byte) { c.ends <- neverRan }

// A grant that came as the client left was spent on nobody, and its op called one that may have run.
func TestAnOpWhoseClientLeftAtTheFatesDoorIsUnsent(t *testing.T) {
	g := newGatedScheduler(t, false, false)
	by := &claimsAfterDisconnect{waits: make(chan bool, 1), ends: make(chan bool, 1)}
	g.server.RequireClaims(by, func(category string) bool { return category == "asked" })
	for k := range 12 { // the loop has room too: without the question before it, half of them are given
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%s: left%d\r\n%s: asked\r\n%s: 250000\r\n\r\n", idHeader, k,
			categoryHeader, timeLeftHeader)
		<-by.waits
		c.Close()
		if !<-by.ends {
			t.Error("it is said that it may have run")
		}
	}
	g.expectNothingSent(t, "behind ")
}

// A handler that waits for a loop that has ended would keep its process from ending.
func TestNobodyWaitsForALoopThatHasEnded(t *testing.T) {
	f, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(context.Background())
	end()
	f.loop.Run(ended)
	for range 2 * cap(f.loop.Inbox()) {
		f.loop.Send(nil)
	}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	for range 2 * cap(f.loop.Inbox()) {
		h := &pendingOp{client: context.Background()}
		if _, err := f.transport.RoundTrip(r.WithContext(context.WithValue(r.Context(), pendingOpKey{}, h))); err == nil {
			t.Fatal("an answer from nowhere")
		}
	}
}

// immediateScheduler stands in for the loop: it answers each op while that is submitted.
type immediateScheduler struct {
	answer func(scheduler.Submit)
	done   chan struct{}
}

func (a immediateScheduler) Submit(_ context.Context, op scheduler.Submit) error {
	a.answer(op)
	return nil
}
func (a immediateScheduler) Send(reducer.Input)    {}
func (a immediateScheduler) Done() <-chan struct{} { return a.done }

// brokenWriter is a client's connection that breaks under the answer.
type brokenWriter struct{}

func (brokenWriter) Header() http.Header       { return http.Header{} }
func (brokenWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }
func (brokenWriter) WriteHeader(int)           {}

// The proxy gives up by a panic where an answer can't be written, and the op stood in the figures as in
// flight for good.
func TestAnAnswerThatCanNotBeWrittenIsCountedAsGone(t *testing.T) {
	f, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	f.transport.loop = immediateScheduler{func(op scheduler.Submit) {
		op.Reply <- reducer.Respond{Verdict: reducer.Acked, Result: make([]byte, 64<<10)}
	}, nil}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	ctx := context.WithValue(r.Context(), http.ServerContextKey, &http.Server{})
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("the server is to drop the connection: %v", p)
			}
		}()
		f.answer(brokenWriter{}, r.WithContext(ctx), &pendingOp{client: ctx, reply: make(chan reducer.Respond, 1)}, nil)
	}()
	if x := f.Metrics(); x.OpsInFlight != 0 || x.Other.Disconnected != 1 || x.RequestsRead != 1 {
		t.Errorf("%+v", x)
	}
}

// An op's answer and its client's leaving, or the loop's end, in one instant: the answer stands, and the
// registry is told of its result. Half of such were told that the op may have run, and a repeat under its
// id was a dead letter.
func TestAnAnswerThatCrossesTheLeavingStands(t *testing.T) {
	for _, loopEnds := range []bool{false, true} {
		for range 60 {
			f, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			by := &recordedClaims{ends: make(chan int, 1)}
			f.RequireClaims(by, func(string) bool { return true })
			plain, leave := context.WithCancel(context.Background())
			ended, both := make(chan struct{}), make(chan struct{})
			ctx := blockedContext{plain, both}
			f.transport.loop = immediateScheduler{func(op scheduler.Submit) {
				defer close(both)
				op.Reply <- reducer.Respond{Verdict: reducer.Acked, Result: []byte("x")}
				if loopEnds {
					close(ended)
				} else {
					leave()
				}
			}, ended}
			h := &pendingOp{client: plain, reply: make(chan reducer.Respond, 1)}
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			if resp, err := f.transport.RoundTrip(r.WithContext(context.WithValue(ctx, pendingOpKey{}, h))); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("loop ends %v: %v, %v", loopEnds, resp, err)
			}
			if status := <-by.ends; status != http.StatusOK {
				t.Fatalf("loop ends %v: the registry is told of %d", loopEnds, status)
			}
			leave()
		}
	}
}

// blockedContext is a context that is waited on only once two things have happened.
type blockedContext struct {
	context.Context
	both chan struct{}
}

func (c blockedContext) Done() <-chan struct{} {
	<-c.both
	return c.Context.Done()
}

// recordedClaims is a registry that grants all, and records the status of each outcome.
type recordedClaims struct {
	ignoredOutcomes
	ends chan int
}

func (*recordedClaims) Claim(
	context.Context, string, string, []byte, time.Duration, time.Duration,
) replication.ClaimDecided {
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7}
}

func (c *recordedClaims) Finish(_ uint64, _ bool, status int, _ []byte) { c.ends <- status }
