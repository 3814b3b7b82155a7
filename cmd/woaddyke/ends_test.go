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

// holding is a stand-in worker that holds the op "held" until it is freed and tells of each that comes, its discovery, and a free
// address for clients.
func holding(t *testing.T) (discovery, listen string, at chan string, free chan bool) {
	at, free = make(chan string, 9), make(chan bool)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprintln(w, `{"waiting":0,"running":0}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Correlation-Id")
		if at <- id; id == "held" {
			<-free
		}
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
	}))
	t.Cleanup(worker.Close)
	return discoveryOf(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
		worker.Listener.Addr())), freeAddr(t), at, free
}

// A real process that is told to end again and again, before discovery has said a word, in the middle of a SIGHUP and of a drain: what
// it holds at a worker is answered, what comes on new connections too, and it ends by itself. A second SIGTERM during an end that the
// process had begun by itself killed it with all that it held.
func TestAProcessToldToEndTwiceAnswersWhatItHolds(t *testing.T) {
	discovery, listen, at, free := holding(t)
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
	if id := <-at; id != "held" {
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
		t.Errorf("an op soon after the word to end: %d", got)
	}
	close(free)
	if got := status(held); got != http.StatusOK {
		t.Errorf("the op that was held: %d", got)
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, s.log)
	}
}

// A process that had been told to end left new clients to its heir for good: when that one died in the next moment, nobody accepted
// any more, though the process was still there for an op that it held.
func TestAnHeirThatDiesAfterItsGiverWasToldToEnd(t *testing.T) {
	discovery, listen, at, free := holding(t)
	dir := t.TempDir()
	giver := startProcess(t, dir, listen, discovery, 0)
	held := make(chan int, 1)
	go client(listen, "h", t.Context().Done(), func(string, int, error) {}) // clients that come on and on
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
		case id = <-at:
		case <-time.After(20 * time.Second):
			t.Fatal("it is not pushed")
		}
	}
	go func() {
		for range at { // nobody counts the others
		}
	}()
	heir := startProcess(t, dir, listen, discovery, 1)
	giver.cmd.Process.Signal(syscall.SIGTERM)
	heir.cmd.Process.Kill()
	heir.cmd.Wait()
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
		t.Error("nobody accepts")
	}
	close(free)
	if status := <-held; status != http.StatusOK {
		t.Errorf("the op that was held: %d", status)
	}
	if err := giver.cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, giver.log)
	}
}
