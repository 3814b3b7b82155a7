package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/base/oserror"
)

// longPast is a deadline that ends a wait at once.
var longPast = time.Unix(1, 0)

// conn is an accepted connection. It parses the requests that are read from it, because the server reports
// the connection as waiting until a header is complete.
type conn struct {
	net.Conn
	pool *Pool

	mu              sync.Mutex
	parser          requestParser
	receiveTimes    receiveTimes
	preAccept       receiveTime // bytes received before the accept, with their earliest possible receive time
	readDeadline    time.Time   // as set by the server; zero for none
	headerDeadline  time.Time   // for the header that is being read; zero if there is none
	closePending    bool        // requestClose was called and not cancelled
	skipUnanswered  bool        // request boundaries are unknown, so missing answers are not reported
	servedRequest   bool        // at least one request was served
	responseStarted bool        // part of the response to the current request was written
	ended           error       // why the request that is being read was ended: see endIncomplete; nil if it was not
	countsMemory    bool        // the connection holds bytes that count for the pool
	incomplete      incompleteRequest
	ahead           readAhead
}

// Read reads from the connection. While the standard server serves a request, it watches for a disconnection
// by reading a single byte without a deadline. Here such a read returns only at the end of the stream or on
// an error, and the bytes received before stay in the kernel for the next request. If such a read
// returned a byte, the server would stop watching: it would not notice a later disconnection, and the op of a
// client that has left would be pushed.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	awaitsClose := len(b) == 1 && c.readDeadline.IsZero()
	c.mu.Unlock()
	if awaitsClose {
		if known, err := c.awaitPeerClose(c.handleUnread); known {
			return 0, err
		}
	}
	if err := c.readError(); err != nil {
		return 0, err
	}
	if b = b[:c.maxReadable(len(b))]; len(b) == 0 {
		return 0, io.EOF
	}
	n, err, done := c.takeReadAhead(b)
	if n > 0 {
		c.pool.cancelClose(c)
	}
	if !done {
		n, err = oserror.Read(c.Conn.Read, b)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.readError() == nil {
		n, err = c.finalRead(b, err)
	}
	accepted, large := c.recordBytes(b[:n])
	if large {
		c.pool.endExcess()
		runtime.Gosched() // a client that sends at full speed would use its whole time slice for each read
	}
	var ended *endedError
	switch failure := c.readError(); {
	case errors.As(failure, &ended):
		c.pool.reportEnd(ended.reason, c)
		return 0, failure
	case failure != nil:
		c.pool.reportEnd(ReasonTooManyFields, c)
		return accepted, nil // with an error, the server would also give up the requests before this one
	}
	return n, err
}

// recordBytes parses bytes that were read, and records when they were received. It returns how many of them the
// server may get, and whether the connection holds so many that they count for the pool.
func (c *conn) recordBytes(b []byte) (accepted int, large bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := c.parser.offset
	c.parser.feed(b)
	c.recordRead(time.Now())
	c.applyHeaderDeadline()
	return int(c.parser.offset - start), c.countMemory()
}

// readError returns the error with which all further reads fail, if there is one.
func (c *conn) readError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended != nil:
		return c.ended
	case c.parser.tooManyFields:
		return errTooManyFields
	}
	return nil
}

// Write retries if a local resource is exhausted for a moment, because the client waits for the answer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := oserror.Write(c.Conn.Write, b)
	if n > 0 {
		c.mu.Lock()
		c.responseStarted = true
		c.mu.Unlock()
	}
	return n, err
}

// Close closes the connection. It calls OnUnanswered if a request has no answer and the client has not
// disconnected.
func (c *conn) Close() error {
	c.mu.Lock()
	unanswered := len(c.parser.pending)
	if c.responseStarted {
		unanswered--
	}
	report := unanswered > 0 && !c.skipUnanswered
	c.dropReadAhead()
	c.mu.Unlock()
	c.pool.requestMemory.forget(c)
	if report && c.pool.OnUnanswered != nil && c.peerOpen() {
		c.pool.OnUnanswered(c.RemoteAddr().String())
	}
	return c.Conn.Close()
}

