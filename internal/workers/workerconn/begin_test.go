package workerconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/outcome"
)

// narrow dials with buffers so small that a worker that reads nothing soon stops a write; full fills them before the first use.
func narrow(t *testing.T, full bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(_ context.Context, network, addr string) (net.Conn, error) {
		nc, err := net.Dial(network, addr)
		if err != nil {
			return nil, err
		}
		c := nc.(*net.TCPConn)
		c.SetWriteBuffer(4 << 10)
		raw, err := c.SyscallConn()
		if err != nil || !full {
			return c, err
		}
		return c, raw.Write(func(fd uintptr) bool {
			for {
				if _, err := syscall.Write(int(fd), make([]byte, 64<<10)); err != nil {
					if err != syscall.EAGAIN {
						t.Error(err)
					}
					return true
				}
			}
		})
	}
}

// A worker that reads slowly, or not at all for a while, stopped a write; once it read on, the rest went out though the client had left
// long before. A worker begins a request with its last byte, so what is held back before that never ran.
func TestAWriteThatOutlastsItsClientIsNotEnded(t *testing.T) {
	large := append([]byte("POST /x HTTP/1.1\r\nHost: w\r\nContent-Length: 8388608\r\n\r\n"), make([]byte, 8<<20)...)
	for name, x := range map[string]struct {
		full   bool // nothing of the request is taken at first
		closes bool // the loop has heard of the leaving; else only the look tells
	}{"before the first byte": {full: true}, "in the middle": {}, "in the middle, and it is closed": {closes: true},
		"before the first byte, and it is closed": {full: true, closes: true}} {
		t.Run(name, func(t *testing.T) {
			goOn, came := make(chan bool), make(chan []byte, 1)
			addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
				<-goOn
				c.SetReadDeadline(time.Now().Add(20 * time.Second))
				b, _ := io.ReadAll(c)
				came <- b
			})
			p := pool(4)
			p.Connect = narrow(t, x.full)
			var left atomic.Bool
			asked, ends := make(chan bool, 1<<16), make(chan End, 1)
			e := p.Push(addr, "a1", as(large), time.Now().Add(20*time.Second), func() bool {
				asked <- true
				return !left.Load()
			}, func() { t.Error("it is told as written") }, func(JobLine) {}, func(e End) { ends <- e })
			<-asked
			if !x.full {
				select {
				case <-asked: // a first part has been taken
				case <-time.After(5 * time.Second):
					t.Error("it is not asked before the second part")
				}
			}
			left.Store(!x.closes)
			if x.closes {
				e.Close(true, outcome.CancelledUnsent)
			}
			close(goOn)
			if e := <-ends; e.Ending != outcome.CancelledUnsent {
				t.Errorf("%v", e.Ending)
			}
			p.Sweep(time.Now().Add(time.Hour)) // what it was not written on is idle now
			b := <-came
			if len(b) >= len(large) && !x.full || x.full && bytes.Contains(b, []byte("POST")) {
				t.Errorf("the worker got %d bytes", len(b))
			}
			if open, _ := p.Counts(); open != 0 {
				t.Errorf("%d open", open)
			}
		})
	}
}

// The time that is told stands in the head, which goes out first: a worker that takes the rest much later was told more than its client has
// by then. Such a request is broken off before its last byte, and never ran.
func TestARequestWhoseRestIsTakenLateIsBrokenOff(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: w\r\nContent-Length: 8388608\r\n\r\n"
	large := append([]byte(head), make([]byte, 8<<20)...)
	came := make(chan int, 1)
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		time.Sleep(500 * time.Millisecond) // what is told may be too much by 0.15 s
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		b, _ := io.ReadAll(c)
		came <- len(b)
	})
	p := pool(4)
	p.Connect = narrow(t, false)
	ends := make(chan End, 1)
	p.Push(addr, "a1", as(large), time.Now().Add(20*time.Second), alwaysWanted, func() { t.Error("it is told as written") }, func(JobLine) {},
		func(e End) { ends <- e })
	if e := <-ends; !e.Ending.NeverRan() {
		t.Errorf("%v", e.Ending)
	}
	if n := <-came; n >= len(large) {
		t.Errorf("the worker got all of it, told half a second before")
	}
	if open, _ := p.Counts(); open != 0 {
		t.Errorf("%d open", open)
	}
}

// A process that is kept from running between its look at the client and the write wrote on a look that had become old.
func TestALookThatHasBecomeOldIsTakenAgain(t *testing.T) {
	came := make(chan int, 1)
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		n, _ := c.Read(make([]byte, 1))
		came <- n
	})
	p, looks := pool(4), 0
	ends := make(chan End, 1)
	p.Push(addr, "a1", as(request), time.Now().Add(20*time.Second), func() bool {
		if looks++; looks > 1 {
			return false
		}
		time.Sleep(2 * maxClientCheckAge) // the client leaves meanwhile
		return true
	}, func() { t.Error("it is told as written") }, func(JobLine) {}, func(e End) { ends <- e })
	if e := <-ends; e.Ending != outcome.CancelledUnsent {
		t.Errorf("%v", e.Ending)
	}
	p.Sweep(time.Now().Add(time.Hour))
	if n := <-came; n > 0 {
		t.Error("it was written")
	}
}
