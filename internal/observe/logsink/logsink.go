// Package logsink writes the lines of a process's log and never blocks the goroutine that logs. If the log's
// reader stops or exits, or its disk is full, lines that do not fit in the buffer are dropped and counted.
// The log reports the number of dropped lines when it can be written again.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxPendingBytes limits the size of the lines that wait to be written. Further lines are dropped.
const maxPendingBytes = 1 << 20

// droppedLine is the log line that reports lost lines, in the format of the logger.
const droppedLine = `{"level":"warn","dropped":%d,"message":"lines of the log were dropped"}` + "\n"

// Sink is a log output. Its methods may be called from any goroutine. Write never blocks.
type Sink struct {
	out    io.Writer
	wakeup chan struct{} // has an entry when lines are pending or the sink is closed
	done   chan struct{} // closed when run has returned

	mu      sync.Mutex
	pending []byte // complete lines
	dropped uint64 // lines lost since the last report in the log
	lost    uint64 // total of lost lines
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

// Write adds a complete line to the pending lines. It never returns an error: a line that does not fit is
// counted as lost.
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

// Close waits until the pending lines are written, up to the timeout. Lines that are logged later are lost.
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

// batch has the lines that are written with one call.
type batch struct {
	lines   []byte
	dropped uint64 // lost lines, to be reported after the lines of the batch
	closed  bool
}

// empty reports whether there is nothing to write. Lost lines are reported only along with other lines or at
// the close. A report on its own would be lost while the output fails, and would cause a further report.
func (b *batch) empty() bool { return len(b.lines) == 0 && (b.dropped == 0 || !b.closed) }

// run writes batches until the sink is closed and no line is pending.
func (s *Sink) run() {
	defer close(s.done)
	var spare []byte     // the buffer that is not in use
	lineComplete := true // whether the last line in the log is complete
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

// takeBatch returns the pending lines and makes the spare buffer collect later lines. The returned buffer is
// written while lines are added to the spare buffer, so the two must be different.
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

// writeBatch writes a batch. lineComplete says whether the last line in the log is complete; an incomplete
// line is ended first. The result says whether the last line is complete after the write. Lines that can't
// be written are lost.
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

// countLost counts lines that could not be written. The next report includes these lines, and the
// dropped lines that the failed batch should have reported.
func (s *Sink) countLost(lines []byte, dropped uint64) {
	n := uint64(bytes.Count(lines, []byte("\n")))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost += n
	s.dropped += n + dropped
}
