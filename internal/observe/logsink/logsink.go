// Package logsink writes the lines of a process's log without ever blocking the goroutine that logs. A
// reader that stops, leaves or has a full disk costs lines and nothing else: lines without space in the
// buffer are dropped and counted, and the log says how many as soon as it can be written again.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxPendingBytes bounds the lines that wait to be written. Further ones are dropped.
const maxPendingBytes = 1 << 20

// droppedLine reports lost lines. It has the form of the lines that the logger writes.
const droppedLine = `{"level":"warn","dropped":%d,"message":"lines of the log were dropped"}` + "\n"

// Sink is one log. Its methods may be called from any goroutine. Write never blocks.
type Sink struct {
	out    io.Writer
	wakeup chan struct{} // has an entry when lines are pending or the sink is closed
	done   chan struct{} // closed when nothing more is written

	mu      sync.Mutex
	pending []byte // complete lines
	dropped uint64 // lines lost since the log last said so
	lost    uint64 // lines lost in all
	closed  bool
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{
		out:    out,
		wakeup: make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	go s.run()
	return s
}

// Write appends a complete line. It never returns an error: a line that is lost is counted.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > maxPendingBytes {
		s.dropped++
		s.lost++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.wake()
	return len(line), nil
}

// Lost returns how many lines were dropped or could not be written.
func (s *Sink) Lost() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Close writes the pending lines, for as long as the timeout allows. Lines that are logged later are
// lost.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.wake()
	s.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// batch is the lines that are written by one call.
type batch struct {
	lines   []byte
	dropped uint64 // lines lost before or among them, which the log has to report after them
	closed  bool
}

// empty tells whether there is nothing to write. Lost lines are reported with the next line or at the
// end: a line on them alone, where nothing can be written, would be lost and reported in turn.
func (b *batch) empty() bool { return len(b.lines) == 0 && (b.dropped == 0 || !b.closed) }

// run writes until the sink is closed and nothing is pending.
func (s *Sink) run() {
	defer close(s.done)
	var spare []byte     // the buffer that is not in use
	lineComplete := true // the last line that was written
	for range s.wakeup {
		for {
			b := s.takeBatch(spare)
			spare = b.lines
			if !b.empty() {
				lineComplete = s.writeBatch(b, lineComplete)
			}
			if len(b.lines) > 0 {
				continue
			}
			if b.closed {
				return
			}
			break
		}
	}
}

// takeBatch returns the pending lines. Later lines go into the spare buffer, which must not be the one
// that is returned.
func (s *Sink) takeBatch(spare []byte) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{lines: s.pending, closed: s.closed}
	s.pending = spare[:0]
	if len(b.lines) > 0 || b.closed {
		b.dropped = s.dropped
		s.dropped = 0
	}
	return b
}

// writeBatch writes a batch. lineComplete tells whether the last line in the log is complete, before and
// after; an incomplete one is ended first. Lines that can't be written are lost.
func (s *Sink) writeBatch(b batch, lineComplete bool) bool {
	if !lineComplete {
		if _, err := s.out.Write([]byte("\n")); err != nil {
			s.countLost(b.lines, b.dropped)
			return false
		}
	}
	text := b.lines
	if b.dropped > 0 {
		text = fmt.Appendf(text, droppedLine, b.dropped)
	}
	n, err := s.out.Write(text)
	if err == nil {
		return true
	}
	s.countLost(b.lines[min(n, len(b.lines)):], b.dropped)
	if n == 0 {
		return lineComplete
	}
	return text[n-1] == '\n'
}

// countLost counts lines that could not be written. The log has yet to report them, and those lost
// before.
func (s *Sink) countLost(lines []byte, dropped uint64) {
	n := uint64(bytes.Count(lines, []byte("\n")))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost += n
	s.dropped += n + dropped
}
