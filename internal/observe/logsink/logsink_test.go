package logsink

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// gatedWriter is an output whose writes block until they are released.
type gatedWriter struct {
	mu               sync.Mutex
	written          bytes.Buffer
	release          chan error // releases one write; an error makes the write fail
	bytesBeforeError int        // bytes that a failing write accepts
}

func (w *gatedWriter) Write(b []byte) (int, error) {
	err := <-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		b = b[:min(len(b), w.bytesBeforeError)]
	}
	n, _ := w.written.Write(b)
	return n, err
}

// While the reader of the log does not read, Write must not block. Lines that fit in the buffer are written
// completely and in order later, and the other lines are counted as lost.
func TestABlockedReaderDoesNotBlockWrite(t *testing.T) {
	out := &gatedWriter{release: make(chan error)}
	s := New(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 4 * maxPendingBytes / 1000
	for range lines {
		s.Write(line)
	}
	lost := s.Lost()
	if lost < lines/2 || lost > lines {
		t.Errorf("%d of %d lines are lost", lost, lines)
	}
	close(out.release)
	s.Close(10 * time.Second)
	text := out.written.String()
	if got := strings.Count(text, string(line)); got != lines-int(lost) {
		t.Errorf("%d lines were written and %d lost, of %d", got, lost, lines)
	}
	reported := uint64(0) // the sum of one or two reports: two if the sink began to write late
	for _, m := range regexp.MustCompile(`"dropped":(\d+),`).FindAllStringSubmatch(text, -1) {
		n, _ := strconv.ParseUint(m[1], 10, 64)
		reported += n
	}
	if reported != lost {
		t.Errorf("the log reports %d dropped lines, want %d", reported, lost)
	}
}

// After a failed write that wrote part of a line, the next line must begin on a new line of the log, and the
// lost line is reported.
func TestLinesAreCompleteAfterAFailedWrite(t *testing.T) {
	out := &gatedWriter{release: make(chan error, 9), bytesBeforeError: 5}
	s := New(out)
	s.Write([]byte("first line\n"))
	out.release <- errors.New("no space")
	out.release <- nil
	out.release <- nil
	out.release <- nil
	for s.Lost() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Write([]byte("second line\n"))
	s.Close(10 * time.Second)
	if got := out.written.String(); !strings.HasPrefix(got, "first\n") || !strings.Contains(got, "\nsecond line\n") || !strings.Contains(got, `"dropped":1`) {
		t.Errorf("%q", got)
	}
}

// If the reader of the log does not read, Close returns at its timeout.
func TestCloseReturnsAtItsTimeout(t *testing.T) {
	out := &gatedWriter{release: make(chan error)}
	s := New(out)
	s.Write([]byte("line\n"))
	start := time.Now()
	s.Close(50 * time.Millisecond)
	if took := time.Since(start); took < 50*time.Millisecond || took > 5*time.Second {
		t.Errorf("Close took %v, want its timeout of 50ms", took)
	}
	close(out.release)
	<-s.done
}

// BenchmarkWrite measures the cost of Write for the goroutine that logs.
func BenchmarkWrite(b *testing.B) {
	out := &gatedWriter{release: make(chan error)}
	close(out.release)
	s := New(out)
	defer s.Close(time.Second)
	line := []byte(`{"level":"info","time":1796202593079,"message":"the process before has ended"}` + "\n")
	b.ReportAllocs()
	for range b.N {
		s.Write(line)
		if b.N%1000 == 0 {
			out.mu.Lock()
			out.written.Reset()
			out.mu.Unlock()
		}
	}
}

// brokenPipe is an output without a reader. Each write fails immediately.
type brokenPipe struct{ writes atomic.Int64 }

func (w *brokenPipe) Write([]byte) (int, error) {
	w.writes.Add(1)
	return 0, syscall.EPIPE
}

// If every write fails, the sink must not write without end. A report of dropped lines that is itself lost
// must not cause another report: that loop would use one core, and the number of lost lines would grow
// without end.
func TestABrokenPipeDoesNotCauseEndlessWrites(t *testing.T) {
	w := &brokenPipe{}
	s := New(w)
	for range 3 {
		s.Write([]byte("line\n"))
		time.Sleep(50 * time.Millisecond)
	}
	if n := w.writes.Load(); n > 20 {
		t.Errorf("%d writes for three lines", n)
	}
	s.Close(10 * time.Second)
	if n := s.Lost(); n < 3 || n > 20 {
		t.Errorf("%d lines are counted as lost, of three written", n)
	}
}

// blockingWriter is an output that reads its input only after it is released, as a full pipe does.
type blockingWriter struct {
	started, release chan struct{}
	written          bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.started <- struct{}{}
	<-w.release
	return w.written.Write(p)
}

// Lines that are logged during a write must not overwrite the buffer that is being written. A sink that
// reused this buffer too early wrote parts of lines, from the second time that it had been idle.
func TestLinesLoggedDuringAWriteDoNotCorruptIt(t *testing.T) {
	out := &blockingWriter{started: make(chan struct{}), release: make(chan struct{})}
	s := New(out)
	want := ""
	for k := range 4 {
		for part := range 2 { // part 1 is logged while part 0 is being written
			line := fmt.Sprintf("line %d, part %d: %s\n", k, part, strings.Repeat(string(rune('a'+2*k+part)), 40+part))
			want += line
			s.Write([]byte(line))
			if part == 0 {
				<-out.started
			}
		}
		out.release <- struct{}{}
		<-out.started
		out.release <- struct{}{}
		time.Sleep(20 * time.Millisecond) // lets the sink become idle, without which the fault does not occur
	}
	s.Close(10 * time.Second)
	if got := out.written.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
