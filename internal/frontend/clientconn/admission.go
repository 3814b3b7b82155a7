package clientconn

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"woaddyke/internal/base/oserror"
)

const (
	pollInterval          = 2 * time.Millisecond  // between attempts to admit or accept a connection
	maxEvictionCandidates = 8                     // waiting connections that are checked for unread data
	evictionCloseTimeout  = 50 * time.Millisecond // a new connection waits for evicted ones to be closed
)

// Accept returns the next admitted connection, and closes each connection that is not admitted. A close here
// costs no goroutine and no buffer. The server's own loop would accept hundreds of connections before the
// first of them is evicted.
func (g *Pool) Accept() (net.Conn, error) {
	failures := 0 // consecutive accept errors
	for {
		nc, err := g.Listener.Accept()
		if resumed := g.resumedChan(); resumed != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			<-resumed
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // accepting was paused when the deadline expired, and has been resumed since
		}
		if err != nil {
			if oserror.IsPermanent(err) {
				return nil, err
			}
			failures++
			g.waitAfterAcceptError(err, failures)
			continue
		}
		failures = 0
		if c := (&conn{Conn: nc, pool: g}); g.admitOrWait(c) {
			g.stalls.keepTicking(time.Now(), g.hasConnections)
			c.recordPreAcceptBytes()
			return c, nil
		}
		g.reportEnd(ReasonLimitReached, nc)
		nc.Close()
	}
}

// waitAfterAcceptError waits before accept is retried. If descriptors are exhausted, it evicts a connection
// from the second consecutive failure on. The first failure may be momentary: a client was evicted for such a
// failure while hundreds of descriptors were free.
func (g *Pool) waitAfterAcceptError(err error, failures int) {
	if g.OnAcceptError != nil {
		g.OnAcceptError(err)
	}
	if oserror.Classify(err) != oserror.DescriptorsExhausted {
		time.Sleep(oserror.Backoff(failures))
		return
	}
	if failures > 1 {
		// Evict even if another process holds the descriptors: without an accept nothing else would evict.
		g.mu.Lock()
		g.evictOldest()
		g.mu.Unlock()
	}
	g.awaitClose(pollInterval)
}

// admitOrWait admits a connection once there is a free slot, or returns false after AdmissionTimeout. It also
// waits for evicted connections, which hold their descriptors until their readers close them. When
// connections were accepted faster than these readers got CPU time, the process ran out of descriptors.
func (g *Pool) admitOrWait(c *conn) bool {
	start := time.Now()
	for {
		admitted, closePending := g.tryAdmit(c)
		waited := time.Since(start)
		switch {
		case admitted:
			return true
		case closePending && waited < max(evictionCloseTimeout, g.AdmissionTimeout):
			g.awaitClose(evictionCloseTimeout)
		case waited < g.AdmissionTimeout:
			time.Sleep(pollInterval)
		default:
			return false
		}
	}
}

// awaitClose waits until a connection is closed, but no longer than a timeout.
func (g *Pool) awaitClose(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-g.connClosed:
	case <-timer.C:
	}
}

func (g *Pool) resumedChan() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed
}

// Pause leaves new connections to the process that shares the listening socket, until Resume. The socket
// stays open, because that process may die.
func (g *Pool) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.Listener.(interface{ SetDeadline(time.Time) error }); ok && g.resumed == nil &&
		l.SetDeadline(longPast) == nil {
		g.resumed = make(chan struct{})
	}
}

// Resume continues accepting after Pause.
func (g *Pool) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		g.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Time{})
		close(g.resumed)
		g.resumed = nil
	}
}

// tryAdmit admits a connection if a slot and a descriptor are free. Connections that are about to be closed
// still hold descriptors. If the connection is not admitted, closePending reports whether there are such
// connections.
func (g *Pool) tryAdmit(nc *conn) (admitted, closePending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.open)+len(g.lingering) >= g.softLimit && g.closeLingering() {
	}
	for len(g.open) >= g.softLimit && g.evictOldest() {
	}
	if len(g.open) >= g.hardLimit {
		g.evictIncomplete(time.Now())
	}
	if len(g.open) >= g.hardLimit || len(g.closePending) > 0 && len(g.open)+len(g.closePending) >= g.hardLimit {
		return false, len(g.closePending) > 0
	}
	g.open[nc] = &connStatus{stateSince: time.Now(), state: http.StateNew}
	return true, false
}

// evictOldest evicts the eviction candidate, with the lock held. It returns false if there is none. A client that
// has just connected is spared where an incomplete body has been awaited for longer.
func (g *Pool) evictOldest() bool {
	old := g.evictionCandidate()
	if old == nil {
		return false
	}
	if x := g.open[old]; !x.served && g.evictIncomplete(x.stateSince) {
		return true
	}
	g.reportEnd(ReasonEvicted, old)
	g.requestClose(old)
	return true
}

// evictionCandidate returns the connection to evict, nil if there is none. It chooses the connection that has
// waited longest for a request among those that were never served. If there is none, it chooses among the
// served ones, but only if these exceed half of the soft limit. This half is reserved because connections
// with a partial body do not count as waiting: without the reserve, a flood of them evicts one served client
// after another. A connection with unread data is not a candidate.
func (g *Pool) evictionCandidate() *conn {
	var unread []*conn
	served := 0
	for _, x := range g.open {
		if x.served {
			served++
		}
	}
	spareServed := served <= g.softLimit/2
	for range maxEvictionCandidates {
		var oldest *conn
		var oldestStatus *connStatus
		for nc, x := range g.open {
			eligible := x.waiting() && !(x.served && spareServed) && !slices.Contains(unread, nc)
			if eligible && (oldestStatus == nil || !x.served && oldestStatus.served ||
				x.served == oldestStatus.served && x.stateSince.Before(oldestStatus.stateSince)) {
				oldest, oldestStatus = nc, x
			}
		}
		if oldest == nil {
			return nil
		}
		if !oldest.hasUnreadData() {
			return oldest
		}
		unread = append(unread, oldest)
	}
	return nil
}
