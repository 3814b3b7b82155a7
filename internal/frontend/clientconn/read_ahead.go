package clientconn

import (
	"errors"
	"io"
	"slices"
	"syscall"

	"woaddyke/internal/base/oserror"
)

const (
	// readAheadFrom is the number of unread bytes from which the rest of what the client has sent, and the end of
	// its connection, may not fit the receive window.
	readAheadFrom = 32 << 10

	maxReadAheadBytes     = 128 << 10 // retained per connection
	maxPoolReadAheadBytes = 8 << 20   // retained by all connections of a pool
	maxDiscardedBytes     = 16 << 20  // discarded per connection

	readAheadChunkBytes = 16 << 10
)

// readAhead holds bytes that were read from a socket while a request is served. The end of a connection arrives
// only after all data before it, so a client that disconnects is noticed only if that data is read. The body
// of a request that will be rejected as too large is discarded. Nothing behind it is served.
type readAhead struct {
	retained       []byte        // not read by the server yet
	parser         requestParser // state after the retained bytes
	started        bool
	discarding     bool // the server gets no more bytes after the retained ones
	discardedBytes int
	bodyBytes      int // retained bytes of the current body
}

// readAheadAllowed reports whether more bytes may be read ahead, with the lock held.
func (c *conn) readAheadAllowed() bool {
	a := &c.ahead
	if c.pool.MaxBodyBytes == 0 || c.pool.readingStopped.Load() {
		return false
	}
	if a.discarding {
		return a.discardedBytes < maxDiscardedBytes
	}
	return len(a.retained) < maxReadAheadBytes && c.pool.readAheadBytes.Load() < maxPoolReadAheadBytes &&
		c.pool.requestMemory.available() &&
		c.parser.state != unparsable && a.parser.state != unparsable
}

// readUnread reads what is unread in the socket, without waiting, if the end of the connection may be hidden
// behind it. It returns io.EOF if the client has closed the connection.
func (c *conn) readUnread(fd uintptr) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ahead.started && unreadBytes(fd) < readAheadFrom {
		return nil
	}
	defer c.countMemory()
	chunk := make([]byte, readAheadChunkBytes)
	for c.readAheadAllowed() {
		n, _, err := syscall.Recvfrom(int(fd), chunk, syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN) || oserror.IsLocal(err):
			return nil
		case err != nil:
			return err
		case n == 0:
			return io.EOF
		default:
			c.retain(chunk[:n])
		}
	}
	return nil
}

// retain stores bytes that were read ahead, up to the body of a request that will be rejected.
func (c *conn) retain(data []byte) {
	a := &c.ahead
	if !a.started {
		a.started = true
		a.parser = c.parser
		a.parser.pending = slices.Clone(c.parser.pending)
	}
	for len(data) > 0 && !a.discarding {
		if a.discarding = a.bodyRejected(c.pool.MaxBodyBytes); a.discarding {
			break
		}
		length := a.nextPiece(data)
		a.add(data[:length])
		c.pool.readAheadBytes.Add(int64(length))
		data = data[length:]
	}
	if a.discarding {
		a.discardedBytes += len(data)
	}
}

// nextPiece returns the number of bytes that belong to the current body, or 1 outside a body.
func (a *readAhead) nextPiece(data []byte) int {
	if a.inBody() {
		return int(min(int64(len(data)), a.parser.remaining))
	}
	return 1
}

func (a *readAhead) inBody() bool {
	return a.parser.state == inBody || a.parser.state == inChunkData
}

// add retains bytes of a body, or one byte outside a body.
func (a *readAhead) add(piece []byte) {
	switch {
	case a.inBody():
		a.bodyBytes += len(piece)
	case a.parser.state == inHeader:
		a.bodyBytes = 0
	}
	a.parser.feed(piece)
	a.retained = append(a.retained, piece...)
}

// bodyRejected reports whether the current body is too large. Of a body in chunks, so much is retained that the
// server rejects it.
func (a *readAhead) bodyRejected(maxBodyBytes int) bool {
	return a.inBody() && (a.parser.header.contentLength > int64(maxBodyBytes) || a.bodyBytes > maxBodyBytes)
}

// hasReadAhead reports whether bytes were read ahead that the server has not read.
func (c *conn) hasReadAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead.retained) > 0
}

// takeReadAhead gives the server bytes that were read ahead. It returns done false if the next bytes come from
// the socket, and io.EOF if those that would come next were discarded.
func (c *conn) takeReadAhead(b []byte) (n int, err error, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	switch {
	case len(a.retained) > 0:
		n = copy(b, a.retained)
		a.retained = a.retained[n:]
		c.pool.readAheadBytes.Add(-int64(n))
		return n, nil, true
	case a.discarding:
		return 0, io.EOF, true
	}
	if a.started {
		*a = readAhead{}
	}
	return 0, nil, false
}

// dropReadAhead releases the retained bytes of a connection that is closed, with the lock held.
func (c *conn) dropReadAhead() {
	c.pool.readAheadBytes.Add(-int64(len(c.ahead.retained)))
	c.ahead.retained = nil
}
