package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

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
		fmt.Fprint(c, strings.Replace(pipelinedOp("large", ""), "Content-Length: 0", "Content-Length: 8000000", 1)+strings.Repeat("x", 8_000_000))
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
