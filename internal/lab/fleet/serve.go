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

// link is one connection from a scheduler; it carries one request at a time.
type link struct {
	w         *worker
	scheduler int
	c         *links.Conn

	mu  sync.Mutex
	leg *leg        // the push that is on it
	off ledger.Time // when the other side ended it, 0 before

	came, counted int64 // bytes read, and those of them that stand in the meter
}

// Read counts what is read.
func (k *link) Read(b []byte) (int, error) {
	n, err := k.c.Read(b)
	k.came += int64(n)
	return n, err
}

// count puts what the scheduler has sent up to here into the meter; left are bytes that were read and belong to what follows.
func (k *link) count(kind meter.Kind, left int) {
	sent := k.came - int64(left) - k.counted
	k.counted += sent
	k.w.f.meter.Add(k.scheduler, kind, 0, int(sent), 1)
}

// write sends what the scheduler receives.
func (k *link) write(kind meter.Kind, b []byte) {
	k.c.Write(b)
	k.w.f.meter.Add(k.scheduler, kind, len(b), 0, 0)
}

const (
	longestBody = 64 << 10
	headTime    = 10 * time.Second
)

// reset ends a connection as the death of a process does.
func (k *link) reset() {
	if t, ok := k.c.Conn.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	k.c.Close()
}

// behindCut is how long after a cut's end bytes come that were written during it: when, nobody knows.
const behindCut = ledger.Time(500 * time.Millisecond / ledger.Tenth)

// toldUntil is until when a worker is told that its answer is waited for, 0 where it is not told or not known, with its lock held.
func (w *worker) toldUntil(r *http.Request, from ledger.Time) ledger.Time {
	if w.cutAt > 0 && from >= w.cutAt && from <= w.cutAt+behindCut {
		return 0
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Time-Left-Ms"), 10, 32)
	if err != nil {
		return 0
	}
	return from + ledger.Span(time.Duration(ms)*time.Millisecond)
}

// gone is told at the moment at which the scheduler ends the connection, whatever lies on the link still.
func (k *link) gone() {
	k.mu.Lock()
	l := k.leg
	k.off = max(k.w.f.book.Now(), 1)
	at := k.off
	k.mu.Unlock()
	if l != nil {
		k.closed(l, at)
	}
}

// closed notes that a push was given up.
func (k *link) closed(l *leg, at ledger.Time) {
	w := k.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.done || w.dead {
		return
	}
	w.f.book.Add(ledger.Event{Kind: ledger.Closed, Op: l.op, Worker: w.name, Push: l.push, From: at})
	w.takeLocked(workermodel.Closed{Push: l.push})
	w.finish(l)
}

// finish ends a leg, with the worker's lock held. Its job may go on.
func (w *worker) finish(l *leg) {
	if !l.done {
		l.done = true
		delete(w.legs, l.push)
		close(l.over)
	}
}

// serve reads requests one by one.
func (k *link) serve() {
	defer k.end()
	in := bufio.NewReaderSize(k, 4096)
	idle := time.Duration(k.w.f.plan.Schedulers.KeepaliveMS * float64(time.Millisecond))
	for {
		k.c.SetReadDeadline(time.Now().Add(idle))
		if _, err := in.Peek(1); err != nil {
			return
		}
		from := k.w.f.book.Moment(k.c.Mouth())
		k.c.SetReadDeadline(time.Now().Add(headTime))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, longestBody+1))
		if err != nil {
			return // it never came whole
		}
		k.c.SetReadDeadline(time.Time{})
		k.count(kindOf(r), in.Buffered())
		if !k.answer(r, body, from) {
			return
		}
	}
}

// end forgets the connection.
func (k *link) end() {
	w := k.w
	w.mu.Lock()
	if w.conns[k] {
		delete(w.conns, k)
		w.takeLocked(workermodel.Hangup{})
	}
	w.mu.Unlock()
	k.c.CloseSoon(time.Second)
}

// isProbe tells whether a request asks for a load report.
func isProbe(r *http.Request) bool {
	return r.Method == http.MethodGet && (r.URL.Path == "/load" || r.URL.Path == "/healthz")
}

func kindOf(r *http.Request) meter.Kind {
	if isProbe(r) {
		return meter.Probes
	}
	return meter.Work
}

func (k *link) plain(kind meter.Kind, status int, extra, body string) {
	k.write(kind, fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), extra, len(body), body))
}

