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

// watchConn is the connection of a watch. It detects data that has arrived but is not processed yet.
type watchConn struct {
	net.Conn
	raw syscall.RawConn

	// mu is locked while bytes move from the socket to the reader, so that hasUnread finds them either in the
	// socket or marked by decoding.
	mu       sync.Mutex
	decoding bool // the bytes of the last read are being processed
}

// Read is called again only after all previously read data has been decoded and reported.
func (c *watchConn) Read(b []byte) (n int, err error) {
	c.markDecoded()
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

func (c *watchConn) markDecoded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decoding = false
}

// hasUnread reports whether data is unread or being processed. The end of the connection counts as unread
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

// dialWatch returns a dial function for watch connections.
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

// withConnTrace returns a context for a call. The call's connection is stored in watchedConn once
// established.
func (c *Client) withConnTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if conn, ok := got.Conn.(*watchConn); ok {
			c.watchedConn.Store(conn)
		}
	}})
}

// HasUnreadData reports whether data of discovery has arrived but is not processed: its changes are already
// in force, though this process does not know them yet. A process that resumes after a stop finds such data
// together with the ops that arrived in the meantime.
func (c *Client) HasUnreadData() bool {
	conn := c.watchedConn.Load()
	return conn != nil && conn.hasUnread()
}
