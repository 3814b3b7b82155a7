package workerconn

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/outcome"
)

// readHead reads the head of one request.
func readHead(c net.Conn) bool {
	text, b := "", make([]byte, 1)
	for !strings.HasSuffix(text, "\r\n\r\n") {
		if _, err := c.Read(b); err != nil {
			return false
		}
		text += string(b)
	}
	return true
}

const unprocessedResponse = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

// Guards against a second response of a worker, some milliseconds late, that is read as the response to the
// next push on the connection: a 503 with X-Unprocessed falsely proved that the next push never ran, so its
// op was pushed again and ran twice. Here the late response is sent once the worker has received the next
// push.
func TestALateSecondResponseIsNotReadByTheNextPush(t *testing.T) {
	secondConnUsed := make(chan bool)
	var conns atomic.Int64 // the second is accepted long after the first
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		number := conns.Add(1)
		if !readHead(c) {
			return
		}
		if number > 1 {
			close(secondConnUsed)
			io.WriteString(c, chunkedResponse(`{"id":"a1","state":"done","result":"x"}`))
			return
		}
		io.WriteString(c, chunkedResponse(`{"id":"a1","state":"done","result":"x"}`))
		firstConnReused := make(chan bool)
		go func() {
			if readHead(c) {
				close(firstConnReused)
			}
		}()
		select {
		case <-firstConnReused:
		case <-secondConnUsed:
		}
		io.WriteString(c, unprocessedResponse)
		io.Copy(io.Discard, c)
	})
	p := newTestPool(4)
	p.reuseDelay = time.Hour // longer than the test, however slow the machine is
	if e := pushAndWait(p, addr, 20*time.Second); e.Ending != outcome.Done {
		t.Fatal(e.Ending)
	}
	for len(p.idleConns(addr)) == 0 {
		time.Sleep(time.Millisecond) // the last bytes are read after the end is reported
	}
	if e := pushAndWait(p, addr, 20*time.Second); e.Ending != outcome.Done || !e.Dialed {
		t.Errorf("next push: %v, dialed %v", e.Ending, e.Dialed)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if idle := p.idleConns(addr); len(idle) > 0 {
			if n, _ := Peek(idle[0].Conn); n > 0 {
				break
			}
		}
		if time.Now().After(until) {
			t.Fatal("the late response has not arrived")
		}
	}
	p.Sweep(time.Now())
	for _, c := range p.idleConns(addr) {
		if n, _ := Peek(c.Conn); n > 0 {
			t.Error("a connection with unsolicited data is still idle in the pool")
		}
	}
}

// A push reuses the connection of the probe before it, even if that connection served another push just
// before the probe. A push does not reuse a connection on which another push just ended.
func TestAPushReusesTheConnectionOfItsProbeButNotOfARecentPush(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			io.WriteString(w, "{}")
			return
		}
		io.WriteString(w, `{"id":"a1","state":"done"}`+"\n")
	}))
	defer s.Close()
	addr, p := s.Listener.Addr().String(), newTestPool(4)
	p.reuseDelay = time.Hour
	waitForIdle := func(n int) {
		t.Helper()
		for until := time.Now().Add(10 * time.Second); len(p.idleConns(addr)) != n; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%d idle connections, want %d", len(p.idleConns(addr)), n)
			}
		}
	}
	probe := func() bool {
		ends := make(chan End, 1)
		p.Probe(addr, []byte("GET /load HTTP/1.1\r\nHost: w\r\n\r\n"), time.Now().Add(20*time.Second), func(e End) { ends <- e })
		e := <-ends
		if e.Ending != outcome.Done {
			t.Fatal(e.Ending)
		}
		return e.Dialed
	}
	for step, x := range []struct {
		push, dials bool
		idleAfter   int
	}{{false, true, 1}, {true, false, 1}, {false, false, 1}, {true, true, 2}} {
		dialed := false
		if x.push {
			e := pushAndWait(p, addr, 20*time.Second)
			if dialed = e.Dialed; e.Ending != outcome.Done {
				t.Fatal(e.Ending)
			}
		} else {
			dialed = probe()
		}
		if dialed != x.dials {
			t.Errorf("step %d: dialed %v, want %v", step, dialed, x.dials)
		}
		waitForIdle(x.idleAfter)
	}
}

