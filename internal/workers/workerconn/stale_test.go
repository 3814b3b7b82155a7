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

// A push whose decision may be based on an outdated list waits until the new list is applied. It may be
// closed during the wait, and is cancelled if the wait takes too long. A probe does not wait.
func TestAPushWaitsForAnUnreadList(t *testing.T) {
	for name, x := range map[string]struct {
		applied, closed bool // the event while the push waits
		want            outcome.Ending
	}{"list applied": {applied: true, want: outcome.Done}, "push closed": {closed: true, want: outcome.CancelledUnsent}, "list stays unread": {want: outcome.CancelledUnsent}} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
				if n, _ := c.Read(make([]byte, 4096)); n == 0 {
					return
				}
				requests.Add(1)
				line := `{"id":"a1","state":"done","result":"x"}`
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
			})
			p := newTestPool(4)
			var stale atomic.Bool
			stale.Store(true)
			checks := make(chan bool, 1<<12)
			p.Stale = func() bool {
				checks <- true
				return stale.Load()
			}
			ends := make(chan End, 1)
			e := p.Push(addr, "a1", fixedRequest(request), time.Now().Add(20*time.Second), alwaysWanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
			for range 3 {
				<-checks
			}
			if requests.Load() > 0 {
				t.Error("the push did not wait")
			}
			if x.closed {
				e.Close(true, outcome.CancelledUnsent)
			}
			stale.Store(!x.applied)
			if e := <-ends; e.Ending != x.want {
				t.Errorf("%v, want %v", e.Ending, x.want)
			}
			if x.applied != (requests.Load() > 0) {
				t.Errorf("%d requests received", requests.Load())
			}
		})
	}
	p := newTestPool(4)
	p.Stale = func() bool { return true }
	ends := make(chan End, 1)
	p.Probe(serveWorker(t, func(c net.Conn) { c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")) }), request, time.Now().Add(10*time.Second),
		func(e End) { ends <- e })
	if e := <-ends; e.Ending != outcome.Done {
		t.Errorf("probe: %v", e.Ending)
	}
}

// The last check before a request is written is whether the client still waits. Guards against a slow check
// of the endpoint list after it, which makes the check of the client outdated.
func TestTheClientIsCheckedAfterTheEndpointList(t *testing.T) {
	const listCheckTime = 150 * time.Millisecond // duration of one call of Stale
	addr := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		if n, _ := c.Read(make([]byte, 4096)); n == 0 {
			return
		}
		line := `{"id":"a1","state":"done","result":"x"}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
	})
	p := newTestPool(4)
	p.Stale = func() bool {
		time.Sleep(listCheckTime)
		return false
	}
	var clientCheckedAt atomic.Pointer[time.Time]
	wanted := func() bool {
		now := time.Now()
		clientCheckedAt.Store(&now)
		return true
	}
	age := make(chan time.Duration, 1)
	makeRequest := func(time.Duration) []byte {
		age <- time.Since(*clientCheckedAt.Load())
		return request
	}
	ends := make(chan End, 1)
	p.Push(addr, "a1", makeRequest, time.Now().Add(20*time.Second), wanted, func() {}, func(JobLine) {}, func(e End) { ends <- e })
	if e := <-ends; e.Ending != outcome.Done {
		t.Fatal(e.Ending)
	}
	if got := <-age; got > listCheckTime/2 {
		t.Errorf("the client was checked %v before the request was made", got)
	}
}
