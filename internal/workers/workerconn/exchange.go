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
	maxLineBytes      = 512 << 10             // a string of 64 KiB as JSON, every byte escaped
	finalBytesTimeout = 50 * time.Millisecond // for the bytes of a response after its last job line

	// maxClientCheckAge is the maximum time from checking that an attempt's client still waits until the
	// write. An older check is repeated.
	maxClientCheckAge = 10 * time.Millisecond

	// maxWriteTime is the maximum time from writing the first part of a request to writing its last byte. The
	// first part states the remaining time, which may be too long by at most 0.15 s at the last byte.
	maxWriteTime = 100 * time.Millisecond

	// sendBufferBytes is the size of the socket buffer for a request that the kernel does not accept in one
	// write: waiting for the TCP window of a distant worker would extend the write beyond maxWriteTime.
	sendBufferBytes = 128 << 10

	stalePollInterval = time.Millisecond       // between two calls of Pool.Stale while an attempt waits
	staleTimeout      = 300 * time.Millisecond // an attempt is cancelled if Pool.Stale blocks it longer

	writeBackoff     = 2 * time.Millisecond // after a write that failed for lack of local resources
	maxWriteFailures = 25                   // consecutive failures of this kind
)

// StateAcknowledged is the state of the JobLine that is reported for a response head: the worker has the job.
const StateAcknowledged = "taken"

// JobLine is one job line of a worker.
type JobLine struct {
	ID       string          `json:"id"`
	State    string          `json:"state"`
	Progress float64         `json:"share"`
	Result   json.RawMessage `json:"result"`
	Load     json.RawMessage `json:"load"`
}

// End describes how an exchange ended and what the worker returned.
type End struct {
	Ending outcome.Ending
	Result []byte
	Load   []byte
	Dialed bool
}

// Exchange is one attempt or probe in flight.
type Exchange struct {
	pool        *Pool
	cancel      context.CancelFunc
	isAttempt   bool        // false for a load probe
	wanted      func() bool // called before each write
	mu          sync.Mutex
	conn        *conn
	written     bool           // the request is completely written
	localEnding outcome.Ending // how this side closed the exchange; Unknown if it did not
}

// Close ends an exchange from this side. A request whose last byte has not been written by then is never
// completed, and never runs. With onlyUnwritten, Close does nothing if the request is completely written.
func (x *Exchange) Close(onlyUnwritten bool, ending outcome.Ending) {
	if c := x.close(onlyUnwritten, ending); c != nil {
		c.Close() // without the lock: Close waits for a write in progress, which waits for the lock
	}
}

// close returns the connection to close, nil if there is none.
func (x *Exchange) close(onlyUnwritten bool, ending outcome.Ending) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.written && onlyUnwritten || x.localEnding != outcome.Unknown {
		return nil
	}
	if x.localEnding = ending; !x.written {
		x.localEnding = outcome.CancelledUnsent
	}
	x.cancel()
	return x.conn
}

// Push writes a request and reads job lines until the last one. It calls, in this order:
//
//   - wanted, just before each write. An attempt that is not wanted ends as CancelledUnsent: the client may
//     have stopped waiting during a dial, or during the write to a worker that reads slowly.
//   - request, with the time remaining at the first byte. It returns nil if too much time has passed.
//   - written, once the request is completely written.
//   - progressed, for the response head and for job lines before the last one.
//   - end, once, when the connection is closed or the worker has sent the last line.
func (p *Pool) Push(
	addr, id string, request func(remaining time.Duration) []byte, deadline time.Time,
	wanted func() bool, written func(), progressed func(JobLine), end func(End),
) *Exchange {
	return p.startExchange(true, addr, request, deadline, wanted, func(c *conn, e End) (*http.Response, End) {
		written()
		return readJobLines(c, id, progressed, e)
	}, end)
}

// Probe requests the load report of a worker.
func (p *Pool) Probe(addr string, request []byte, deadline time.Time, end func(End)) {
	p.startExchange(
		false, addr, func(time.Duration) []byte { return request }, deadline, alwaysWanted, readLoadReport, end,
	)
}

func alwaysWanted() bool { return true }

// responseReader reads a response and returns how the exchange ended.
type responseReader func(*conn, End) (*http.Response, End)

// startExchange runs an exchange in a separate goroutine, which ends with the exchange.
func (p *Pool) startExchange(
	isAttempt bool, addr string, request func(time.Duration) []byte, deadline time.Time,
	wanted func() bool, read responseReader, end func(End),
) *Exchange {
	x, ctx := p.newExchange(deadline)
	x.isAttempt, x.wanted = isAttempt, wanted
	go func() {
		defer x.cancel()
		c, e := x.send(ctx, addr, request, deadline)
		if c == nil {
			end(e)
			return
		}
		resp, e := read(c, e)
		if e.Ending == outcome.Done {
			end(e) // without waiting for the last bytes of the response
			x.release(c, resp, e)
			return
		}
		x.release(c, resp, e)
		e.Ending = x.preferLocalEnding(e.Ending)
		end(e)
	}()
	return x
}

