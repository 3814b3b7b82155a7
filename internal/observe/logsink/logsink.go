// Package logsink takes the lines of a process's log and writes them, without ever holding up whoever logs: a reader that stops, leaves
// or has a full disk costs lines and nothing else. Lines that find no room are counted, and the log says how many when there is room again.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxPendingBytes wait to be written; beyond them lines are dropped.
const maxPendingBytes = 1 << 20

// Sink is one log. Write may be called from any goroutine and waits for nothing.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte // whole lines
	dropped uint64 // since the log said so last
	lost    uint64 // in all
	closed  bool
	wakeup  chan struct{} // has one when something waits, or it is closed
	done    chan struct{}
}

// New makes a log that is written to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes a line. It never fails: what is lost is counted.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > maxPendingBytes {
		s.dropped, s.lost = s.dropped+1, s.lost+1
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.wake()
	return len(line), nil
}

// Lost is how many lines have been dropped or could not be written.
func (s *Sink) Lost() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Close writes what waits, within a time; after that the last lines are lost.
func (s *Sink) Close(within time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.wake()
	s.mu.Unlock()
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case <-s.done:
	case <-late.C:
	}
}

func (s *Sink) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// batch is what is written at once.
type batch struct {
	lines   []byte
	dropped uint64 // lines before and among them that were lost, of which the log is to tell behind them
	closed  bool
}

// empty tells whether there is nothing to write. That lines were dropped is told with the next line, or at the end: where nothing can be
// written a line on that alone would be dropped as well, and so on without end.
func (b *batch) empty() bool { return len(b.lines) == 0 && (b.dropped == 0 || !b.closed) }

// run writes until it is closed and nothing waits.
func (s *Sink) run() {
	defer close(s.done)
	var room []byte
	whole := true // the last line that was written
	for range s.wakeup {
		for {
			b := s.takeBatch(room)
			room = b.lines // before anything else: the other one has been given away
			if !b.empty() {
				whole = s.writeBatch(b, whole)
			}
			if len(b.lines) == 0 {
				if b.closed {
					return
				}
				break
			}
		}
	}
}

// takeBatch is what waits. Lines that come from now on go into other room, which must not be that of what is taken.
func (s *Sink) takeBatch(room []byte) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{lines: s.pending, closed: s.closed}
	s.pending = room[:0]
	if len(b.lines) > 0 || b.closed {
		b.dropped, s.dropped = s.dropped, 0
	}
	return b
}

// writeBatch writes a batch and tells whether the last line is whole. What can't be written is lost; half a line is ended before the next.
func (s *Sink) writeBatch(b batch, whole bool) bool {
	if !whole {
		if _, err := s.out.Write([]byte("\n")); err != nil {
			s.countLost(b.lines, b.dropped)
			return false
		}
	}
	text := b.lines
	if b.dropped > 0 {
		text = fmt.Appendf(text, `{"level":"warn","dropped":%d,"message":"lines of the log were dropped"}`+"\n", b.dropped)
	}
	n, err := s.out.Write(text)
	if err == nil {
		return true
	}
	s.countLost(b.lines[min(n, len(b.lines)):], b.dropped)
	return n == 0 && whole || n > 0 && text[n-1] == '\n'
}

// countLost counts lines that could not be written, and has the log tell of them and of those before when it can.
func (s *Sink) countLost(lines []byte, dropped uint64) {
	n := uint64(bytes.Count(lines, []byte("\n")))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost += n
	s.dropped += n + dropped
}
