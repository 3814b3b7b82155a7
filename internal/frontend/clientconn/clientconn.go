// Package clientconn holds the connections that others open to a scheduler, within a bound on their number.
package clientconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/workers/workerconn"
)

const (
	look      = 2 * time.Millisecond  // between two looks for room
	mostLooks = 8                     // at connections that wait, for one on which nothing has come
	closeTime = 50 * time.Millisecond // for connections whose wait was ended to be closed, before a newcomer is
)

// Pool are the connections at one address. They share the descriptors with those to workers: too many of
// them would leave ops that can't be pushed. Those that were never served give way first, so that a flood
// takes its room from itself.
type Pool struct {
	net.Listener
	AdmissionTimeout time.Duration // for which a newcomer that finds no room waits, and all behind it, before it is closed
	HeaderTimeout    time.Duration // from a head's first byte on, or from when it is read, until it has to be whole; 0 for no bound
	// OnUnanswered is told of each connection that this side closes though a request that was read whole, as far as its head, has no answer and
	// its client is there; set before use, nil for nobody.
	OnUnanswered  func(addr string)
	OnEnded       func(Reason, string) // told why this side ends a connection or its wait, and whose it is; set before use, nil for nobody
	OnAcceptError func(error)          // told of each failure of accept that is waited out; set before use, nil for nobody

	mu         sync.Mutex
	most, full int // from the first on others give way to a newcomer; at the second it is closed unread
	open       map[*conn]*entry
	stands     standstill
	paused     chan struct{}             // nil while connections are accepted; closed when they are again
	parted     map[*conn]bool            // told that their wait is over, and not closed yet
	stopped    atomic.Bool               // no further request is read
	bodiesBy   atomic.Pointer[time.Time] // by when a body that has begun has to be whole then; nil before
	closed     chan struct{}             // has one when a connection has been closed since it was emptied
}

// Reason is why this side ends a connection, or its wait for a request.
type Reason string

// The reasons, a closed set.
const (
	GaveWay   Reason = "it gave way to another"
	ToLeave   Reason = "its client is sent away"
	NoRoom    Reason = "there is no room"
	HeadLate  Reason = "a head that began did not come whole"
	RestsLong Reason = "it rested for too long"
)

// ended tells why a connection ends.
func (g *Pool) ended(why Reason, c net.Conn) {
	if g.OnEnded != nil {
		g.OnEnded(why, c.RemoteAddr().String())
	}
}

type entry struct {
	since  time.Time // as it is now
	state  http.ConnState
	served bool // it was given what it came for
}

func (x *entry) waits() bool { return x.state == http.StateIdle || x.state == http.StateNew }

// conn follows what is read of a request: until its head is whole the server says that the connection waits.
type conn struct {
	net.Conn
	of *Pool

	mu       sync.Mutex
	requests follower
	arrived  arrivals
	queued   arrival   // bytes that had come before the connection was accepted, and since when they may have
	deadline time.Time // that the server has set for reading; zero for none
	headBy   time.Time // by when the head that has begun has to be whole; zero while none has, or nobody reads it
	parted   bool      // its wait is over
	forfeit  bool      // nobody is owed an answer any more: where its requests begin and end is not known
	used     bool      // a request was served on it
	answered bool      // something of an answer to the request that is served has been written
}

// Read reads, but for the one byte that the standard server asks for, without a deadline, while a request is served: that is its
// way to see that the client leaves. Once it has such a byte it looks no more, and a client that sent one and left had its op
// pushed. Here the end alone answers that call; what comes before it stays in the kernel for the next request.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	watches := len(b) == 1 && c.deadline.IsZero()
	c.mu.Unlock()
	if watches {
		if known, err := c.awaitEnd(); known {
			return 0, err
		}
	}
	if b = b[:c.readable(len(b))]; len(b) == 0 {
		return 0, io.EOF
	}
	n, err := oserror.Read(c.Conn.Read, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.last(b, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.feed(b[:n])
	c.sawRead(time.Now())
	c.bound()
	return n, err
}

// Write goes on where this machine lacks something for a moment: its client waits for that answer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := oserror.Write(c.Conn.Write, b)
	if n > 0 {
		c.mu.Lock()
		c.answered = true
		c.mu.Unlock()
	}
	return n, err
}

// Close says so where a request has no answer though its client waits for it.
func (c *conn) Close() error {
	c.mu.Lock()
	owed := len(c.requests.awaited)
	if c.answered {
		owed--
	}
	owes := owed > 0 && !c.forfeit
	c.mu.Unlock()
	if owes && c.of.OnUnanswered != nil && c.there() {
		c.of.OnUnanswered(c.RemoteAddr().String())
	}
	return c.Conn.Close()
}

