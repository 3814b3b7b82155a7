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

// logLine is one log line, with the fields that these tests read.
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

// requireCleanEnd fails the test unless the last log line counts no violations, no violation is logged, and
// no connection was left open.
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

// pipelineOps pipelines ops on a connection, with a fixed number of unanswered ops, until the connection
// ends. It returns the number of answers.
func pipelineOps(t *testing.T, listen, name string, unanswered int) (answered int) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	answers := bufio.NewReader(c)
	for k := range unanswered {
		fmt.Fprint(c, pipelinedOp(fmt.Sprint(name, "-", k), ""))
	}
	for k := unanswered; ; k++ {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return answered
		}
		io.Copy(io.Discard, resp.Body)
		answered++
		fmt.Fprint(c, pipelinedOp(fmt.Sprint(name, "-", k), ""))
	}
}

// A process gets SIGTERM while clients go on pipelining on their open connections. It must answer each
// request that it reads, and end by itself before the time at which it may be killed. It once read requests
// until it ended, and closed connections with unanswered requests.
func TestPipelinedOpsAreAnsweredDuringADrain(t *testing.T) {
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
			discovery, listen, dir := startDiscovery(t, list), freeAddr(t), shortTempDir(t)
			p := startProcessWith(t, dir, listen, discovery, 0, 256, paySettings(ttl))
			var all sync.WaitGroup
			for k := range clients {
				all.Go(func() {
					if n := pipelineOps(t, listen, fmt.Sprint("c", k), unanswered); n == 0 {
						t.Errorf("client %d had no answer", k)
					}
				})
			}
			time.Sleep(300 * time.Millisecond) // for the clients to be pipelining
			if successor {
				startProcessWith(t, dir, listen, discovery, 1, 256, paySettings(ttl))
			}
			stopped := time.Now()
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := p.cmd.Wait(); err != nil {
				t.Error(err)
			}
			if took := time.Since(stopped); took > ttl+killAfter {
				t.Errorf("the process ended after %v", took)
			}
			all.Wait()
			requireCleanEnd(t, p.log.String())
		})
	}
}

// A request with an incomplete body must get an answer that allows a retry before the process ends. The
// connection was once closed without an answer.
func TestAnIncompleteBodyIsAnsweredAtTheEnd(t *testing.T) {
	t.Parallel()
	discovery := startDiscovery(t, `{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":"127.0.0.1:1","state":"SERVING"}]}`)
	listen := freeAddr(t)
	const ttl = time.Second
	p := startProcessWith(t, shortTempDir(t), listen, discovery, 0, 256, paySettings(ttl))
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(ttl * 7 / 10) // the client connects late: the process ends before the timeout for the body
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
