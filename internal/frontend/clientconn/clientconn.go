// Package clientconn accepts and tracks the connections opened to a scheduler, and limits their number.
package clientconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
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
	lingering            map[*conn]time.Time       // since when; not in open: see Linger
	readingStopped       atomic.Bool               // StopReading was called
	bodyDeadline         atomic.Pointer[time.Time] // set by StopReading for started bodies; nil before
	connClosed           chan struct{}             // gets a signal for a closed connection; buffers one
	requestMemory        requestMemory
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
	ReasonOutOfMemory   Reason = "requests hold too much memory"
	ReasonTooManyFields Reason = "too many header fields"
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
		lingering:    map[*conn]time.Time{},
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

func (g *Pool) hasConnections() bool { return g.Count() > 0 }

// Sockets returns the number of descriptors in use, including those of connections about to be closed.
func (g *Pool) Sockets() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open) + len(g.closePending) + len(g.lingering)
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

// Close stops accepting for good. It may be called more than once.
func (g *Pool) Close() error {
	err := g.Listener.Close()
	g.Resume()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
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
	c, _ := nc.(*conn)
	g.track(c, state)
	if state == http.StateIdle && c != nil && c.requestStarted() {
		runtime.Gosched() // a client that pipelines at full speed would use its whole time slice
	}
}

func (g *Pool) track(c *conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == http.StateActive {
		g.cancelCloseLocked(c) // the header was read just before requestClose
	}
	x := g.open[c]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.closePending, c)
		g.signalClosed()
	}
	if state == http.StateHijacked {
		g.startLinger(c)
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

// signalClosed wakes a new connection that waits for a slot.
func (g *Pool) signalClosed() {
	select {
	case g.connClosed <- struct{}{}:
	default:
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
	further := len(c.parser.pending) > 1 || c.parser.started && !stopped || c.ahead.retained.length > 0
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