// newExchange returns an exchange that ends at the deadline, and its context.
func (p *Pool) newExchange(deadline time.Time) (*Exchange, context.Context) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	return &Exchange{pool: p, cancel: cancel, wanted: alwaysWanted}, ctx
}

// connect takes an idle connection or dials one.
func (x *Exchange) connect(ctx context.Context, addr string, deadline time.Time) (*conn, End) {
	var e End
	c := x.pool.takeIdle(addr, x.isAttempt)
	if c == nil {
		e.Dialed = true
		if c, e.Ending = x.pool.dial(ctx, addr); c == nil {
			e.Ending = x.preferLocalEnding(e.Ending)
			return nil, e
		}
	}
	x.mu.Lock()
	if x.localEnding != outcome.Unknown {
		x.mu.Unlock()
		x.pool.discard(c)
		e.Ending = x.localEnding
		return nil, e
	}
	x.conn = c
	x.mu.Unlock()
	c.SetDeadline(deadline)
	c.limited.reset()
	return c, e
}

// preferLocalEnding returns how this side closed the exchange, if it did, instead of the ending derived from
// the resulting connection error. A response that proves the op was not processed takes precedence.
func (x *Exchange) preferLocalEnding(ending outcome.Ending) outcome.Ending {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.localEnding != outcome.Unknown && ending != outcome.Returned && ending != outcome.Shed {
		return x.localEnding
	}
	return ending
}

// send writes a complete request. If that fails, it returns a nil connection.
func (x *Exchange) send(
	ctx context.Context, addr string, request func(time.Duration) []byte, deadline time.Time,
) (*conn, End) {
	c, e := x.connect(ctx, addr, deadline)
	if c == nil {
		return nil, e
	}
	n, unwanted, err := x.write(c, request, deadline)
	if x.written {
		return c, e
	}
	e.Ending = outcome.PartiallySent
	x.mu.Lock()
	if x.conn = nil; x.localEnding != outcome.Unknown {
		e.Ending = outcome.CancelledUnsent // by this side, which proves nothing about the worker
	}
	x.mu.Unlock()
	if unwanted && n == 0 && err == nil && c.SetDeadline(time.Time{}) == nil {
		x.pool.putUnused(c) // nothing was written, so it can be reused
	} else {
		x.pool.discard(c)
	}
	return nil, e
}

// write writes a request to the socket. It returns how many bytes the kernel accepted, and whether the rest
// was not written because the attempt is no longer wanted. A worker starts a request when it has the last
// byte, so wanted is called before each part: the client may disconnect while the worker's kernel accepts
// nothing. Close takes effect before or after a part, never between the check and the write.
func (x *Exchange) write(
	c *conn, makeRequest func(remaining time.Duration) []byte, deadline time.Time,
) (n int, unwanted bool, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	var writeErr error
	var request []byte
	var madeAt time.Time // when the request was made
	failures := 0        // consecutive, for lack of local resources
	stale := false
	writePart := func(fd uintptr) bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		stale = false
		for !x.written && x.localEnding == outcome.Unknown {
			if stale = n == 0 && x.isStale(); stale {
				return true
			}
			// The client is checked last, because the check for a stale endpoint list takes time.
			if unwanted = !x.isClientWaiting(deadline) || n > 0 && time.Since(madeAt) > maxWriteTime; unwanted {
				x.localEnding = outcome.CancelledUnsent
				return true
			}
			if n == 0 {
				madeAt = time.Now()
				request = makeRequest(deadline.Sub(madeAt))
				if unwanted = request == nil; unwanted {
					x.localEnding = outcome.CancelledUnsent
					return true
				}
			}
			accepted, err := syscall.Write(int(fd), request[n:])
			switch {
			case err == syscall.EAGAIN:
				return false
			case oserror.IsLocal(err) && failures < maxWriteFailures:
				failures++
				time.Sleep(writeBackoff) // with the lock held, so Close waits
				continue
			case err != nil && err != syscall.EINTR:
				writeErr = err
				return true
			}
			if n == 0 && accepted < len(request) {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
			}
			n, failures = n+max(accepted, 0), 0
			x.written = n == len(request)
		}
		return true
	}
	for err = raw.Write(writePart); err == nil && stale; err = raw.Write(writePart) {
		if unwanted = !x.awaitFresh(deadline); unwanted {
			break
		}
	}
	return n, unwanted, errors.Join(err, writeErr)
}

// isStale reports whether the exchange is an attempt that must not start now because of Pool.Stale.
func (x *Exchange) isStale() bool { return x.isAttempt && x.pool.Stale != nil && x.pool.Stale() }

