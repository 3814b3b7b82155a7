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

// dialWithSmallBuffers returns a dial function for connections whose send buffer is so small that writes soon
// block if the worker does not read. fill fills the buffers before the first use.
func dialWithSmallBuffers(t *testing.T, fill bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(_ context.Context, network, addr string) (net.Conn, error) {
		nc, err := net.Dial(network, addr)
		if err != nil {
			return nil, err
		}
		c := nc.(*net.TCPConn)
		c.SetWriteBuffer(4 << 10)
		raw, err := c.SyscallConn()
		if err != nil || !fill {
			return c, err
		}
		return c, raw.Write(func(fd uintptr) bool {
			fillBuffers(t, int(fd))
			return true
		})
	}
}

// fillBuffers writes to a socket until it takes nothing more for a while. What the kernel has moved to the worker's side
// makes room again, so the first write that would block does not show that the buffers are full.
func fillBuffers(t *testing.T, fd int) {
	const fullPolls, pollInterval = 10, 2 * time.Millisecond
	for blocked := 0; blocked < fullPolls; {
		_, err := syscall.Write(fd, make([]byte, 64<<10))
		switch {
		case err == nil:
			blocked = 0
		case err == syscall.EAGAIN:
			blocked++
			time.Sleep(pollInterval)
		default:
			t.Error(err)
			return
		}
	}
}

// Guards against a write that blocks because the worker reads slowly, and that continues once the worker
// reads again, long after the client disconnected. A worker starts a request when it has the last byte, so a
// push that is aborted before that never ran.
func TestAWriteIsAbortedAfterItsClientDisconnects(t *testing.T) {
	large := append([]byte("POST /x HTTP/1.1\r\nHost: w\r\nContent-Length: 8388608\r\n\r\n"), make([]byte, 8<<20)...)
	for name, x := range map[string]struct {
		buffersFull bool // no byte of the request is accepted at first
		closed      bool // the exchange is closed; otherwise only wanted reports the disconnection
	}{"before the first byte": {buffersFull: true}, "in the middle": {}, "in the middle, closed": {closed: true},
		"before the first byte, closed": {buffersFull: true, closed: true}} {
		t.Run(name, func(t *testing.T) {
			startReading, received := make(chan bool), make(chan []byte, 1)
			addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
				<-startReading
				c.SetReadDeadline(time.Now().Add(20 * time.Second))
				b, _ := io.ReadAll(c)
				received <- b
			})
			p := newTestPool(4)
			p.Connect = dialWithSmallBuffers(t, x.buffersFull)
			var disconnected atomic.Bool
			checks, ends := make(chan bool, 1<<16), make(chan End, 1)
			e := p.Push(addr, "a1", fixedRequest(large), time.Now().Add(20*time.Second), func() bool {
				checks <- true
				return !disconnected.Load()
			}, func() { t.Error("reported as written") }, func(JobLine) {}, func(e End) { ends <- e })
			<-checks
			if !x.buffersFull {
				select {
				case <-checks: // the first part has been accepted
				case <-time.After(5 * time.Second):
					t.Error("the client is not checked before the second part")
				}
			}
			disconnected.Store(!x.closed)
			if x.closed {
				e.Close(true, outcome.CancelledUnsent)
			}
			close(startReading)
			if e := <-ends; e.Ending != outcome.CancelledUnsent {
				t.Errorf("%v", e.Ending)
			}
			p.Sweep(time.Now().Add(time.Hour)) // closes the connection if it was returned to the pool unused
			b := <-received
			if len(b) >= len(large) && !x.buffersFull || x.buffersFull && bytes.Contains(b, []byte("POST")) {
				t.Errorf("the worker received %d bytes", len(b))
			}
			if open, _ := p.Counts(); open != 0 {
				t.Errorf("%d connections open", open)
			}
		})
	}
}

// The head states the remaining time and is written first. If the worker reads the rest much later, the
// stated time is longer than the client still waits. Such a request is aborted before its last byte, so it
// never runs.
func TestASlowWriteIsAbortedBeforeItsLastByte(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: w\r\nContent-Length: 8388608\r\n\r\n"
	large := append([]byte(head), make([]byte, 8<<20)...)
	received := make(chan int, 1)
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		time.Sleep(500 * time.Millisecond) // the remaining time sent may be too long by 0.15 s
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		b, _ := io.ReadAll(c)
		received <- len(b)
	})
	p := newTestPool(4)
	p.Connect = dialWithSmallBuffers(t, false)
	ends := make(chan End, 1)
	p.Push(addr, "a1", fixedRequest(large), time.Now().Add(20*time.Second), alwaysWanted, func() { t.Error("reported as written") }, func(JobLine) {},
		func(e End) { ends <- e })
	if e := <-ends; !e.Ending.NeverRan() {
		t.Errorf("%v", e.Ending)
	}
	if n := <-received; n >= len(large) {
		t.Errorf("the worker received the complete request, with a remaining time that is half a second old")
	}
	if open, _ := p.Counts(); open != 0 {
		t.Errorf("%d connections open", open)
	}
}

// Guards against a process that is stopped between the check of the client and the write, and then writes
// although the check is outdated.
func TestAnOutdatedClientCheckIsRepeated(t *testing.T) {
	received := make(chan int, 1)
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		n, _ := c.Read(make([]byte, 1))
		received <- n
	})
	p, checks := newTestPool(4), 0
	ends := make(chan End, 1)
	p.Push(addr, "a1", fixedRequest(request), time.Now().Add(20*time.Second), func() bool {
		if checks++; checks > 1 {
			return false
		}
		time.Sleep(2 * maxClientCheckAge) // the client disconnects in the meantime
		return true
	}, func() { t.Error("reported as written") }, func(JobLine) {}, func(e End) { ends <- e })
	if e := <-ends; e.Ending != outcome.CancelledUnsent {
		t.Errorf("%v", e.Ending)
	}
	p.Sweep(time.Now().Add(time.Hour))
	if n := <-received; n > 0 {
		t.Error("the request was written")
	}
}