// there tells whether the other side has not ended, as far as this machine knows now.
func (c *conn) there() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	there := false
	err = raw.Control(func(fd uintptr) {
		_, ended := end(fd)
		there = ended == nil
	})
	return there && err == nil
}

// SetReadDeadline is how the server says what it reads for: all but the watch for the client's end has a deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline = t; c.parted {
		return nil // it has one that has passed, until the last look at it
	}
	if c.bound() {
		return nil
	}
	return c.Conn.SetReadDeadline(c.limited(t))
}

// bound has a head that has begun be whole within its time, with the lock held; false where that is no earlier than what the server has
// set. The server itself takes a connection for resting until the fourth byte of a request. A request that is being served has no
// deadline, and what comes behind it waits for its end.
func (c *conn) bound() bool {
	if !c.requests.begun || c.of.HeaderTimeout == 0 {
		c.headBy = time.Time{}
		return false
	}
	if c.deadline.IsZero() {
		return false
	}
	if c.headBy.IsZero() {
		c.headBy = time.Now().Add(c.of.HeaderTimeout)
	}
	if c.parted || !c.headBy.Before(c.deadline) {
		return false
	}
	c.Conn.SetReadDeadline(c.headBy)
	return true
}

// part has its reader look once more for a request, and close it where there is none.
func (c *conn) part() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parted = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// last is the last look at a connection whose wait is over, also by the server's own deadline: what came until now is read, and it
// goes on. Between a look before that and the close a request was lost; now there is only the instant of the close itself.
func (c *conn) last(b []byte, late error) (n int, err error) {
	c.mu.Lock()
	looks := c.parted || !c.requests.busy() // one that dribbles its head has had its time
	why := RestsLong
	if c.requests.begun {
		why = HeadLate
	}
	parted := c.parted
	c.mu.Unlock()
	defer func() {
		if n == 0 && !parted {
			c.of.ended(why, c)
		}
	}()
	raw, err := c.SyscallConn()
	b = b[:c.readable(len(b))]
	if !looks || err != nil || len(b) == 0 {
		return 0, late
	}
	n, err = oserror.Read(func(b []byte) (n int, err error) {
		var no error
		err = raw.Control(func(fd uintptr) { n, _, no = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT) })
		return max(n, 0), errors.Join(err, no)
	}, b)
	if err != nil || n == 0 {
		return 0, late
	}
	c.of.goesOn(c)
	return n, nil
}

// goesOn lets a connection be read as the server wants it.
func (c *conn) goesOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parted = false; !c.bound() {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// awaitEnd waits until the other side has ended or a deadline is set that passes. It is not known how where there is no socket.
func (c *conn) awaitEnd() (known bool, err error) {
	raw, no := c.SyscallConn()
	if no != nil {
		return false, nil
	}
	var ended error
	if err := raw.Read(func(fd uintptr) bool {
		var unread bool
		if unread, ended = end(fd); unread && ended == nil {
			c.sawUnread(fd)
		}
		return ended != nil
	}); err != nil {
		return true, err
	}
	return true, ended
}

// end is how the other side has ended, nil where it has not, and whether something of it lies unread. The poller reports each change once,
// so a look that fails must not pass for one that found nothing.
func end(fd uintptr) (unread bool, ended error) {
	n, err := workerconn.PeekAt(fd)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false, nil
	case err != nil && !oserror.IsLocal(err) && !errors.Is(err, syscall.EINTR):
		return false, err
	case err == nil && n == 0:
		return false, io.EOF
	case err != nil:
		n = unreadBytes(fd)
	}
	// Something lies before the end, if there is one, or this machine can't look: the state of the connection tells.
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE) { // it ended, or reset
		return n > 0, io.EOF
	}
	return n > 0, nil
}

// hasUnread tells whether something of the other side lies unread.
func (c *conn) hasUnread() bool {
	n, err := workerconn.Peek(c.Conn)
	if err == nil || errors.Is(err, syscall.EAGAIN) {
		return n > 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { n = unreadBytes(fd) })
	return n > 0
}

// unreadBytes is how many bytes lie in a socket; 0 where that is not known.
func unreadBytes(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// Disconnected tells whether the client of a request has ended its connection or its sending, as far as this machine knows now.
func Disconnected(ctx context.Context) bool {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return false
	}
	return !c.there() // or it is closed here
}

// begun tells whether the first byte of a request has been read.
func (c *conn) begun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.busy()
}

