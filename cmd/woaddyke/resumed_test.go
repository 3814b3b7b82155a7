package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A process is stopped for longer than the grace of a drain. Meanwhile discovery reports that a worker
// drains, and ops arrive on idle connections. When the process resumes, none of these ops may be pushed to
// that worker, although the endpoint list may be read after them.
func TestAResumedProcessPushesNothingToADrainedWorker(t *testing.T) {
	t.Parallel()
	const clients, stopTime = 60, 2500 * time.Millisecond
	for name, probes := range map[string]bool{"with probes": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pushed, list := startTwoWorkers(t)
			discovery, more := startUpdatableDiscovery(t, list(1, "SERVING"))
			listen := freeAddr(t)
			p := startProcessWith(t, t.TempDir(), listen, discovery, 0, 512, map[string]any{
				"discovery": "pushed", "safety": map[string]any{"drainGraceNs": 1e9},
				"bounds":     map[string]any{"maxPushes": 3, "probes": probes, "cancel": true, "connectTimeoutNs": 2e8},
				"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
				"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 9e9, "targetLatencyNs": 8e9}}})
			var conns []net.Conn
			var answers []*bufio.Reader
			send := func(k int, id string) {
				fmt.Fprintf(conns[k], "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s-%d\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 9000\r\nContent-Length: 0\r\n\r\n", id, k)
			}
			requireOK := func(k int) {
				t.Helper()
				resp, err := http.ReadResponse(answers[k], nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("client %d: %v, %v", k, resp, err)
					return
				}
				io.Copy(io.Discard, resp.Body)
			}
			for k := range clients {
				c := dial(t, listen)
				c.SetDeadline(time.Now().Add(30 * time.Second))
				conns, answers = append(conns, c), append(answers, bufio.NewReader(c))
				send(k, "before")
				requireOK(k)
			}
			if pushed[0].Load() == 0 {
				t.Fatal("the worker that is to drain got no ops before")
			}
			suspend(t, p)
			before := pushed[0].Load()
			more <- list(2, "DRAINING")
			time.Sleep(stopTime)
			for k := range clients {
				send(k, "after")
			}
			p.cmd.Process.Signal(syscall.SIGCONT)
			for k := range clients {
				requireOK(k)
			}
			if n := pushed[0].Load() - before; n > 0 {
				t.Errorf("%d of %d ops went to a worker whose drain was reported %v before: %s", n, clients, stopTime, p.log)
			}
		})
	}
}
