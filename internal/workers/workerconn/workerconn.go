// Package workerconn holds the connections to workers: it dials, keeps idle ones for a while, writes pushes and
// probes, and reads job lines until an exchange has ended.
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

// Bounds are what a site and a machine allow.
type Bounds struct {
	Open int           // connections at once
	Dial time.Duration // one that does not come up in this time never will
	Idle time.Duration // a worker closes one that has stood idle for this long
}

// reuseDelay is how long no push goes over a connection after the answer to another. A worker that answers twice does so some milliseconds
// later, and a bare status names no op: read as the next push's, a late 503 would prove falsely that it never ran. What comes in this
// time has the connection given up. After a probe there is no rest: what answers one proves nothing of a push, and the push that
// follows it goes over the same connection; with a rest there each op paid for a handshake.
const reuseDelay = 50 * time.Millisecond

type conn struct {
	net.Conn
	reader         *bufio.Reader
	limited        *limitedReader // below r
	addr           string
	idleSince      time.Time // idle since then
	attemptEndedAt time.Time // the last push on it, zero before one
}

// maxDialDelay is let pass between a connection's coming up and its being looked at. What decides on a push reckons that its first byte
// comes a dial later at the most: a group drops repeats within its window only, and a starved process is late.
const maxDialDelay = 100 * time.Millisecond

// Pool is all connections to workers.
type Pool struct {
	Connect func(ctx context.Context, network, addr string) (net.Conn, error) // set before use; nil: the network's own
	// Stale tells whether a push must not begin just now, as what it was decided by may hold no more; set before use, nil for never.
	Stale      func() bool
	bounds     Bounds
	reuseDelay time.Duration
	mu         sync.Mutex
	idle       map[string][]*conn // by address, the last used at the end
	open       int                // with those that are being dialled
	dialed     int
}

// New makes a pool without connections.
func New(b Bounds) *Pool { return &Pool{bounds: b, reuseDelay: reuseDelay, idle: map[string][]*conn{}} }

// Limit sets another bound on the connections that are open. Idle ones beyond it are closed.
func (p *Pool) Limit(open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds.Open = open
	for p.open > open && p.evict() {
	}
}

// evict closes the connection that stood idle longest, with the lock held; false where none is idle.
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

// Counts tells how many connections are open, and how many were dialled.
func (p *Pool) Counts() (open, dialed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}

// usable tells whether an idle connection may be written to: at the worker's own limit that ends as a reset.
func (p *Pool) usable(c *conn, now time.Time) bool {
	return now.Sub(c.idleSince) <= p.bounds.Idle*3/4 && c.isUntouched()
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

// take finds an idle connection that can still be written to, and for a push has rested.
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

// putBack keeps a connection that was not used as it was: for its worker it has stood idle all the while.
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

// reserve reserves a place for a new connection, if need be that of the connection that stood idle longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.bounds.Open && !p.evict() {
		return false
	}
	p.open++
	p.dialed++
	return true
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, outcome.Ending) {
	if !p.reserve() {
		return nil, outcome.NoDescriptor
	}
	connect := p.Connect
	if connect == nil {
		connect = (&net.Dialer{Timeout: p.bounds.Dial, KeepAlive: -1}).DialContext
	}
	began := time.Now()
	nc, err := connect(ctx, "tcp", addr)
	if err == nil && time.Since(began) <= p.bounds.Dial+maxDialDelay {
		g := &limitedReader{from: nc}
		return &conn{Conn: nc, reader: bufio.NewReaderSize(g, 4096), limited: g, addr: addr, idleSince: time.Now()}, outcome.Unknown
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
		return nil, outcome.CancelledUnsent // it was this side that came late, and nothing of that is the worker's doing
	case oserror.Classify(err) == oserror.DescriptorsExhausted:
		return nil, outcome.NoDescriptor
	case oserror.Classify(err) == oserror.ResourceExhausted, errors.Is(err, syscall.EAGAIN): // a connect that finds nothing to do lacks a port
		return nil, outcome.NoResource
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, outcome.ConnRefused
	case errors.As(err, &late) && late.Timeout():
		return nil, outcome.DialTimedOut
	}
	return nil, outcome.DialFailed
}

// isUntouched tells whether an idle connection is still as it was left: one that the worker has closed, or has
// written to unasked, must not be used again.
func (c *conn) isUntouched() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := Peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}

// Peek looks at what has come on a connection and leaves it there: how much, up to a byte. The error is EAGAIN
// where nothing has come yet, and none where the other side has closed.
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

// PeekAt is Peek for those who have the descriptor.
func PeekAt(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return max(n, 0), err
}
