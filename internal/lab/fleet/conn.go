package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/links"
	"woaddyke/internal/lab/meter"
	"woaddyke/internal/lab/requests"
	"woaddyke/internal/lab/workermodel"
)

// schedulerConn is a connection from a scheduler. It carries one request at a time.
type schedulerConn struct {
	worker    *worker
	scheduler int
	conn      *links.Conn

	mu       sync.Mutex
	push     *activePush // the push in progress, if any
	closedAt ledger.Time // when the scheduler closed the connection; 0 while it is open

	bytesRead, bytesCounted int64 // bytes read, and how many of them the meter has counted
}

// Read reads from the connection and counts the bytes.
func (k *schedulerConn) Read(b []byte) (int, error) {
	n, err := k.conn.Read(b)
	k.bytesRead += int64(n)
	return n, err
}

// count adds the bytes of the current request to the meter. The buffered argument is the number of bytes that
// were read after the request; they belong to the next one.
func (k *schedulerConn) count(kind meter.Kind, buffered int) {
	size := k.bytesRead - int64(buffered) - k.bytesCounted
	k.bytesCounted += size
	k.worker.fleet.meter.Add(k.scheduler, kind, 0, int(size), 1)
}

// write sends bytes to the scheduler and counts them.
func (k *schedulerConn) write(kind meter.Kind, b []byte) {
	k.conn.Write(b)
	k.worker.fleet.meter.Add(k.scheduler, kind, len(b), 0, 0)
}

const (
	maxBodyBytes  = 64 << 10
	headerTimeout = 10 * time.Second
)

// reset resets a connection, as the kernel does when a process dies.
func (k *schedulerConn) reset() {
	if t, ok := k.conn.Conn.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	k.conn.Close()
}

// afterCut bounds how long after the end of a cut the bytes arrive that were written during the cut. The time
// at which they were written is unknown, so their push gets no deadline.
const afterCut = ledger.Time(500 * time.Millisecond / ledger.Tenth)

// pushDeadline returns the time until which the scheduler waits for an answer, or 0 if it is unknown. The
// worker's lock must be held.
func (w *worker) pushDeadline(r *http.Request, arrived ledger.Time) ledger.Time {
	if w.cutChangedAt > 0 && arrived >= w.cutChangedAt && arrived <= w.cutChangedAt+afterCut {
		return 0
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Time-Left-Ms"), 10, 32)
	if err != nil {
		return 0
	}
	return arrived + ledger.Span(time.Duration(ms)*time.Millisecond)
}

// onPeerClose is called as soon as the scheduler closes the connection, even while data is still on the link.
func (k *schedulerConn) onPeerClose() {
	k.mu.Lock()
	push := k.push
	k.closedAt = max(k.worker.fleet.ledger.Now(), 1)
	at := k.closedAt
	k.mu.Unlock()
	if push != nil {
		k.cancelPush(push, at)
	}
}

// cancelPush ends a push because the scheduler has closed its connection. It adds the ledger event and passes
// the cancel to the worker model.
func (k *schedulerConn) cancelPush(push *activePush, at ledger.Time) {
	w := k.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if push.done || w.ended {
		return
	}
	w.fleet.ledger.Add(ledger.Event{Kind: ledger.Closed, Op: push.op, Worker: w.name, Push: push.id, From: at})
	w.handleLocked(workermodel.Closed{Push: push.id})
	w.finishPush(push)
}

// finishPush ends a push, so that its connection can read the next request. The job of the push may continue.
// The worker's lock must be held.
func (w *worker) finishPush(push *activePush) {
	if !push.done {
		push.done = true
		delete(w.pushes, push.id)
		close(push.finished)
	}
}

// serve reads and answers requests one after another.
func (k *schedulerConn) serve() {
	defer k.end()
	in := bufio.NewReaderSize(k, 4096)
	idle := time.Duration(k.worker.fleet.experiment.Schedulers.KeepaliveMS * float64(time.Millisecond))
	for {
		k.conn.SetReadDeadline(time.Now().Add(idle))
		if _, err := in.Peek(1); err != nil {
			return
		}
		arrived := k.worker.fleet.ledger.FromTime(k.conn.ReceivedAt())
		k.conn.SetReadDeadline(time.Now().Add(headerTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		if err != nil {
			return // incomplete body
		}
		k.conn.SetReadDeadline(time.Time{})
		k.count(trafficKind(r), in.Buffered())
		if !k.handle(r, body, arrived) {
			return
		}
	}
}

// end removes the connection from the worker and closes it after all written bytes are sent.
func (k *schedulerConn) end() {
	w := k.worker
	w.mu.Lock()
	if w.conns[k] {
		delete(w.conns, k)
		w.handleLocked(workermodel.Disconnected{})
	}
	w.mu.Unlock()
	k.conn.CloseSoon(time.Second)
}

// isProbe reports whether a request is a probe, with or without a load report.
func isProbe(r *http.Request) bool {
	return r.Method == http.MethodGet && (r.URL.Path == "/load" || r.URL.Path == "/healthz")
}

func trafficKind(r *http.Request) meter.Kind {
	if isProbe(r) {
		return meter.Probes
	}
	return meter.Work
}

func (k *schedulerConn) respond(kind meter.Kind, status int, headerLines, body string) {
	k.write(kind, fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headerLines, len(body), body))
}

// handle answers one request and reports whether the connection can carry another request.
func (k *schedulerConn) handle(r *http.Request, body []byte, arrived ledger.Time) bool {
	if isProbe(r) {
		return k.probe(r.URL.Path == "/load")
	}
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		k.respond(meter.Work, http.StatusNotFound, "", "")
		return true
	}
	w, f := k.worker, k.worker.fleet
	request, ok := f.requests.Get(id)
	if problem := mismatch(r, body, request); !ok || problem != "" {
		if !ok {
			problem = "no client sent this id"
		}
		f.ledger.Add(ledger.Event{Kind: ledger.UnknownPush, Op: id, Worker: w.name, Scheduler: k.scheduler + 1, Text: problem})
		k.respond(meter.Work, http.StatusBadRequest, "", problem+"\n")
		return true
	}
	push := &activePush{id: int(f.lastPush.Add(1)), op: id, conn: k, finished: make(chan struct{})}
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return false
	}
	f.ledger.Add(ledger.Event{Kind: ledger.Reached, Op: id, Worker: w.name, Scheduler: k.scheduler + 1, Push: push.id, From: arrived,
		Until: w.pushDeadline(r, arrived), Work: request.Job.Work * request.Job.Slots, TypicalWork: request.Job.ExpectedWork * request.Job.Slots})
	w.pushes[push.id] = push
	k.mu.Lock()
	k.push = push
	closedAt := k.closedAt
	k.mu.Unlock()
	w.handleLocked(workermodel.Pushed{Push: push.id, Job: request.Job})
	w.mu.Unlock()
	if closedAt > 0 {
		k.cancelPush(push, closedAt)
	}
	<-push.finished
	k.mu.Lock()
	k.push = nil
	closedAt = k.closedAt
	k.mu.Unlock()
	return closedAt == 0
}

