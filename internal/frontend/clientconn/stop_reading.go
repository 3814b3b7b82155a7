package clientconn

import (
	"net/http"
	"time"
)

// StopReading has no further request be read from a connection on which one was served. What has been read, whole or in part, goes on, a body
// until a moment; such a connection without that ends. So at the end of a process each request was either read, and has its answer, or lies
// unread when its connection is closed, which tells its client that it was not taken. A new connection has its first request read still: its
// client may have nowhere else to go.
func (g *Pool) StopReading(bodiesBy time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.bodiesBy.CompareAndSwap(nil, &bodiesBy) {
		return
	}
	g.stopped.Store(true)
	for nc, x := range g.open {
		if x.waits() && nc.kept() {
			g.ended(ToLeave, nc)
			g.part(nc)
		} else {
			nc.limitReading()
		}
	}
}

// StoppedReading tells whether no further request is read.
func (g *Pool) StoppedReading() bool { return g.stopped.Load() }

// kept tells whether a request was served on the connection.
func (c *conn) kept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// limitReading ends the reading of a body that does not come whole in time.
func (c *conn) limitReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limited := c.limited(c.deadline); limited != c.deadline {
		c.Conn.SetReadDeadline(limited)
	}
}

// limited is a read deadline as it holds after StopReading, with the lock held: one of a request that has begun, or behind one that was served.
// None, the zero time, is that of the watch for a client's end.
func (c *conn) limited(deadline time.Time) time.Time {
	end := c.of.bodiesBy.Load()
	if end == nil || !deadline.After(*end) || !c.used && !c.requests.busy() {
		return deadline
	}
	return *end
}

// endIfIdle ends a connection that has become idle since StopReading, with the lock held.
func (g *Pool) endIfIdle(c *conn, state http.ConnState) {
	if state == http.StateIdle && g.stopped.Load() && g.open[c] != nil {
		g.part(c)
	}
}

// readable is how many of so many bytes may be read now: after StopReading none beyond the request that has begun.
func (c *conn) readable(wanted int) int {
	if !c.of.stopped.Load() {
		return wanted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used && !c.requests.busy() {
		return wanted
	}
	return int(min(int64(wanted), c.requests.untilNext()))
}

// untilNext is how many bytes at the least belong to the request that has begun; 0 where none has.
func (f *follower) untilNext() int64 {
	switch {
	case !f.busy():
		return 0
	case f.at == inBody || f.at == inChunk:
		return f.left
	}
	return 1 // a line may end with the next byte
}
