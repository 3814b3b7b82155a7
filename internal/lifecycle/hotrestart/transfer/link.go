package transfer

import (
	"errors"
	"math"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/base/oserror"
)

const (
	// maxUnsentBytes limits the announcements that wait while the successor reads the state.
	maxUnsentBytes = 4 << 20
	// maxArrived limits the announcements that were read and not taken. Further ones stay in the socket, and the
	// other process can't announce more than fits there.
	maxArrived = 1 << 17
	// linkBufferBytes is the requested size of the socket's send buffer. The system may allow less.
	linkBufferBytes = 1 << 20
	// startRetryInterval is the time between two attempts to send the last bytes that precede announcements.
	startRetryInterval = time.Millisecond

	readBufferBytes = 16 << 10
)

// ErrLinkFull means that the other process can't be informed now, since it has not read for a while.
var ErrLinkFull = errors.New("handover: the other process does not read announcements")

// Link connects the two processes of a hot restart while both admit ops. A process announces the key of each op
// before the first attempt of the op, and then reads what the other one has announced. The kernel orders these
// calls: of two processes that announce one key, at least one reads the announcement of the other before it
// attempts the op. That holds however long a process is stopped between the calls, and without waiting for
// the other process.
type Link struct {
	conn    *retryConn
	raw     syscall.RawConn
	changed chan struct{} // receives a value after announcements have arrived; closed once the link has ended
	started chan struct{} // closed when the other process has sent a start marker
	ended   chan struct{} // closed when the other process has ended or has closed the link

	mu        sync.Mutex
	open      bool   // the other process reads announcements
	failed    bool   // the other process has ended or has closed the link
	unsent    []byte // not sent yet
	received  []byte // the start of an announcement
	arrived   []Announcement
	readBytes []byte
}

// newLink returns a link over a connection. A link that is not open keeps its announcements until start.
func newLink(conn *retryConn, open bool) (*Link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn.SetWriteBuffer(linkBufferBytes) // without it, less fits while the other process is stopped
	return &Link{
		conn:      conn,
		raw:       raw,
		open:      open,
		changed:   make(chan struct{}, 1),
		started:   make(chan struct{}),
		ended:     make(chan struct{}),
		readBytes: make([]byte, readBufferBytes),
	}, nil
}

// Changed receives a value after announcements have arrived. It is closed once the link has ended.
func (l *Link) Changed() <-chan struct{} { return l.changed }

// Started is closed in a predecessor when its successor has called SignalServing.
func (l *Link) Started() <-chan struct{} { return l.started }

// Ended is closed when the other process has ended.
func (l *Link) Ended() <-chan struct{} { return l.ended }

// SignalServing informs the predecessor that this process serves clients.
func (l *Link) SignalServing() error { return l.Announce(startMarker) }

// AwaitStart waits until all that the predecessor announced while it handed over has arrived, or until it has
// ended. It returns false if neither happens in time.
func (l *Link) AwaitStart() bool {
	select {
	case <-l.started:
	case <-l.ended:
	case <-time.After(receiveTimeout):
		return false
	}
	return true
}

// Announce informs the other process of the key of an op. It returns ErrLinkFull if that is impossible now, and
// nil if there is no other process. It does not wait.
func (l *Link) Announce(a Announcement) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return nil
	}
	before := len(l.unsent)
	l.unsent = a.append(l.unsent)
	if !l.open {
		if len(l.unsent) > maxUnsentBytes {
			l.unsent = l.unsent[:before]
			return ErrLinkFull
		}
		return nil // the successor does not admit ops before start
	}
	length := len(l.unsent) - before
	l.flush()
	if len(l.unsent) == 0 || l.failed {
		return nil
	}
	if len(l.unsent) >= length { // no byte of it was sent
		l.unsent = l.unsent[:len(l.unsent)-length]
	}
	return ErrLinkFull
}

// Announced returns what the other process has announced since the last call. Without an error, that includes
// all that the other process sent before this call.
func (l *Link) Announced() ([]Announcement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	l.raw.Control(func(fd uintptr) { err = l.read(fd, math.MaxInt) }) // fails only if nothing more can arrive
	arrived := l.arrived
	l.arrived = nil
	return arrived, err
}

// start sends the announcements of the time of the handover, and opens the link.
func (l *Link) start() error {
	l.conn.SetDeadline(time.Now().Add(sendTimeout))
	for {
		waiting, opened := l.takeUnsent()
		if opened {
			break
		}
		if _, err := l.conn.Write(waiting); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(sendTimeout); !l.flushed(); time.Sleep(startRetryInterval) {
		if time.Now().After(deadline) {
			return ErrLinkFull
		}
	}
	return l.conn.SetDeadline(time.Time{})
}

// takeUnsent removes and returns the announcements that wait. If there are none, it opens the link.
func (l *Link) takeUnsent() (waiting []byte, opened bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting, l.unsent = l.unsent, nil
	if len(waiting) > 0 {
		return waiting, false
	}
	l.unsent = startMarker.append(nil)
	l.open = true
	return nil, true
}

// flushed sends what is not sent yet, and reports whether nothing is left.
func (l *Link) flushed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flush()
	return len(l.unsent) == 0 || l.failed
}

// flush sends as much of the unsent bytes as the socket takes. The caller holds the lock.
func (l *Link) flush() {
	err := l.raw.Control(func(fd uintptr) {
		for len(l.unsent) > 0 && !l.failed {
			n, err := unix.Write(int(fd), l.unsent)
			switch {
			case err == nil:
				l.unsent = l.unsent[n:]
			case err == unix.EINTR:
			case err == unix.EAGAIN || oserror.IsLocal(err):
				return
			default:
				l.failed = true
			}
		}
	})
	if err != nil {
		l.failed = true // this process has closed the link
	}
}

// read reads what has arrived, without waiting, until limit announcements are to be taken. It returns an error
// if this machine lacks a resource for the call, which must be repeated then. The caller holds the lock.
func (l *Link) read(fd uintptr, limit int) error {
	for !l.failed && len(l.arrived) < limit {
		n, err := unix.Read(int(fd), l.readBytes)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return nil
		case oserror.IsLocal(err):
			return err
		case err != nil || n == 0:
			l.failed = true
		default:
			l.decode(l.readBytes[:n])
		}
	}
	return nil
}

// decode decodes the announcements in received bytes.
func (l *Link) decode(data []byte) {
	l.received = append(l.received, data...)
	for {
		a, length := decodeAnnouncement(l.received)
		if length == 0 {
			return
		}
		l.received = l.received[length:]
		if a.Key != "" {
			l.arrived = append(l.arrived, a)
			continue
		}
		select {
		case <-l.started:
		default:
			close(l.started)
		}
	}
}

// run reads announcements until the link ends.
func (l *Link) run() {
	defer close(l.changed)
	defer close(l.ended)
	l.raw.Read(func(fd uintptr) (done bool) {
		for failures := 1; ; failures++ {
			done, err := l.readAndSignal(fd)
			if err == nil {
				return done
			}
			time.Sleep(oserror.Backoff(failures)) // the socket does not become readable again for the same bytes
		}
	})
	l.mu.Lock()
	l.failed = true
	l.mu.Unlock()
}

// readAndSignal reads what has arrived. It reports whether the link has ended, and an error as read does.
func (l *Link) readAndSignal(fd uintptr) (done bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err = l.read(fd, maxArrived)
	if len(l.arrived) > 0 {
		l.signalChange()
	}
	return l.failed, err
}

func (l *Link) signalChange() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}
