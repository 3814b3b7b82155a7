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

// reader is an output that takes bytes when it is let.
type reader struct {
	mu   sync.Mutex
	text bytes.Buffer
	let  chan error // each lets one write through, or has it fail
	most int        // of one write, where it fails
}

func (r *reader) Write(b []byte) (int, error) {
	err := <-r.let
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		b = b[:min(len(b), r.most)]
	}
	n, _ := r.text.Write(b)
	return n, err
}

// A reader that has stopped holds up nobody; what it missed is counted, what it had room for comes
// whole and in order.
func TestAReaderThatStopsHoldsUpNobody(t *testing.T) {
	out := &reader{let: make(chan error)}
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
	close(out.let)
	s.Close(10 * time.Second)
	text := out.text.String()
	if got := strings.Count(text, string(line)); got != lines-int(lost) {
		t.Errorf("%d lines came, %d were lost, of %d", got, lost, lines)
	}
	told := uint64(0) // in one line, or in two where the writer came to its first line late
	for _, m := range regexp.MustCompile(`"dropped":(\d+),`).FindAllStringSubmatch(text, -1) {
		n, _ := strconv.ParseUint(m[1], 10, 64)
		told += n
	}
	if told != lost {
		t.Errorf("the log tells of %d lines that were dropped, %d were", told, lost)
	}
}

// An output that fails, and then works, has lost some lines and no half one runs into the next.
func TestAnOutputThatFailsForAWhile(t *testing.T) {
	out := &reader{let: make(chan error, 9), most: 5}
	s := New(out)
	s.Write([]byte("first line\n"))
	out.let <- errors.New("no space")
	out.let <- nil
	out.let <- nil
	out.let <- nil
	for s.Lost() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Write([]byte("second line\n"))
	s.Close(10 * time.Second)
	if got := out.text.String(); !strings.HasPrefix(got, "first\n") || !strings.Contains(got, "\nsecond line\n") || !strings.Contains(got, `"dropped":1`) {
		t.Errorf("%q", got)
	}
}

// The end waits for a reader that has stopped as long as it is told, and no longer.
func TestTheEndIsBounded(t *testing.T) {
	out := &reader{let: make(chan error)}
	s := New(out)
	s.Write([]byte("line\n"))
	began := time.Now()
	s.Close(50 * time.Millisecond)
	if took := time.Since(began); took < 50*time.Millisecond || took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
	close(out.let)
	<-s.done
}

// BenchmarkWrite is what a line costs whoever logs it.
func BenchmarkWrite(b *testing.B) {
	out := &reader{let: make(chan error)}
	close(out.let)
	s := New(out)
	defer s.Close(time.Second)
	line := []byte(`{"level":"info","time":1796202593079,"message":"the process before has ended"}` + "\n")
	b.ReportAllocs()
	for range b.N {
		s.Write(line)
		if b.N%1000 == 0 {
			out.mu.Lock()
			out.text.Reset()
			out.mu.Unlock()
		}
	}
}

// torn is a log that nobody reads any more: each write fails at once.
type torn struct{ writes atomic.Int64 }

func (w *torn) Write([]byte) (int, error) {
	w.writes.Add(1)
	return 0, syscall.EPIPE
}

// Where every write fails the sink went on writing that lines were dropped, that this line was dropped,
// and so on without a rest: one core was busy with it for good, and the lines that were lost had no
// end.
func TestALogThatNobodyReadsIsNotWrittenToWithoutEnd(t *testing.T) {
	w := &torn{}
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
		t.Errorf("%d lines are counted as lost, of three", n)
	}
}

// late is a writer that looks at what it was given only when it is told to, as a pipe that is full
// does.
type late struct {
	begun, go_ chan struct{}
	got        bytes.Buffer
}

func (l *late) Write(p []byte) (int, error) {
	l.begun <- struct{}{}
	<-l.go_
	return l.got.Write(p)
}

// Lines that come while others are being written were put into the very memory that was being written,
// from the second time on that the log had been at rest: halves of lines came out.
func TestLinesThatComeDuringAWriteChangeNothingOfIt(t *testing.T) {
	out := &late{begun: make(chan struct{}), go_: make(chan struct{})}
	s := New(out)
	want := ""
	for k := range 4 {
		for part := range 2 { // the second one comes while the first is being written
			line := fmt.Sprintf("line %d, part %d: %s\n", k, part, strings.Repeat(string(rune('a'+2*k+part)), 40+part))
			want += line
			s.Write([]byte(line))
			if part == 0 {
				<-out.begun
			}
		}
		out.go_ <- struct{}{}
		<-out.begun
		out.go_ <- struct{}{}
		time.Sleep(20 * time.Millisecond) // it is at rest again; without that nothing is shown, and nothing fails
	}
	s.Close(10 * time.Second)
	if got := out.got.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
