package frontend

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/frontend/clientconn"
)

// requestAge is how long ago a request came to this machine. What came first of it may lie behind the request before, and its newest bytes in
// the kernel while the process is stopped, starved or busy accepting others; taken as new, such requests were pushed seconds after their
// clients' TTL.
func requestAge(ctx context.Context) time.Duration {
	return max(newestBytesAge(ctx), clientconn.Waited(ctx))
}

// newestBytesAge is how long ago the newest bytes on a request's connection came. A beat that told of halts was dearer (67 us forty times a
// second) and saw only long ones.
func newestBytesAge(ctx context.Context) time.Duration {
	c, ok := clientconn.Of(ctx).(syscall.Conn)
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