// next awaits another request.
func (c *conn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.served()
	c.used = true
	c.arrived.forget(c.requests.answeredUpTo())
	c.answered = false
	c.headBy = time.Time{} // what came of the next one meanwhile was not read by anybody
}

// SyscallConn is for those who look at the socket and leave it as it is.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Heartbeat is a sign of life of the process, by whoever has something to do once a second or more often. What it is needed for costs more
// without: see standstill.
func (g *Pool) Heartbeat(now time.Time) { g.stands.sign(now) }

// New makes room for so many connections: from the first bound on others give way to a newcomer, at the second it
// is closed unread.
func New(most, full int) *Pool {
	return &Pool{most: most, full: full, open: map[*conn]*entry{}, parted: map[*conn]bool{}, closed: make(chan struct{}, 1)}
}

// SoftLimit is the first bound.
func (g *Pool) SoftLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most
}

// SetLimits sets other bounds. Of those that are open as many give way as wait and lie beyond the second one.
func (g *Pool) SetLimits(most, full int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.most, g.full = most, full
	for len(g.open) > full && g.giveWay() {
	}
}

// Count is how many are open.
func (g *Pool) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// Sockets is how many are open or about to be closed: their descriptors are taken still.
func (g *Pool) Sockets() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open) + len(g.parted)
}

// CloseIdle ends the wait of at most so many that have waited for a request for so long, the longest waiting first. One on which a
// first byte has come is none of them: the rest comes in pieces, and once its last byte is written the request is taken.
func (g *Pool) CloseIdle(most int, waited time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := time.Now().Add(-waited)
	var wait []*conn
	for nc, x := range g.open {
		if x.waits() && !x.since.After(before) {
			wait = append(wait, nc)
		}
	}
	slices.SortFunc(wait, func(a, b *conn) int { return g.open[a].since.Compare(g.open[b].since) })
	for _, nc := range wait {
		if most == 0 {
			return
		}
		if !nc.hasUnread() && !nc.begun() {
			g.ended(ToLeave, nc)
			g.part(nc)
			most--
		}
	}
}

// Waiting is how many wait for a request.
func (g *Pool) Waiting() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.open {
		if x.waits() {
			n++
		}
	}
	return n
}

// Accept takes connections while there is room. What is closed here costs no goroutine and no buffer; the
// server's own loop would take hundreds before the first of them gives way.
func (g *Pool) Accept() (net.Conn, error) {
	failures := 0 // in a row
	for {
		nc, err := g.Listener.Accept()
		if paused := g.pausing(); paused != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			<-paused
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // it was paused, and is no more
		}
		if err != nil {
			if oserror.IsPermanent(err) {
				return nil, err
			}
			failures++
			g.outlast(err, failures)
			continue
		}
		failures = 0
		if c := (&conn{Conn: nc, of: g}); g.admitSoon(c) {
			c.noteQueued()
			return c, nil
		}
		g.ended(NoRoom, nc)
		nc.Close()
	}
}

// outlast waits after a failure of accept. Where there is no descriptor somebody gives way, but not at the first word of it: that may be
// a moment's, and it cost a client its place while hundreds were free.
func (g *Pool) outlast(err error, failures int) {
	if g.OnAcceptError != nil {
		g.OnAcceptError(err)
	}
	if oserror.Classify(err) != oserror.DescriptorsExhausted {
		time.Sleep(oserror.Backoff(failures))
		return
	}
	if failures > 1 {
		// Whoever holds them, here or elsewhere on the machine: while nobody can be accepted nobody would give way either.
		g.mu.Lock()
		g.giveWay()
		g.mu.Unlock()
	}
	g.awaitClose(look)
}

// admitSoon admits a connection once there is room. Those that give way to it hold their descriptors until their readers have seen that
// their wait is over: accepting faster than that took the descriptors of all else, where the readers had to wait for the processor.
func (g *Pool) admitSoon(c *conn) bool {
	began := time.Now()
	for {
		let, closing := g.admit(c)
		waited := time.Since(began)
		switch {
		case let:
			return true
		case closing && waited < max(closeTime, g.AdmissionTimeout):
			g.awaitClose(closeTime)
		case waited < g.AdmissionTimeout:
			time.Sleep(look)
		default:
			return false
		}
	}
}

// awaitClose returns when a connection has been closed, or after so long.
func (g *Pool) awaitClose(most time.Duration) {
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case <-g.closed:
	case <-late.C:
	}
}

func (g *Pool) pausing() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused
}

