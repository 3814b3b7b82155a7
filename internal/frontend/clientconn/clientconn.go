// Package clientconn accepts and tracks the connections opened to a scheduler, and limits their number.
package clientconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/workers/workerconn"
)

const (
	pollInterval          = 2 * time.Millisecond  // between attempts to admit or accept a connection
	maxEvictionCandidates = 8                     // waiting connections that are checked for unread data
	evictionCloseTimeout  = 50 * time.Millisecond // a new connection waits for evicted ones to be closed
)

// Pool holds the connections accepted at one address. They share the process's descriptors with the
// connections to workers: too many client connections would leave none for pushing accepted ops. Connections
// that were never served are evicted first, so that a flood of new connections does not evict served ones.
type Pool struct {
	net.Listener
	AdmissionTimeout time.Duration // limits a new connection's wait for a slot; accepting stops meanwhile
	HeaderTimeout    time.Duration // limits the time to read a header: see applyHeaderDeadline; 0 for no limit
	MaxBodyBytes     int           // a request with a larger body is rejected; 0: nothing is read ahead
	// OnUnanswered is called when this side closes a connection on which a request with a complete header has
	// no answer, and the client has not disconnected. All callbacks are optional and must be set before use.
	OnUnanswered  func(addr string)
	OnEnded       func(Reason, string) // gets the address of a connection that this side closes or will close
	OnAcceptError func(error)          // called for each accept error after which accept is retried

	mu                   sync.Mutex
	softLimit, hardLimit int // see New
	open                 map[*conn]*connStatus
	stalls               stallDetector
	resumed              chan struct{}             // not nil while accepting is paused; closed by Resume
	closePending         map[*conn]bool            // about to be closed, not in open: see requestClose
	readingStopped       atomic.Bool               // StopReading was called
	bodyDeadline         atomic.Pointer[time.Time] // set by StopReading for started bodies; nil before
	connClosed           chan struct{}             // gets a signal for a closed connection; buffers one
	readAheadBytes       atomic.Int64              // retained by all connections: see readAhead
}

// Reason says why this side closes a connection or decides to. If a request is received before the close, the
// connection stays open.
type Reason string

// All reasons.
const (
	ReasonEvicted       Reason = "evicted for a new connection"
	ReasonDrained       Reason = "closed for a client drain or a shutdown"
	ReasonLimitReached  Reason = "connection limit reached"
	ReasonHeaderTimeout Reason = "header timeout"
	ReasonIdleTimeout   Reason = "idle timeout"
)

// reportEnd calls OnEnded, if set, for a connection.
func (g *Pool) reportEnd(why Reason, c net.Conn) {
	if g.OnEnded != nil {
		g.OnEnded(why, c.RemoteAddr().String())
	}
}

// connStatus is the state of an open connection.
type connStatus struct {
	stateSince time.Time // when the connection entered its state
	state      http.ConnState
	served     bool // MarkServed was called
}

func (x *connStatus) waiting() bool { return x.state == http.StateIdle || x.state == http.StateNew }

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
		if known, err := c.awaitPeerClose(); known {
			return 0, err
		}
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
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.finalRead(b, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parser.feed(b[:n])
	c.recordRead(time.Now())
	c.applyHeaderDeadline()
	return n, err
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
	c.mu.Unlock()
	c.dropReadAhead()
	if report && c.pool.OnUnanswered != nil && c.peerOpen() {
		c.pool.OnUnanswered(c.RemoteAddr().String())
	}
	return c.Conn.Close()
}

// peerOpen reports whether the peer has not closed the connection, as far as this machine knows now.
func (c *conn) peerOpen() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, closed := peerState(fd)
		open = closed == nil
	})
	return open && err == nil
}

