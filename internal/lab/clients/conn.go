package clients

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

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
}

// wire is one connection to a scheduler. Its reader goes on between requests: an answer that nobody asked for is
// a second answer to the request before.
type wire struct {
	net.Conn
	book  *ledger.Book
	mu    sync.Mutex
	op    string // whose answer comes next, or came last
	waits chan reply
	uses  int
	dead  bool
}

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
			w.deliver(reply{err: err})
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

// deliver hands a reply to the request that waits for it.
func (w *wire) deliver(r reply) {
	w.mu.Lock()
	waits, op := w.waits, w.op
	w.waits = nil
	if r.err != nil {
		w.dead = true
	}
	w.mu.Unlock()
	switch {
	case waits != nil:
		waits <- r
	case r.err == nil:
		w.book.Add(ledger.Event{Kind: ledger.Stray, Op: op, Status: r.status})
	}
	if r.err != nil {
		w.Close()
	}
}

// ask makes the next answer that of an op; false if the connection has ended.
func (w *wire) ask(op string) (chan reply, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return nil, false
	}
	c := make(chan reply, 1)
	w.op, w.waits = op, c
	w.uses++
	return c, true
}

// pool keeps connections to one scheduler between requests.
type pool struct {
	addr    string
	weather *links.Weather
	book    *ledger.Book
	mu      sync.Mutex
	idle    []*wire
}

const mostIdle = 4096

func (p *pool) get(op string) (*wire, chan reply, bool, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if c, ok := w.ask(op); ok {
			return w, c, true, nil
		}
	}
	w, err := dial(p.addr, p.weather, p.book)
	if err != nil {
		return nil, nil, false, err
	}
	c, ok := w.ask(op)
	if !ok {
		return nil, nil, false, io.EOF
	}
	return w, c, false, nil
}

func (p *pool) put(w *wire) {
	w.mu.Lock()
	dead := w.dead
	w.mu.Unlock()
	if dead {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= mostIdle {
		w.Close()
		return
	}
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
