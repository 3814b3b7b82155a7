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

// stoppableScheduler is a scheduler whose worker holds the op named "held" until told, and what its
// clients need.
type stoppableScheduler struct {
	addr    string
	stop    func()
	ended   chan error
	held    chan bool // the op is at its worker
	release chan bool // lets it be done
}

func newStoppableScheduler(t *testing.T) *stoppableScheduler {
	s := &stoppableScheduler{held: make(chan bool, 9), release: make(chan bool)}
	s.addr, s.stop, s.ended = startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		if io.Copy(io.Discard, r.Body); strings.HasPrefix(r.Header.Get(idHeader), "held") {
			s.held <- true
			<-s.release
		}
		writeDone(w, r.Header.Get(idHeader))
	})
	return s
}

func (s *stoppableScheduler) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// readAnswer is the status of the next answer, and whether it ends the connection; 0 where none comes.
func readAnswer(r *bufio.Reader) (status int, ends bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, true
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// From the word to stop up to the last moment, what is written whole to a connection that the machine
// accepted is answered: on kept connections and on new ones, at once and in pieces, with others that lie
// idle, begun or held at a worker just then. The standard server's own end drops a request that it has
// read in that instant, and closes connections on which one has begun.
func TestWhatComesUpToTheLastMomentOfAStopIsAnswered(t *testing.T) {
	s := newStoppableScheduler(t)
	const whole = "Content-Length: 2\r\n\r\nhi"
	idle, idles := s.dial(t)
	fmt.Fprint(idle, opText("idle", whole))
	if status, _ := readAnswer(idles); status != http.StatusOK {
		t.Fatal(status)
	}
	atWorker, held := s.dial(t)
	fmt.Fprint(atWorker, opText("held", whole))
	<-s.held
	begun, pieces := s.dial(t)
	text := opText("pieces", whole)
	fmt.Fprint(begun, text[:30])
	s.stop()
	// Clients that come again at once with each answer, for as long as anybody listens.
	answered, lost := 0, 0
	var kept net.Conn
	var keeps *bufio.Reader
	for n := 0; ; n++ {
		fresh := kept == nil
		if fresh {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				break // nobody accepts any more
			}
			c.SetDeadline(time.Now().Add(20 * time.Second))
			kept, keeps = c, bufio.NewReader(c)
		}
		fmt.Fprint(kept, opText(fmt.Sprint("on", n), whole))
		status, ends := readAnswer(keeps)
		if status == 0 && fresh {
			lost++
		}
		if answered += stats.Bit(status != 0); ends {
			kept.Close()
			kept = nil
		}
		if n == 3 {
			fmt.Fprint(begun, text[30:])
			if status, _ := readAnswer(pieces); status != http.StatusOK {
				t.Errorf("the one in pieces: %d", status)
			}
			close(s.release)
			if status, _ := readAnswer(held); status != http.StatusOK {
				t.Errorf("the one at its worker: %d", status)
			}
		}
	}
	if lost > 1 { // the last may have been accepted by the machine and by nobody else, as its listener closed
		t.Errorf("%d of %d had no answer on a new connection", lost, answered+lost)
	}
	if answered < 10 {
		t.Errorf("%d answers: this test proves nothing", answered)
	}
	if status, _ := readAnswer(idles); status != 0 {
		t.Errorf("the idle one got %d", status)
	}
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// A request that has begun and whose rest comes only while its scheduler leaves is served, and its
// connection ends with it.
func TestARequestInPiecesAcrossTheEndOfAStopIsServed(t *testing.T) {
	for _, cut := range []int{1, 40, len(opText("pieces", "Content-Length: 2\r\n\r\n")), len(opText("pieces", "Content-Length: 2\r\n\r\nh"))} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			t.Parallel()
			s := newStoppableScheduler(t)
			c, r := s.dial(t)
			watch, watched := s.dial(t)
			text := opText("pieces", "Content-Length: 2\r\n\r\nhi")
			fmt.Fprint(watch, opText("watch", "Content-Length: 0\r\n\r\n"))
			if status, _ := readAnswer(watched); status != http.StatusOK {
				t.Fatal(status)
			}
			s.stop()
			// The idle one is closed when its scheduler leaves; a request begins before that, and ends
			// after it.
			closed := make(chan bool)
			go func() {
				io.Copy(io.Discard, watch)
				close(closed)
			}()
			fmt.Fprint(c, text[:cut])
			<-closed
			fmt.Fprint(c, text[cut:])
			if status, ends := readAnswer(r); status != http.StatusOK || !ends {
				t.Errorf("%d, ends %v", status, ends)
			}
			if err := <-s.ended; err != nil {
				t.Error(err)
			}
		})
	}
}
