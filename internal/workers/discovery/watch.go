package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxObjectBytes = 8 << 20 // bytes of one object

var (
	errIdleTimeout      = errors.New("nothing came")
	errObjectTooLarge   = errors.New("an object is too long")
	errIncompleteObject = errors.New("an object has no version, or is a whole list without workers' entries")
)

// watch reads one watch until it breaks, and tells whether anything came that says that discovery lives.
func (r *Client) watch(on context.Context) (heard bool, err error) {
	r.watching.Lock()
	defer r.watching.Unlock()
	r.mu.Lock()
	addr, rev := r.addr, r.revision
	r.mu.Unlock()
	ctx, cancel := context.WithCancelCause(on)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); err != nil && on.Err() == nil && cause != nil {
			err = fmt.Errorf("watch: %w", cause)
		}
	}()
	silence := newIdleTimer(r.timeouts.Response, r.HasUnreadData, func() { cancel(errIdleTimeout) }) // a lost agent says nothing
	defer silence.stop()
	url := fmt.Sprintf("http://%s/v1/servers?stream=1&index=%d", addr, rev)
	defer r.watchedConn.Store(nil) // before the next watch begins
	req, err := http.NewRequestWithContext(r.withConnTrace(ctx), http.MethodGet, url, nil)
	if err != nil {
		return false, fmt.Errorf("watch: %w", err)
	}
	resp, err := r.httpClient.Do(req)
	if err != nil {
		return false, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return false, fmt.Errorf("watch: status %s: %w", resp.Status, errRejected)
	default:
		return false, fmt.Errorf("watch: status %s", resp.Status)
	}
	silence.reset(r.timeouts.Idle)
	m := &objectReader{source: resp.Body, remaining: maxObjectBytes, onActivity: func() { silence.reset(r.timeouts.Idle) }, onHeartbeat: r.startTimes.noteHeartbeat}
	objects := json.NewDecoder(m) // an object may stand on several lines
	for {
		var text struct {
			Rev     *int64    `json:"rev"`
			All     bool      `json:"all"`
			Targets *[]target `json:"targets"`
		}
		if err := objects.Decode(&text); err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("ended")
			}
			return m.alive, fmt.Errorf("watch: %w", err)
		}
		if text.Rev == nil || text.All && text.Targets == nil {
			return m.alive, fmt.Errorf("watch: %w", errIncompleteObject)
		}
		m.objectComplete(objects.Buffered())
		list := Message{Rev: *text.Rev, All: text.All}
		if text.Targets != nil {
			list.Targets = *text.Targets
		}
		if !r.apply(on, &list) {
			return m.alive, on.Err()
		}
		r.log.Debug().Int64("rev", list.Rev).Bool("whole", list.All).Int("entries", len(list.Targets)).Msg("list")
		for _, t := range list.Targets {
			r.log.Debug().Str("worker", t.UID).Str("state", t.State).Str("zone", t.AZ).Int64("boot_ms", t.BootMS).Msg("listed")
		}
		r.notify(list.EndpointsChanged(r.startTimes))
		r.startTimes.noteHeartbeat()
	}
}

const (
	maxTimerLateness = 100 * time.Millisecond // a timer that is later than that tells of this process, not of the other side
	unreadGrace      = 500 * time.Millisecond // for what came meanwhile to be read, or a quarter of the span that has passed
	// So often a late timer is waited for, and not once more: a process that is starved for good has to call anew some time. In
	// all it is under a third of a drain's grace where lists are pushed, as a call there is given two fifths.
	maxLateTimers = 3
)

// idleTimer ends a watch of which nothing came in time. A process that was stopped or starved meanwhile has what came unread before
// it, perhaps a drain that counts as told by now: it reads that first, and does not call anew for it.
type idleTimer struct {
	hasUnread func() bool // something lies there, and nobody has come to it yet
	onIdle    func()

	mu         sync.Mutex
	timer      *time.Timer
	timeout    time.Duration // within which something has to come
	deadline   time.Time
	lateTimers int // how often it was, since something came
}

// newIdleTimer begins a silence that is to be broken within a span.
func newIdleTimer(within time.Duration, unread func() bool, end func()) *idleTimer {
	s := &idleTimer{hasUnread: unread, onIdle: end, timeout: within, deadline: time.Now().Add(within)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(within, s.expired)
	return s
}

// reset says that something came, and what has to come within the next span.
func (s *idleTimer) reset(within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeout, s.deadline, s.lateTimers = within, time.Now().Add(within), 0
	s.timer.Reset(within)
}

func (s *idleTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// expired is told when the span has passed.
func (s *idleTimer) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := time.Until(s.deadline)
	if left <= 0 && (s.lateTimers == maxLateTimers || -left <= maxTimerLateness && !s.hasUnread()) {
		s.onIdle()
		return
	}
	if left <= 0 {
		left = min(unreadGrace, s.timeout/4)
		s.lateTimers++
	} // else it was broken in this instant
	s.deadline = time.Now().Add(left)
	s.timer.Reset(left)
}

// objectReader reads objects with empty lines between them. While none has begun each byte is a sign of life; one that has begun must
// be whole within the span that one byte gives, and within its length: half an object that stops is silence, also where empty
// lines follow it.
type objectReader struct {
	source      io.Reader
	remaining   int  // of the object's bytes
	inObject    bool // one has begun
	alive       bool // an empty line came, or a list
	onActivity  func()
	onHeartbeat func() // told of each empty line
}

// Read leaves out what is blank between objects: the decoder would keep it until the next one.
func (m *objectReader) Read(b []byte) (int, error) {
	for {
		if m.remaining <= 0 {
			return 0, errObjectTooLarge
		}
		n, err := m.source.Read(b[:min(len(b), m.remaining)])
		if n == 0 {
			return 0, err
		}
		m.consume(b[:n])
		if m.inObject {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// consume takes note of bytes that came.
func (m *objectReader) consume(b []byte) {
	if !m.inObject {
		m.onActivity()
		if len(bytes.TrimSpace(b)) == 0 {
			m.alive = true
			m.onHeartbeat()
			return
		}
		m.inObject = true
	}
	m.remaining -= len(b)
}

// objectComplete says that a list has come whole, and what was read behind it.
func (m *objectReader) objectComplete(rest io.Reader) {
	m.inObject, m.remaining, m.alive = false, maxObjectBytes, true
	m.onActivity()
	if b, err := io.ReadAll(rest); err == nil && len(bytes.TrimSpace(b)) > 0 {
		m.consume(b)
	}
}
