package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"woaddyke/internal/workers/workerconn"
)

// instant is a listener whose connections call a hook before each read of theirs: what a test does there crosses the read.
type instant struct {
	net.Listener
	before func(nc net.Conn)
}

type hooked struct {
	*net.TCPConn
	before func(nc net.Conn)
}

func (i *instant) Accept() (net.Conn, error) {
	c, err := i.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hooked{c.(*net.TCPConn), i.before}, nil
}

func (h *hooked) Read(b []byte) (int, error) {
	h.before(h)
	return h.TCPConn.Read(b)
}

// serveClients has the standard server answer each request on client connections, with a hook before their reads.
func serveClients(t *testing.T, before func(net.Conn)) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(9, 9)
	g.Listener = &instant{l, before}
	s := &http.Server{ConnState: g.Track, ReadHeaderTimeout: 20 * time.Second, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			if r.Context().Err() != nil {
				b = append(b, " of a client that has left"...)
			}
			fmt.Fprintf(w, "got %s", b)
		})}
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	return g
}

func asks(t *testing.T, c net.Conn, answers *bufio.Reader) string {
	t.Helper()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err.Error()
	}
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"

// A request that came in the instant in which its connection's wait was ended was lost: the look had found nothing, and the reader,
// told that its time was over, closed without another one. Forced here: the request is written after that look, and before the read.
func TestARequestThatCrossesTheEndOfTheWaitIsServed(t *testing.T) {
	for _, name := range []string{"new", "kept"} {
		t.Run(name, func(t *testing.T) {
			held, release := make(chan bool), make(chan bool)
			var of atomic.Pointer[Pool]
			reads, done := 0, false
			g := serveClients(t, func(net.Conn) { // the server is held at its first read, or at the one behind an answer
				reads++
				if g := of.Load(); !done && (name == "new" || reads > 1 && g != nil && g.Waiting() > 0) {
					done = true
					held <- true
					<-release
				}
			})
			of.Store(g)
			c, err := net.Dial("tcp", g.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			answers := bufio.NewReader(c)
			if name == "kept" {
				io.WriteString(c, request)
				if got := asks(t, c, answers); got != "got hi" {
					t.Fatal(got)
				}
			}
			<-held
			g.CloseIdle(9, 0)
			if g.Sockets() != 1 || g.Count() != 0 {
				t.Fatalf("%d sockets, %d count", g.Sockets(), g.Count())
			}
			io.WriteString(c, request)
			for server := range g.parted {
				for come := 0; come == 0; come, _ = workerconn.Peek(server) {
					time.Sleep(time.Millisecond)
				}
			}
			close(release)
			if got := asks(t, c, answers); got != "got hi" {
				t.Errorf("the request that crossed: %s", got)
			}
			if g.Count() != 1 || g.Sockets() != 1 {
				t.Errorf("%d count, %d sockets", g.Count(), g.Sockets())
			}
		})
	}
}

// A flood evicted a connection whose request's head had been read a moment ago, and was not served yet: the deadline that ends a wait
// then ended the watch for its client, and with it the request.
func TestARequestWhoseHeadWasReadIsServedThoughItsWaitWasEnded(t *testing.T) {
	g := serveClients(t, func(net.Conn) {})
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	io.WriteString(c, request)
	if got := asks(t, c, answers); got != "got hi" {
		t.Fatal(got)
	}
	for until := time.Now().Add(10 * time.Second); g.Waiting() == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	g.mu.Lock() // the server comes no further than the word that it has read a head
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
	for nc := range g.open {
		for !nc.begun() {
			time.Sleep(time.Millisecond)
		}
		g.part(nc)
	}
	g.mu.Unlock()
	time.Sleep(20 * time.Millisecond) // time to be closed in, if it is to be
	io.WriteString(c, "hi")
	if got := asks(t, c, answers); got != "got hi" {
		t.Errorf("%q", got)
	}
}

// What is parted and says nothing is closed at once, also where the server sets a deadline of its own in that instant.
func TestOnePartedIsClosedWhateverDeadlineTheServerSets(t *testing.T) {
	held, release := make(chan bool), make(chan bool)
	g := serveClients(t, func(net.Conn) { held <- true; <-release })
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	<-held
	g.CloseIdle(9, 0)
	for nc := range g.parted {
		nc.SetReadDeadline(time.Now().Add(time.Hour))
	}
	close(release)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("%v", err)
	}
	for until := time.Now().Add(10 * time.Second); g.Sockets() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("its descriptor is counted still")
		}
	}
}

// The server's own time for a connection that idles was up in the instant in which a request came. One that dribbles a head is given
// no more than its time.
func TestARequestThatCrossesTheServersDeadlineIsRead(t *testing.T) {
	g := listening(t, 9)
	server, client := pair(t, g)
	server.SetReadDeadline(time.Unix(1, 0))
	for k, want := range []int{2, 0} {
		io.WriteString(client, "PO")
		for come := 0; come == 0; come, _ = workerconn.Peek(server) {
			time.Sleep(time.Millisecond)
		}
		if n, err := server.Read(make([]byte, 9)); n != want || (err == nil) != (want > 0) {
			t.Errorf("read %d: %d, %v", k, n, err)
		}
	}
}