// awaitFresh waits until an attempt may start. It holds no lock, because applying the awaited list update may
// close the attempt. It returns false if the wait exceeds staleTimeout or the deadline; the attempt then ends
// as CancelledUnsent.
func (x *Exchange) awaitFresh(deadline time.Time) bool {
	until := time.Now().Add(staleTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	for x.isStale() {
		if time.Now().After(until) {
			x.Close(true, outcome.CancelledUnsent)
			return false
		}
		time.Sleep(stalePollInterval)
	}
	return true
}

// isClientWaiting checks whether an attempt is wanted. A check that took longer than maxClientCheckAge is
// repeated, as the process may have been stopped in the meantime. A stop between the last reading of the
// clock and the system call is not detected.
func (x *Exchange) isClientWaiting(deadline time.Time) bool {
	for checkedAt := time.Now(); checkedAt.Before(deadline); checkedAt = time.Now() {
		if !x.wanted() {
			return false
		}
		if time.Since(checkedAt) <= maxClientCheckAge {
			return true
		}
	}
	return false
}

// readResponseHead reads the head of the final response and skips interim responses.
func readResponseHead(c *conn) (*http.Response, error) {
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

// readLoadReport reads the response to a probe.
func readLoadReport(c *conn, e End) (*http.Response, End) {
	resp, err := readResponseHead(c)
	if err == nil {
		c.limited.setLimit(maxHeadBytes + maxReportBytes)
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

// readJobLines reads the response to an attempt.
func readJobLines(c *conn, id string, progressed func(JobLine), e End) (*http.Response, End) {
	resp, err := readResponseHead(c)
	if err != nil {
		e.Ending = readErrorEnding(err)
		return nil, e
	}
	e.Load = []byte(resp.Header.Get("X-Backend-Load"))
	if resp.StatusCode != http.StatusOK {
		e.Ending = rejectionEnding(resp)
		return resp, e
	}
	c.limited.setLimit(maxResponseBytes)
	progressed(JobLine{State: StateAcknowledged, Progress: -1})
	started, reportedAt := false, time.Time{}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 1024), maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		var l JobLine
		if err := json.Unmarshal(text, &l); err != nil || l.ID != id {
			e.Ending = outcome.Malformed // a line of another op proves nothing about this one
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
			firstStart := l.State == "started" && !started
			if now := time.Now(); firstStart || now.Sub(reportedAt) >= progressInterval {
				started, reportedAt = started || firstStart, now
				progressed(l)
			}
			continue
		}
		e.Result = l.Result
		var resultText string
		if json.Unmarshal(l.Result, &resultText) == nil {
			e.Result = []byte(resultText)
		}
		if len(l.Load) > 0 {
			e.Load = l.Load
		}
		return resp, e
	}
	if e.Ending = outcome.EndedEarly; scanner.Err() != nil {
		if e.Ending = readErrorEnding(scanner.Err()); errors.Is(scanner.Err(), bufio.ErrTooLong) {
			e.Ending = outcome.Malformed
		}
	}
	return resp, e
}

// rejectionEnding returns the ending for a status other than 200, the only status that accepts a job.
func rejectionEnding(resp *http.Response) outcome.Ending {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Unprocessed") == "1" {
			return outcome.Shed
		}
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		// These statuses report a temporary condition, not an invalid request.
	default:
		if resp.StatusCode/100 == 4 {
			return outcome.Rejected
		}
	}
	return outcome.ServerError
}

// release returns a connection with a complete response to the pool, and closes any other.
func (x *Exchange) release(c *conn, resp *http.Response, e End) {
	switch e.Ending {
	case outcome.Done, outcome.Failed, outcome.Returned, outcome.JobKilled, outcome.Shed, outcome.Rejected,
		outcome.ServerError:
		c.SetDeadline(time.Now().Add(finalBytesTimeout))
		c.limited.setLimit(c.limited.bytesRead + maxLineBytes + 1)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxLineBytes))
		x.mu.Lock()
		reusable := err == nil && n < maxLineBytes && !resp.Close && x.localEnding == outcome.Unknown &&
			resp.StatusCode != http.StatusSwitchingProtocols // what follows it is not HTTP
		x.conn = nil // from here on, another exchange may use the connection
		x.mu.Unlock()
		if reusable {
			c.SetDeadline(time.Time{})
			if x.isAttempt {
				c.attemptEndedAt = time.Now()
			}
			x.pool.putUsed(c)
			return
		}
	}
	x.pool.discard(c)
}

// readErrorEnding returns the ending for a read error after the request was completely written.
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

// Request is the head of a request without the remaining time, and its body.
type Request struct{ Head, Body []byte }

// Bytes returns the request with the remaining time that the worker has.
func (r *Request) Bytes(remaining time.Duration) []byte {
	b := make([]byte, 0, len(r.Head)+len(r.Body)+40)
	b = append(b, r.Head...)
	b = append(b, "X-Time-Left-Ms: "...)
	b = strconv.AppendInt(b, max(remaining.Milliseconds(), 1), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}
