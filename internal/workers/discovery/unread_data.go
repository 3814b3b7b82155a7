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

// watchConn is the connection of a watch. It tells whether data has arrived on it that is not processed
// yet.
type watchConn struct {
	net.Conn
	raw syscall.RawConn

	// mu is held while bytes go from the socket to the reader, so that hasUnread finds them in one of the
	// two.
	mu       sync.Mutex
	decoding bool // the bytes that were read last are being processed
}

// Read is called again only when all that was read before has been decoded and reported.
func (c *watchConn) Read(b []byte) (n int, err error) {
	c.setDecoded()
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.readAvailable(fd, b)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	if err == nil {
		err = readErr
	}
	if err != nil {
		return 0, fmt.Errorf("discovery: %w", err)
	}
	if n == 0 && len(b) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// readAvailable reads without blocking.
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

// hasUnread tells whether data is unread or being processed. The end of the connection counts as unread
// data until it has been read.
func (c *watchConn) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decoding {
		return true
	}
	var peekErr error
	err := c.raw.Control(func(fd uintptr) { _, peekErr = workerconn.PeekAt(fd) })
	return err == nil && !errors.Is(peekErr, syscall.EAGAIN)
}

// dialWatch returns a dialer of connections for watches.
func dialWatch(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		socket, ok := conn.(syscall.Conn)
		if !ok {
			return conn, nil
		}
		raw, err := socket.SyscallConn()
		if err != nil {
			conn.Close()
			return nil, err
		}
		return &watchConn{Conn: conn, raw: raw}, nil
	}
}

// withConnTrace stores a watch's connection in watchedConn as soon as the watch has it.
func (c *Client) withConnTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if conn, ok := got.Conn.(*watchConn); ok {
			c.watchedConn.Store(conn)
		}
	}})
}

// HasUnreadData tells whether data of discovery has arrived and is not processed: its changes are in
// force, though this process does not know them yet. A process that was stopped has all of that at once,
// beside the ops that came meanwhile.
func (c *Client) HasUnreadData() bool {
	conn := c.watchedConn.Load()
	return conn != nil && conn.hasUnread()
}
