package clientconn

import (
	"net/http"
	"time"
)

// StopReading ends the reading of further requests from connections on which one was served. A request that
// has been read, in whole or in part, is still served, its body until a deadline; a connection without one is
// closed. So at the end of the process every request was either read and answered, or is unread when its
// connection is closed, which tells its client that it was not processed. The first request on a new
// connection is still read: its client may have no other scheduler to turn to.
func (g *Pool) StopReading(bodyDeadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.bodyDeadline.CompareAndSwap(nil, &bodyDeadline) {
		return
	}
	g.readingStopped.Store(true)
	for nc, x := range g.open {
		if x.waiting() && nc.hasServed() {
			g.reportEnd(ReasonDrained, nc)
			g.startClosing(nc)
		} else {
			nc.capReadDeadline()
		}
	}
}

// StoppedReading reports whether StopReading was called.
func (g *Pool) StoppedReading() bool { return g.readingStopped.Load() }

// hasServed reports whether a request was served on the connection.
func (c *conn) hasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servedRequest
}

// capReadDeadline ends the reading of a body that is not complete at the body deadline.
func (c *conn) capReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if capped := c.capDeadline(c.readDeadline); capped != c.readDeadline {
		c.Conn.SetReadDeadline(capped)
	}
}

// capDeadline returns a read deadline limited to the body deadline that StopReading sets, with the lock held.
// The limit applies once a request has started or one was served. No deadline, the zero time, stays: the
// server sets it while it watches for the client's disconnection.
func (c *conn) capDeadline(deadline time.Time) time.Time {
	end := c.pool.bodyDeadline.Load()
	if end == nil || !deadline.After(*end) || !c.servedRequest && !c.parser.inRequest() {
		return deadline
	}
	return *end
}

// closeIfIdle closes a connection that has become idle since StopReading, with the lock held.
func (g *Pool) closeIfIdle(c *conn, state http.ConnState) {
	if state == http.StateIdle && g.readingStopped.Load() && g.open[c] != nil {
		g.startClosing(c)
	}
}

// maxReadable returns how many of the wanted bytes may be read now: after StopReading, none beyond the
// request that has started.
func (c *conn) maxReadable(wanted int) int {
	if !c.pool.readingStopped.Load() {
		return wanted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.servedRequest && !c.parser.inRequest() {
		return wanted
	}
	return int(min(int64(wanted), c.parser.minRemaining()))
}

// minRemaining returns how many further bytes the current request has at the least, 0 if there is none.
func (f *requestParser) minRemaining() int64 {
	switch {
	case !f.inRequest():
		return 0
	case f.state == inBody || f.state == inChunkData:
		return f.remaining
	}
	return 1 // a line may end with the next byte
}
