package clientconn

import (
	"net/http"
	"time"
)

// StopReading stops reading further requests from connections on which a request was served. A request that
// has been read, in whole or in part, is still served; its body must be complete by bodyDeadline. A served
// connection without such a request is closed. When the process ends, each request has either been read and
// answered, or is unread when its connection is closed. In the second case the close tells the client that
// the request was not processed. The first request on a new connection is still read, because its client may
// have no other scheduler to turn to.
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
			g.requestClose(nc)
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

// capReadDeadline limits the current read deadline to the body deadline: see capDeadline.
func (c *conn) capReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if capped := c.capDeadline(c.readDeadline); capped != c.readDeadline {
		c.Conn.SetReadDeadline(capped)
	}
}

// capDeadline returns a read deadline limited to the body deadline that StopReading sets, with the lock held.
// The limit applies once a request has started or was served. The zero time (no deadline) is returned
// unchanged: the server sets it to watch for the client's disconnection.
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
		g.requestClose(c)
	}
}

// maxReadable returns how many of the wanted bytes may be read now. After StopReading, no byte beyond the
// current request is read, except on a new connection.
func (c *conn) maxReadable(wanted int) int {
	if !c.pool.readingStopped.Load() {
		return wanted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.servedRequest && !c.parser.inRequest() || c.ahead.retained.length > 0 {
		return wanted // what was read ahead must be answered
	}
	return int(min(int64(wanted), c.parser.minRemaining()))
}

// minRemaining returns the least number of bytes that are still to be read of the current request, 0 if there
// is no current request.
func (f *requestParser) minRemaining() int64 {
	switch {
	case !f.inRequest():
		return 0
	case f.state == inBody || f.state == inChunkData:
		return f.remaining
	}
	return 1 // a line may end with the next byte
}
