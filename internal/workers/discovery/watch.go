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

const longest = 8 << 20 // bytes of one object

var (
	errSilent  = errors.New("nothing came")
	errTooLong = errors.New("an object is too long")
	errLacking = errors.New("an object has no version, or is a whole list without workers' entries")
)

// watch reads one watch until it breaks, and tells whether anything came that says that discovery lives.
func (r *Client) watch(on context.Context) (heard bool, err error) {
	r.one.Lock()
	defer r.one.Unlock()
	r.mu.Lock()
	addr, rev := r.addr, r.rev
	r.mu.Unlock()
	ctx, cancel := context.WithCancelCause(on)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); err != nil && on.Err() == nil && cause != nil {
			err = fmt.Errorf("watch: %w", cause)
		}
	}()
	silence := listenFor(r.spans.Settle, r.HasUnreadData, func() { cancel(errSilent) }) // a lost agent says nothing
	defer silence.stop()
	url := fmt.Sprintf("http://%s/v1/servers?stream=1&index=%d", addr, rev)
	defer r.watched.Store(nil) // before the next watch begins
	req, err := http.NewRequestWithContext(r.noting(ctx), http.MethodGet, url, nil)
	if err != nil {
		return false, fmt.Errorf("watch: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return false, fmt.Errorf("watch: status %s: %w", resp.Status, errTurnedAway)
	default:
		return false, fmt.Errorf("watch: status %s", resp.Status)
	}
	silence.broken(r.spans.Quiet)
	m := &meter{from: resp.Body, left: longest, lives: func() { silence.broken(r.spans.Quiet) }, beats: r.starts.alive}
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
			return m.heard, fmt.Errorf("watch: %w", err)
		}
		if text.Rev == nil || text.All && text.Targets == nil {
			return m.heard, fmt.Errorf("watch: %w", errLacking)
		}
		m.whole(objects.Buffered())
		list := Message{Rev: *text.Rev, All: text.All}
		if text.Targets != nil {
			list.Targets = *text.Targets
		}
		if !r.keep(on, &list) {
			return m.heard, on.Err()
		}
		r.log.Debug().Int64("rev", list.Rev).Bool("whole", list.All).Int("entries", len(list.Targets)).Msg("list")
		for _, t := range list.Targets {
			r.log.Debug().Str("worker", t.UID).Str("state", t.State).Str("zone", t.AZ).Int64("boot_ms", t.BootMS).Msg("listed")
		}
		r.tell(list.EndpointsChanged(r.starts))
		r.starts.alive()
	}
}

const (
	starved = 100 * time.Millisecond // a timer that is later than that tells of this process, not of the other side
	unread  = 500 * time.Millisecond // for what came meanwhile to be read, or a quarter of the span that has passed
	// So often a late timer is waited for, and not once more: a process that is starved for good has to call anew some time. In
	// all it is under a third of a drain's grace where lists are pushed, as a call there is given two fifths.
	mostLate = 3
)

// silence ends a watch of which nothing came in time. A process that was stopped or starved meanwhile has what came unread before
// it, perhaps a drain that counts as told by now: it reads that first, and does not call anew for it.
type silence struct {
	unread func() bool // something lies there, and nobody has come to it yet
	end    func()

	mu    sync.Mutex
	timer *time.Timer
	span  time.Duration // within which something has to come
	due   time.Time
	late  int // how often it was, since something came
}

// listenFor begins a silence that is to be broken within a span.
func listenFor(within time.Duration, unread func() bool, end func()) *silence {
	s := &silence{unread: unread, end: end, span: within, due: time.Now().Add(within)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(within, s.over)
	return s
}

// broken says that something came, and what has to come within the next span.
func (s *silence) broken(within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.span, s.due, s.late = within, time.Now().Add(within), 0
	s.timer.Reset(within)
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// over is told when the span has passed.
func (s *silence) over() {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := time.Until(s.due)
	if left <= 0 && (s.late == mostLate || -left <= starved && !s.unread()) {
		s.end()
		return
	}
	if left <= 0 {
		left = min(unread, s.span/4)
		s.late++
	} // else it was broken in this instant
	s.due = time.Now().Add(left)
	s.timer.Reset(left)
}

// meter reads objects with empty lines between them. While none has begun each byte is a sign of life; one that has begun must
// be whole within the span that one byte gives, and within its length: half an object that stops is silence, also where empty
// lines follow it.
type meter struct {
	from  io.Reader
	left  int  // of the object's bytes
	open  bool // one has begun
	heard bool // an empty line came, or a list
	lives func()
	beats func() // told of each empty line
}

// Read leaves out what is blank between objects: the decoder would keep it until the next one.
func (m *meter) Read(b []byte) (int, error) {
	for {
		if m.left <= 0 {
			return 0, errTooLong
		}
		n, err := m.from.Read(b[:min(len(b), m.left)])
		if n == 0 {
			return 0, err
		}
		m.see(b[:n])
		if m.open {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// see takes note of bytes that came.
func (m *meter) see(b []byte) {
	if !m.open {
		m.lives()
		if len(bytes.TrimSpace(b)) == 0 {
			m.heard = true
			m.beats()
			return
		}
		m.open = true
	}
	m.left -= len(b)
}

// whole says that a list has come whole, and what was read behind it.
func (m *meter) whole(rest io.Reader) {
	m.open, m.left, m.heard = false, longest, true
	m.lives()
	if b, err := io.ReadAll(rest); err == nil && len(bytes.TrimSpace(b)) > 0 {
		m.see(b)
	}
}