// SetReadDeadline sets the server's read deadline. The server clears it (the zero time) only to watch for a
// disconnection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline = t; c.closePending {
		return nil // the expired deadline set by requestClose stays until finalRead
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
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// finalRead reads once more, without waiting, after requestClose or after the server's own deadline has
// expired. If it finds data, the connection stays open. Without this read, a request that was received
// between the last check for data and the close was lost. With it, a request can be lost only in the instant
// of the close.
func (c *conn) finalRead(b []byte, timeout error) (n int, err error) {
	c.mu.Lock()
	eligible := c.closePending || !c.parser.inRequest() // a started header gets no more time
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

// cancelClose restores the server's read deadline after requestClose.
func (c *conn) cancelClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closePending = false; !c.applyHeaderDeadline() {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// awaitPeerClose waits until the peer has closed the connection or a read deadline expires. It returns known
// false if the connection has no socket.
func (c *conn) awaitPeerClose() (known bool, err error) {
	raw, socketErr := c.SyscallConn()
	if socketErr != nil {
		return false, nil
	}
	var closed error
	if err := raw.Read(func(fd uintptr) bool {
		var unread bool
		if unread, closed = peerState(fd); unread && closed == nil {
			c.recordUnread(fd)
			closed = c.readUnread(fd)
		}
		return closed != nil
	}); err != nil {
		return true, err
	}
	return true, closed
}

// peerState reports whether data is unread, and how the peer has closed the connection: closed is nil if the
// peer has not. Go's network poller wakes awaitPeerClose only once for each change, so a close must not be
// missed. Where the peek cannot show it, peerState asks the kernel for the TCP state.
func peerState(fd uintptr) (unread bool, closed error) {
	n, err := workerconn.PeekAt(fd)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false, nil
	case err != nil && !oserror.IsLocal(err) && !errors.Is(err, syscall.EINTR):
		return false, err
	case err == nil && n == 0:
		return false, io.EOF
	case err != nil:
		n = unreadBytes(fd)
	}
	// Either data is unread, and the peek cannot show a close after it, or the peek failed for a local
	// reason. In both cases the TCP state shows a close; it shows a reset too.
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE) {
		return n > 0, io.EOF
	}
	return n > 0, nil
}

// hasUnreadData reports whether the socket holds unread data.
func (c *conn) hasUnreadData() bool {
	if c.hasReadAhead() {
		return true
	}
	n, err := workerconn.Peek(c.Conn)
	if err == nil || errors.Is(err, syscall.EAGAIN) {
		return n > 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { n = unreadBytes(fd) })
	return n > 0
}

// unreadBytes returns the number of unread bytes in a socket, 0 if it is not known.
func unreadBytes(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// Disconnected reports whether the client of a request has closed its connection, or its sending side, as far
// as this machine knows now.
func Disconnected(ctx context.Context) bool {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return false
	}
	return !c.peerOpen() // also true after a close on this side
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

// Heartbeat records that the process runs. A loop that runs at least once a second calls it. Heartbeats cost
// less than the ticks of stall detection: see stallDetector.
func (g *Pool) Heartbeat(now time.Time) { g.stalls.heartbeat(now) }

// New returns a pool with two limits. From the soft limit on, waiting connections are evicted for a new one.
// At the hard limit, a new connection that gets no free slot within AdmissionTimeout is closed unread.
func New(softLimit, hardLimit int) *Pool {
	return &Pool{
		softLimit:    softLimit,
		hardLimit:    hardLimit,
		open:         map[*conn]*connStatus{},
		closePending: map[*conn]bool{},
		connClosed:   make(chan struct{}, 1),
	}
}

// SoftLimit returns the number of open connections at which a new connection evicts a waiting one.
func (g *Pool) SoftLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.softLimit
}

// SetLimits changes both limits. Waiting connections beyond the hard limit are evicted.
func (g *Pool) SetLimits(softLimit, hardLimit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.softLimit, g.hardLimit = softLimit, hardLimit
	for len(g.open) > hardLimit && g.evictOldest() {
	}
}

// Count returns the number of open connections, without those that are about to be closed.
func (g *Pool) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// Sockets returns the number of descriptors in use, including those of connections about to be closed.
func (g *Pool) Sockets() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open) + len(g.closePending)
}

// CloseIdle closes at most maxCount connections that have waited for a request for at least minIdle, the
// longest waiting first. It spares a connection on which the first byte of a request has been received: the
// rest may follow in pieces, and the request must be served once the client has written its last byte.
func (g *Pool) CloseIdle(maxCount int, minIdle time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	idleSince := time.Now().Add(-minIdle)
	var idle []*conn
	for nc, x := range g.open {
		if x.waiting() && !x.stateSince.After(idleSince) {
			idle = append(idle, nc)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return g.open[a].stateSince.Compare(g.open[b].stateSince) })
	for _, nc := range idle {
		if maxCount == 0 {
			return
		}
		if !nc.hasUnreadData() && !nc.requestStarted() {
			g.reportEnd(ReasonDrained, nc)
			g.requestClose(nc)
			maxCount--
		}
	}
}

