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

// Conn is one end of a connection as seen through a link: what is written to it reaches the socket late or never,
// and what comes from the socket is read late or never. The socket is the mouth of the link.
type Conn struct {
	net.Conn
	weather *Weather // of what comes
	away    *Weather // of what is written
	out     *Lane

	mu      sync.Mutex
	came    *sync.Cond
	pieces  []piece // read from the socket, not yet arrived or not yet taken
	taken   []byte  // of the first piece
	mouth   time.Time
	gone    time.Time
	closed  bool
	expires time.Time
	timer   *time.Timer
	alarm   *time.Timer // of the read deadline
	onGone  func()

	sending sync.Mutex
	moved   *sync.Cond // something was queued or taken, or the connection is closed
	queue   []sending
	over    bool
	pending atomic.Int64 // written, and not sent yet
	once    sync.Once
	done    chan struct{}
}

type piece struct {
	bytes []byte
	at    time.Time // arrives
	mouth time.Time // came to the socket
	fail  error
}

type sending struct {
	bytes []byte
	fate  Fate
}

// Bounds of a connection's own memory.
const (
	pieceSize   = 4 << 10
	mostPieces  = 64 // read ahead of their reader; then the socket is not read, and its peer must wait
	mostSending = 256
)

// Through puts a link before a socket.
func Through(c net.Conn, w *Weather) *Conn { return Between(c, w, w) }

// Between puts a link before a socket whose two directions have weathers of their own.
func Between(c net.Conn, in, out *Weather) *Conn {
	x := &Conn{Conn: c, weather: in, away: out, out: out.Lane(), done: make(chan struct{})}
	x.came, x.moved = sync.NewCond(&x.mu), sync.NewCond(&x.sending)
	go x.read(in.Lane())
	go x.send()
	return x
}

// OnGone sets what is called once when the peer ends its side, at the moment it does.
func (x *Conn) OnGone(f func()) {
	x.mu.Lock()
	now := !x.gone.IsZero()
	x.onGone = f
	x.mu.Unlock()
	if now {
		f()
	}
}

// Mouth is when the byte that was read last came to the link's mouth.
func (x *Conn) Mouth() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.mouth
}

// read takes pieces from the socket as they come, whatever the link makes of them: the moment at which a peer has
// closed or sent must be known.
func (x *Conn) read(lane *Lane) {
	first := true
	b := make([]byte, pieceSize)
	for {
		n, err := x.Conn.Read(b)
		now := time.Now()
		if n > 0 {
			f := lane.Send(now, n, first)
			first = n == pieceSize // what follows a full piece belongs to it
			p := piece{bytes: append([]byte(nil), b[:n]...), at: f.At, mouth: now}
			if lane.Mute() {
				p.bytes = nil
			}
			if f.Break {
				p.fail, p.bytes = ErrBroken, nil
			}
			x.add(p)
			if f.Break || f.After {
				x.breakOff(time.Until(f.At))
			}
		}
		if err != nil {
			x.mu.Lock()
			x.gone = now
			f := x.onGone
			x.mu.Unlock()
			if f != nil {
				f()
			}
			at := now
			if !lane.Mute() {
				at = lane.Send(now, 0, false).At
			}
			x.add(piece{at: at, mouth: now, fail: err})
			return
		}
	}
}

// ErrBroken is what a party reads whose link has broken the connection.
var ErrBroken = errors.New("the link has broken the connection")

// breakOff ends both sides with a reset.
func (x *Conn) breakOff(in time.Duration) {
	time.AfterFunc(in, func() {
		if t, ok := x.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		x.Close()
	})
}

func (x *Conn) add(p piece) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.pieces) >= mostPieces && !x.closed {
		x.came.Wait()
	}
	if p.bytes != nil || p.fail != nil {
		x.pieces = append(x.pieces, p)
	}
	x.came.Broadcast()
}

// Read gives what has arrived.
func (x *Conn) Read(b []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case x.closed:
			return 0, net.ErrClosed
		case len(x.taken) > 0:
			n := copy(b, x.taken)
			x.taken = x.taken[n:]
			return n, nil
		case !x.expires.IsZero() && !now.Before(x.expires):
			return 0, os.ErrDeadlineExceeded
		}
		silent, over := x.weather.Silent()
		if len(x.pieces) > 0 && !silent {
			p := x.pieces[0]
			if !now.Before(p.at) {
				if p.fail != nil {
					return 0, p.fail
				}
				x.mouth, x.taken = p.mouth, p.bytes
				x.pieces = x.pieces[1:]
				x.came.Broadcast()
				continue
			}
			x.wakeIn(p.at.Sub(now))
		} else if silent {
			go func() { // the lock is not held while the silence lasts
				select {
				case <-over:
				case <-x.done:
				}
				x.came.Broadcast()
			}()
		}
		x.came.Wait()
	}
}

