package clientconn

import (
	"context"
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/workers/workerconn"
)

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

// awaitPeerClose waits until the peer has closed the connection or a read deadline expires. It calls onUnread for
// unread data, whose error ends the wait too. It returns known false if the connection has no socket.
func (c *conn) awaitPeerClose(onUnread func(fd uintptr) error) (known bool, err error) {
	raw, socketErr := c.SyscallConn()
	if socketErr != nil {
		return false, nil
	}
	var closed error
	if err := raw.Read(func(fd uintptr) bool {
		var unread bool
		if unread, closed = peerState(fd); unread && closed == nil {
			closed = onUnread(fd)
		}
		return closed != nil
	}); err != nil {
		return true, err
	}
	return true, closed
}

// handleUnread dates what is unread while a request is served, and reads it ahead if it may hide the peer's close.
func (c *conn) handleUnread(fd uintptr) error {
	c.recordUnread(fd)
	return c.readUnread(fd)
}

// leaveUnread leaves data unread, so that the close of the connection resets it.
func leaveUnread(uintptr) error { return nil }

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
