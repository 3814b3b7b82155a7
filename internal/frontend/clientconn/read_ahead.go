package clientconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"runtime"
	"syscall"

	"woaddyke/internal/base/oserror"
)

const (
	// readAheadFrom is the number of unread bytes from which the rest of what the client has sent, and the end of
	// its connection, may not fit the receive window.
	readAheadFrom = 32 << 10

	maxDiscardedBytes = 16 << 20 // per connection

	readAheadChunkBytes = 16 << 10
)

// readAhead holds bytes that were read from a socket while a request is served. The end of a connection arrives
// only after all data before it, so a client that disconnects is noticed only if that data is read. The body
// of a request that will be rejected as too large is discarded, and so is what follows the header of a request
// for which no memory is left. Nothing behind such a request is served.
type readAhead struct {
	retained       byteQueue     // not read by the server yet
	parser         requestParser // state after the retained bytes; it tracks no pending requests
	started        bool
	discarding     bool // the server gets no more bytes after the retained ones
	discardedBytes int
	bodyBytes      int // retained bytes of the current body

	// cutHeaderEnd is the offset at which the header of the first request ends for which no memory was left; 0
	// for none. The server gets this header, so that it can reject the request.
	cutHeaderEnd int64
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
	return c.parser.state != unparsable && a.parser.state != unparsable
}

// readUnread reads what is unread in the socket, without waiting, if the end of the connection may be hidden
// behind it. It returns io.EOF if the client has closed the connection.
func (c *conn) readUnread(fd uintptr) error {
	if !c.readsAhead() && unreadBytes(fd) < readAheadFrom {
		return nil
	}
	chunk := make([]byte, readAheadChunkBytes)
	for {
		n, err := c.readAheadChunk(fd, chunk)
		if n == 0 {
			return err
		}
		runtime.Gosched() // a client that sends at full speed would use its whole time slice
	}
}

// readsAhead reports whether bytes are being read ahead.
func (c *conn) readsAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.started
}

// readAheadChunk reads what is unread, at most as much as the chunk holds, and returns how much that is. If it is
// 0, err is the end of the connection, or nil if there may be more later.
func (c *conn) readAheadChunk(fd uintptr, chunk []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.readAheadAllowed() {
		n, _, err := syscall.Recvfrom(int(fd), chunk, syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN) || oserror.IsLocal(err):
			return 0, nil
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			c.retain(chunk[:n])
			c.countMemory()
			return n, nil
		}
	}
	return 0, nil
}

// retain stores bytes that were read ahead, up to the body of a request that will be rejected.
func (c *conn) retain(data []byte) {
	a := &c.ahead
	if !a.started {
		a.started = true
		a.parser = c.parser
		a.parser.pending, a.parser.untracked = nil, true
	}
	outOfMemory := !c.pool.requestMemory.available()
	start := a.parser.offset
	for len(data) > 0 && !a.discarding {
		if outOfMemory && (a.parser.inBodyPart() || a.parser.lastHeaderEnd > start) {
			a.cutHeaderEnd = a.parser.lastHeaderEnd
		}
		if a.discarding = a.cutHeaderEnd > 0 || a.bodyRejected(c.pool.MaxBodyBytes); a.discarding {
			break
		}
		length := a.nextPiece(data)
		a.add(data[:length])
		data = data[length:]
	}
	if a.discarding {
		a.discardedBytes += len(data)
	}
}

// nextPiece returns the number of bytes that belong to the current body, or to the current line outside a body.
func (a *readAhead) nextPiece(data []byte) int {
	if a.inBody() {
		return int(min(int64(len(data)), a.parser.remaining))
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}

// CutForMemory reports whether the request of a context was not read completely, because the bytes that clients
// sent ahead of their answers held too much memory. Nothing behind it can be served.
func CutForMemory(ctx context.Context) bool {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := c.ahead.cutHeaderEnd
	return cut > 0 && len(c.parser.pending) > 0 && c.parser.pending[0].headerEnd >= cut
}

func (a *readAhead) inBody() bool {
	return a.parser.state == inBody || a.parser.state == inChunkData
}

// add retains bytes of a body, or of one line outside a body.
func (a *readAhead) add(piece []byte) {
	switch {
	case a.inBody():
		a.bodyBytes += len(piece)
	case a.parser.state == inHeader:
		a.bodyBytes = 0
	}
	a.parser.feed(piece)
	a.retained.write(piece)
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
	return c.ahead.retained.length > 0
}

// takeReadAhead gives the server bytes that were read ahead. It returns done false if the next bytes come from
// the socket, and io.EOF if those that would come next were discarded.
func (c *conn) takeReadAhead(b []byte) (n int, err error, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	switch {
	case a.retained.length > 0:
		return a.retained.read(b), nil, true
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
	c.ahead.retained = byteQueue{}
}
