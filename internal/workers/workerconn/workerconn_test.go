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

// as is a request that is the same however much time is left.
func as(request []byte) func(time.Duration) []byte {
	return func(time.Duration) []byte { return request }
}

func pool(open int) *Pool {
	return New(Bounds{MaxOpen: open, DialTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second})
}

// push pushes once and waits for the end.
func push(p *Pool, addr string, wait time.Duration) End {
	ends := make(chan End, 1)
	p.Push(addr, "a1", as(request), time.Now().Add(wait), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
	return <-ends
}

// worker accepts connections and hands each to a function when the first request has come.
func worker(t *testing.T, serve func(net.Conn)) string {
	return fragmentpeer.Serve(t, func(c *net.TCPConn) {
		c.Read(make([]byte, 4096))
		serve(c)
	})
}

// What a worker may say, and what each proves: one read wrongly loses an op or runs it twice.
func TestWhatAnAnswerSays(t *testing.T) {
	const job = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := func(s string) string { return fmt.Sprintf("%s%x\r\n%s\n\r\n0\r\n\r\n", job, len(s)+1, s) }
	for answer, want := range map[string]outcome.Ending{
		line(`{"id":"a1","state":"done","result":"x"}`): outcome.Done,
		// One that no worker can use was taken for the worker's own error, and sent to as many as may be.
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
		p := pool(4)
		e := push(p, worker(t, func(c net.Conn) { io.WriteString(c, answer) }), 10*time.Second)
		if e.Ending != want || want == outcome.Done && string(e.Result) != "x" {
			t.Errorf("%q: %v with %q, want %v", answer, e.Ending, e.Result, want)
		}
	}
}

// A worker that was asked to change the protocol, by a header that its client sent along, and did so speaks no HTTP from there on.
func TestAConnectionThatSpeaksAnotherProtocolIsNotUsedAgain(t *testing.T) {
	p := pool(4)
	addr := worker(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
		io.Copy(io.Discard, c)
	})
	if e := push(p, addr, 10*time.Second); e.Ending.NeverRan() {
		t.Errorf("%v proves nothing", e.Ending)
	}
	if open, _ := p.Counts(); open != 0 {
		t.Errorf("%d open, %d idle", open, len(p.idleAt(addr)))
	}
}

// A silent worker must not hold an op, and a further push may start only when nothing of this one is open.
func TestASilentWorkerIsClosedBeforeTheEndIsTold(t *testing.T) {
	closed := make(chan error, 1)
	p := pool(4)
	e := push(p, worker(t, func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		closed <- err
	}), 300*time.Millisecond)
	if open, _ := p.Counts(); e.Ending != outcome.TimedOut || open != 0 {
		t.Fatalf("%v, %d open", e.Ending, open)
	}
	if err := <-closed; err != io.EOF {
		t.Fatal(err)
	}
}

// What is written to a connection that the worker has closed ends as a reset, and may have run.
func TestAConnectionThatTheWorkerClosedIsNotUsedAgain(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"id":"a1","state":"done"}`+"\n")
	}))
	defer s.Close()
	addr, p := s.Listener.Addr().String(), pool(4)
	for i, want := range []bool{true, false, true} {
		if i == 2 {
			s.CloseClientConnections()
			time.Sleep(20 * time.Millisecond)
		}
		if e := push(p, addr, 10*time.Second); e.Ending != outcome.Done || e.Dialed != want {
			t.Fatalf("push %d: %v, dialed %v", i, e.Ending, e.Dialed)
		}
		for n := 0; n < 100 && len(p.idleAt(addr)) == 0; n++ {
			time.Sleep(time.Millisecond) // the last bytes are read after the end is told
		}
		time.Sleep(reuseDelay) // before that it is not used again in any case
	}
	p.Sweep(time.Now().Add(10 * time.Second))
	if open, _ := p.Counts(); open != 0 {
		t.Fatalf("%d are kept beyond the worker's limit", open)
	}
}

func (p *Pool) idleAt(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle[addr]
}

func TestADialThatWasCalledOffIsNotWrittenTo(t *testing.T) {
	wrote := make(chan bool, 1)
	addr := worker(t, func(net.Conn) { wrote <- true })
	p := pool(4)
	limit := time.Now().Add(10 * time.Second)
	x, ctx := p.newExchange(limit)
	x.Close(true, outcome.CancelledUnsent)
	if c, e := x.connect(ctx, addr, limit); c != nil || e.Ending != outcome.CancelledUnsent {
		t.Fatalf("%v, %v", c, e.Ending)
	}
	if open, _ := p.Counts(); open != 0 {
		t.Fatalf("%d open", open)
	}
}

// Without a bound the scheduler runs out of descriptors and can't take clients any more.
func TestDescriptorsAreBounded(t *testing.T) {
	hold := make(chan bool)
	addr := worker(t, func(net.Conn) { <-hold })
	p := pool(1)
	ends := make(chan End, 1)
	x := p.Push(addr, "a1", as(request), time.Now().Add(time.Minute), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
	for open, _ := p.Counts(); open == 0; open, _ = p.Counts() {
		time.Sleep(time.Millisecond)
	}
	if e := push(p, addr, time.Second); e.Ending != outcome.NoDescriptor {
		t.Errorf("a second connection: %v", e.Ending)
	}
	x.Close(false, outcome.Cancelled)
	if e := <-ends; e.Ending != outcome.Cancelled && e.Ending != outcome.CancelledUnsent {
		t.Errorf("closed: %v", e.Ending)
	}
	close(hold)
}

func TestADeadWorkerIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if e := push(pool(1), l.Addr().String(), time.Second); e.Ending != outcome.ConnRefused {
		t.Fatal(e.Ending)
	}
}

// The head of the answer is the worker's word that it has the op: without it silence says nothing before the TTL.
func TestTheHeadOfAnAnswerIsTold(t *testing.T) {
	addr := worker(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(time.Minute)
	})
	told := make(chan JobLine, 9)
	x := pool(1).Push(addr, "a1", as(request), time.Now().Add(time.Minute), alwaysWanted, func() {}, func(l JobLine) { told <- l }, func(End) {})
	defer x.Close(false, outcome.Cancelled)
	select {
	case l := <-told:
		if l.State != "taken" || l.Progress >= 0 {
			t.Errorf("%+v", l)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was told")
	}
}
