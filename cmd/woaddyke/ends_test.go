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

// A real process that is told to end again and again, before discovery has said a word, in the middle of a SIGHUP and of a drain: what
// it holds at a worker is answered, what comes on new connections too, and it ends by itself. A second SIGTERM during an end that the
// process had begun by itself killed it with all that it held.
func TestAProcessToldToEndTwiceAnswersWhatItHolds(t *testing.T) {
	at, free := make(chan string, 9), make(chan bool)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprintln(w, `{"waiting":0,"running":0}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Correlation-Id")
		at <- id
		if id == "held" {
			<-free
		}
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
	}))
	t.Cleanup(worker.Close)
	known := fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, worker.Listener.Addr())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	l.Close()
	s := startProcess(t, t.TempDir(), listen, discoveryOf(t, known), 0)
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
