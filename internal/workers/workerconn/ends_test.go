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

// head reads one request's head.
func head(c net.Conn) bool {
	text, b := "", make([]byte, 1)
	for !strings.HasSuffix(text, "\r\n\r\n") {
		if _, err := c.Read(b); err != nil {
			return false
		}
		text += string(b)
	}
	return true
}

const full = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

// A worker's second answer, some milliseconds late, was read as that to the next push on the connection: a 503 that says unprocessed
// proved falsely that this one never ran, and it ran twice. Forced: the late answer comes once the next push has reached the worker,
// on whichever connection.
func TestALateSecondAnswerIsNotTheNextPushs(t *testing.T) {
	began := make(chan bool)
	var n atomic.Int64 // connections: the second is accepted long after the first
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		mine := n.Add(1)
		if !head(c) {
			return
		}
		if mine > 1 {
			close(began)
			io.WriteString(c, stream(`{"id":"a1","state":"done","result":"x"}`))
			return
		}
		io.WriteString(c, stream(`{"id":"a1","state":"done","result":"x"}`))
		next := make(chan bool)
		go func() {
			if head(c) {
				close(next)
			}
		}()
		select {
		case <-next:
		case <-began:
		}
		io.WriteString(c, full)
		io.Copy(io.Discard, c)
	})
	p := pool(4)
	p.reuseDelay = time.Hour // however slow this machine is
	if e := push(p, addr, 20*time.Second); e.Ending != outcome.Done {
		t.Fatal(e.Ending)
	}
	for len(p.idleAt(addr)) == 0 {
		time.Sleep(time.Millisecond) // the last bytes are read after the end is told
	}
	if e := push(p, addr, 20*time.Second); e.Ending != outcome.Done || !e.Dialed {
		t.Errorf("the next push: %v, dialed %v", e.Ending, e.Dialed)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if few := p.idleAt(addr); len(few) > 0 {
			if k, _ := Peek(few[0].Conn); k > 0 {
				break
			}
		}
		if time.Now().After(until) {
			t.Fatal("the late answer has not come")
		}
	}
	p.Sweep(time.Now())
	for _, c := range p.idleAt(addr) {
		if k, _ := Peek(c.Conn); k > 0 {
			t.Error("a connection that has said something unasked is kept")
		}
	}
}

// A push goes over the connection of the probe that it follows, also where that one was used for a push a moment before the probe, but
// not over one whose last push ended a moment ago.
func TestAPushFollowsItsProbeAndNotAnotherPush(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			io.WriteString(w, "{}")
			return
		}
		io.WriteString(w, `{"id":"a1","state":"done"}`+"\n")
	}))
	defer s.Close()
	addr, p := s.Listener.Addr().String(), pool(4)
	p.reuseDelay = time.Hour
	idle := func(n int) {
		t.Helper()
		for until := time.Now().Add(10 * time.Second); len(p.idleAt(addr)) != n; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%d idle, not %d", len(p.idleAt(addr)), n)
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
		idle        int
	}{{false, true, 1}, {true, false, 1}, {false, false, 1}, {true, true, 2}} {
		dialed := false
		if x.push {
			e := push(p, addr, 20*time.Second)
			if dialed = e.Dialed; e.Ending != outcome.Done {
				t.Fatal(e.Ending)
			}
		} else {
			dialed = probe()
		}
		if dialed != x.dials {
			t.Errorf("step %d: dialed %v", step, dialed)
		}
		idle(x.idle)
	}
}

// forever writes a text again and again.
func forever(c io.Writer, text string) {
	many := []byte(strings.Repeat(text, max(1, 32<<10/len(text))))
	for {
		if _, err := c.Write(many); err != nil {
			return
		}
	}
}

// An answer that never ends took memory as fast as loopback brings it: a scheduler of 64 MB was killed within a push's time. Each
// has a bound in bytes, proves nothing, and ends long before its time does.
func TestAnAnswerWithoutAnEndIsBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	started := `{"id":"a1","state":"started"}` + "\n"
	for name, x := range map[string][2]string{
		"a status line":    {"HTTP/1.1 200 ", "O"},
		"a head's line":    {"HTTP/1.1 200 OK\r\nX-Backend-Load: ", "x"},
		"a head":           {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"interim answers":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":      {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"a chunk's length": {chunked, "0"},
		"an extension":     {chunked + "5;", "x"},
		"empty lines":      {"HTTP/1.1 200 OK\r\n\r\n", "\n"},
		"one line":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"starts":           {"HTTP/1.1 200 OK\r\n\r\n", started},
		"trailers":         {chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(started), started), "X-More: and more\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := worker(t, func(c net.Conn) {
				io.WriteString(c, x[0])
				forever(c, x[1])
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ends, notes := make(chan End, 1), 0
			began := time.Now()
			pool(1).Push(addr, "a1", as(request), began.Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) { notes++ },
				func(e End) { ends <- e })
			e := <-ends
			runtime.ReadMemStats(&after)
			if e.Ending.NeverRan() || e.Ending == outcome.Done || e.Ending == outcome.TimedOut {
				t.Errorf("%v", e.Ending)
			}
			if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > 32 {
				t.Errorf("%d MB were taken", mb)
			}
			if notes > 2+int(time.Since(began)/progressInterval) {
				t.Errorf("%d notes were passed on", notes)
			}
		})
	}
	for name, text := range map[string]string{"a load": "HTTP/1.1 200 OK\r\n\r\n", "a load's head": "HTTP/1.1 200 OK\r\nX: "} {
		addr := worker(t, func(c net.Conn) {
			io.WriteString(c, text)
			forever(c, "7")
		})
		ends := make(chan End, 1)
		pool(1).Probe(addr, request, time.Now().Add(20*time.Second), func(e End) { ends <- e })
		if e := <-ends; e.Ending != outcome.Malformed || len(e.Load) > 0 && e.Ending == outcome.Done {
			t.Errorf("%s: %v", name, e.Ending)
		}
	}
	// A body behind the last line, and more behind that, are the worker's own affair: the op is done, the connection is not kept.
	addr := worker(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+`{"id":"a1","state":"done","result":"x"}`+"\n")
		forever(c, "7")
	})
	p := pool(1)
	if e := push(p, addr, 20*time.Second); e.Ending != outcome.Done || string(e.Result) != "x" {
		t.Errorf("%v", e.Ending)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if open, _ := p.Counts(); open == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("it is kept")
		}
	}
}