// look has a reader look anew. Without the lock it could come between a reader's look and its sleep, and be missed for good.
func (x *Conn) look() {
	x.mu.Lock()
	x.came.Broadcast()
	x.mu.Unlock()
}

func (x *Conn) wakeIn(in time.Duration) {
	if x.timer == nil {
		x.timer = time.AfterFunc(in, x.look)
		return
	}
	x.timer.Reset(in)
}

// Write hands bytes to the link.
func (x *Conn) Write(b []byte) (int, error) {
	x.sending.Lock()
	defer x.sending.Unlock()
	for len(x.queue) >= mostSending && !x.over {
		x.moved.Wait()
	}
	if x.over {
		return 0, net.ErrClosed
	}
	x.queue = append(x.queue, sending{append([]byte(nil), b...), x.out.Send(time.Now(), len(b), true)})
	x.pending.Add(1)
	x.moved.Broadcast()
	return len(b), nil
}

// next takes what is to be sent next; false once the connection is closed.
func (x *Conn) next() (s sending, ok bool) {
	x.sending.Lock()
	defer x.sending.Unlock()
	for len(x.queue) == 0 && !x.over {
		x.moved.Wait()
	}
	if x.over {
		return s, false
	}
	s, x.queue = x.queue[0], x.queue[1:]
	if len(x.queue) == 0 {
		x.queue = nil // thousands of connections are idle
	}
	x.moved.Broadcast()
	return s, true
}

func (x *Conn) send() {
	for {
		s, ok := x.next()
		if !ok || !x.pause(time.Until(s.fate.At)) {
			return
		}
		if silent, over := x.away.Silent(); silent {
			select {
			case <-over:
			case <-x.done:
				return
			}
		}
		switch {
		case x.out.Mute():
		case s.fate.Break:
			x.Conn.Write(s.bytes[:len(s.bytes)/2])
			x.breakOff(0)
			return
		default:
			if _, err := x.Conn.Write(s.bytes); err != nil {
				return
			}
			if s.fate.After {
				x.breakOff(0)
				return
			}
		}
		x.pending.Add(-1)
	}
}

// pause waits, and tells whether the connection is still open then.
func (x *Conn) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.done:
		return false
	}
}

// CloseSoon closes once all that was written has been sent, or after a while.
func (x *Conn) CloseSoon(within time.Duration) {
	go func() {
		limit := time.Now().Add(within)
		for x.pending.Load() > 0 && time.Now().Before(limit) && x.pause(time.Millisecond) {
		}
		x.Close()
	}()
}

// Close ends the connection at once.
func (x *Conn) Close() error {
	x.once.Do(func() { close(x.done) })
	x.mu.Lock()
	x.closed = true
	if x.alarm != nil {
		x.alarm.Stop()
	}
	x.came.Broadcast()
	x.mu.Unlock()
	x.sending.Lock()
	x.over, x.queue = true, nil
	x.moved.Broadcast()
	x.sending.Unlock()
	return x.Conn.Close()
}

// SetReadDeadline bounds how long Read waits.
func (x *Conn) SetReadDeadline(t time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	// One timer for all deadlines: one for each would keep a closed connection for as long as its deadline.
	switch x.expires = t; {
	case t.IsZero() || x.closed:
	case x.alarm == nil:
		x.alarm = time.AfterFunc(time.Until(t), x.look)
	default:
		x.alarm.Reset(time.Until(t))
	}
	x.came.Broadcast()
	return nil
}

// SetDeadline bounds how long Read waits; a Write never does.
func (x *Conn) SetDeadline(t time.Time) error { return x.SetReadDeadline(t) }

// Forward carries connections from a listener to an address through a link, until the listener is closed.
func Forward(l net.Listener, to string, w *Weather) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go forward(Through(c, w), to)
	}
}

const longestWay = time.Minute // for what is still on a link when its party has ended

func forward(near *Conn, to string) {
	far, err := net.Dial("tcp", to)
	if err != nil {
		near.Close()
		return
	}
	defer far.Close()
	back := make(chan struct{})
	go func() {
		io.Copy(near, far)
		near.CloseSoon(longestWay)
		close(back)
	}()
	if _, err := io.Copy(far, near); err != nil {
		far.Close() // what broke here must break there
	} else if t, ok := far.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	<-back
}
