package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/base/stats"
)

// schedulerWithHeldOps is a scheduler whose worker answers ops with an ID that begins with "held" only
// when released.
type schedulerWithHeldOps struct {
	addr     string
	stop     func()
	ended    chan error
	atWorker chan bool // an op with an ID that begins with "held" has arrived at the worker
	release  chan bool // lets the worker answer one of these ops
}

func newSchedulerWithHeldOps(t *testing.T) *schedulerWithHeldOps {
	s := &schedulerWithHeldOps{atWorker: make(chan bool, 9), release: make(chan bool)}
	s.addr, s.stop, s.ended = startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		if io.Copy(io.Discard, r.Body); strings.HasPrefix(r.Header.Get(idHeader), "held") {
			s.atWorker <- true
			<-s.release
		}
		writeDone(w, r.Header.Get(idHeader))
	})
	return s
}

func (s *schedulerWithHeldOps) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// readAnswer returns the status of the next response, or 0 if there is none, and whether it closes the
// connection.
func readAnswer(r *bufio.Reader) (status int, closes bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, true
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// From the start of a shutdown until the listener closes, every complete request on a connection that the
// kernel accepted must be answered: on reused and on new connections, in one write and in fragments.
// Meanwhile another connection is idle, one has a partial request, and one has an op at a worker.
// http.Server.Shutdown alone drops a request that it has just read, and closes connections on which a request
// has begun.
func TestRequestsAreAnsweredUntilAShutdownClosesTheListener(t *testing.T) {
	s := newSchedulerWithHeldOps(t)
	const body = "Content-Length: 2\r\n\r\nhi"
	idle, idleReader := s.dial(t)
	fmt.Fprint(idle, opText("idle", body))
	if status, _ := readAnswer(idleReader); status != http.StatusOK {
		t.Fatal(status)
	}
	atWorker, atWorkerReader := s.dial(t)
	fmt.Fprint(atWorker, opText("held", body))
	<-s.atWorker
	partial, partialReader := s.dial(t)
	text := opText("pieces", body)
	fmt.Fprint(partial, text[:30])
	s.stop()
	// Sends each op as soon as the op before it is answered, until the listener is closed.
	answered, lost := 0, 0
	var reused net.Conn
	var reusedReader *bufio.Reader
	for n := 0; ; n++ {
		isNew := reused == nil
		if isNew {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				break // the listener is closed
			}
			c.SetDeadline(time.Now().Add(20 * time.Second))
			reused, reusedReader = c, bufio.NewReader(c)
		}
		fmt.Fprint(reused, opText(fmt.Sprint("on", n), body))
		status, closes := readAnswer(reusedReader)
		if status == 0 && isNew {
			lost++
		}
		if answered += stats.BoolToInt(status != 0); closes {
			reused.Close()
			reused = nil
		}
		if n == 3 {
			fmt.Fprint(partial, text[30:])
			if status, _ := readAnswer(partialReader); status != http.StatusOK {
				t.Errorf("the op in fragments: %d", status)
			}
			close(s.release)
			if status, _ := readAnswer(atWorkerReader); status != http.StatusOK {
				t.Errorf("the op at its worker: %d", status)
			}
		}
	}
	if lost > 1 { // the kernel alone may have accepted the last connection as the listener closed
		t.Errorf("%d of %d had no answer on a new connection", lost, answered+lost)
	}
	if answered < 10 {
		t.Errorf("%d answers, want at least 10 for a meaningful test", answered)
	}
	if status, _ := readAnswer(idleReader); status != 0 {
		t.Errorf("the idle connection got status %d", status)
	}
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// A request that begins before a stopping scheduler closes idle connections, and is completed afterwards,
// must be served. Its response must close the connection.
func TestARequestSplitAcrossTheCloseOfIdleConnectionsIsServed(t *testing.T) {
	for _, cut := range []int{1, 40, len(opText("pieces", "Content-Length: 2\r\n\r\n")), len(opText("pieces", "Content-Length: 2\r\n\r\nh"))} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			t.Parallel()
			s := newSchedulerWithHeldOps(t)
			c, r := s.dial(t)
			idle, idleReader := s.dial(t)
			text := opText("pieces", "Content-Length: 2\r\n\r\nhi")
			fmt.Fprint(idle, opText("watch", "Content-Length: 0\r\n\r\n"))
			if status, _ := readAnswer(idleReader); status != http.StatusOK {
				t.Fatal(status)
			}
			s.stop()
			// The request begins before the scheduler closes the idle connection, and is completed after it.
			closed := make(chan bool)
			go func() {
				io.Copy(io.Discard, idle)
				close(closed)
			}()
			fmt.Fprint(c, text[:cut])
			<-closed
			fmt.Fprint(c, text[cut:])
			if status, closes := readAnswer(r); status != http.StatusOK || !closes {
				t.Errorf("%d, closes %v", status, closes)
			}
			if err := <-s.ended; err != nil {
				t.Error(err)
			}
		})
	}
}
