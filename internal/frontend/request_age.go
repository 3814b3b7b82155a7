package frontend

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/frontend/clientconn"
)

// requestAge is how long ago a request came to this machine. Its first bytes may lie behind the request
// before it on the connection, and its newest ones in the kernel while the process is stopped or starved;
// a request that counted as new then could be pushed after its client's TTL.
func requestAge(client context.Context) time.Duration {
	return max(newestBytesAge(client), clientconn.HeaderAge(client))
}

// newestBytesAge is how long ago the newest bytes on a request's connection came, as the kernel says.
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
