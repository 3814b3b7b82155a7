package fleet

import (
	"net"
	"sync"
	"syscall"
	"time"
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
	mostFillers = 4
	backlog     = 4096
)

// own are the addresses of fillers, which are no scheduler's.
var own sync.Map

func isFiller(c net.Conn) bool {
	_, ok := own.LoadAndDelete(c.RemoteAddr().String())
	return ok
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
	for range mostFillers { // until one does not come up
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillTime)
		if err != nil {
			break
		}
		own.Store(c.LocalAddr().String(), true)
		s.fillers = append(s.fillers, c)
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
