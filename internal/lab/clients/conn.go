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

// reply is a complete answer, or the reason why there is none.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	partial bool // part of an answer had arrived
	allRead bool // the scheduler read all requests and then closed without a reset
}

// conn is a connection to a scheduler. Its reader also runs between requests. An answer that no request waits
// for is recorded as a second answer to the previous request.
type conn struct {
	net.Conn
	ledger    *ledger.Writer
	sendMu    sync.Mutex // held from expect until the request is written
	mu        sync.Mutex
	lastOp    string           // op of the last answer
	expected  []expectedAnswer // in the order of the requests
	exclusive bool             // nothing is pipelined behind the request, because its client may disconnect
	idle      bool             // in the pool's idle list; guarded by the pool's mu
	useCount  int
	closed    bool
}

// expectedAnswer is an answer that a request waits for.
type expectedAnswer struct {
	op       string
	deadline time.Time // when the client gives up
	replies  chan reply
}

// maxPipelined bounds the unanswered requests on a connection.
const maxPipelined = 4

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 1 << 20
)

func dial(addr string, link *links.Link, events *ledger.Writer) (*conn, error) {
	socket, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	if !link.IsTransparent() {
		socket = links.Wrap(socket, link)
	}
	c := &conn{Conn: socket, ledger: events}
	go c.readLoop()
	return c, nil
}

func (c *conn) readLoop() {
	in := bufio.NewReader(c.Conn)
	for {
		_, err := in.Peek(1)
		if err != nil {
			c.deliver(reply{err: err, allRead: errors.Is(err, io.EOF) && c.closedAfterReadingAll()})
			return
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			c.deliver(reply{err: err, partial: true})
			return
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			c.deliver(reply{err: err, partial: true})
			return
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		ends := resp.Close
		c.deliver(reply{status: resp.StatusCode, header: resp.Header, body: body})
		if ends {
			c.deliver(reply{err: io.EOF})
			return
		}
	}
}

// resetWait leaves time for a reset that follows the end of the connection.
const resetWait = 20 * time.Millisecond

// closedAfterReadingAll reports whether the scheduler read everything that was written before it closed the
// connection. Linux acknowledges bytes when they enter the socket's receive queue. It resets a connection
// that is closed with unread bytes, or that is written to after the close.
func (c *conn) closedAfterReadingAll() bool {
	c.sendMu.Lock() // waits for a write in progress
	defer c.sendMu.Unlock()
	return closedAfterReadingAll(c.Conn)
}

func closedAfterReadingAll(socket net.Conn) bool {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return false
	}
	time.Sleep(resetWait)
	raw, err := tcp.SyscallConn()
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

// deliver passes a reply to the first request that waits for an answer. The end of the connection is passed
// to all waiting requests.
func (c *conn) deliver(r reply) {
	c.mu.Lock()
	var receivers []expectedAnswer
	if n := len(c.expected); r.err != nil {
		receivers, c.expected, c.closed = c.expected, nil, true
	} else if n > 0 {
		receivers, c.expected, c.lastOp = c.expected[:1], c.expected[1:], c.expected[0].op
	}
	op := c.lastOp
	c.mu.Unlock()
	if len(receivers) == 0 && r.err == nil {
		c.ledger.Add(ledger.Event{Kind: ledger.Stray, Op: op, Status: r.status})
	}
	for k, a := range receivers {
		answer := r
		// Only the first of the waiting requests has received part of an answer.
		answer.partial = r.partial && k == 0
		a.replies <- answer
	}
	if r.err != nil {
		c.Close()
	}
}

// expect registers an op whose request is about to be sent, and returns the channel that receives its reply.
// It returns false if the connection has ended.
func (c *conn) expect(op string, deadline time.Time) (chan reply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	answers := make(chan reply, 1)
	c.expected = append(c.expected, expectedAnswer{op, deadline, answers})
	c.useCount++
	return answers, true
}

// canPipeline reports whether a request may be sent behind unanswered requests. Answers arrive in the order
// of the requests. A request with an earlier deadline than one before it could therefore get its answer too
// late through no fault of the scheduler.
func (c *conn) canPipeline(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.exclusive || len(c.expected) == 0 || len(c.expected) >= maxPipelined {
		return false
	}
	for _, a := range c.expected {
		if a.deadline.After(deadline) {
			return false
		}
	}
	return true
}

// pool holds the connections to a scheduler.
type pool struct {
	addr   string
	link   *links.Link
	ledger *ledger.Writer
	mu     sync.Mutex
	idle   []*conn
	busy   []*conn // recently used, possibly with expected answers
}

const (
	maxIdle = 4096
	maxBusy = 64
)

// pipelined registers an op on a connection with unanswered requests and returns that connection, with sendMu
// locked. It returns false if no connection is suitable.
func (p *pool) pipelined(op string, deadline time.Time) (*conn, chan reply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.busy {
		if conn.idle || !conn.canPipeline(deadline) || !conn.sendMu.TryLock() {
			continue
		}
		if answers, ok := conn.expect(op, deadline); ok {
			return conn, answers, true
		}
		conn.sendMu.Unlock()
	}
	return nil, nil, false
}

// addBusy adds a connection to the busy list, so that later requests can be pipelined on it.
func (p *pool) addBusy(conn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy = append(p.busy, conn); len(p.busy) > maxBusy {
		p.busy = p.busy[1:]
	}
}

// acquire registers an op on a connection without unanswered requests and returns that connection, with
// sendMu locked. The third result reports whether the connection was reused.
func (p *pool) acquire(op string, deadline time.Time, exclusive bool) (*conn, chan reply, bool, error) {
	conn, answers, reused, err := p.idleOrDial(op, deadline)
	if err != nil {
		return nil, nil, false, err
	}
	conn.sendMu.Lock()
	conn.mu.Lock()
	conn.exclusive = exclusive
	conn.mu.Unlock()
	if !exclusive {
		p.addBusy(conn)
	}
	return conn, answers, reused, nil
}

func (p *pool) idleOrDial(op string, deadline time.Time) (*conn, chan reply, bool, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		conn.idle = false
		p.mu.Unlock()
		if answers, ok := conn.expect(op, deadline); ok {
			return conn, answers, true, nil
		}
	}
	conn, err := dial(p.addr, p.link, p.ledger)
	if err != nil {
		return nil, nil, false, err
	}
	answers, ok := conn.expect(op, deadline)
	if !ok {
		return nil, nil, false, io.EOF
	}
	return conn, answers, false, nil
}

// hasOpen reports whether the pool has an open connection, idle or in use.
func (p *pool) hasOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*conn).isOpen) || slices.ContainsFunc(p.busy, (*conn).isOpen)
}

func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// release returns a connection to the idle list if it expects no more answers.
func (p *pool) release(conn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.mu.Lock()
	reusable := !conn.closed && len(conn.expected) == 0 && !conn.idle
	conn.mu.Unlock()
	if !reusable {
		return
	}
	if len(p.idle) >= maxIdle {
		conn.Close()
		return
	}
	conn.idle = true
	p.idle = append(p.idle, conn)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}
