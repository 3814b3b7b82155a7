package workerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/outcome"
)

var request = []byte("POST /api HTTP/1.1\r\nHost: w\r\nContent-Length: 0\r\n\r\n")

// fixedRequest returns a request function that ignores the remaining time.
func fixedRequest(request []byte) func(time.Duration) []byte {
	return func(time.Duration) []byte { return request }
}

func newTestPool(maxOpen int) *Pool {
	return New(Bounds{MaxOpen: maxOpen, DialTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second})
}

// pushAndWait pushes once and waits for the end.
func pushAndWait(p *Pool, addr string, timeout time.Duration) End {
	ends := make(chan End, 1)
	p.Push(addr, "a1", fixedRequest(request), time.Now().Add(timeout), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
	return <-ends
}

// serveWorker accepts connections and calls serve for each once it has received a request.
func serveWorker(t *testing.T, serve func(net.Conn)) string {
	return fragmentpeer.Serve(t, func(c *net.TCPConn) {
		c.Read(make([]byte, 4096))
		serve(c)
	})
}

// Each response of a worker has one ending. A wrong ending loses an op or runs it twice.
func TestEachResponseHasItsEnding(t *testing.T) {
	const job = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := func(s string) string { return fmt.Sprintf("%s%x\r\n%s\n\r\n0\r\n\r\n", job, len(s)+1, s) }
	for response, want := range map[string]outcome.Ending{
		line(`{"id":"a1","state":"done","result":"x"}`): outcome.Done,
		// An invalid request must not count as a server error: it was then retried on as many workers as
		// allowed.
		"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n":   outcome.Rejected,
		"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n":   outcome.ServerError,
		line(`{"id":"a1","state":"failed"}`):            outcome.Failed,
		line(`{"id":"a1","state":"returned"}`):          outcome.Returned,
		line(`{"id":"a1","state":"lost"}`):              outcome.JobKilled,
		line(`{"id":"b2","state":"done","result":"x"}`): outcome.Malformed,
		line(`{"id":"a1","state":"started"}`):           outcome.EndedEarly,
		line(`{"id":`):                                  outcome.Malformed,
		job:                                             outcome.EndedEarly,
		"":                                              outcome.EndedEarly,
		"none\r\n\r\n":                                  outcome.Malformed,
		"HTTP/1.1 100 Continue\r\n\r\n" + line(`{"id":"a1","state":"done","result":"x"}`): outcome.Done,
		"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n":                                     outcome.ServerError,
		"HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n":                                     outcome.Rejected,
		"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n":                                     outcome.ServerError,
		"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n":                 outcome.Shed,
		"HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n":                 outcome.Shed,
	} {
		p := newTestPool(4)
		e := pushAndWait(p, serveWorker(t, func(c net.Conn) { io.WriteString(c, response) }), 10*time.Second)
		if e.Ending != want || want == outcome.Done && string(e.Result) != "x" {
			t.Errorf("%q: %v with %q, want %v", response, e.Ending, e.Result, want)
		}
	}
}

// A forwarded client header may make a worker switch protocols. After that, the worker no longer speaks HTTP
// on the connection.
func TestAConnectionWithASwitchedProtocolIsNotReused(t *testing.T) {
	p := newTestPool(4)
	addr := serveWorker(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
		io.Copy(io.Discard, c)
	})
	if e := pushAndWait(p, addr, 10*time.Second); e.Ending.NeverRan() {
		t.Errorf("%v proves falsely that the push never ran", e.Ending)
	}
	if open, _ := p.Counts(); open != 0 {
		t.Errorf("%d connections open, %d idle", open, len(p.idleConns(addr)))
	}
}

// A silent worker must not block an op. The next push of the op may start only after the connection of the
// silent push is closed.
func TestASilentWorkersConnectionIsClosedBeforeTheEndIsReported(t *testing.T) {
	closed := make(chan error, 1)
	p := newTestPool(4)
	e := pushAndWait(p, serveWorker(t, func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		closed <- err
	}), 300*time.Millisecond)
	if open, _ := p.Counts(); e.Ending != outcome.TimedOut || open != 0 {
		t.Fatalf("%v, %d connections open", e.Ending, open)
	}
	if err := <-closed; err != io.EOF {
		t.Fatal(err)
	}
}