// A push whose dial came up later than the bound, as in a process that is starved, was written after its group had ceased to drop
// repeats: what decided on it reckoned with a dial.
func TestADialThatCameUpLateIsNotWrittenTo(t *testing.T) {
	wrote := make(chan int, 1)
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		n, _ := c.Read(make([]byte, 1))
		wrote <- n
	})
	p := New(Bounds{MaxOpen: 4, DialTimeout: time.Millisecond, IdleTimeout: 10 * time.Second})
	p.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(maxDialDelay + 10*time.Millisecond)
		return net.Dial(network, addr)
	}
	if e := push(p, addr, 20*time.Second); e.Ending != outcome.CancelledUnsent {
		t.Errorf("%v", e.Ending)
	}
	if open, _ := p.Counts(); open != 0 || <-wrote > 0 {
		t.Errorf("%d open, or something was written", open)
	}
}

// A worker that closes at an instant of its own choosing: before a byte of the request is read, in the middle of it, after the last.
// What broke before the last byte was written never ran; all else may have.
func TestACloseAtEachInstantProvesNoMoreThanItCan(t *testing.T) {
	large := append(append([]byte(nil), request...), make([]byte, 8<<20)...) // more than the kernel takes: the write is still on
	for name, x := range map[string]struct {
		request []byte
		serve   func(*net.TCPConn)
		may     map[outcome.Ending]bool
	}{
		"in the middle of the request": {large, func(c *net.TCPConn) {
			io.ReadFull(c, make([]byte, 1<<10))
			c.SetLinger(0)
		}, map[outcome.Ending]bool{outcome.PartiallySent: true}},
		"at the last byte, with a reset": {request, func(c *net.TCPConn) {
			head(c)
			c.SetLinger(0)
		}, map[outcome.Ending]bool{outcome.Reset: true}},
		"at the last byte": {request, func(c *net.TCPConn) { head(c) }, map[outcome.Ending]bool{outcome.EndedEarly: true}},
		"unread": {request, func(c *net.TCPConn) {
			for n := 0; n == 0; n, _ = Peek(c) {
				time.Sleep(time.Millisecond)
			}
		}, map[outcome.Ending]bool{outcome.Reset: true, outcome.EndedEarly: true}}, // it is in the worker's machine
		"with an answer, and the request unread": {large, func(c *net.TCPConn) {
			io.ReadFull(c, make([]byte, 1<<10))
			io.WriteString(c, full)
			c.SetLinger(0)
		}, map[outcome.Ending]bool{outcome.PartiallySent: true}},
	} {
		addr := fragmentpeer.Serve(t, x.serve)
		ends := make(chan End, 1)
		pool(1).Push(addr, "a1", as(x.request), time.Now().Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
		if e := <-ends; !x.may[e.Ending] {
			t.Errorf("%s: %v", name, e.Ending)
		}
	}
}

// Pushes, sweeps, evictions and closes at once: a connection is never one exchange's and another's, and what a push is told is its
// own answer. The seed is CONNS_SEED.
func TestAConnectionIsOneExchangesAtATime(t *testing.T) {
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
	addr, p := s.Listener.Addr().String(), pool(12)
	var all sync.WaitGroup
	for k := range 8 {
		all.Go(func() {
			chance := rand.New(rand.NewPCG(seed, uint64(k)))
			for n := range 60 {
				id := fmt.Sprint(k, "-", n)
				ends := make(chan End, 1)
				x := p.Push(addr, id, as([]byte("POST / HTTP/1.1\r\nHost: w\r\nX-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")), time.Now().Add(20*time.Second),
					alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
				switch chance.IntN(6) {
				case 0:
					x.Close(false, outcome.Cancelled)
				case 1:
					p.Sweep(time.Now().Add(time.Duration(chance.IntN(10)) * time.Second))
				case 2:
					p.SetMaxOpen(4 + chance.IntN(8))
				}
				e := <-ends
				x.Close(false, outcome.Cancelled) // it has ended: the connection may be another's by now
				mu.Lock()
				ran := runs[id]
				mu.Unlock()
				switch {
				case e.Ending == outcome.Done && (string(e.Result) != id || ran != 1):
					t.Errorf("%s got %q and ran %d times", id, e.Result, ran)
				case e.Ending.NeverRan() && ran > 0:
					t.Errorf("%s: %v, and it ran", id, e.Ending)
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
			t.Fatalf("%d are counted as open", open)
		}
	}
}
