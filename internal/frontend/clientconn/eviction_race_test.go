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

// hookListener accepts connections that call a hook before each read, so that a test can act between the
// server's call and the read.
type hookListener struct {
	net.Listener
	beforeRead func(nc net.Conn)
}

type hookedConn struct {
	*net.TCPConn
	beforeRead func(nc net.Conn)
}

func (i *hookListener) Accept() (net.Conn, error) {
	c, err := i.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{c.(*net.TCPConn), i.beforeRead}, nil
}

func (h *hookedConn) Read(b []byte) (int, error) {
	h.beforeRead(h)
	return h.TCPConn.Read(b)
}

// serveClients starts a standard server that answers each request, with a hook before its reads.
func serveClients(t *testing.T, beforeRead func(net.Conn)) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(9, 9)
	g.Listener = &hookListener{l, beforeRead}
	s := &http.Server{ConnState: g.Track, ReadHeaderTimeout: 20 * time.Second, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			if r.Context().Err() != nil {
				b = append(b, " of a disconnected client"...)
			}
			fmt.Fprintf(w, "got %s", b)
		})}
	go s.Serve(g)
	t.Cleanup(func() { s.Close() })
	return g
}

func readResponse(t *testing.T, c net.Conn, reader *bufio.Reader) string {
	t.Helper()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err.Error()
	}
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

const postRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"

// A request that is received just after its connection was evicted is served. The eviction found no unread
// data and set an expired read deadline. Without a final read at this deadline, the connection was closed and
// the request was lost. The test writes the request after the eviction and before the read.
func TestARequestThatArrivesDuringEvictionIsServed(t *testing.T) {
	for _, name := range []string{"new", "keep-alive"} {
		t.Run(name, func(t *testing.T) {
			blocked, release := make(chan bool), make(chan bool)
			var pool atomic.Pointer[Pool]
			reads, hasBlocked := 0, false
			g := serveClients(t, func(net.Conn) { // blocks the first read, or the one after a response
				reads++
				if g := pool.Load(); !hasBlocked &&
					(name == "new" || reads > 1 && g != nil && g.Waiting() > 0) {
					hasBlocked = true
					blocked <- true
					<-release
				}
			})
			pool.Store(g)
			c, err := net.Dial("tcp", g.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			responses := bufio.NewReader(c)
			if name == "keep-alive" {
				io.WriteString(c, postRequest)
				if got := readResponse(t, c, responses); got != "got hi" {
					t.Fatal(got)
				}
			}
			<-blocked
			g.CloseIdle(9, 0)
			if g.Sockets() != 1 || g.Count() != 0 {
				t.Fatalf("%d sockets, %d open connections; want 1, 0", g.Sockets(), g.Count())
			}
			io.WriteString(c, postRequest)
			for server := range g.closePending {
				for unread := 0; unread == 0; unread, _ = workerconn.Peek(server) {
					time.Sleep(time.Millisecond)
				}
			}
			close(release)
			if got := readResponse(t, c, responses); got != "got hi" {
				t.Errorf("response to the request during eviction: %s", got)
			}
			if g.Count() != 1 || g.Sockets() != 1 {
				t.Errorf("%d open connections, %d sockets; want 1 of each", g.Count(), g.Sockets())
			}
		})
	}
}

// A connection is evicted after a request's header was read, but before the server calls Track with
// StateActive. The request must still be served. The eviction sets an expired read deadline, which must not
// reach the read by which the server watches for a disconnection: the server would cancel the request.
func TestARequestWhoseHeaderWasReadBeforeEvictionIsServed(t *testing.T) {
	g := serveClients(t, func(net.Conn) {})
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	responses := bufio.NewReader(c)
	io.WriteString(c, postRequest)
	if got := readResponse(t, c, responses); got != "got hi" {
		t.Fatal(got)
	}
	for deadline := time.Now().Add(10 * time.Second); g.Waiting() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	g.mu.Lock() // the server blocks in Track after it has read a header
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
	for nc := range g.open {
		for !nc.requestStarted() {
			time.Sleep(time.Millisecond)
		}
		g.requestClose(nc)
	}
	g.mu.Unlock()
	time.Sleep(20 * time.Millisecond) // long enough for a wrong close to show
	io.WriteString(c, "hi")
	if got := readResponse(t, c, responses); got != "got hi" {
		t.Errorf("response %q, want %q", got, "got hi")
	}
}

// After requestClose, a connection without a request is closed immediately, even if the server sets a later
// read deadline meanwhile.
func TestAClosingConnectionIgnoresTheServersDeadline(t *testing.T) {
	blocked, release := make(chan bool), make(chan bool)
	g := serveClients(t, func(net.Conn) { blocked <- true; <-release })
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	<-blocked
	g.CloseIdle(9, 0)
	for nc := range g.closePending {
		nc.SetReadDeadline(time.Now().Add(time.Hour))
	}
	close(release)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read of the closing connection: %v, want io.EOF", err)
	}
	for deadline := time.Now().Add(10 * time.Second); g.Sockets() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the closed connection still counts after 10 s")
		}
	}
}

// A request that is received in the instant in which the server's idle deadline expires is read. A header
// that has started gets no time beyond its deadline.
func TestARequestThatArrivesAtTheIdleDeadlineIsRead(t *testing.T) {
	g := newListeningPool(t, 9)
	server, client := connectPair(t, g)
	server.SetReadDeadline(time.Unix(1, 0))
	for k, want := range []int{2, 0} {
		io.WriteString(client, "PO")
		for unread := 0; unread == 0; unread, _ = workerconn.Peek(server) {
			time.Sleep(time.Millisecond)
		}
		if n, err := server.Read(make([]byte, 9)); n != want || (err == nil) != (want > 0) {
			t.Errorf("read %d: %d bytes, %v; want %d bytes", k, n, err, want)
		}
	}
}