// writeForever writes a text repeatedly until the write fails.
func writeForever(c io.Writer, text string) {
	repeated := []byte(strings.Repeat(text, max(1, 32<<10/len(text))))
	for {
		if _, err := c.Write(repeated); err != nil {
			return
		}
	}
}

// Guards against an endless response that takes memory as fast as loopback delivers it: a scheduler with
// 64 MB was killed within the duration of a push. Each kind of endless response is limited in bytes, proves
// nothing, and ends long before its deadline.
func TestAnEndlessResponseIsBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	started := `{"id":"a1","state":"started"}` + "\n"
	for name, x := range map[string][2]string{
		"a status line":   {"HTTP/1.1 200 ", "O"},
		"a header line":   {"HTTP/1.1 200 OK\r\nX-Backend-Load: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"100 responses":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"103 responses":   {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"a chunk size":    {chunked, "0"},
		"chunk extension": {chunked + "5;", "x"},
		"empty lines":     {"HTTP/1.1 200 OK\r\n\r\n", "\n"},
		"one line":        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"starts":          {"HTTP/1.1 200 OK\r\n\r\n", started},
		"trailers":        {chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(started), started), "X-More: and more\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveWorker(t, func(c net.Conn) {
				io.WriteString(c, x[0])
				writeForever(c, x[1])
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ends, reported := make(chan End, 1), 0
			startedAt := time.Now()
			newTestPool(1).Push(addr, "a1", fixedRequest(request), startedAt.Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) { reported++ },
				func(e End) { ends <- e })
			e := <-ends
			runtime.ReadMemStats(&after)
			if e.Ending.NeverRan() || e.Ending == outcome.Done || e.Ending == outcome.TimedOut {
				t.Errorf("%v", e.Ending)
			}
			if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > 32 {
				t.Errorf("%d MB were allocated", mb)
			}
			if reported > 2+int(time.Since(startedAt)/progressInterval) {
				t.Errorf("%d job lines were reported", reported)
			}
		})
	}
	for name, text := range map[string]string{"a load report": "HTTP/1.1 200 OK\r\n\r\n", "the head of a load report": "HTTP/1.1 200 OK\r\nX: "} {
		addr := serveWorker(t, func(c net.Conn) {
			io.WriteString(c, text)
			writeForever(c, "7")
		})
		ends := make(chan End, 1)
		newTestPool(1).Probe(addr, request, time.Now().Add(20*time.Second), func(e End) { ends <- e })
		if e := <-ends; e.Ending != outcome.Malformed || len(e.Load) > 0 && e.Ending == outcome.Done {
			t.Errorf("%s: %v", name, e.Ending)
		}
	}
	// Data after the last job line is ignored: the op is done, and the connection is closed.
	addr := serveWorker(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+`{"id":"a1","state":"done","result":"x"}`+"\n")
		writeForever(c, "7")
	})
	p := newTestPool(1)
	if e := pushAndWait(p, addr, 20*time.Second); e.Ending != outcome.Done || string(e.Result) != "x" {
		t.Errorf("%v", e.Ending)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if open, _ := p.Counts(); open == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the connection is still open")
		}
	}
}

// Guards against a dial that takes longer than its limit, as in a starved process: the push was written after
// its worker group had stopped dropping duplicates, as the decision had assumed a dial within the limit.
func TestALateDialIsNotWrittenTo(t *testing.T) {
	received := make(chan int, 1)
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		n, _ := c.Read(make([]byte, 1))
		received <- n
	})
	p := New(Bounds{MaxOpen: 4, DialTimeout: time.Millisecond, IdleTimeout: 10 * time.Second})
	p.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(maxDialDelay + 10*time.Millisecond)
		return net.Dial(network, addr)
	}
	if e := pushAndWait(p, addr, 20*time.Second); e.Ending != outcome.CancelledUnsent {
		t.Errorf("%v", e.Ending)
	}
	if open, _ := p.Counts(); open != 0 || <-received > 0 {
		t.Errorf("%d connections open, or data was written", open)
	}
}

