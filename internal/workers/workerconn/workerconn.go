// Package workerconn manages the connections to workers: it dials them, reuses idle ones, writes attempts and
// load probes, and reads job lines until an exchange ends.
package workerconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/workers/outcome"
)

// Bounds are the limits given by the settings and the machine.
type Bounds struct {
	MaxOpen     int           // connections, including those being dialled
	DialTimeout time.Duration // for establishing a connection
	IdleTimeout time.Duration // after which the worker closes an idle connection
}

// reuseDelay is the minimum time from the response to an attempt until the next attempt on the same
// connection. A worker that responds twice does so some milliseconds later, and a status without job lines
// names no op: if a late 503 were read as the response to the next attempt, it would falsely prove that the
// next attempt never ran. A connection on which data arrives within the delay is closed. There is no delay
// after a load probe: its response proves nothing about an attempt, and the attempt that follows the probe
// reuses the connection.
const reuseDelay = 50 * time.Millisecond

type conn struct {
	net.Conn
	reader         *bufio.Reader
	limited        *limitedReader // source of reader
	addr           string
	idleSince      time.Time
	attemptEndedAt time.Time // end of the last attempt on it; zero if none
}

// maxDialDelay is the maximum time by which a dial may exceed its timeout, as in a process that is starved of
// CPU time. Decisions assume that the first byte of an attempt is sent at most one dial timeout after the
// decision, because a worker group drops duplicates only within its window.
const maxDialDelay = 100 * time.Millisecond

// Pool holds all connections to workers.
type Pool struct {
	// Connect dials a worker; nil for net.Dialer. It must be set before the pool is used.
	Connect func(ctx context.Context, network, addr string) (net.Conn, error)

	// Stale reports whether an update of the endpoint list is not applied yet. Decisions may then be
	// outdated, so no attempt may start. Nil means never. It must be set before the pool is used.
	Stale      func() bool
	bounds     Bounds
	reuseDelay time.Duration
	mu         sync.Mutex
	idle       map[string][]*conn // by address, the most recently used last
	open       int                // including those being dialled
	dialed     int
}

// New returns a pool without connections.
func New(b Bounds) *Pool { return &Pool{bounds: b, reuseDelay: reuseDelay, idle: map[string][]*conn{}} }

// SetMaxOpen sets the limit on open connections. Idle connections beyond it are closed.
func (p *Pool) SetMaxOpen(open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds.MaxOpen = open
	for p.open > open && p.evictOldest() {
	}
}

// evictOldest closes the connection that has been idle longest. It returns false if none is idle. The caller
// holds the lock.
func (p *Pool) evictOldest() bool {
	var oldest *conn
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	oldest.Close()
	p.open--
	return true
}

// Counts returns how many connections are open, and how many have been dialled.
func (p *Pool) Counts() (open, dialed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}

// isReusable reports whether an idle connection may be written to. Close to the worker's idle timeout, a
// write may be answered by a reset.
func (p *Pool) isReusable(c *conn, now time.Time) bool {
	return now.Sub(c.idleSince) <= p.bounds.IdleTimeout*3/4 && c.hasNoInput()
}

// Sweep closes idle connections that are too old or that the worker has closed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var unusable []*conn
	for addr, conns := range p.idle {
		usable := conns[:0]
		for _, c := range conns {
			if p.isReusable(c, now) {
				usable = append(usable, c)
			} else {
				unusable = append(unusable, c)
			}
		}
		if p.idle[addr] = usable; len(usable) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		p.discard(c)
	}
}

// takeIdle returns an idle connection that may be written to, nil if there is none. For an attempt, the reuse
// delay of the connection must be over.
func (p *Pool) takeIdle(addr string, isAttempt bool) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		conns := p.idle[addr]
		i := len(conns) - 1
		for i >= 0 && isAttempt && now.Sub(conns[i].attemptEndedAt) < p.reuseDelay {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[i]
		p.idle[addr] = slices.Delete(conns, i, i+1)
		p.mu.Unlock()
		if p.isReusable(c, now) {
			return c
		}
		p.discard(c)
	}
}

func (p *Pool) putUsed(c *conn) {
	c.idleSince = time.Now()
	p.putUnused(c)
}

// putUnused returns an unused connection to the pool and keeps its idleSince: for the worker it has been idle
// the entire time.
func (p *Pool) putUnused(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.addr]
	i := len(conns)
	for i > 0 && conns[i-1].idleSince.After(c.idleSince) {
		i--
	}
	p.idle[c.addr] = slices.Insert(conns, i, c)
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reserve counts a new connection. At the limit it first closes the connection that has been idle longest; it
// returns false if there is none.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.bounds.MaxOpen && !p.evictOldest() {
		return false
	}
	p.open++
	p.dialed++
	return true
}

// newConn wraps a connection that was just established.
func newConn(c net.Conn, addr string) *conn {
	limited := &limitedReader{source: c}
	reader := bufio.NewReaderSize(limited, 4096)
	return &conn{Conn: c, reader: reader, limited: limited, addr: addr, idleSince: time.Now()}
}

// dial opens a connection within the bounds. If it returns nil, the ending gives the reason.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, outcome.Ending) {
	if !p.reserve() {
		return nil, outcome.NoDescriptor
	}
	connect := p.Connect
	if connect == nil {
		connect = (&net.Dialer{Timeout: p.bounds.DialTimeout, KeepAlive: -1}).DialContext
	}
	startedAt := time.Now()
	nc, err := connect(ctx, "tcp", addr)
	if err == nil && time.Since(startedAt) <= p.bounds.DialTimeout+maxDialDelay {
		return newConn(nc, addr), outcome.Unknown
	}
	if err == nil {
		nc.Close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	var netErr net.Error
	switch {
	case err == nil:
		return nil, outcome.CancelledUnsent // only this process was late; proves nothing about the worker
	case oserror.Classify(err) == oserror.DescriptorsExhausted:
		return nil, outcome.NoDescriptor
	case oserror.Classify(err) == oserror.ResourceExhausted, errors.Is(err, syscall.EAGAIN):
		// connect(2) fails with EAGAIN if no local port is left.
		return nil, outcome.NoResource
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, outcome.ConnRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil, outcome.DialTimedOut
	}
	return nil, outcome.DialFailed
}

// hasNoInput reports whether nothing has arrived on an idle connection. A connection that the worker has
// closed, or on which it has sent unsolicited data, must not be used.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := Peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}

// Peek returns how many bytes have arrived on a connection, at most one, without consuming them. The error is
// EAGAIN if nothing has arrived yet. If the peer has closed the connection, n is 0 and the error nil.
func Peek(c net.Conn) (n int, err error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) { n, peekErr = PeekAt(fd) })
	return n, errors.Join(err, peekErr)
}

// PeekAt is Peek for a file descriptor.
func PeekAt(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return max(n, 0), err
}
