package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// opWithBody formats an op with a body.
func opWithBody(id string, bodyBytes int) string {
	length := fmt.Sprint("Content-Length: ", bodyBytes)
	return strings.Replace(pipelinedOp(id, ""), "Content-Length: 0", length, 1) + strings.Repeat("x", bodyBytes)
}

// A client sends an op and then more data than the window of its connection, and disconnects. The op must
// be cancelled, although the end of the connection does not arrive until some data is read.
func TestAClientThatLeavesBehindALargeRequestIsSeen(t *testing.T) {
	worker, discovery := newRecordingWorker(t)
	listen := freeAddr(t)
	p := startProcess(t, t.TempDir(), listen, discovery, 0)
	c := dial(t, listen)
	fmt.Fprint(c, pipelinedOp("held", ""))
	<-worker.started
	go func() {
		fmt.Fprint(c, opWithBody("large", 8_000_000))
	}()
	time.Sleep(300 * time.Millisecond) // the client fills the window
	c.Close()
	select {
	case <-worker.cancelled:
	case <-time.After(3 * time.Second):
		t.Errorf("the op is not cancelled: %s", p.log)
		close(worker.release)
	}
}

// Requests that were read ahead must be answered in their order, each by itself. A body over the limit is rejected
// after them.
func TestRequestsThatWereReadAheadAreAnswered(t *testing.T) {
	const pipelined, bodyBytes = 40, 2000
	discovery, listen, received, free := startHoldingWorker(t)
	p := startProcess(t, t.TempDir(), listen, discovery, 0)
	c := dial(t, listen)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	text := pipelinedOp("held", "")
	for k := range pipelined {
		text += opWithBody(fmt.Sprint("op-", k), bodyBytes)
	}
	go io.WriteString(c, text+opWithBody("large", 1_000_000))
	<-received
	time.Sleep(300 * time.Millisecond) // the client fills the window
	close(free)
	go func() {
		for range received { // discards the ids
		}
	}()
	answers := bufio.NewReader(c)
	for k := range pipelined + 2 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("answer %d: %v: %s", k, err, p.log)
		}
		io.Copy(io.Discard, resp.Body)
		want := http.StatusOK
		if k == pipelined+1 {
			want = http.StatusRequestEntityTooLarge
		}
		if resp.StatusCode != want {
			t.Errorf("answer %d: %d, want %d", k, resp.StatusCode, want)
		}
	}
}

// A client sends an op and then more requests than its socket holds, of any allowed size, and disconnects. The op must
// be cancelled, as must those of many such clients at once, for which the process has no memory. Formerly only 64
// requests or 128 KiB were read behind an op, and a retry was pushed after its client had left.
func TestAClientThatLeavesBehindManyRequestsIsSeen(t *testing.T) {
	for _, x := range []struct {
		name     string
		clients  int
		requests int
		request  func(k int) string
	}{
		{"many small ops", 3, 800, func(k int) string { return opWithBody(fmt.Sprint("behind-", k), 300) }},
		{"many health checks", 3, 9000, func(int) string { return "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" }},
		{"some large ops", 3, 20, func(k int) string { return opWithBody(fmt.Sprint("behind-", k), 60_000) }},
		{"ops in chunks", 3, 900, func(k int) string {
			chunks := "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("a\r\n0123456789\r\n", 20) + "0\r\n\r\n"
			return strings.Replace(pipelinedOp(fmt.Sprint("behind-", k), ""), "Content-Length: 0\r\n\r\n", chunks, 1)
		}},
		{"more than the memory allows", 40, 20, func(k int) string { return opWithBody(fmt.Sprint("behind-", k), 60_000) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			worker, discovery := newRecordingWorker(t)
			worker.started, worker.cancelled = make(chan string, 9999), make(chan string, 99)
			listen := freeAddr(t)
			p := startProcessWith(t, t.TempDir(), listen, discovery, 0, 512, paySettings(5*time.Second))
			behind := ""
			for k := range x.requests {
				behind += x.request(k)
			}
			var clients []net.Conn
			for k := range x.clients {
				c := dial(t, listen)
				fmt.Fprint(c, pipelinedOp(fmt.Sprint("held-", k), ""))
				<-worker.started
				go io.WriteString(c, behind)
				clients = append(clients, c)
			}
			time.Sleep(300 * time.Millisecond) // the clients fill their windows
			for _, c := range clients {
				c.Close()
			}
			deadline := time.After(time.Second)
			for k := range x.clients {
				select {
				case <-worker.cancelled:
				case <-deadline:
					close(worker.release)
					t.Fatalf("%d of %d ops are cancelled a second after their clients left: %s", k, x.clients, p.log)
				}
			}
			if len(worker.started) > 0 {
				t.Errorf("%s was pushed after its client had left", <-worker.started)
			}
			if peak := peakMemoryMB(t, p); peak > testMemoryMB {
				t.Errorf("the peak memory is %.1f MB, want at most %d", peak, testMemoryMB)
			}
		})
	}
}

// Requests behind an op for which no memory is left must be rejected with 503, and those before them be served. What
// is rejected may be sent again, so it must not have reached a worker.
func TestRequestsBeyondTheMemoryAreRejected(t *testing.T) {
	const clients, requests, bodyBytes = 20, 12, 60_000
	worker, discovery := newRecordingWorker(t)
	worker.started, worker.cancelled = make(chan string, 9999), make(chan string, 99)
	listen := freeAddr(t)
	startProcessWith(t, t.TempDir(), listen, discovery, 0, 512, paySettings(5*time.Second))
	var conns []net.Conn
	for k := range clients {
		text := pipelinedOp(fmt.Sprint("held-", k), "")
		for n := range requests {
			text += opWithBody(fmt.Sprintf("op-%d-%d", k, n), bodyBytes)
		}
		c := dial(t, listen)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		go io.WriteString(c, text)
		<-worker.started
		conns = append(conns, c)
	}
	time.Sleep(300 * time.Millisecond) // the requests are read ahead
	close(worker.release)
	served, rejected := 0, 0
	for k, c := range conns {
		answers := bufio.NewReader(c)
		ended := false
		for n := -1; n < requests && !ended; n++ {
			response, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("client %d, answer %d: %v", k, n, err)
			}
			io.Copy(io.Discard, response.Body)
			id := fmt.Sprintf("op-%d-%d", k, n)
			worker.mu.Lock()
			_, ran := worker.received[id]
			worker.mu.Unlock()
			switch ended = response.Close; {
			case response.StatusCode == http.StatusOK:
				served++
			case response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || ran:
				t.Errorf("%s: %d, Retry-After %q, ran %v", id, response.StatusCode, response.Header.Get("Retry-After"), ran)
			default:
				rejected++
			}
		}
	}
	if served <= clients || rejected == 0 {
		t.Errorf("%d requests were served and %d clients rejected, want more than %d and some", served, rejected, clients)
	}
}