// A worker closes the connection before it reads the request, in the middle of it, or after its last byte. If
// the connection broke before the last byte was written, the push never ran; otherwise it may have run.
func TestAWorkersCloseProvesThatAPushNeverRanOnlyBeforeTheLastByte(t *testing.T) {
	large := append(append([]byte(nil), request...), make([]byte, 8<<20)...) // too large for the kernel to accept in one write
	for name, x := range map[string]struct {
		request []byte
		serve   func(*net.TCPConn)
		allowed map[outcome.Ending]bool
	}{
		"in the middle of the request": {large, func(c *net.TCPConn) {
			io.ReadFull(c, make([]byte, 1<<10))
			c.SetLinger(0)
		}, map[outcome.Ending]bool{outcome.PartiallySent: true}},
		"after the last byte, with a reset": {request, func(c *net.TCPConn) {
			readHead(c)
			c.SetLinger(0)
		}, map[outcome.Ending]bool{outcome.Reset: true}},
		"after the last byte": {request, func(c *net.TCPConn) { readHead(c) }, map[outcome.Ending]bool{outcome.EndedEarly: true}},
		"unread": {request, func(c *net.TCPConn) {
			for n := 0; n == 0; n, _ = Peek(c) {
				time.Sleep(time.Millisecond)
			}
		}, map[outcome.Ending]bool{outcome.Reset: true, outcome.EndedEarly: true}}, // the request has reached the worker's machine
		"with a response, in the middle of the request": {large, func(c *net.TCPConn) {
			io.ReadFull(c, make([]byte, 1<<10))
			io.WriteString(c, unprocessedResponse)
			c.SetLinger(0)
		}, map[outcome.Ending]bool{outcome.PartiallySent: true}},
	} {
		addr := fragmentpeer.Serve(t, x.serve)
		ends := make(chan End, 1)
		newTestPool(1).Push(addr, "a1", fixedRequest(x.request), time.Now().Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
		if e := <-ends; !x.allowed[e.Ending] {
			t.Errorf("%s: %v", name, e.Ending)
		}
	}
}

// Runs pushes, sweeps, evictions and closes concurrently: no connection serves two exchanges at a time, and
// each push gets its own response. The seed is CONNS_SEED.
func TestAConnectionServesOneExchangeAtATime(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("CONNS_SEED"), 10, 64)
	if err != nil {
		seed = 7
	}
	t.Logf("CONNS_SEED=%d", seed)
	var mu sync.Mutex
	runs := map[string]int{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		mu.Lock()
		runs[id]++
		mu.Unlock()
		io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":%q}`+"\n", id, id)
	}))
	defer s.Close()
	addr, p := s.Listener.Addr().String(), newTestPool(12)
	var all sync.WaitGroup
	for k := range 8 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(k)))
			for n := range 60 {
				id := fmt.Sprint(k, "-", n)
				ends := make(chan End, 1)
				x := p.Push(addr, id, fixedRequest([]byte("POST / HTTP/1.1\r\nHost: w\r\nX-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")), time.Now().Add(20*time.Second),
					alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
				switch random.IntN(6) {
				case 0:
					x.Close(false, outcome.Cancelled)
				case 1:
					p.Sweep(time.Now().Add(time.Duration(random.IntN(10)) * time.Second))
				case 2:
					p.SetMaxOpen(4 + random.IntN(8))
				}
				e := <-ends
				x.Close(false, outcome.Cancelled) // the exchange has ended, so another exchange may use the connection
				mu.Lock()
				ran := runs[id]
				mu.Unlock()
				switch {
				case e.Ending == outcome.Done && (string(e.Result) != id || ran != 1):
					t.Errorf("%s got %q and ran %d times", id, e.Result, ran)
				case e.Ending.NeverRan() && ran > 0:
					t.Errorf("%s: %v, but it ran", id, e.Ending)
				case e.Ending != outcome.Done && e.Ending != outcome.Cancelled && !e.Ending.NeverRan():
					t.Errorf("%s: %v", id, e.Ending)
				}
			}
		})
	}
	all.Wait()
	p.SetMaxOpen(0)
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		p.SetMaxOpen(0)
		open, _ := p.Counts()
		if open == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections are counted as open", open)
		}
	}
}
