package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// startHoldingWorker starts a worker and its discovery server, and returns a free address for clients. The
// worker sends the id of each op to received, and holds the op "held" until free is closed.
func startHoldingWorker(t *testing.T) (discovery, listen string, received chan string, free chan bool) {
	received, free = make(chan string, 9), make(chan bool)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprintln(w, `{"waiting":0,"running":0}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Correlation-Id")
		if received <- id; id == "held" {
			<-free
		}
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
	}))
	t.Cleanup(worker.Close)
	return startDiscovery(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
		worker.Listener.Addr())), freeAddr(t), received, free
}

// A process gets SIGTERM several times, before discovery has sent a list, during a reload and during a
// client drain. It must answer the ops in flight and those on new connections, and end by itself. A second
// SIGTERM while the process was already stopping once killed it with its ops.
func TestAProcessAnswersItsOpsAfterTwoSIGTERMs(t *testing.T) {
	discovery, listen, received, free := startHoldingWorker(t)
	s := startProcess(t, t.TempDir(), listen, discovery, 0)
	send := func(id string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 5000\r\n"+
			"Content-Length: 0\r\n\r\n", id)
		return c, bufio.NewReader(c)
	}
	status := func(r *bufio.Reader) int {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	_, held := send("held")
	if id := <-received; id != "held" {
		t.Fatal(id)
	}
	if resp, err := http.Post("http://"+s.console+"/api/evacuate", "", nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		s.cmd.Process.Signal(sig)
	}
	_, late := send("late")
	if got := status(late); got != http.StatusOK {
		t.Errorf("an op soon after SIGTERM: %d", got)
	}
	close(free)
	if got := status(held); got != http.StatusOK {
		t.Errorf("the held op: %d", got)
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, s.log)
	}
}

// A process that got SIGTERM must accept clients again when its successor dies, as long as it still has an
// op in flight. It once left new clients to the successor for good, so nobody accepted them.
func TestAcceptResumesWhenASuccessorDies(t *testing.T) {
	discovery, listen, received, free := startHoldingWorker(t)
	dir := t.TempDir()
	predecessor := startProcess(t, dir, listen, discovery, 0)
	held := make(chan int, 1)
	go sendOps(listen, "h", t.Context().Done(), func(string, int, error) {}) // a client that sends ops all the time
	go func() {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			held <- 0
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: held\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			held <- 0
			return
		}
		held <- resp.StatusCode
	}()
	for id := ""; id != "held"; {
		select {
		case id = <-received:
		case <-time.After(20 * time.Second):
			t.Fatal("the op is not pushed")
		}
	}
	go func() {
		for range received { // discards the other ids
		}
	}()
	successor := startProcess(t, dir, listen, discovery, 1)
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	successor.cmd.Process.Kill()
	successor.cmd.Wait()
	served := false
	for until := time.Now().Add(time.Second); !served && time.Now().Before(until); {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		served = err == nil && resp.StatusCode > 0
		c.Close()
	}
	if !served {
		t.Error("no process accepts")
	}
	close(free)
	if status := <-held; status != http.StatusOK {
		t.Errorf("the held op: %d", status)
	}
	if err := predecessor.cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, predecessor.log)
	}
}
