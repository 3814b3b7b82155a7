package frontend

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/frontend/clientconn"
)

// requestAge returns how long ago a request arrived at this machine. Its first bytes may wait behind the
// previous request on the connection, and its newest bytes in the kernel while the process is stopped or
// starved. A request that counted as new after such a wait could be pushed after its client's TTL.
func requestAge(client context.Context) time.Duration {
	return max(newestBytesAge(client), clientconn.HeaderAge(client))
}

// newestBytesAge returns how long ago the newest bytes arrived on a request's connection, as the kernel
// reports it.
func newestBytesAge(client context.Context) time.Duration {
	c, ok := clientconn.FromContext(client).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var age time.Duration
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
