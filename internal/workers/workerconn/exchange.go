package workerconn

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/workers/outcome"
)

const (
	maxLineBytes      = 512 << 10             // 64 KiB as a JSON string, all escaped
	finalBytesTimeout = 50 * time.Millisecond // for the last bytes of an answer that is complete without them

	// maxClientCheckAge is the most time from the look at an attempt's client to the write. An older look
	// is repeated.
	maxClientCheckAge = 10 * time.Millisecond

	// maxWriteTime is the most time from a request's first part, which names the time left, to its last
	// byte. The time that a worker is told may be too long by 0.15 s.
	maxWriteTime = 100 * time.Millisecond

	// sendBufferBytes of a request that the kernel didn't take at once go into the socket's buffer: the
	// window of a far worker would stretch the write beyond maxWriteTime.
	sendBufferBytes = 128 << 10

	stalePollInterval = time.Millisecond       // between two looks at whether an attempt may begin
	staleTimeout      = 300 * time.Millisecond // after which an attempt that may not begin is cancelled

	writeBackoff     = 2 * time.Millisecond // after a write that failed for a shortage of this machine
	maxWriteFailures = 25                   // of such, in a row
)

// StateAcknowledged is the state of the line that stands for an answer's head: the worker has the job.
const StateAcknowledged = "taken"

// JobLine is one job line of a worker.
type JobLine struct {
	ID       string          `json:"id"`
	State    string          `json:"state"`
	Progress float64         `json:"share"`
	Result   json.RawMessage `json:"result"`
	Load     json.RawMessage `json:"load"`
}

// End is how an exchange ended and what came with it.
type End struct {
	Ending outcome.Ending
	Result []byte
	Load   []byte
	Dialed bool
}

// Exchange is one attempt or probe in flight.
type Exchange struct {
	pool      *Pool
	stop      context.CancelFunc
	isAttempt bool        // not a load probe
	wanted    func() bool // asked before each write
	mu        sync.Mutex
	conn      *conn
	written   bool           // completely
	closedAs  outcome.Ending // by this side, if it did
}

// Close ends an exchange from this side. A request whose last byte is not written yet is never complete
// then, and never runs.
func (x *Exchange) Close(onlyUnwritten bool, how outcome.Ending) {
	if c := x.close(onlyUnwritten, how); c != nil {
		c.Close() // without the lock: it waits for a write that is in the kernel, which waits for the lock
	}
}

// close returns the connection to close, nil for none.
func (x *Exchange) close(onlyUnwritten bool, how outcome.Ending) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.written && onlyUnwritten || x.closedAs != outcome.Unknown {
		return nil
	}
	if x.closedAs = how; !x.written {
		x.closedAs = outcome.CancelledUnsent
	}
	x.stop()
	return x.conn
}

// Push writes a request and reads job lines until the last one. It calls, in this order:
//
//   - wanted, just before each write. An attempt that is not wanted ends as CancelledUnsent: a dial, or
//     the write to a worker that reads slowly, may have outlasted the client's wait.
//   - request, for the time that is left at the first byte. It returns nil if too much time has passed.
//   - written, once the request is written completely.
//   - note, for an answer's head and for each job line before the last one.
//   - end, once, when the connection is closed or the worker has sent the last line.
func (p *Pool) Push(
	addr, id string, request func(left time.Duration) []byte, limit time.Time,
	wanted func() bool, written func(), note func(JobLine), end func(End),
) *Exchange {
	return p.start(true, addr, request, limit, wanted, func(c *conn, e End) (*http.Response, End) {
		written()
		return readJobLines(c, id, note, e)
	}, end)
}

// Probe asks a worker for its load report.
func (p *Pool) Probe(addr string, request []byte, limit time.Time, end func(End)) {
	p.start(false, addr, func(time.Duration) []byte { return request }, limit, always, readLoadReport, end)
}

func always() bool { return true }

// answerReader reads an answer, and returns how the exchange ended by it.
type answerReader func(*conn, End) (*http.Response, End)

// start runs an exchange in a goroutine of its own, which ends with it.
func (p *Pool) start(
	push bool, addr string, request func(time.Duration) []byte, limit time.Time,
	wanted func() bool, read answerReader, end func(End),
) *Exchange {
	x, ctx := p.newExchange(limit)
	x.isAttempt, x.wanted = push, wanted
	go func() {
		defer x.stop()
		c, e := x.send(ctx, addr, request, limit)
		if c == nil {
			end(e)
			return
		}
		resp, e := read(c, e)
		if e.Ending == outcome.Done {
			end(e) // without waiting for the worker's last bytes
			x.finish(c, resp, e)
			return
		}
		x.finish(c, resp, e)
		e.Ending = x.ownEndingFirst(e.Ending)
		end(e)
	}()
	return x
}

// newExchange returns an exchange that ends at the limit, and its context.
func (p *Pool) newExchange(limit time.Time) (*Exchange, context.Context) {
	ctx, stop := context.WithDeadline(context.Background(), limit)
	return &Exchange{pool: p, stop: stop, wanted: always}, ctx
}

