package main

import (
	"bufio"
	"fmt"
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
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
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

func (c *keptConnection) send(id string) {
	fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\n"+
		"X-Time-Left-Ms: 5000\r\nContent-Length: 0\r\n\r\n", id)
}

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

// stopAccepting sends a predecessor SIGTERM, so that its successor accepts all further clients.
func stopAccepting(t *testing.T, predecessor testProcess) {
	t.Helper()
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	deadline := time.Now().Add(20 * time.Second)
	for !strings.Contains(predecessor.log.String(), `"message":"stopping"`) {
		if time.Now().After(deadline) {
			t.Fatalf("the predecessor does not stop: %s", predecessor.log)
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // it accepts nothing more
}

// In a hot restart, both processes admit ops for a while. An op that the predecessor admits after it has handed
// over its state must not be admitted by the successor too, since an at-most-once op would run twice.
func TestASuccessorRejectsIDsAdmittedAfterTheHandover(t *testing.T) {
	t.Parallel()
	discovery, listen, received, free := startHoldingWorker(t)
	dir := shortTempDir(t)
	predecessor := startProcess(t, dir, listen, discovery, 0)
	kept := dialKept(t, listen, "before", received)
	startProcess(t, dir, listen, discovery, 1)
	kept.send("held")
	if id := <-received; id != "held" {
		t.Fatal(id)
	}
	stopAccepting(t, predecessor)
	for _, id := range []string{"before", "held"} {
		if status := postAt(t, listen, id, 5*time.Second); status != http.StatusConflict {
			t.Errorf("%s at the successor: %d", id, status)
		}
	}
	close(free)
	if status := kept.status(); status != http.StatusOK {
		t.Errorf("the first client of the id: %d", status)
	}
	select {
	case id := <-received:
		t.Errorf("%s has run twice", id)
	default:
	}
	if status := postAt(t, listen, "another", 5*time.Second); status != http.StatusOK {
		t.Errorf("an unused id: %d", status)
	}
}

// The reverse: a predecessor must not admit an op that its successor has admitted.
func TestAPredecessorRejectsIDsOfItsSuccessor(t *testing.T) {
	t.Parallel()
	discovery, listen, received, free := startHoldingWorker(t)
	dir := shortTempDir(t)
	predecessor := startProcess(t, dir, listen, discovery, 0)
	kept := dialKept(t, listen, "before", received)
	startProcess(t, dir, listen, discovery, 1)
	stopAccepting(t, predecessor)
	held := postHeldOp(t, listen, received)
	kept.send("held")
	if status := kept.status(); status != http.StatusConflict {
		t.Errorf("the id of an op of the successor at the predecessor: %d", status)
	}
	close(free)
	if status := <-held; status != http.StatusOK {
		t.Errorf("the first client of the id: %d", status)
	}
	select {
	case id := <-received:
		t.Errorf("%s has run twice", id)
	default:
	}
}
