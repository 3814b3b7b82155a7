package workerconn

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/outcome"
)

// A push whose decision may rest on an old list waits until the list is taken up; it may be closed meanwhile, and is kept back where that
// takes too long. A probe waits for nothing.
func TestAPushWaitsForAListThatLiesUnread(t *testing.T) {
	for name, x := range map[string]struct {
		fresh, closed bool // what comes about while it waits
		want          outcome.Ending
	}{"taken up": {fresh: true, want: outcome.Done}, "it is closed": {closed: true, want: outcome.CancelledUnsent}, "it lasts": {want: outcome.CancelledUnsent}} {
		t.Run(name, func(t *testing.T) {
			var came atomic.Int64
			addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
				if n, _ := c.Read(make([]byte, 4096)); n == 0 {
					return
				}
				came.Add(1)
				line := `{"id":"a1","state":"done","result":"x"}`
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
			})
			p := pool(4)
			var stale atomic.Bool
			stale.Store(true)
			looks := make(chan bool, 1<<12)
			p.Stale = func() bool {
				looks <- true
				return stale.Load()
			}
			ends := make(chan End, 1)
			e := p.Push(addr, "a1", as(request), time.Now().Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
			for range 3 {
				<-looks
			}
			if came.Load() > 0 {
				t.Error("it did not wait")
			}
			if x.closed {
				e.Close(true, outcome.CancelledUnsent)
			}
			stale.Store(!x.fresh)
			if e := <-ends; e.Ending != x.want {
				t.Errorf("%v, not %v", e.Ending, x.want)
			}
			if x.fresh != (came.Load() > 0) {
				t.Errorf("%d requests came", came.Load())
			}
		})
	}
	p := pool(4)
	p.Stale = func() bool { return true }
	ends := make(chan End, 1)
	p.Probe(worker(t, func(c net.Conn) { c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")) }), request, time.Now().Add(10*time.Second),
		func(e End) { ends <- e })
	if e := <-ends; e.Ending != outcome.Done {
		t.Errorf("a probe: %v", e.Ending)
	}
}

// The look at the client comes last before a request is written: a look at the list that takes its time made it an old one.
func TestTheLookAtTheClientComesAfterThatAtTheList(t *testing.T) {
	const slow = 150 * time.Millisecond // of the look at the list
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		if n, _ := c.Read(make([]byte, 4096)); n == 0 {
			return
		}
		line := `{"id":"a1","state":"done","result":"x"}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
	})
	p := pool(4)
	p.Stale = func() bool {
		time.Sleep(slow)
		return false
	}
	var looked atomic.Pointer[time.Time]
	wanted := func() bool {
		now := time.Now()
		looked.Store(&now)
		return true
	}
	age := make(chan time.Duration, 1)
	made := func(time.Duration) []byte {
		age <- time.Since(*looked.Load())
		return request
	}
	ends := make(chan End, 1)
	p.Push(addr, "a1", made, time.Now().Add(20*time.Second), wanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
	if e := <-ends; e.Ending != outcome.Done {
		t.Fatal(e.Ending)
	}
	if got := <-age; got > slow/2 {
		t.Errorf("the client was looked at %v before the request was made", got)
	}
}
