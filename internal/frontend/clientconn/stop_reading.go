package clientconn

import "net/http"

// StopReading has no further request be read from any connection. What has been read, whole or in part, goes on; a connection without that
// ends. So at the end of a process each request was either read, and has its answer, or lies unread when its connection is closed, which
// tells its client that it was not taken.
func (g *Pool) StopReading() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped.Swap(true) {
		return
	}
	for nc, x := range g.open {
		if x.waits() {
			g.ended(ToLeave, nc)
			g.part(nc)
		}
	}
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
