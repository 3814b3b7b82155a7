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
)

// pipelinedOp formats an op. A client that pipelines sends the op before it has the answer to its previous
// op.
func pipelinedOp(id, more string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 5000\r\n%sContent-Length: 0\r\n\r\n",
		id, more)
}

// An op that arrived together with a previous one must be answered. Its connection was once closed without
// an answer if the previous op was rejected, or if the process got SIGTERM while that op was served.
func TestAPipelinedOpIsAnswered(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first string
		want  int
		ends  bool // the process gets SIGTERM while the first op is held
	}{
		"behind one that is refused":           {pipelinedOp("x", "X-Facts: slots=none\r\n"), http.StatusBadRequest, false},
		"behind one of an unknown category":    {pipelinedOp("y", "X-Service-Class: none\r\n"), http.StatusOK, false},
		"behind one that is held, at the end":  {pipelinedOp("held", ""), http.StatusOK, true},
		"behind a method that is not accepted": {"GET /none HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusMethodNotAllowed, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery, listen, received, free := startHoldingWorker(t)
			p := startProcess(t, t.TempDir(), listen, discovery, 0)
			conn := dial(t, listen)
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprint(conn, c.first+pipelinedOp("second", "")+pipelinedOp("third", ""))
			if c.ends {
				<-received
				p.cmd.Process.Signal(syscall.SIGTERM)
				time.Sleep(2200 * time.Millisecond) // clients are drained by then
			}
			go func() {
				for range received { // discards the ids
				}
			}()
			close(free)
			answers := bufio.NewReader(conn)
			for k, want := range []int{c.want, http.StatusOK, http.StatusOK} {
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatalf("answer %d: %v: %s", k+1, err, p.log)
				}
				if io.Copy(io.Discard, resp.Body); resp.StatusCode != want {
					t.Errorf("answer %d: %d, want %d", k+1, resp.StatusCode, want)
				}
			}
		})
	}
}

// A process is stopped while a client sends one op after another on one connection. After it resumes, each
// op must have its own age. The process once took the arrival time of the latest bytes on the connection as
// the arrival time of all these ops, so a worker received 2.2 s more time than the client had left. A soak
// with seed 93 found this.
func TestPipelinedOpsAgeWhileTheProcessIsStopped(t *testing.T) {
	t.Parallel()
	const stopTime, left = 1500 * time.Millisecond, 2500 * time.Millisecond
	type receivedTime struct {
		left time.Duration
		at   time.Time
	}
	var mu sync.Mutex
	received := map[string]receivedTime{}
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprintln(w, `{"waiting":0,"running":0}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Correlation-Id")
		ms, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
		mu.Lock()
		received[id] = receivedTime{time.Duration(ms) * time.Millisecond, time.Now()}
		mu.Unlock()
		if strings.HasPrefix(id, "held") {
			time.Sleep(100 * time.Millisecond)
		}
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
	}))
	t.Cleanup(worker.Close)
	for name, x := range map[string]struct {
		first bool // a request is in flight when the process is stopped
		seen  bool // the process has served pipelined requests before
	}{"behind a request in flight": {true, true}, "on an idle connection": {false, true}, "behind a request in flight, the first pipelining": {true, false},
		"on an idle connection, the first pipelining": {false, false}} {
		listen := freeAddr(t)
		p := startProcess(t, t.TempDir(), listen, startDiscovery(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
			worker.Listener.Addr())), 0)
		c := dial(t, listen)
		answers := bufio.NewReader(c)
		sent := map[string]time.Time{}
		send := func(id string) {
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n",
				id, left.Milliseconds())
			sent[id] = time.Now()
		}
		read := func() {
			t.Helper()
			if resp, err := http.ReadResponse(answers, nil); err != nil {
				t.Fatalf("%s: %v: %s", name, err, p.log)
			} else {
				io.Copy(io.Discard, resp.Body)
			}
		}
		send("held-0-" + name)
		if x.seen {
			send("behind-0-" + name)
			read()
		}
		read()
		unanswered := 0
		if x.first {
			send("held-1-" + name)
			time.Sleep(20 * time.Millisecond)
			unanswered++
		}
		time.Sleep(100 * time.Millisecond)
		suspend(t, p)
		for k := range 4 {
			send(fmt.Sprint("stood-", k, "-", name))
			unanswered++
			time.Sleep(stopTime / 4)
		}
		p.cmd.Process.Signal(syscall.SIGCONT)
		for range unanswered {
			read()
		}
		c.Close()
		mu.Lock()
		for id, s := range sent {
			if w, ok := received[id]; ok && w.left > left-w.at.Sub(s)+150*time.Millisecond {
				t.Errorf("%s: %s got %v, its client has %v left", name, id, w.left, left-w.at.Sub(s))
			}
		}
		mu.Unlock()
	}
}
