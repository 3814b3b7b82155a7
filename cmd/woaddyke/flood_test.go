package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// floodTime returns how long one client floods a scheduler. For longer runs than in CI: FLOOD=20s.
func floodTime() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("FLOOD")); err == nil {
		return d
	}
	return 500 * time.Millisecond
}

// floodRequests are forms of small or invalid requests. Each returns the nth request of a client.
var floodRequests = []struct {
	name    string
	request func(n int) string
}{
	{"health checks", func(int) string { return "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" }},
	{"requests without an id", func(int) string { return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" }},
	{"unknown methods", func(int) string { return "BREW /pot HTTP/1.1\r\nHost: x\r\n\r\n" }},
	{"new unknown categories", func(n int) string {
		return strings.Replace(pipelinedOp(fmt.Sprint("flood-", n), ""), "Class: pay", fmt.Sprint("Class: none-", n), 1)
	}},
	{"ops without time", func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: flood-%d\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 1\r\nContent-Length: 0\r\n\r\n", n)
	}},
	{"ops with new ids", func(n int) string { return pipelinedOp(fmt.Sprint("flood-", n), "") }},
	{"ops with new long ids and much time", func(n int) string {
		return strings.Replace(pipelinedOp(fmt.Sprintf("flood-%s-%d", strings.Repeat("i", 60), n), ""), "Left-Ms: 5000", "Left-Ms: 900000000", 1)
	}},
	{"ops with new keys", func(n int) string {
		return pipelinedOp(fmt.Sprint("flood-", n), fmt.Sprintf("X-Facts: sid=key-%d\r\n", n))
	}},
	{"new header names", func(n int) string { return pipelinedOp(fmt.Sprint("flood-", n), fmt.Sprintf("X-New-%d: a\r\n", n)) }},
	{"new targets", func(n int) string {
		return strings.Replace(pipelinedOp(fmt.Sprint("flood-", n), ""), "POST / ", fmt.Sprintf("POST /new-%d ", n), 1)
	}},
}

// flood sends requests on one connection at full speed. It connects again when the connection ends.
func flood(ctx context.Context, listen string, request func(n int) string, read bool) {
	for sent := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", listen, time.Second)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		if read {
			go io.Copy(io.Discard, c)
		}
		for err == nil {
			var batch strings.Builder
			for range 100 {
				batch.WriteString(request(sent))
				sent++
			}
			_, err = io.WriteString(c, batch.String())
		}
		c.Close()
		stop()
	}
}

// While one client sends small or invalid requests at full speed, other clients must be served in time, and the
// process must keep within its memory. Formerly it kept every op that it had served.
func TestAFloodOnOneConnectionDelaysNoOther(t *testing.T) {
	for _, form := range floodRequests {
		for _, read := range []bool{true, false} {
			name := form.name
			if !read {
				name += ", answers unread"
			}
			t.Run(name, func(t *testing.T) {
				s := startFloodedScheduler(t)
				s.run(t, sendOps, func(ctx context.Context) { flood(ctx, s.listen, form.request, read) })
			})
		}
	}
}

// rejectedWithoutItsBody are requests that a scheduler rejects without reading all of their bodies.
var rejectedWithoutItsBody = []struct{ name, text string }{
	{"a body of 60 MB", strings.Replace(pipelinedOp("large", ""), "Length: 0", "Length: 60000000", 1) + "abc"},
	{"a body of 60 MB without an id", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\nabc"},
	{"both lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"},
}

// A client whose request is rejected before its body is read may come again at once, at full speed. The connections
// that it has left must not take the slots of others. Formerly each held its slot for half a second, and most other
// clients were closed unread.
func TestRejectedClientsLeaveTheirSlots(t *testing.T) {
	for _, form := range rejectedWithoutItsBody {
		t.Run(form.name, func(t *testing.T) {
			s := startFloodedScheduler(t)
			s.run(t, sendOpsOnNewConnections, func(ctx context.Context) {
				for ctx.Err() == nil {
					c, err := net.DialTimeout("tcp", s.listen, time.Second)
					if err != nil {
						continue
					}
					io.WriteString(c, form.text)
					c.SetReadDeadline(time.Now().Add(time.Second))
					c.Read(make([]byte, 100))
					c.Close()
				}
			})
		})
	}
}

// sendOpsOnNewConnections is sendOps with a new connection for each op.
func sendOpsOnNewConnections(listen, name string, stop <-chan struct{}, report func(id string, status int, err error)) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", name, n)
		status, err := postOp(listen, id, 5*time.Second)
		report(id, status, err)
	}
}

// floodedScheduler is a process that some clients flood and others use.
type floodedScheduler struct {
	process testProcess
	listen  string
}

// startFloodedScheduler starts a process with one worker.
func startFloodedScheduler(t *testing.T) *floodedScheduler {
	t.Helper()
	answer := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprintln(w, `{"waiting":0,"running":0}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Correlation-Id")
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":%q}`+"\n", id, id)
	}
	worker := httptest.NewServer(http.HandlerFunc(answer))
	t.Cleanup(worker.Close)
	list := fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, worker.Listener.Addr())
	listen := uniqueAddr()
	return &floodedScheduler{
		process: startProcessWith(t, t.TempDir(), listen, startDiscovery(t, list), 0, 1024, paySettings(5*time.Second)),
		listen:  listen,
	}
}

type sendOpsFunc func(listen, name string, stop <-chan struct{}, report func(id string, status int, err error))

// run has one client flood the scheduler and four others use it, and requires that these are served in time.
func (s *floodedScheduler) run(t *testing.T, use sendOpsFunc, flood func(context.Context)) {
	t.Helper()
	const users, pause = 4, 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), floodTime())
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { flood(ctx) })
	var mu sync.Mutex
	var times []time.Duration
	failed := 0
	for k := range users {
		clients.Go(func() {
			startedAt := time.Now()
			use(s.listen, fmt.Sprint("sound-", k), ctx.Done(), func(_ string, status int, err error) {
				mu.Lock()
				times = append(times, time.Since(startedAt))
				if status != http.StatusOK {
					failed++
				}
				mu.Unlock()
				time.Sleep(pause)
				startedAt = time.Now()
			})
		})
	}
	clients.Wait()
	slices.Sort(times)
	peak := peakMemoryMB(t, s.process)
	t.Logf("peak %.1f MB; %d sound ops, median %v, slowest %v, failed %d",
		peak, len(times), times[len(times)/2], times[len(times)-1], failed)
	if peak > testMemoryMB {
		t.Errorf("the peak memory is %.1f MB, want at most %d", peak, testMemoryMB)
	}
	if late, limit := times[len(times)*9/10], maxAnswerTime(t, s.process); late > limit || failed > 0 {
		t.Errorf("%d of %d ops failed, one in ten took %v or more; want none, and at most %v", failed, len(times), late, limit)
	}
}
