package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A client sends an op, more than its connection's window behind it, and leaves. Its end does not reach this machine before something is read:
// its op is not called off.
func TestAClientThatLeavesBehindALargeRequestIsSeen(t *testing.T) {
	worker, discovery := newToldWorker(t)
	listen := freeAddr(t)
	p := startProcess(t, t.TempDir(), listen, discovery, 0)
	c := dial(t, listen)
	fmt.Fprint(c, piped("held", ""))
	<-worker.began
	go func() {
		fmt.Fprint(c, strings.Replace(piped("large", ""), "Content-Length: 0", "Content-Length: 8000000", 1)+strings.Repeat("x", 8_000_000))
	}()
	time.Sleep(300 * time.Millisecond) // the client's: as much is written as its window takes
	c.Close()
	select {
	case <-worker.cancelled:
	case <-time.After(3 * time.Second):
		t.Errorf("its op is not called off: %s", p.log)
		close(worker.release)
	}
}