// Waiting returns how many connections wait for a request.
func (g *Pool) Waiting() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.open {
		if x.waiting() {
			n++
		}
	}
	return n
}

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
		l.SetDeadline(time.Unix(1, 0)) == nil {
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

// Close stops accepting for good. It may be called more than once.
func (g *Pool) Close() error {
	err := g.Listener.Close()
	g.Resume()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// tryAdmit admits a connection if a slot and a descriptor are free. Connections that are about to be closed
// still hold descriptors. If the connection is not admitted, closePending reports whether there are such
// connections.
func (g *Pool) tryAdmit(nc *conn) (admitted, closePending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.open) >= g.softLimit && g.evictOldest() {
	}
	if len(g.open) >= g.hardLimit || len(g.closePending) > 0 && len(g.open)+len(g.closePending) >= g.hardLimit {
		return false, len(g.closePending) > 0
	}
	g.open[nc] = &connStatus{stateSince: time.Now(), state: http.StateNew}
	return true, false
}

// evictOldest evicts the eviction candidate, with the lock held. It returns false if there is none.
func (g *Pool) evictOldest() bool {
	old := g.evictionCandidate()
	if old != nil {
		g.reportEnd(ReasonEvicted, old)
		g.requestClose(old)
	}
	return old != nil
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

// requestClose has a connection closed by its reader after a final read, with the lock held. A close without
// this read would lose a request that has just been received.
func (g *Pool) requestClose(nc *conn) {
	delete(g.open, nc)
	g.closePending[nc] = true
	nc.requestClose()
}

// cancelClose reverses requestClose for a connection on which the final read found data.
func (g *Pool) cancelClose(nc *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelCloseLocked(nc)
}

// cancelCloseLocked is cancelClose with the lock held.
func (g *Pool) cancelCloseLocked(nc *conn) {
	if g.closePending[nc] {
		delete(g.closePending, nc)
		g.open[nc] = &connStatus{stateSince: time.Now(), state: http.StateActive}
		nc.cancelClose()
	}
}

// Track updates the state of a connection. It is the server's ConnState callback.
func (g *Pool) Track(nc net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, _ := nc.(*conn)
	if state == http.StateActive {
		g.cancelCloseLocked(c) // the header was read just before requestClose
	}
	x := g.open[c]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.closePending, c)
		select {
		case g.connClosed <- struct{}{}:
		default:
		}
	}
	switch {
	case x == nil || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		delete(g.open, c)
	default:
		if state == http.StateIdle {
			c.requestDone()
		}
		x.state, x.stateSince = state, time.Now()
		g.closeIfIdle(c, state)
	}
}

// HasPipelinedRequest reports whether at least part of a further request has been received behind the current
// request.
func HasPipelinedRequest(ctx context.Context) bool {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	stopped := c.pool.readingStopped.Load()
	further := len(c.parser.pending) > 1 || c.parser.started && !stopped || len(c.ahead.retained) > 0
	bodyRead := c.parser.state == inHeader && !stopped
	c.mu.Unlock()
	if further || !bodyRead {
		return further
	}
	return c.hasUnreadData()
}

// SkipUnansweredCheck turns OnUnanswered off for the connection of a request whose end is not known. What was
// received behind this request cannot be parsed, and the connection is closed after the answer.
func SkipUnansweredCheck(ctx context.Context) {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipUnanswered = true
}

type contextKey struct{}

// NewContext returns a context that carries the connection of a request. It is the server's ConnContext
// callback.
func NewContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, nc)
}

// FromContext returns the connection of a request, nil if its context carries none.
func FromContext(ctx context.Context) net.Conn {
	nc, _ := ctx.Value(contextKey{}).(net.Conn)
	return nc
}

// MarkServed marks the connection of a request whose op was acked. Connections on which no op was
// acked are evicted before it, because they may belong to a flood.
func (g *Pool) MarkServed(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, _ := FromContext(ctx).(*conn)
	if x := g.open[c]; x != nil {
		x.served = true
	}
}
