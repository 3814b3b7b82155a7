package fleet

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// blockedListener is a listener at which no connection is established, as on a machine that has vanished. The
// kernel completes handshakes as long as the listener's backlog has space. The backlog is therefore reduced
// to the minimum, filled with connections from this process, and not accepted from. Later connection attempts
// get no answer.
type blockedListener struct {
	listener *net.TCPListener
	fillers  []net.Conn
}

const (
	blockedPollInterval = 5 * time.Millisecond // between two checks whether a blocked listener is unblocked
	fillTimeout         = 20 * time.Millisecond
	maxFillers          = 8
	fillRounds          = 3 // an accept in progress can free an entry of the backlog after a round
	fillPause           = time.Millisecond
	backlog             = 4096
)

// fillerAddrs holds the address pairs of filler connections. A pair stays in the map if the listener never
// accepts the filler, and the kernel reuses the filler's port later. A key therefore contains both addresses.
// With the port alone, a later connection from a scheduler would be taken for a filler and closed.
var fillerAddrs sync.Map

func isFiller(c net.Conn) bool {
	_, ok := fillerAddrs.LoadAndDelete(c.RemoteAddr().String() + " " + c.LocalAddr().String())
	return ok
}

// backlogFull reports whether a listener's backlog is full. For a listener, TCP_INFO holds the length of the
// backlog in Unacked and its limit in Sacked.
func backlogFull(l *net.TCPListener) (full bool, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false, err
	}
	var sockErr error
	if err := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, sockErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); sockErr == nil {
			full = info.Unacked > info.Sacked
		}
	}); err != nil {
		return false, err
	}
	return full, sockErr
}

func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	if err := raw.Control(func(fd uintptr) { sockErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return sockErr
}

func blockListener(l *net.TCPListener) (*blockedListener, error) {
	b := &blockedListener{listener: l}
	if err := setBacklog(l, 0); err != nil {
		return nil, err
	}
	l.SetDeadline(time.Unix(1, 0))
	for range fillRounds {
		for range maxFillers {
			if full, err := backlogFull(l); full || err != nil {
				break
			}
			if c, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout); err == nil {
				fillerAddrs.Store(c.LocalAddr().String()+" "+c.RemoteAddr().String(), true)
				b.fillers = append(b.fillers, c)
			}
		}
		time.Sleep(fillPause)
	}
	return b, nil
}

// unblock lets connections be established again.
func (b *blockedListener) unblock() {
	for _, c := range b.fillers {
		c.Close()
	}
	setBacklog(b.listener, backlog)
	b.listener.SetDeadline(time.Time{})
}
