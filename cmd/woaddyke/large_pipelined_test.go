package main

import (
	"bufio"
	"fmt"
	"io"
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