// SetReadDeadline sets the server's read deadline. The server clears it (the zero time) only to watch for a
// disconnection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline = t; c.closePending || c.ended != nil {
		return nil // the expired deadline set by requestClose or endIncomplete stays
	}
	if c.applyHeaderDeadline() {
		return nil
	}
	return c.Conn.SetReadDeadline(c.capDeadline(t))
}

// applyHeaderDeadline sets the deadline of a header that has started, with the lock held. The server alone
// would apply its idle deadline until the fourth byte of a request. applyHeaderDeadline returns false if it
// sets no deadline, for example because the server's is not later. HeaderTimeout counts from the first byte
// of the header. While a request is served there is no deadline: for the header of the next request,
// HeaderTimeout counts from the end of the request in service.
func (c *conn) applyHeaderDeadline() bool {
	if !c.parser.started || c.pool.HeaderTimeout == 0 {
		c.headerDeadline = time.Time{}
		return false
	}
	if c.readDeadline.IsZero() {
		return false
	}
	if c.headerDeadline.IsZero() {
		c.headerDeadline = time.Now().Add(c.pool.HeaderTimeout)
	}
	if c.closePending || !c.headerDeadline.Before(c.readDeadline) {
		return false
	}
	c.Conn.SetReadDeadline(c.headerDeadline)
	return true
}

// requestClose makes the reader do a final read, and close the connection if this finds no data.
func (c *conn) requestClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closePending = true
	c.Conn.SetReadDeadline(longPast)
}

// finalRead reads once more, without waiting, after requestClose or after a deadline has expired. If it finds
// data, the connection stays open. Without this read, a request that was received between the last check for
// data and the close was lost. With it, a request can be lost only in the instant of the close. A request that
// has started gets no more time, unless the process could not read when its deadline expired.
func (c *conn) finalRead(b []byte, timeout error) (n int, err error) {
	c.mu.Lock()
	eligible := c.closePending || !c.parser.inRequest() || c.deadlineInStall(time.Now())
	why := ReasonIdleTimeout
	if c.parser.started {
		why = ReasonHeaderTimeout
	}
	closePending := c.closePending
	c.mu.Unlock()
	defer func() {
		if n == 0 && !closePending {
			c.pool.reportEnd(why, c)
		}
	}()
	raw, err := c.SyscallConn()
	b = b[:c.maxReadable(len(b))]
	if !eligible || err != nil || len(b) == 0 {
		return 0, timeout
	}
	n, err = oserror.Read(func(b []byte) (n int, err error) {
		var errno error
		err = raw.Control(func(fd uintptr) {
			n, _, errno = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
		})
		return max(n, 0), errors.Join(err, errno)
	}, b)
	if err != nil || n == 0 {
		return 0, timeout
	}
	c.pool.cancelClose(c)
	return n, nil
}

// deadlineInStall reports whether the process may not have run when the current read deadline expired, with the
// lock held. What was received until then is in the socket.
func (c *conn) deadlineInStall(now time.Time) bool {
	deadline := c.capDeadline(c.readDeadline)
	if !c.headerDeadline.IsZero() && c.headerDeadline.Before(deadline) {
		deadline = c.headerDeadline
	}
	return !deadline.IsZero() && c.pool.stalls.earliestReceive(now).Before(deadline)
}

// cancelClose restores the server's read deadline after requestClose.
func (c *conn) cancelClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closePending = false; !c.applyHeaderDeadline() {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// requestStarted reports whether at least the first byte of an unanswered request has been read.
func (c *conn) requestStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parser.inRequest()
}

// requestDone prepares the connection for the next request.
func (c *conn) requestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parser.requestDone()
	c.countMemory()
	c.servedRequest = true
	c.receiveTimes.discard(c.parser.answeredOffset())
	c.responseStarted = false
	c.headerDeadline = time.Time{} // the next header gets its full time from now on
}

// SyscallConn gives access to the socket. Callers must not change its state.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}
