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

// toldOp is what a worker was told of an op.
type toldOp struct {
	left time.Duration
	at   time.Time
}

// toldWorker notes what it is told, and holds ops whose ids begin with "held" until they are released or cancelled.
type toldWorker struct {
	mu        sync.Mutex
	told      map[string]toldOp
	release   chan struct{}
	began     chan string
	cancelled chan string
}

func newToldWorker(t *testing.T) (w *toldWorker, discovery string) {
	w = &toldWorker{told: map[string]toldOp{}, release: make(chan struct{}), began: make(chan string, 9), cancelled: make(chan string, 9)}
	s := httptest.NewServer(w)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return w, discoveryOf(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, s.Listener.Addr()))
}

func (w *toldWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		fmt.Fprintln(rw, `{"waiting":0,"running":0}`)
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	ms, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	w.mu.Lock()
	w.told[id] = toldOp{time.Duration(ms) * time.Millisecond, time.Now()}
	w.mu.Unlock()
	w.began <- id
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

// looks are the system calls by which a process looks at a client's connection without reading from it.
var looks = []int{syscall.SYS_RECVFROM}

var failuresOfALook = []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}

// A look at a client's connection fails in the moment in which a further op comes behind the one that is served. The op is as old as it is all
// the same, though a third one comes later: a worker was told most of a second more than the client had.
func TestALookThatFailsHidesNoOp(t *testing.T) {
	t.Parallel()
	const left, slack = 2500 * time.Millisecond, 150 * time.Millisecond
	for _, errno := range failuresOfALook {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			worker, discovery := newToldWorker(t)
			listen := freeAddr(t)
			p, s := supervised(t, listen, discovery, 512, looks...)
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
			for _, id := range []string{"first-a", "first-b"} { // behind one another: from here on the process watches itself closely
				send(id)
			}
			for range 2 {
				read()
				<-worker.began
			}
			send("held")
			<-worker.began
			s.Set(func(syscallfault.Call) syscall.Errno { return errno })
			send("second")
			time.Sleep(100 * time.Millisecond) // the fault lasts
			s.Set(nil)
			time.Sleep(800 * time.Millisecond) // the client's: it writes its third op later
			send("third")
			time.Sleep(50 * time.Millisecond) // it has come, and the kernel dates the connection by it
			close(worker.release)
			for range 3 {
				read()
			}
			worker.mu.Lock()
			defer worker.mu.Unlock()
			for id, told := range worker.told {
				if excess := told.left + told.at.Sub(sent[id]) - left; excess > slack {
					t.Errorf("%s was told %v more than its client had", id, excess)
				}
			}
		})
	}
}

// A look fails in the moment in which the client leaves. Its op is called off all the same: the kernel tells of the end of a connection once.
func TestALookThatFailsHidesNoEnd(t *testing.T) {
	t.Parallel()
	for _, errno := range failuresOfALook {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			worker, discovery := newToldWorker(t)
			listen := freeAddr(t)
			p, s := supervised(t, listen, discovery, 512, looks...)
			c := dial(t, listen)
			fmt.Fprint(c, piped("held", ""))
			<-worker.began
			s.Set(func(syscallfault.Call) syscall.Errno { return errno })
			c.Close()
			time.Sleep(100 * time.Millisecond) // the fault lasts
			s.Set(nil)
			select {
			case <-worker.cancelled:
			case <-time.After(3 * time.Second):
				t.Errorf("its op is not called off: %s", p.log)
				close(worker.release)
			}
		})
	}
}
