package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/syscallfault"
)

// receivedOp is the time left that a worker received with an op, and when the op arrived.
type receivedOp struct {
	timeLeft   time.Duration
	receivedAt time.Time
}

// recordingWorker records the ops that it receives. It holds ops whose ids begin with "held" until they are
// released or cancelled.
type recordingWorker struct {
	mu        sync.Mutex
	received  map[string]receivedOp
	release   chan struct{}
	started   chan string
	cancelled chan string
}

func newRecordingWorker(t *testing.T) (w *recordingWorker, discovery string) {
	w = &recordingWorker{received: map[string]receivedOp{}, release: make(chan struct{}), started: make(chan string, 9), cancelled: make(chan string, 9)}
	s := httptest.NewServer(w)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return w, startDiscovery(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, s.Listener.Addr()))
}

func (w *recordingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		fmt.Fprintln(rw, `{"waiting":0,"running":0}`)
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	ms, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	w.mu.Lock()
	w.received[id] = receivedOp{time.Duration(ms) * time.Millisecond, time.Now()}
	w.mu.Unlock()
	w.started <- id
	if strings.HasPrefix(id, "held") {
		select {
		case <-w.release:
		case <-r.Context().Done():
			w.cancelled <- id
			return
		}
	}
	fmt.Fprintf(rw, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
}

// peekCalls are the system calls that check a client connection without consuming its data.
var peekCalls = []int{syscall.SYS_RECVFROM}

var peekErrnos = []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}

// A peek at a client connection fails at the moment when a further op arrives behind the one that is
// served, and a third op arrives later. The second op must keep its age. A worker once received almost a
// second more time than the client had left.
func TestAFailedPeekDoesNotChangeAnOpsAge(t *testing.T) {
	t.Parallel()
	const left, slack = 2500 * time.Millisecond, 150 * time.Millisecond
	for _, errno := range peekErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			worker, discovery := newRecordingWorker(t)
			listen := freeAddr(t)
			p, s := startSupervised(t, listen, discovery, 512, peekCalls...)
			c := dial(t, listen)
			c.SetDeadline(time.Now().Add(20 * time.Second))
			sent := map[string]time.Time{}
			send := func(id string) {
				sent[id] = time.Now()
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n",
					id, left.Milliseconds())
			}
			answers := bufio.NewReader(c)
			read := func() {
				t.Helper()
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatalf("%v: %s", err, p.log)
				}
				io.Copy(io.Discard, resp.Body)
			}
			// A pipelined request makes the stall detector of the process use ticks, which are closer together
			// than heartbeats.
			for _, id := range []string{"first-a", "first-b"} {
				send(id)
			}
			for range 2 {
				read()
				<-worker.started
			}
			send("held")
			<-worker.started
			s.SetDecide(func(syscallfault.Call) syscall.Errno { return errno })
			send("second")
			time.Sleep(100 * time.Millisecond) // duration of the failure
			s.SetDecide(nil)
			time.Sleep(800 * time.Millisecond) // the client sends its third op later
			send("third")
			time.Sleep(50 * time.Millisecond) // until the third op has arrived as the connection's last received data
			close(worker.release)
			for range 3 {
				read()
			}
			worker.mu.Lock()
			defer worker.mu.Unlock()
			for id, op := range worker.received {
				if excess := op.timeLeft + op.receivedAt.Sub(sent[id]) - left; excess > slack {
					t.Errorf("%s got %v more time than its client had", id, excess)
				}
			}
		})
	}
}

// A peek fails at the moment when the client disconnects. Its op must still be cancelled, although the
// kernel reports the end of a connection only once.
func TestAFailedPeekDoesNotHideADisconnect(t *testing.T) {
	t.Parallel()
	for _, errno := range peekErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			worker, discovery := newRecordingWorker(t)
			listen := freeAddr(t)
			p, s := startSupervised(t, listen, discovery, 512, peekCalls...)
			c := dial(t, listen)
			fmt.Fprint(c, pipelinedOp("held", ""))
			<-worker.started
			s.SetDecide(func(syscallfault.Call) syscall.Errno { return errno })
			c.Close()
			time.Sleep(100 * time.Millisecond) // duration of the failure
			s.SetDecide(nil)
			select {
			case <-worker.cancelled:
			case <-time.After(3 * time.Second):
				t.Errorf("the op is not cancelled: %s", p.log)
				close(worker.release)
			}
		})
	}
}