// Guards against a push on a connection that the worker has closed: it ends as Reset, which does not prove
// that the push never ran.
func TestAConnectionThatTheWorkerClosedIsNotReused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"id":"a1","state":"done"}`+"\n")
	}))
	defer s.Close()
	addr, p := s.Listener.Addr().String(), newTestPool(4)
	for i, wantDialed := range []bool{true, false, true} {
		if i == 2 {
			s.CloseClientConnections()
			time.Sleep(20 * time.Millisecond)
		}
		if e := pushAndWait(p, addr, 10*time.Second); e.Ending != outcome.Done || e.Dialed != wantDialed {
			t.Fatalf("push %d: %v, dialed %v", i, e.Ending, e.Dialed)
		}
		for n := 0; n < 100 && len(p.idleConns(addr)) == 0; n++ {
			time.Sleep(time.Millisecond) // the last bytes are read after the end is reported
		}
		time.Sleep(reuseDelay) // within this time a connection is never reused
	}
	p.Sweep(time.Now().Add(10 * time.Second))
	if open, _ := p.Counts(); open != 0 {
		t.Fatalf("%d connections open after the worker's idle timeout", open)
	}
}

func (p *Pool) idleConns(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle[addr]
}

func TestACancelledDialIsNotWrittenTo(t *testing.T) {
	received := make(chan bool, 1)
	addr := serveWorker(t, func(net.Conn) { received <- true })
	p := newTestPool(4)
	deadline := time.Now().Add(10 * time.Second)
	x, ctx := p.newExchange(deadline)
	x.Close(true, outcome.CancelledUnsent)
	if c, e := x.connect(ctx, addr, deadline); c != nil || e.Ending != outcome.CancelledUnsent {
		t.Fatalf("%v, %v", c, e.Ending)
	}
	if open, _ := p.Counts(); open != 0 {
		t.Fatalf("%d connections open", open)
	}
}

// Without a limit, the scheduler runs out of file descriptors and can't accept clients.
func TestOpenConnectionsAreBounded(t *testing.T) {
	release := make(chan bool)
	addr := serveWorker(t, func(net.Conn) { <-release })
	p := newTestPool(1)
	ends := make(chan End, 1)
	x := p.Push(addr, "a1", fixedRequest(request), time.Now().Add(time.Minute), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
	for open, _ := p.Counts(); open == 0; open, _ = p.Counts() {
		time.Sleep(time.Millisecond)
	}
	if e := pushAndWait(p, addr, time.Second); e.Ending != outcome.NoDescriptor {
		t.Errorf("second connection: %v", e.Ending)
	}
	x.Close(false, outcome.Cancelled)
	if e := <-ends; e.Ending != outcome.Cancelled && e.Ending != outcome.CancelledUnsent {
		t.Errorf("closed: %v", e.Ending)
	}
	close(release)
}

func TestADeadWorkerEndsAsConnRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if e := pushAndWait(newTestPool(1), l.Addr().String(), time.Second); e.Ending != outcome.ConnRefused {
		t.Fatal(e.Ending)
	}
}

// The response head acknowledges that the worker has the op. Without the head, a worker's silence proves
// nothing before the TTL.
func TestTheResponseHeadIsReported(t *testing.T) {
	addr := serveWorker(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(time.Minute)
	})
	lines := make(chan JobLine, 9)
	x := newTestPool(1).Push(addr, "a1", fixedRequest(request), time.Now().Add(time.Minute), alwaysWanted, func() {}, func(l JobLine) { lines <- l }, func(End) {})
	defer x.Close(false, outcome.Cancelled)
	select {
	case l := <-lines:
		if l.State != "taken" || l.Progress >= 0 {
			t.Errorf("%+v", l)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the response head was not reported")
	}
}
