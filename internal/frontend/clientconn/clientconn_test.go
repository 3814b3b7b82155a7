package clientconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/workers/workerconn"
)

// newListeningPool returns a pool with both limits at maxConns and a listener of its own.
func newListeningPool(t *testing.T, maxConns int) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	g := New(maxConns, maxConns)
	g.Listener = l
	return g
}

// connectPair connects a client to the pool, and returns the server's and the client's side of the
// connection.
func connectPair(t *testing.T, g *Pool) (server, client net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = g.Accept(); err != nil {
		t.Fatal(err)
	}
	return server, client
}

// CloseIdle spares a connection on which part of a request was read. Such a connection once counted as idle,
// and the request of a client that sent it in pieces was lost.
func TestCloseIdleSparesStartedRequests(t *testing.T) {
	g := newListeningPool(t, 9)
	silentServer, silentClient := connectPair(t, g)
	partial, partialClient := connectPair(t, g)
	idle, _ := connectPair(t, g)
	active, _ := connectPair(t, g)
	g.Track(active, http.StateActive)
	g.Track(idle, http.StateActive)
	g.Track(idle, http.StateIdle)
	partialClient.Write([]byte("PO"))
	if n, err := partial.Read(make([]byte, 9)); n != 2 {
		t.Fatalf("read of the partial request: %d bytes, %v; want 2", n, err)
	}
	g.CloseIdle(9, time.Hour)
	if g.Count() != 4 {
		t.Errorf("%d of 4 connections are open, want 4: none has waited for an hour", g.Count())
	}
	if g.CloseIdle(1, 0); g.Count() != 3 || g.Waiting() != 2 {
		t.Errorf("%d connections are open and %d wait, want 3 and 2", g.Count(), g.Waiting())
	}
	g.CloseIdle(9, 0)
	if g.Count() != 2 {
		t.Errorf("%d connections are open, want 2: the partial request and the one in service", g.Count())
	}
	if _, err := silentServer.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the server's read of the silent connection: %v, want its deadline exceeded", err)
	}
	silentServer.Close() // as the server does after this error
	silentClient.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := silentClient.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent client: %v, want io.EOF", err)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection can still be read")
	}
	g.Track(partial, http.StateActive)
	g.Track(partial, http.StateIdle)
	if g.CloseIdle(9, 0); g.Count() != 1 {
		t.Errorf("%d connections are open, want 1: the answered one is idle", g.Count())
	}
}

// If all open connections have unread data, none can be evicted, and a new connection waits for a free slot.
// It must not be closed unread, as happened to console callers during a flood of connections.
func TestANewConnectionWaitsForAFreeSlot(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	g := New(1, 1)
	g.Listener, g.AdmissionTimeout = l, 20*time.Second
	partial, partialClient := connectPair(t, g)
	partialClient.Write([]byte("G"))
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if n, _ := workerconn.Peek(partial); n == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the byte is not received within 10 s")
		}
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := g.Accept()
		accepted <- c
	}()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // long enough for a wrong close to show
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the new connection: %v, want it to wait", err)
	}
	// After this read no data is unread, so the connection can be evicted: unlike CloseIdle, an eviction does not
	// spare a partly read header.
	partial.Read(make([]byte, 9))
	if _, err := partial.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection with the partial request was not evicted: %v", err)
	}
	if len(accepted) > 0 {
		t.Error("admitted while the descriptor of the evicted connection is still open")
	}
	partial.Close() // as the server does after this error
	g.Track(partial, http.StateClosed)
	if c := <-accepted; c == nil || c.RemoteAddr().String() != caller.LocalAddr().String() {
		t.Errorf("admitted: %v, want the new connection", c)
	}
}

// admitPipe tries to admit a connection that has no reader.
func admitPipe(t *testing.T, g *Pool) (c *conn, admitted bool) {
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	c = &conn{Conn: server, pool: g}
	return c, g.admitOrWait(c)
}