// connect takes an idle connection or dials one.
func (x *Exchange) connect(ctx context.Context, addr string, limit time.Time) (*conn, End) {
	var e End
	c := x.pool.take(addr, x.isAttempt)
	if c == nil {
		e.Dialed = true
		if c, e.Ending = x.pool.dial(ctx, addr); c == nil {
			e.Ending = x.ownEndingFirst(e.Ending)
			return nil, e
		}
	}
	x.mu.Lock()
	if x.closedAs != outcome.Unknown {
		x.mu.Unlock()
		x.pool.drop(c)
		e.Ending = x.closedAs
		return nil, e
	}
	x.conn = c
	x.mu.Unlock()
	c.SetDeadline(limit)
	c.limited.reset()
	return c, e
}

// ownEndingFirst returns how this side closed the exchange, if it did, rather than what the connection
// reports of that.
func (x *Exchange) ownEndingFirst(how outcome.Ending) outcome.Ending {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closedAs != outcome.Unknown && how != outcome.Returned && how != outcome.Shed {
		return x.closedAs
	}
	return how
}

// send writes a complete request, or returns no connection.
func (x *Exchange) send(
	ctx context.Context, addr string, request func(time.Duration) []byte, limit time.Time,
) (*conn, End) {
	c, e := x.connect(ctx, addr, limit)
	if c == nil {
		return nil, e
	}
	n, heldBack, err := x.write(c, request, limit)
	if x.written {
		return c, e
	}
	e.Ending = outcome.PartiallySent
	x.mu.Lock()
	if x.conn = nil; x.closedAs != outcome.Unknown {
		e.Ending = outcome.CancelledUnsent // by this side: it proves nothing of the worker
	}
	x.mu.Unlock()
	if heldBack && n == 0 && err == nil && c.SetDeadline(time.Time{}) == nil {
		x.pool.putBack(c) // nothing was written: it can be reused
	} else {
		x.pool.drop(c)
	}
	return nil, e
}

// write hands a request to the kernel. It returns how many bytes the kernel took, and whether the rest
// was held back as the attempt is not wanted any more. A worker starts a request at its last byte, so
// wanted is asked before each part: a client may disconnect while the worker's kernel takes nothing.
// Close comes before or after a part, never between the question and the write.
func (x *Exchange) write(
	c *conn, makeRequest func(left time.Duration) []byte, limit time.Time,
) (n int, heldBack bool, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false, errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	var writeErr error
	var request []byte
	var madeAt time.Time // when the request was made
	failures := 0        // in a row, for a shortage of this machine
	stale := false
	writePart := func(fd uintptr) bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		stale = false
		for !x.written && x.closedAs == outcome.Unknown {
			if stale = n == 0 && x.stale(); stale {
				return true
			}
			// The look at the client comes last: the one at the endpoint list takes time of its own.
			if heldBack = !x.clientWaits(limit) || n > 0 && time.Since(madeAt) > maxWriteTime; heldBack {
				x.closedAs = outcome.CancelledUnsent
				return true
			}
			if n == 0 {
				madeAt = time.Now()
				request = makeRequest(limit.Sub(madeAt))
				if heldBack = request == nil; heldBack {
					x.closedAs = outcome.CancelledUnsent
					return true
				}
			}
			k, err := syscall.Write(int(fd), request[n:])
			switch {
			case err == syscall.EAGAIN:
				return false
			case oserror.IsLocal(err) && failures < maxWriteFailures:
				failures++
				time.Sleep(writeBackoff) // the lock is held: Close waits for it
				continue
			case err != nil && err != syscall.EINTR:
				writeErr = err
				return true
			}
			if n == 0 && k < len(request) {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
			}
			n, failures = n+max(k, 0), 0
			x.written = n == len(request)
		}
		return true
	}
	for err = raw.Write(writePart); err == nil && stale; err = raw.Write(writePart) {
		if heldBack = !x.awaitFresh(limit); heldBack {
			break
		}
	}
	return n, heldBack, errors.Join(err, writeErr)
}

// stale tells whether an attempt must not begin now.
func (x *Exchange) stale() bool { return x.isAttempt && x.pool.Stale != nil && x.pool.Stale() }

// awaitFresh waits until an attempt may begin. It holds no lock: whoever applies the update that it waits
// for may close the attempt. It returns false for an attempt that may not begin in time, which ends as
// CancelledUnsent.
func (x *Exchange) awaitFresh(limit time.Time) bool {
	until := time.Now().Add(staleTimeout)
	if limit.Before(until) {
		until = limit
	}
	for x.stale() {
		if time.Now().After(until) {
			x.Close(true, outcome.CancelledUnsent)
			return false
		}
		time.Sleep(stalePollInterval)
	}
	return true
}

// clientWaits asks whether an attempt is wanted, until the answer is at most maxClientCheckAge old: the
// process may be stopped between the two. What remains is the time from the clock into the kernel.
func (x *Exchange) clientWaits(limit time.Time) bool {
	for began := time.Now(); began.Before(limit); began = time.Now() {
		if !x.wanted() {
			return false
		}
		if time.Since(began) <= maxClientCheckAge {
			return true
		}
	}
	return false
}

