package clientconn

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout limits how long a connection stays open after its last response, for a client that still
	// sends a request that is not read. If it were closed at once with unread data, its client might not get the
	// response.
	lingerTimeout = 500 * time.Millisecond

	// lingerWriteTimeout limits the time for writing the last response. It is short, so it fits the socket.
	lingerWriteTimeout = 100 * time.Millisecond
)

// Linger writes the last response to a connection that was hijacked from the server, and closes the connection
// once the client has closed it, at the latest after lingerTimeout. What the client sends until then stays unread,
// so that the close tells it that this was not served. Linger closes the connection earlier if a new one needs
// its slot: the standard server would hold the slot for half a second, also if the client has left, and few
// clients would keep all others out.
func (g *Pool) Linger(nc net.Conn, response func(io.Writer) error) {
	c, ok := nc.(*conn)
	if !ok {
		nc.Close()
		return
	}
	c.Conn.SetDeadline(time.Now().Add(lingerWriteTimeout))
	if err := response(c); err != nil {
		g.endLinger(c)
		return
	}
	go func() {
		defer g.endLinger(c)
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		c.awaitPeerClose(leaveUnread)
	}()
}

// startLinger tracks a hijacked connection, with the lock held. Its requests are no longer needed.
func (g *Pool) startLinger(c *conn) {
	g.lingering[c] = time.Now()
	g.requestMemory.forget(c)
}

// endLinger closes a lingering connection.
func (g *Pool) endLinger(c *conn) {
	c.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.lingering, c)
	g.signalClosed()
}

// closeLingering closes the connection that has lingered longest, with the lock held. It returns false if there
// is none.
func (g *Pool) closeLingering() bool {
	var oldest *conn
	for c, since := range g.lingering {
		if oldest == nil || since.Before(g.lingering[oldest]) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(g.lingering, oldest)
	oldest.Conn.Close()
	return true
}