// An evicted connection counts until it is closed, because it holds its socket until then. When evicted
// connections did not count, a flood that connected faster than their readers could run used up all
// descriptors. Here the connections have no reader at all.
func TestEvictedConnectionsCountUntilClosed(t *testing.T) {
	g := New(2, 4)
	var conns []*conn
	for range 4 {
		c, admitted := admitPipe(t, g)
		if !admitted {
			t.Fatalf("%d connections were admitted, want 4", len(conns))
		}
		conns = append(conns, c)
	}
	if _, admitted := admitPipe(t, g); admitted || g.Sockets() != 4 || g.Count() != 1 {
		t.Fatalf("fifth connection: admitted %v, %d sockets, %d open; want false, 4, 1",
			admitted, g.Sockets(), g.Count())
	}
	conns[0].Close()
	g.Track(conns[0], http.StateClosed)
	if _, admitted := admitPipe(t, g); !admitted || g.Sockets() != 4 {
		t.Errorf("after one is closed: admitted %v, %d sockets; want true, 4", admitted, g.Sockets())
	}
	if g.SetLimits(1, 1); g.Count() != 1 || g.Sockets() != 4 {
		t.Errorf("with a limit of 1: %d open, %d sockets; want 1, 4", g.Count(), g.Sockets())
	}
}

// exhaustedListener fails to accept with errno until a descriptor is available.
type exhaustedListener struct {
	net.Listener
	available func() bool
	errno     error
}

func (e *exhaustedListener) Accept() (net.Conn, error) {
	if e.errno != nil && !e.available() {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", e.errno)}
	}
	return e.Listener.Accept()
}

// If accept fails because all descriptors are in use, an idle connection is evicted. Without an eviction,
// silent clients keep out all others, console callers included, for as long as they like.
func TestAnIdleConnectionIsEvictedOnDescriptorExhaustion(t *testing.T) {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE} {
		g := newListeningPool(t, 9)
		idle, client := connectPair(t, g)
		active, _ := connectPair(t, g)
		g.Track(active, http.StateActive)
		go func() { // the server's reader
			idle.Read(make([]byte, 1))
			idle.Close()
			g.Track(idle, http.StateClosed)
		}()
		g.Listener = &exhaustedListener{g.Listener, func() bool { return g.Sockets() == 1 }, errno}
		accepted := make(chan net.Conn, 1)
		go func() {
			c, _ := g.Accept()
			accepted <- c
		}()
		second, err := net.Dial("tcp", g.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer second.Close()
		if c := <-accepted; c == nil || c.RemoteAddr().String() != second.LocalAddr().String() {
			t.Errorf("%v: admitted %v, want the second connection", errno, c)
		}
		client.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := client.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%v: the idle client: %v, want io.EOF", errno, err)
		}
	}
}

// Connections with a partial request do not count as waiting, so they are not evicted. A flood of them must
// not evict the served connections one after another, until no real client has a connection.
func TestAFloodOfPartialRequestsDoesNotEvictServedClients(t *testing.T) {
	g := New(8, 16)
	served := map[*conn]bool{}
	for range 4 {
		c, _ := admitPipe(t, g)
		g.MarkServed(NewContext(t.Context(), c))
		g.Track(c, http.StateActive)
		g.Track(c, http.StateIdle)
		served[c] = true
	}
	for range 50 {
		if c, admitted := admitPipe(t, g); admitted {
			g.Track(c, http.StateActive)
		}
	}
	for c := range served {
		if g.open[c] == nil {
			t.Error("a served connection was evicted")
		}
	}
	if g.Count() != 16 || g.Sockets() != 16 {
		t.Errorf("%d connections and %d sockets, want 16 of each", g.Count(), g.Sockets())
	}
	further, _ := admitPipe(t, g) // would need a slot of the reserved half
	if g.open[further] != nil {
		t.Error("a connection was admitted though only served ones could be evicted")
	}
}
