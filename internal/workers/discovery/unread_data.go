package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/workers/workerconn"
)

// watchConn is the connection of a watch. It knows whether something that came on it has not been handed on yet.
type watchConn struct {
	net.Conn
	raw syscall.RawConn

	mu       sync.Mutex // held while bytes go from the socket to here: they are seen in one of the two
	decoding bool       // what was read last
}

// Read is called again only when all that was read before has been decoded and told.
func (c *watchConn) Read(b []byte) (n int, err error) {
	c.setDecoded()
	var failed error
	err = c.raw.Read(func(fd uintptr) bool {
		n, failed = c.readAvailable(fd, b)
		return !errors.Is(failed, syscall.EAGAIN)
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return 0, fmt.Errorf("discovery: %w", err)
	}
	if n == 0 && len(b) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// readAvailable reads what is there, and waits for nothing.
func (c *watchConn) readAvailable(fd uintptr, b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if n, err = syscall.Read(int(fd), b); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	n = max(n, 0)
	c.decoding = n > 0
	return n, err
}

func (c *watchConn) setDecoded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decoding = false
}

// hasUnread tells whether something lies unread on it, or is being decoded. An end that nobody has read yet is such a thing too.
func (c *watchConn) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decoding {
		return true
	}
	var peeked error
	err := c.raw.Control(func(fd uintptr) { _, peeked = workerconn.PeekAt(fd) })
	return err == nil && !errors.Is(peeked, syscall.EAGAIN)
}

// dialWatch opens connections for watches.
func dialWatch(within time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		s, ok := nc.(syscall.Conn)
		if !ok {
			return nc, nil
		}
		raw, err := s.SyscallConn()
		if err != nil {
			nc.Close()
			return nil, err
		}
		return &watchConn{Conn: nc, raw: raw}, nil
	}
}

// withConnTrace has a watch's connection be the one that is looked at, from the moment at which the watch has it.
func (r *Client) withConnTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if c, ok := got.Conn.(*watchConn); ok {
			r.watchedConn.Store(c)
		}
	}})
}

// HasUnreadData tells whether something of discovery's lies before this process, or is being decoded: what it tells counts as told, though nobody
// here has taken it up. A process that stood has all of that at once, the ops that came meanwhile beside it.
func (r *Client) HasUnreadData() bool {
	c := r.watchedConn.Load()
	return c != nil && c.hasUnread()
}
