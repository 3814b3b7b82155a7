// Package workerconn has the connections to workers: it dials them, reuses idle ones, writes attempts and
// load probes, and reads job lines until an exchange has ended.
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

// Bounds are the limits that settings and the machine set.
type Bounds struct {
	MaxOpen     int           // connections at once
	DialTimeout time.Duration // for a connection to come up
	IdleTimeout time.Duration // after which a worker closes an idle connection
}

// reuseDelay is the least time from an attempt's answer to the next attempt on the same connection. A
// worker that answers twice does so some milliseconds later, and a bare status names no op: read as the
// answer to the next attempt, a late 503 would prove falsely that this one never ran. A connection on
// which something arrives within this time is closed. There is no delay after a load probe: its answer
// proves nothing of an attempt, and the attempt that follows it reuses the connection.
const reuseDelay = 50 * time.Millisecond

type conn struct {
	net.Conn
	reader         *bufio.Reader
	limited        *limitedReader // below reader
	addr           string
	idleSince      time.Time
	attemptEndedAt time.Time // zero before the first
}

// maxDialDelay is the most time between a connection's coming up and its use. Decisions assume that an
// attempt's first byte is sent one connect timeout later at most: a worker group drops repeats only
// within its window.
const maxDialDelay = 100 * time.Millisecond

// Pool has all connections to workers.
type Pool struct {
	// Connect dials a worker; set before use, nil for net.Dialer.
	Connect func(ctx context.Context, network, addr string) (net.Conn, error)

	// Stale tells whether no attempt may begin now, as its decision may be outdated; set before use, nil
	// for never.
	Stale      func() bool
	bounds     Bounds
	reuseDelay time.Duration
	mu         sync.Mutex
	idle       map[string][]*conn // by address, the last used at the end
	open       int                // with those that are being dialled
	dialed     int
}

// New returns a pool without connections.
func New(b Bounds) *Pool { return &Pool{bounds: b, reuseDelay: reuseDelay, idle: map[string][]*conn{}} }

// SetMaxOpen sets the bound on open connections. Idle ones beyond it are closed.
func (p *Pool) SetMaxOpen(open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds.MaxOpen = open
	for p.open > open && p.evict() {
	}
}

// evict closes the connection that has been idle longest, with the lock held. It returns false where none
// is idle.
func (p *Pool) evict() bool {
	var oldest *conn
	for _, few := range p.idle {
		if len(few) > 0 && (oldest == nil || few[0].idleSince.Before(oldest.idleSince)) {
			oldest = few[0]
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

// Counts returns how many connections are open, and how many were dialled.
func (p *Pool) Counts() (open, dialed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}

// usable tells whether an idle connection may be written to. At the worker's own idle limit a write may
// meet a reset.
func (p *Pool) usable(c *conn, now time.Time) bool {
	return now.Sub(c.idleSince) <= p.bounds.IdleTimeout*3/4 && c.isUntouched()
}

// Sweep closes idle connections that are too old or that the worker has closed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for addr, few := range p.idle {
		kept := few[:0]
		for _, c := range few {
			if p.usable(c, now) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// take returns an idle connection that may be written to, nil for none; for an attempt, one whose reuse
// delay is over.
func (p *Pool) take(addr string, push bool) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		few := p.idle[addr]
		k := len(few) - 1
		for k >= 0 && push && now.Sub(few[k].attemptEndedAt) < p.reuseDelay {
			k--
		}
		if k < 0 {
			p.mu.Unlock()
			return nil
		}
		c := few[k]
		p.idle[addr] = slices.Delete(few, k, k+1)
		p.mu.Unlock()
		if p.usable(c, now) {
			return c
		}
		p.drop(c)
	}
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.putBack(c)
}

// putBack returns a connection that was not used, with its idle time: for the worker it was idle all the
// while.
func (p *Pool) putBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	few := p.idle[c.addr]
	k := len(few)
	for k > 0 && few[k-1].idleSince.After(c.idleSince) {
		k--
	}
	p.idle[c.addr] = slices.Insert(few, k, c)
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reserve counts a new connection, and if need be closes the one that has been idle longest for it.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.bounds.MaxOpen && !p.evict() {
		return false
	}
	p.open++
	p.dialed++
	return true
}

// newConn returns a connection that came up just now.
func newConn(c net.Conn, addr string) *conn {
	limited := &limitedReader{from: c}
	reader := bufio.NewReaderSize(limited, 4096)
	return &conn{Conn: c, reader: reader, limited: limited, addr: addr, idleSince: time.Now()}
}

// dial opens a connection within the bounds; the ending says why there is none.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, outcome.Ending) {
	if !p.reserve() {
		return nil, outcome.NoDescriptor
	}
	connect := p.Connect
	if connect == nil {
		connect = (&net.Dialer{Timeout: p.bounds.DialTimeout, KeepAlive: -1}).DialContext
	}
	began := time.Now()
	nc, err := connect(ctx, "tcp", addr)
	if err == nil && time.Since(began) <= p.bounds.DialTimeout+maxDialDelay {
		return newConn(nc, addr), outcome.Unknown
	}
	if err == nil {
		nc.Close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	var late net.Error
	switch {
	case err == nil:
		return nil, outcome.CancelledUnsent // this side was late: it proves nothing of the worker
	case oserror.Classify(err) == oserror.DescriptorsExhausted:
		return nil, outcome.NoDescriptor
	case oserror.Classify(err) == oserror.ResourceExhausted, errors.Is(err, syscall.EAGAIN):
		// Connect fails with EAGAIN where no local port is left.
		return nil, outcome.NoResource
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, outcome.ConnRefused
	case errors.As(err, &late) && late.Timeout():
		return nil, outcome.DialTimedOut
	}
	return nil, outcome.DialFailed
}

// isUntouched tells whether nothing has arrived on an idle connection: one that the worker has closed, or
// written to unasked, must not be used.
func (c *conn) isUntouched() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := Peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}

// Peek returns how many bytes have arrived on a connection, up to one, and leaves them there. The error
// is EAGAIN where nothing has arrived yet, and nil where the other side has closed.
func Peek(c net.Conn) (n int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peeked error
	err = raw.Control(func(fd uintptr) { n, peeked = PeekAt(fd) })
	return n, errors.Join(err, peeked)
}

// PeekAt is Peek for a descriptor.
func PeekAt(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return max(n, 0), err
}
