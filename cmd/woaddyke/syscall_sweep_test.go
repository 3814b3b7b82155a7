package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/syscallfault"
)

// syscallFailure is a system call and the errors with which it fails. The manual page of the call lists
// these errors.
type syscallFailure struct {
	name   string
	call   int
	errnos []syscall.Errno
}

// localFailures are failures of the local machine. They say nothing about a worker or a client, and no op
// may fail because of them. epoll_ctl is not among them: if it fails for a connection that was just
// accepted, the standard library closes that connection unread (docs/incidents/hunt.md, open risks).
var localFailures = []syscallFailure{
	{"socket", syscall.SYS_SOCKET, []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}},
	{"connect", syscall.SYS_CONNECT, []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM}},
	{"setsockopt", syscall.SYS_SETSOCKOPT, []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EDOM}},
	{"getsockopt", syscall.SYS_GETSOCKOPT, []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}},
	{"getsockname", syscall.SYS_GETSOCKNAME, []syscall.Errno{syscall.ENOBUFS}},
	{"getpeername", syscall.SYS_GETPEERNAME, []syscall.Errno{syscall.ENOBUFS, syscall.ENOTCONN}},
	{"close", syscall.SYS_CLOSE, []syscall.Errno{syscall.EINTR, syscall.EIO}},
	{"shutdown", syscall.SYS_SHUTDOWN, []syscall.Errno{syscall.ENOTCONN}},
	{"fcntl", syscall.SYS_FCNTL, []syscall.Errno{syscall.EAGAIN, syscall.EINTR}},
	{"ioctl", syscall.SYS_IOCTL, []syscall.Errno{syscall.EINVAL, syscall.ENOTTY}},
}

// Every fourth call of one kind of system call fails for a while. Every op must still be served, and no
// invariant may be violated.
func TestLocalSyscallFailuresFailNoOp(t *testing.T) {
	t.Parallel()
	const every, clients = 4, 40
	for _, x := range localFailures {
		for _, errno := range x.errnos {
			t.Run(fmt.Sprintf("%s %d", x.name, errno), func(t *testing.T) {
				t.Parallel()
				discovery, listen, received, _ := startHoldingWorker(t)
				p, s := startSupervised(t, listen, discovery, 512, x.call)
				go func() {
					for range received { // discards the ids
					}
				}()
				var n atomic.Int64
				s.SetDecide(func(c syscallfault.Call) syscall.Errno {
					if n.Add(1)%every != 0 {
						return 0
					}
					return errno
				})
				var all sync.WaitGroup
				var other sync.Map
				for k := range clients {
					all.Go(func() {
						status, err := postOp(listen, fmt.Sprint("op", k), 4*time.Second)
						if err != nil || status != http.StatusOK {
							other.Store(k, fmt.Sprint(status, " ", err))
						}
					})
				}
				all.Wait()
				s.SetDecide(nil)
				other.Range(func(k, what any) bool {
					t.Errorf("op %v: %v (%d calls failed)", k, what, s.Failed(x.call))
					return true
				})
				if status := postAt(t, listen, "after", 4*time.Second); status != http.StatusOK {
					t.Errorf("after the failures: %d: %s", status, p.log)
				}
				for rule, n := range readMetrics(t, p.console).Violations {
					if n > 0 {
						t.Errorf("invariant %s was violated %d times: %s", rule, n, p.log)
					}
				}
				t.Logf("%d calls failed, %v", s.Failed(x.call), strings.Count(p.log.String(), "\n"))
			})
		}
	}
}
