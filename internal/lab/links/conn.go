package links

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conn wraps one end of a connection in a link. Written bytes reach the socket late or never, and bytes from
// the socket are read late or never.
type Conn struct {
	net.Conn
	inLink       *Link // for received bytes
	outLink      *Link // for written bytes
	outDirection *Direction

	mu            sync.Mutex
	readChanged   *sync.Cond
	pieces        []piece // read from the socket, and not yet returned by Read
	unread        []byte  // the rest of the piece that Read has begun to return
	receivedAt    time.Time
	peerClosedAt  time.Time
	closed        bool
	readDeadline  time.Time
	arrivalTimer  *time.Timer
	deadlineTimer *time.Timer // fires at the read deadline
	onPeerClose   func()

	sendMu       sync.Mutex
	queueChanged *sync.Cond // signals that the queue has changed or the connection is closed
	queue        []outgoing
	sendClosed   bool
	unsent       atomic.Int64 // pieces that are written and not yet sent to the socket
	closeOnce    sync.Once
	done         chan struct{}
}

type piece struct {
	bytes      []byte
	arrivesAt  time.Time // when the link delivers it
	receivedAt time.Time // when it was read from the socket
	err        error
}

type outgoing struct {
	bytes []byte
	fate  Fate
}

// Limits of the memory of a connection.
const (
	pieceSize   = 4 << 10
	maxPieces   = 64 // received; beyond that the socket is not read, and the peer has to wait
	maxOutgoing = 256
)

// Wrap wraps a socket in a link.
func Wrap(socket net.Conn, link *Link) *Conn { return WrapAsymmetric(socket, link, link) }

// WrapAsymmetric wraps a socket in two links, one for each direction.
func WrapAsymmetric(socket net.Conn, in, out *Link) *Conn {
	conn := &Conn{Conn: socket, inLink: in, outLink: out, outDirection: out.NewDirection(), done: make(chan struct{})}
	conn.readChanged, conn.queueChanged = sync.NewCond(&conn.mu), sync.NewCond(&conn.sendMu)
	go conn.readLoop(in.NewDirection())
	go conn.sendLoop()
	return conn
}

// OnPeerClose sets a function that is called once, when the peer closes its side.
func (c *Conn) OnPeerClose(callback func()) {
	c.mu.Lock()
	closed := !c.peerClosedAt.IsZero()
	c.onPeerClose = callback
	c.mu.Unlock()
	if closed {
		callback()
	}
}

// ReceivedAt returns the time at which the byte that was last returned by Read was read from the socket.
func (c *Conn) ReceivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedAt
}

// readLoop reads from the socket as soon as bytes arrive, whatever the link does with them. The times at
// which the peer sends and closes are therefore known.
func (c *Conn) readLoop(direction *Direction) {
	first := true
	b := make([]byte, pieceSize)
	for {
		n, err := c.Conn.Read(b)
		now := time.Now()
		if n > 0 {
			fate := direction.Send(now, n, first)
			first = n == pieceSize // a full piece is followed by more of the same write
			p := piece{bytes: append([]byte(nil), b[:n]...), arrivesAt: fate.ArrivesAt, receivedAt: now}
			if direction.Mute() {
				p.bytes = nil
			}
			if fate.ResetBefore {
				p.err, p.bytes = ErrBroken, nil
			}
			c.add(p)
			if fate.ResetBefore || fate.ResetAfter {
				c.resetIn(time.Until(fate.ArrivesAt))
			}
		}
		if err != nil {
			c.mu.Lock()
			c.peerClosedAt = now
			callback := c.onPeerClose
			c.mu.Unlock()
			if callback != nil {
				callback()
			}
			arrivesAt := now
			if !direction.Mute() {
				arrivesAt = direction.Send(now, 0, false).ArrivesAt
			}
			c.add(piece{arrivesAt: arrivesAt, receivedAt: now, err: err})
			return
		}
	}
}

// ErrBroken is returned by Read when the link breaks the connection.
var ErrBroken = errors.New("the link has broken the connection")

// resetIn resets the connection after a delay.
func (c *Conn) resetIn(delay time.Duration) {
	time.AfterFunc(delay, func() {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	})
}

func (c *Conn) add(p piece) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pieces) >= maxPieces && !c.closed {
		c.readChanged.Wait()
	}
	if p.bytes != nil || p.err != nil {
		c.pieces = append(c.pieces, p)
	}
	c.readChanged.Broadcast()
}