// mismatch describes the first difference between a push and the client's request. It is empty if they are
// equal.
func mismatch(r *http.Request, body []byte, sent requests.Request) string {
	switch {
	case r.Method != http.MethodPost:
		return "method " + r.Method
	case r.RequestURI != sent.Target:
		return "target " + r.RequestURI
	case r.Header.Get("Idempotency-Key") != sent.IdempotencyKey:
		return "another Idempotency-Key"
	case requests.HashBody(body) != sent.BodyHash:
		return "another body"
	}
	return ""
}

// probe answers a probe, with a load report in the body if withReport is set. A hung worker does not answer.
// It returns false if the connection must end.
func (k *schedulerConn) probe(withReport bool) bool {
	w := k.worker
	answer := make(chan workermodel.Report, 1)
	w.mu.Lock()
	w.lastProbe++
	w.probes[w.lastProbe] = answer
	w.fleet.ledger.Add(ledger.Event{Kind: ledger.Probed, Worker: w.name, Scheduler: k.scheduler + 1})
	w.handleLocked(workermodel.Probed{Probe: w.lastProbe})
	w.mu.Unlock()
	select {
	case r := <-answer:
		if r.Silent {
			return k.waitForClose()
		}
		status, report := http.StatusOK, ""
		if !r.Ready {
			status = http.StatusServiceUnavailable
		}
		if withReport {
			report = fmt.Sprintf(`{"pending":%d,"busy_reqs":%d,"x0":%g,"x1":%g}`, r.Load.Waiting, r.Load.Jobs, r.Load.Free, r.Load.Memory)
		}
		k.respond(meter.Probes, status, "Content-Type: application/json\r\n", report)
		return true
	default: // the process has ended
		return false
	}
}

// waitForClose keeps a connection open without sending anything until the scheduler closes it. It always
// returns false: the connection ends.
func (k *schedulerConn) waitForClose() bool {
	k.conn.SetReadDeadline(time.Time{})
	k.conn.Read(make([]byte, 1))
	return false
}

// statusLine is a line in the response to a push.
type statusLine struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share,omitempty"`
	Result string  `json:"result,omitempty"`
}

// sendStatus sends a status from the worker model to the scheduler. It adds the ledger event before it
// writes. The worker's lock must be held.
func (w *worker) sendStatus(s workermodel.SendStatus) {
	push := w.pushes[s.Push]
	if push == nil || push.done {
		return
	}
	switch s.Status {
	case workermodel.Accepted:
		push.conn.write(meter.Work, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
		return
	case workermodel.Rejected, workermodel.Unfit:
		w.fleet.ledger.Add(ledger.Event{Kind: ledger.WorkerReplied, Op: push.op, Worker: w.name, Push: push.id, Verdict: string(s.Status)})
		if s.Status == workermodel.Unfit {
			push.conn.respond(meter.Work, http.StatusUnprocessableEntity, "", "")
		} else {
			push.conn.respond(meter.Work, http.StatusServiceUnavailable, "X-Unprocessed: 1\r\n", "")
		}
		w.finishPush(push)
		return
	}
	text, _ := json.Marshal(statusLine{ID: push.op, From: w.name, State: string(s.Status), Share: s.Progress, Result: s.Result})
	text = append(text, '\n')
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text)
	switch s.Status {
	case workermodel.Done, workermodel.Failed, workermodel.Returned:
		chunk = append(chunk, "0\r\n\r\n"...)
		w.fleet.ledger.Add(ledger.Event{Kind: ledger.WorkerReplied, Op: push.op, Worker: w.name, Push: push.id, Verdict: string(s.Status), Text: s.Result})
		push.conn.write(meter.Work, chunk)
		w.finishPush(push)
	default:
		push.conn.write(meter.Work, chunk)
	}
}
