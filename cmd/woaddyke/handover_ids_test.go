package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// keptConnection is a connection of a client that a process has accepted.
type keptConnection struct {
	t       *testing.T
	conn    net.Conn
	answers *bufio.Reader
}

// dialKept opens a connection and sends an op on it, so that the only process that runs has accepted it.
func dialKept(t *testing.T, listen, id string, received <-chan string) *keptConnection {
	t.Helper()
	conn := dial(t, listen)
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	c := &keptConnection{t, conn, bufio.NewReader(conn)}
	c.send(id)
	if got := <-received; got != id {
		t.Fatalf("the worker received %q", got)
	}
	if status := c.status(); status != http.StatusOK {
		t.Fatalf("%s: %d", id, status)
	}
	return c
}

func (c *keptConnection) send(id string) { io.WriteString(c.conn, pipelinedOp(id, "")) }

func (c *keptConnection) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// runningHotRestart is a scheduler with two processes that both serve.
type runningHotRestart struct {
	t           *testing.T
	listen      string
	predecessor testProcess
	kept        *keptConnection // of the predecessor
	received    chan string     // ids of the ops at the worker
	free        chan bool       // closed to end the op "held"
}

// startHotRestart starts a process, connects a client to it, and starts its successor. The op "before" has been
// served.
func startHotRestart(t *testing.T) *runningHotRestart {
	t.Helper()
	discovery, listen, received, free := startHoldingWorker(t)
	dir := shortTempDir(t)
	h := &runningHotRestart{t: t, listen: listen, received: received, free: free}
	h.predecessor = startProcess(t, dir, listen, discovery, 0)
	h.kept = dialKept(t, listen, "before", received)
	startProcess(t, dir, listen, discovery, 1)
	return h
}

// stopAccepting sends the predecessor SIGTERM, so that the successor accepts all further clients.
func (h *runningHotRestart) stopAccepting() {
	h.t.Helper()
	h.predecessor.cmd.Process.Signal(syscall.SIGTERM)
	deadline := time.Now().Add(20 * time.Second)
	for !strings.Contains(h.predecessor.log.String(), `"message":"stopping"`) {
		if time.Now().After(deadline) {
			h.t.Fatalf("the predecessor does not stop: %s", h.predecessor.log)
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // it accepts nothing more
}

// requireNoFurtherRun fails the test if the worker has received another op.
func (h *runningHotRestart) requireNoFurtherRun() {
	h.t.Helper()
	select {
	case id := <-h.received:
		h.t.Errorf("%s has run twice", id)
	default:
	}
}

// In a hot restart, both processes admit ops for a while. An op that the predecessor admits after it has handed
// over its state must not be admitted by the successor too, since an at-most-once op would run twice.
func TestASuccessorRejectsIDsAdmittedAfterTheHandover(t *testing.T) {
	t.Parallel()
	h := startHotRestart(t)
	h.kept.send("held")
	if id := <-h.received; id != "held" {
		t.Fatal(id)
	}
	h.stopAccepting()
	for _, id := range []string{"before", "held"} {
		if status := postAt(t, h.listen, id, 5*time.Second); status != http.StatusConflict {
			t.Errorf("%s at the successor: %d", id, status)
		}
	}
	close(h.free)
	if status := h.kept.status(); status != http.StatusOK {
		t.Errorf("the first client of the id: %d", status)
	}
	h.requireNoFurtherRun()
	if status := postAt(t, h.listen, "another", 5*time.Second); status != http.StatusOK {
		t.Errorf("an unused id: %d", status)
	}
}

// The reverse: a predecessor must not admit an op that its successor has admitted.
func TestAPredecessorRejectsIDsOfItsSuccessor(t *testing.T) {
	t.Parallel()
	h := startHotRestart(t)
	h.stopAccepting()
	held := postHeldOp(t, h.listen, h.received)
	h.kept.send("held")
	if status := h.kept.status(); status != http.StatusConflict {
		t.Errorf("the id of an op of the successor at the predecessor: %d", status)
	}
	close(h.free)
	if status := <-held; status != http.StatusOK {
		t.Errorf("the first client of the id: %d", status)
	}
	h.requireNoFurtherRun()
}
