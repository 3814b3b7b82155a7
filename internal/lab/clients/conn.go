package clients

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/links"
)

// reply is a whole answer, or what became of it.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
	some   bool // bytes of an answer had come
	read   bool // the other side had read all that was written, and closed in order
}

// wire is one connection to a scheduler. Its reader goes on between requests: an answer that nobody asked for is
// a second answer to the request before.
type wire struct {
	net.Conn
	book  *ledger.Book
	order sync.Mutex // held from the asking for an answer until the request is written
	mu    sync.Mutex
	op    string    // whose answer came last
	waits []awaited // answers, in the order of the requests
	alone bool      // its client may leave, and nothing is sent behind its request
	idle  bool      // it lies in the pool; guarded by that
	uses  int
	dead  bool
}

// awaited is an answer that a request waits for.
type awaited struct {
	op    string
	until time.Time // its client gives up
	to    chan reply
}

// mostBehind is how many requests may be out on a connection at once.
const mostBehind = 4

const (
	dialTime   = time.Second
	longestAns = 1 << 20
)

func dial(addr string, weather *links.Weather, book *ledger.Book) (*wire, error) {
	c, err := net.DialTimeout("tcp", addr, dialTime)
	if err != nil {
		return nil, err
	}
	if !weather.Free() {
		c = links.Through(c, weather)
	}
	w := &wire{Conn: c, book: book}
	go w.read()
	return w, nil
}

func (w *wire) read() {
	in := bufio.NewReader(w.Conn)
	for {
		_, err := in.Peek(1)
		if err != nil {
			w.deliver(reply{err: err, read: errors.Is(err, io.EOF) && w.closedOverRead()})
			return
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			w.deliver(reply{err: err, some: true})
			return
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, longestAns))
		if err != nil {
			w.deliver(reply{err: err, some: true})
			return
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		ends := resp.Close
		w.deliver(reply{status: resp.StatusCode, header: resp.Header, body: body})
		if ends {
			w.deliver(reply{err: io.EOF})
			return
		}
	}
}

// resetTime is for a reset to come that was under way when the end of a connection was seen.
const resetTime = 20 * time.Millisecond

// closedOverRead tells whether the other side has read all that was written before it closed. Linux acknowledges what it takes into a socket's
// queue, and resets a connection that is closed over unread bytes or is written to after its close.
func (w *wire) closedOverRead() bool {
	w.order.Lock() // nothing is half written
	defer w.order.Unlock()
	return closedOverRead(w.Conn)
}

func closedOverRead(conn net.Conn) bool {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	time.Sleep(resetTime)
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closedInOrder := false
	raw.Control(func(fd uintptr) {
		unacknowledged, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closedInOrder = err == nil && infoErr == nil && unacknowledged == 0 && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return closedInOrder
}

// deliver hands a reply to the request that waits for it; the end of the connection to all that do.
func (w *wire) deliver(r reply) {
	w.mu.Lock()
	var to []awaited
	if n := len(w.waits); r.err != nil {
		to, w.waits, w.dead = w.waits, nil, true
	} else if n > 0 {
		to, w.waits, w.op = w.waits[:1], w.waits[1:], w.waits[0].op
	}
	op := w.op
	w.mu.Unlock()
	if len(to) == 0 && r.err == nil {
		w.book.Add(ledger.Event{Kind: ledger.Stray, Op: op, Status: r.status})
	}
	for k, a := range to {
		answer := r
		answer.some = r.some && k == 0 // nothing of an answer came for those behind the first
		a.to <- answer
	}
	if r.err != nil {
		w.Close()
	}
}

// ask makes the next answer that nobody awaits that of an op; false if the connection has ended.
func (w *wire) ask(op string, until time.Time) (chan reply, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return nil, false
	}
	c := make(chan reply, 1)
	w.waits = append(w.waits, awaited{op, until, c})
	w.uses++
	return c, true
}

// takesBehind tells whether a request may be sent behind others on a connection. Answers come in the order of the requests, so one that may
// give up before those in front of it would have its own too late, whatever the scheduler does.
func (w *wire) takesBehind(until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || w.alone || len(w.waits) == 0 || len(w.waits) >= mostBehind {
		return false
	}
	for _, a := range w.waits {
		if a.until.After(until) {
			return false
		}
	}
	return true
}

// pool keeps connections to one scheduler between requests.
type pool struct {
	addr    string
	weather *links.Weather
	book    *ledger.Book
	mu      sync.Mutex
	idle    []*wire
	busy    []*wire // lately used: an answer may be awaited on them
}

const (
	mostIdle = 4096
	mostBusy = 64
)

// behind is a connection on which an answer is awaited, with its order held; false where there is none.
func (p *pool) behind(op string, until time.Time) (*wire, chan reply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.busy {
		if w.idle || !w.takesBehind(until) || !w.order.TryLock() {
			continue
		}
		if c, ok := w.ask(op, until); ok {
			return w, c, true
		}
		w.order.Unlock()
	}
	return nil, nil, false
}

// uses notes a connection that requests may be sent behind.
func (p *pool) uses(w *wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy = append(p.busy, w); len(p.busy) > mostBusy {
		p.busy = p.busy[1:]
	}
}

// get is a connection on which nothing is awaited, with its order held.
func (p *pool) get(op string, until time.Time, alone bool) (*wire, chan reply, bool, error) {
	w, c, reused, err := p.free(op, until)
	if err != nil {
		return nil, nil, false, err
	}
	w.order.Lock()
	w.mu.Lock()
	w.alone = alone
	w.mu.Unlock()
	if !alone {
		p.uses(w)
	}
	return w, c, reused, nil
}

func (p *pool) free(op string, until time.Time) (*wire, chan reply, bool, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		w.idle = false
		p.mu.Unlock()
		if c, ok := w.ask(op, until); ok {
			return w, c, true, nil
		}
	}
	w, err := dial(p.addr, p.weather, p.book)
	if err != nil {
		return nil, nil, false, err
	}
	c, ok := w.ask(op, until)
	if !ok {
		return nil, nil, false, io.EOF
	}
	return w, c, false, nil
}

// open tells whether a connection is open, idle or in use.
func (p *pool) open() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*wire).alive) || slices.ContainsFunc(p.busy, (*wire).alive)
}

func (w *wire) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead
}

// put keeps a connection, once nothing is awaited on it any more.
func (p *pool) put(w *wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.mu.Lock()
	kept := !w.dead && len(w.waits) == 0 && !w.idle
	w.mu.Unlock()
	if !kept {
		return
	}
	if len(p.idle) >= mostIdle {
		w.Close()
		return
	}
	w.idle = true
	p.idle = append(p.idle, w)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.idle {
		w.Close()
	}
	p.idle = nil
}