// readAnswerHead reads the head of an answer, and skips interim ones.
func readAnswerHead(c *conn) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return resp, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// readLoadReport reads the answer to a probe.
func readLoadReport(c *conn, e End) (*http.Response, End) {
	resp, err := readAnswerHead(c)
	if err == nil {
		c.limited.allow(maxHeadBytes + maxReportBytes)
		e.Load, err = io.ReadAll(resp.Body)
	}
	switch {
	case err != nil:
		e.Ending = readErrorEnding(err)
	case resp.StatusCode == http.StatusOK:
		e.Ending = outcome.Done
	case resp.StatusCode == http.StatusServiceUnavailable:
		e.Ending = outcome.Shed
	default:
		e.Ending = outcome.ServerError
	}
	return resp, e
}

// readJobLines reads an answer to an attempt.
func readJobLines(c *conn, id string, note func(JobLine), e End) (*http.Response, End) {
	resp, err := readAnswerHead(c)
	if err != nil {
		e.Ending = readErrorEnding(err)
		return nil, e
	}
	e.Load = []byte(resp.Header.Get("X-Backend-Load"))
	if resp.StatusCode != http.StatusOK {
		e.Ending = rejectionEnding(resp)
		return resp, e
	}
	c.limited.allow(maxAnswerBytes)
	note(JobLine{State: StateAcknowledged, Progress: -1})
	started, noted := false, time.Time{}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 1024), maxLineBytes)
	for lines.Scan() {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		var l JobLine
		if err := json.Unmarshal(text, &l); err != nil || l.ID != id {
			e.Ending = outcome.Malformed // a line of another op proves nothing of this one
			return resp, e
		}
		switch l.State {
		case "done":
			e.Ending = outcome.Done
		case "failed":
			e.Ending = outcome.Failed
		case "returned":
			e.Ending = outcome.Returned
		case "lost":
			e.Ending = outcome.JobKilled
		default:
			first := l.State == "started" && !started
			if now := time.Now(); first || now.Sub(noted) >= progressInterval {
				started, noted = started || first, now
				note(l)
			}
			continue
		}
		e.Result = l.Result
		var said string
		if json.Unmarshal(l.Result, &said) == nil {
			e.Result = []byte(said)
		}
		if len(l.Load) > 0 {
			e.Load = l.Load
		}
		return resp, e
	}
	if e.Ending = outcome.EndedEarly; lines.Err() != nil {
		if e.Ending = readErrorEnding(lines.Err()); errors.Is(lines.Err(), bufio.ErrTooLong) {
			e.Ending = outcome.Malformed
		}
	}
	return resp, e
}

// rejectionEnding is the ending for a status with which a worker takes no job.
func rejectionEnding(resp *http.Response) outcome.Ending {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Unprocessed") == "1" {
			return outcome.Shed
		}
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		// They are about the moment, not the request.
	default:
		if resp.StatusCode/100 == 4 {
			return outcome.Rejected
		}
	}
	return outcome.ServerError
}

// finish keeps a connection whose answer is complete for reuse, and closes any other.
func (x *Exchange) finish(c *conn, resp *http.Response, e End) {
	switch e.Ending {
	case outcome.Done, outcome.Failed, outcome.Returned, outcome.JobKilled, outcome.Shed, outcome.Rejected,
		outcome.ServerError:
		c.SetDeadline(time.Now().Add(finalBytesTimeout))
		c.limited.allow(c.limited.read + maxLineBytes + 1)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxLineBytes))
		x.mu.Lock()
		whole := err == nil && n < maxLineBytes && !resp.Close && x.closedAs == outcome.Unknown &&
			resp.StatusCode != http.StatusSwitchingProtocols // what comes behind that is no HTTP
		x.conn = nil // from here on it may be another exchange's
		x.mu.Unlock()
		if whole {
			c.SetDeadline(time.Time{})
			if x.isAttempt {
				c.attemptEndedAt = time.Now()
			}
			x.pool.put(c)
			return
		}
	}
	x.pool.drop(c)
}

// readErrorEnding is the ending for an error on a connection over which the complete request was written.
func readErrorEnding(err error) outcome.Ending {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.TimedOut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.EndedEarly
	case errors.As(err, new(*net.OpError)), errors.Is(err, net.ErrClosed):
		return outcome.Reset
	}
	return outcome.Malformed
}

// Request is the head of a request without the time left, and its body.
type Request struct{ Head, Body []byte }

// Bytes returns the request for a worker that has so much time left.
func (r *Request) Bytes(wait time.Duration) []byte {
	b := make([]byte, 0, len(r.Head)+len(r.Body)+40)
	b = append(b, r.Head...)
	b = append(b, "X-Time-Left-Ms: "...)
	b = strconv.AppendInt(b, max(wait.Milliseconds(), 1), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}