// answer answers one request, and tells whether another may follow.
func (k *link) answer(r *http.Request, body []byte, from ledger.Time) bool {
	if isProbe(r) {
		return k.probe(r.URL.Path == "/load")
	}
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		k.plain(meter.Work, http.StatusNotFound, "", "")
		return true
	}
	w, f := k.w, k.w.f
	ask, ok := f.desk.Get(id)
	if what := differs(r, body, ask); !ok || what != "" {
		if !ok {
			what = "no client sent this id"
		}
		f.book.Add(ledger.Event{Kind: ledger.Strange, Op: id, Worker: w.name, Scheduler: k.scheduler + 1, Text: what})
		k.plain(meter.Work, http.StatusBadRequest, "", what+"\n")
		return true
	}
	l := &leg{push: int(f.pushes.Add(1)), op: id, on: k, over: make(chan struct{})}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return false
	}
	f.book.Add(ledger.Event{Kind: ledger.Reached, Op: id, Worker: w.name, Scheduler: k.scheduler + 1, Push: l.push, From: from,
		Until: w.toldUntil(r, from), Work: ask.Job.Work * ask.Job.Slots, Usual: ask.Job.Usual * ask.Job.Slots})
	w.legs[l.push] = l
	k.mu.Lock()
	k.leg = l
	off := k.off
	k.mu.Unlock()
	w.takeLocked(workermodel.Pushed{Push: l.push, Job: ask.Job})
	w.mu.Unlock()
	if off > 0 {
		k.closed(l, off)
	}
	<-l.over
	k.mu.Lock()
	k.leg = nil
	off = k.off
	k.mu.Unlock()
	return off == 0
}

// differs says what of a push is not as its client sent it.
func differs(r *http.Request, body []byte, a requests.Ask) string {
	switch {
	case r.Method != http.MethodPost:
		return "method " + r.Method
	case r.RequestURI != a.Target:
		return "target " + r.RequestURI
	case r.Header.Get("Idempotency-Key") != a.Key:
		return "another Idempotency-Key"
	case requests.Sum(body) != a.Body:
		return "another body"
	}
	return ""
}

// probe answers with the load report, or with nothing from a worker that hangs.
func (k *link) probe(load bool) bool {
	w := k.w
	got := make(chan workermodel.Report, 1)
	w.mu.Lock()
	w.next++
	w.calls[w.next] = got
	w.f.book.Add(ledger.Event{Kind: ledger.Probed, Worker: w.name, Scheduler: k.scheduler + 1})
	w.takeLocked(workermodel.Probed{Probe: w.next})
	w.mu.Unlock()
	select {
	case r := <-got:
		if r.Silent {
			return k.hold()
		}
		status, body := http.StatusOK, ""
		if !r.Ready {
			status = http.StatusServiceUnavailable
		}
		if load {
			body = fmt.Sprintf(`{"pending":%d,"busy_reqs":%d,"x0":%g,"x1":%g}`, r.Load.Waiting, r.Load.Jobs, r.Load.Free, r.Load.Memory)
		}
		k.plain(meter.Probes, status, "Content-Type: application/json\r\n", body)
		return true
	default: // the process has ended
		return false
	}
}

// hold keeps a connection open and silent until the other side has had enough of it.
func (k *link) hold() bool {
	k.c.SetReadDeadline(time.Time{})
	k.c.Read(make([]byte, 1))
	return false
}

// line is one line of a job.
type line struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share,omitempty"`
	Result string  `json:"result,omitempty"`
}

// say carries out a word of the box, with the worker's lock held. The ledger has it before the scheduler can.
func (w *worker) say(s workermodel.Say) {
	l := w.legs[s.Push]
	if l == nil || l.done {
		return
	}
	switch s.Word {
	case workermodel.Taken:
		l.on.write(meter.Work, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
		return
	case workermodel.TurnedAway, workermodel.Unfit:
		w.f.book.Add(ledger.Event{Kind: ledger.Said, Op: l.op, Worker: w.name, Push: l.push, Verdict: string(s.Word)})
		if s.Word == workermodel.Unfit {
			l.on.plain(meter.Work, http.StatusUnprocessableEntity, "", "")
		} else {
			l.on.plain(meter.Work, http.StatusServiceUnavailable, "X-Unprocessed: 1\r\n", "")
		}
		w.finish(l)
		return
	}
	text, _ := json.Marshal(line{ID: l.op, From: w.name, State: string(s.Word), Share: s.Share, Result: s.Result})
	text = append(text, '\n')
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text)
	switch s.Word {
	case workermodel.Done, workermodel.Failed, workermodel.Returned:
		chunk = append(chunk, "0\r\n\r\n"...)
		w.f.book.Add(ledger.Event{Kind: ledger.Said, Op: l.op, Worker: w.name, Push: l.push, Verdict: string(s.Word), Text: s.Result})
		l.on.write(meter.Work, chunk)
		w.finish(l)
	default:
		l.on.write(meter.Work, chunk)
	}
}
