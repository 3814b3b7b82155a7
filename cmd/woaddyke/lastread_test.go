package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// logLine is one line of a process's log, as far as the tests of its end read it.
type logLine struct {
	Message    string            `json:"message"`
	Rule       string            `json:"rule"`
	Violations map[string]uint64 `json:"violations"`
}

func logLines(text string) (all []logLine) {
	for _, row := range strings.Split(text, "\n") {
		var line logLine
		if json.Unmarshal([]byte(row), &line) == nil {
			all = append(all, line)
		}
	}
	return all
}

// requireCleanEnd fails the test unless a process's last counts are all 0, and nothing is logged that they don't have.
func requireCleanEnd(t *testing.T, log string) {
	t.Helper()
	violated, stopped := 0, false
	for _, line := range logLines(log) {
		switch line.Message {
		case "invariant violated":
			violated++
		case "stopped":
			stopped = true
			for rule, n := range line.Violations {
				if n > 0 {
					t.Errorf("%d violations of %s", n, rule)
				}
			}
		case "connections were left open":
			t.Error("connections were left open")
		}
	}
	if violated > 0 || !stopped {
		t.Errorf("%d violations are logged, stopped %v", violated, stopped)
	}
}

// pipelinesOn sends ops behind one another on a connection, so many unanswered at any time, until it ends. It returns how many were answered.
func pipelinesOn(t *testing.T, listen, name string, unanswered int) (answered int) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	answers := bufio.NewReader(c)
	for k := range unanswered {
		fmt.Fprint(c, piped(fmt.Sprint(name, "-", k), ""))
	}
	for k := unanswered; ; k++ {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return answered
		}
		io.Copy(io.Discard, resp.Body)
		answered++
		fmt.Fprint(c, piped(fmt.Sprint(name, "-", k), ""))
	}
}

// A process is told to end while clients go on with their open connections, always with something behind what is served. Each request that
// it reads has its answer, and it ends by itself before it may be killed. It read on to the last moment and closed over what it had read.
func TestClientsThatPipelineToTheEndHaveTheirAnswers(t *testing.T) {
	t.Parallel()
	const ttl, killAfter, clients, unanswered = time.Second, 700 * time.Millisecond, 16, 8
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprintln(w, `{"waiting":0,"running":0}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		time.Sleep(5 * time.Millisecond) // work
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", r.Header.Get("X-Correlation-Id"))
	}))
	t.Cleanup(worker.Close)
	list := fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, worker.Listener.Addr())
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprint("successor ", successor), func(t *testing.T) {
			t.Parallel()
			discovery, listen, dir := discoveryOf(t, list), freeAddr(t), socketFolder(t)
			p := startProcessOf(t, dir, listen, discovery, 0, 256, paySettings(ttl))
			var all sync.WaitGroup
			for k := range clients {
				all.Go(func() {
					if n := pipelinesOn(t, listen, fmt.Sprint("c", k), unanswered); n == 0 {
						t.Errorf("client %d had no answer", k)
					}
				})
			}
			time.Sleep(300 * time.Millisecond) // the clients': they are under way
			if successor {
				startProcessOf(t, dir, listen, discovery, 1, 256, paySettings(ttl))
			}
			told := time.Now()
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := p.cmd.Wait(); err != nil {
				t.Error(err)
			}
			if took := time.Since(told); took > ttl+killAfter {
				t.Errorf("it ended after %v", took)
			}
			all.Wait()
			requireCleanEnd(t, p.log.String())
		})
	}
}

// A request whose body does not come whole is answered before its process ends, and its client may try again. It was closed with no answer.
func TestAHalfBodyIsAnsweredAtTheEnd(t *testing.T) {
	t.Parallel()
	discovery := discoveryOf(t, `{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":"127.0.0.1:1","state":"SERVING"}]}`)
	listen := freeAddr(t)
	const ttl = time.Second
	p := startProcessOf(t, socketFolder(t), listen, discovery, 0, 256, paySettings(ttl))
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(ttl * 7 / 10) // the client's: it comes late, and the end comes before the time for its body is over
	c := dial(t, listen)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: a\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 1000\r\nContent-Length: 9\r\n\r\nhalf")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%v: %s", err, p.log)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("%s, closes %v", resp.Status, resp.Close)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
	requireCleanEnd(t, p.log.String())
}
