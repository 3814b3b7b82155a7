package fleet

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// shut is a listener on which no connection comes up, as on a machine that has vanished. The kernel itself answers
// a connection as long as there is room in the listener's queue: so the queue is made as short as can be, filled
// from here, and not emptied. What is dialled then gets no answer at all.
type shut struct {
	l       *net.TCPListener
	fillers []net.Conn
}

const (
	shutLook    = 5 * time.Millisecond // how often a silent listener looks whether it may speak
	fillTime    = 20 * time.Millisecond
	mostFillers = 8
	fillLooks   = 3 // at the queue: a connection that was being taken when the listener fell silent leaves room behind
	fillPause   = time.Millisecond
	backlog     = 4096
)

// own are both ends of fillers' connections, which are no scheduler's. One that never came up here stays in it, and its port is given out
// again: by that alone a scheduler's connection would be taken for it, and be closed.
var own sync.Map

func isFiller(c net.Conn) bool {
	_, ok := own.LoadAndDelete(c.RemoteAddr().String() + " " + c.LocalAddr().String())
	return ok
}

// full tells whether no further connection comes up at a listener. The kernel counts in TCP_INFO what waits there and how much may.
func full(l *net.TCPListener) (is bool, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false, err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); failed == nil {
			is = info.Unacked > info.Sacked
		}
	}); err != nil {
		return false, err
	}
	return is, failed
}

func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}

func shutListener(l *net.TCPListener) (*shut, error) {
	s := &shut{l: l}
	if err := setBacklog(l, 0); err != nil {
		return nil, err
	}
	l.SetDeadline(time.Unix(1, 0))
	for range fillLooks {
		for range mostFillers {
			if is, err := full(l); is || err != nil {
				break
			}
			if c, err := net.DialTimeout("tcp", l.Addr().String(), fillTime); err == nil {
				own.Store(c.LocalAddr().String()+" "+c.RemoteAddr().String(), true)
				s.fillers = append(s.fillers, c)
			}
		}
		time.Sleep(fillPause)
	}
	return s, nil
}

// open lets connections come up again.
func (s *shut) open() {
	for _, c := range s.fillers {
		c.Close()
	}
	setBacklog(s.l, backlog)
	s.l.SetDeadline(time.Time{})
}