// Read returns bytes that the link has delivered.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case len(c.unread) > 0:
			n := copy(b, c.unread)
			c.unread = c.unread[n:]
			return n, nil
		case !c.readDeadline.IsZero() && !now.Before(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		}
		cut, cutEnded := c.inLink.IsCut()
		if len(c.pieces) > 0 && !cut {
			p := c.pieces[0]
			if !now.Before(p.arrivesAt) {
				if p.err != nil {
					return 0, p.err
				}
				c.receivedAt, c.unread = p.receivedAt, p.bytes
				c.pieces = c.pieces[1:]
				c.readChanged.Broadcast()
				continue
			}
			c.wakeReadersAfter(p.arrivesAt.Sub(now))
		} else if cut {
			go func() { // the lock is not held during the cut
				select {
				case <-cutEnded:
				case <-c.done:
				}
				c.readChanged.Broadcast()
			}()
		}
		c.readChanged.Wait()
	}
}

// wakeReaders makes Read check its conditions again. Without the lock, the broadcast could come between a
// reader's check and its wait, and would be lost.
func (c *Conn) wakeReaders() {
	c.mu.Lock()
	c.readChanged.Broadcast()
	c.mu.Unlock()
}

func (c *Conn) wakeReadersAfter(delay time.Duration) {
	if c.arrivalTimer == nil {
		c.arrivalTimer = time.AfterFunc(delay, c.wakeReaders)
		return
	}
	c.arrivalTimer.Reset(delay)
}

// Write queues bytes for the link.
func (c *Conn) Write(b []byte) (int, error) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	for len(c.queue) >= maxOutgoing && !c.sendClosed {
		c.queueChanged.Wait()
	}
	if c.sendClosed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, outgoing{append([]byte(nil), b...), c.outDirection.Send(time.Now(), len(b), true)})
	c.unsent.Add(1)
	c.queueChanged.Broadcast()
	return len(b), nil
}

// nextOutgoing removes the next piece from the queue. It returns false once the connection is closed.
func (c *Conn) nextOutgoing() (out outgoing, ok bool) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	for len(c.queue) == 0 && !c.sendClosed {
		c.queueChanged.Wait()
	}
	if c.sendClosed {
		return out, false
	}
	out, c.queue = c.queue[0], c.queue[1:]
	if len(c.queue) == 0 {
		c.queue = nil // frees the memory: thousands of connections are idle
	}
	c.queueChanged.Broadcast()
	return out, true
}

func (c *Conn) sendLoop() {
	for {
		out, ok := c.nextOutgoing()
		if !ok || !c.sleep(time.Until(out.fate.ArrivesAt)) {
			return
		}
		if cut, cutEnded := c.outLink.IsCut(); cut {
			select {
			case <-cutEnded:
			case <-c.done:
				return
			}
		}
		switch {
		case c.outDirection.Mute():
		case out.fate.ResetBefore:
			c.Conn.Write(out.bytes[:len(out.bytes)/2])
			c.resetIn(0)
			return
		default:
			if _, err := c.Conn.Write(out.bytes); err != nil {
				return
			}
			if out.fate.ResetAfter {
				c.resetIn(0)
				return
			}
		}
		c.unsent.Add(-1)
	}
}

// sleep waits for a duration. It returns false if the connection is closed in the meantime.
func (c *Conn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.done:
		return false
	}
}

// CloseSoon closes the connection after all written bytes are sent, or after a time limit.
func (c *Conn) CloseSoon(limit time.Duration) {
	go func() {
		deadline := time.Now().Add(limit)
		for c.unsent.Load() > 0 && time.Now().Before(deadline) && c.sleep(time.Millisecond) {
		}
		c.Close()
	}()
}

// Close closes the connection immediately.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	c.mu.Lock()
	c.closed = true
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
	c.readChanged.Broadcast()
	c.mu.Unlock()
	c.sendMu.Lock()
	c.sendClosed, c.queue = true, nil
	c.queueChanged.Broadcast()
	c.sendMu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline of Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A single timer serves all deadlines. A timer for each deadline would keep a closed connection in memory
	// until it fires.
	switch c.readDeadline = t; {
	case t.IsZero() || c.closed:
	case c.deadlineTimer == nil:
		c.deadlineTimer = time.AfterFunc(time.Until(t), c.wakeReaders)
	default:
		c.deadlineTimer.Reset(time.Until(t))
	}
	c.readChanged.Broadcast()
	return nil
}

// SetDeadline sets the deadline of Read. Write has no deadline.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Forward forwards connections from a listener to an address through a link, until the listener is closed.
func Forward(l net.Listener, to string, link *Link) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go forwardConn(Wrap(conn, link), to)
	}
}

const drainTimeout = time.Minute // for data that is on the link when one side has closed

func forwardConn(local *Conn, to string) {
	remote, err := net.Dial("tcp", to)
	if err != nil {
		local.Close()
		return
	}
	defer remote.Close()
	copiedBack := make(chan struct{})
	go func() {
		io.Copy(local, remote)
		local.CloseSoon(drainTimeout)
		close(copiedBack)
	}()
	if _, err := io.Copy(remote, local); err != nil {
		remote.Close() // passes the failure on to the other side
	} else if t, ok := remote.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	<-copiedBack
}