// Pause leaves new connections to the process that shares the socket, until Resume. The socket stays open: that process may die.
func (g *Pool) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.Listener.(interface{ SetDeadline(time.Time) error }); ok && g.paused == nil && l.SetDeadline(time.Unix(1, 0)) == nil {
		g.paused = make(chan struct{})
	}
}

// Resume accepts again.
func (g *Pool) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		g.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Time{})
		close(g.paused)
		g.paused = nil
	}
}

// Close ends accepting for good. It may be called again.
func (g *Pool) Close() error {
	err := g.Listener.Close()
	g.Resume()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// admit lets a connection in where there is room, of descriptors too: those of connections whose wait was ended are closing.
func (g *Pool) admit(nc *conn) (let, closing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.open) >= g.most && g.giveWay() {
	}
	if len(g.open) >= g.full || len(g.parted) > 0 && len(g.open)+len(g.parted) >= g.full {
		return false, len(g.parted) > 0
	}
	g.open[nc] = &entry{since: time.Now(), state: http.StateNew}
	return true, false
}

// giveWay ends the wait of the connection that is to give way, with the lock held; false where none waits.
func (g *Pool) giveWay() bool {
	old := g.oldest()
	if old != nil {
		g.ended(GaveWay, old)
		g.part(old)
	}
	return old != nil
}

// oldest is the connection that gives way: that which has waited longest among those never served, else among
// all that wait for a request. One whose request has come but is not read yet is none of them. Those that were served have half of the
// first bound for themselves: half requests wait for nothing, and a flood of them took the place of one client after another.
func (g *Pool) oldest() *conn {
	var unread []*conn
	served := 0
	for _, x := range g.open {
		if x.served {
			served++
		}
	}
	keep := served <= g.most/2
	for range mostLooks {
		var old *conn
		var o *entry
		for nc, x := range g.open {
			waits := x.waits() && !(x.served && keep) && !slices.Contains(unread, nc)
			if waits && (o == nil || !x.served && o.served || x.served == o.served && x.since.Before(o.since)) {
				old, o = nc, x
			}
		}
		if old == nil {
			return nil
		}
		if !old.hasUnread() {
			return old
		}
		unread = append(unread, old)
	}
	return nil
}

// part ends the wait of a connection. It is not closed but told that its wait is over: a request that came a moment ago would be
// lost with it.
func (g *Pool) part(nc *conn) {
	delete(g.open, nc)
	g.parted[nc] = true
	nc.part()
}

// goesOn takes back a connection on which a request came in the last moment.
func (g *Pool) goesOn(nc *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takeBack(nc)
}

// takeBack is goesOn with the lock held.
func (g *Pool) takeBack(nc *conn) {
	if g.parted[nc] {
		delete(g.parted, nc)
		g.open[nc] = &entry{since: time.Now(), state: http.StateActive}
		nc.goesOn()
	}
}

// Track is told of each change by the server.
func (g *Pool) Track(nc net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, _ := nc.(*conn)
	if state == http.StateActive {
		g.takeBack(c) // its head was read already when its wait was said to be over
	}
	x := g.open[c]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.parted, c)
		select {
		case g.closed <- struct{}{}:
		default:
		}
	}
	switch {
	case x == nil || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		delete(g.open, c)
	default:
		if state == http.StateIdle {
			c.next()
		}
		x.state, x.since = state, time.Now()
		g.endIfIdle(c, state)
	}
}

// HasPipelinedRequest tells whether something of a further request has come on the connection of one that is served.
func HasPipelinedRequest(ctx context.Context) bool {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	stopped := c.of.stopped.Load()
	behind := len(c.requests.awaited) > 1 || c.requests.begun && !stopped
	between := c.requests.at == inHead && !stopped
	c.mu.Unlock()
	if behind || !between {
		return behind
	}
	return c.hasUnread()
}

// SkipUnansweredCheck says that the connection of a request is closed though something may have come behind that.
func SkipUnansweredCheck(ctx context.Context) {
	c, ok := FromContext(ctx).(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forfeit = true
}

type key struct{}

// NewContext lets a request's context tell its connection.
func NewContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, key{}, nc)
}

// FromContext is the connection of a request, nil where its context does not tell.
func FromContext(ctx context.Context) net.Conn {
	nc, _ := ctx.Value(key{}).(net.Conn)
	return nc
}

// MarkServed marks the connection of a request whose client has proved to be one of ours.
func (g *Pool) MarkServed(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, _ := FromContext(ctx).(*conn)
	if x := g.open[c]; x != nil {
		x.served = true
	}
}
