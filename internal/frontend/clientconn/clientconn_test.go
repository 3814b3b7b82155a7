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

// listening makes room for so many on a listener of its own.
func listening(t *testing.T, most int) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	g := New(most, most)
	g.Listener = l
	return g
}

// pair is a connection from a client as the server sees it, and the client's side.
func pair(t *testing.T, g *Pool) (server, client net.Conn) {
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

// A client that writes in pieces lost its request when its connection was taken for one that waits.
func TestARequestThatHasBegunIsNotParted(t *testing.T) {
	g := listening(t, 9)
	quiet, silent := pair(t, g)
	begun, piece := pair(t, g)
	idle, _ := pair(t, g)
	busy, _ := pair(t, g)
	g.Track(busy, http.StateActive)
	g.Track(idle, http.StateActive)
	g.Track(idle, http.StateIdle)
	piece.Write([]byte("PO"))
	if n, err := begun.Read(make([]byte, 9)); n != 2 {
		t.Fatalf("%d, %v", n, err)
	}
	g.CloseIdle(9, time.Hour)
	if g.Count() != 4 {
		t.Errorf("%d are left of 4 that have not waited for long", g.Count())
	}
	if g.CloseIdle(1, 0); g.Count() != 3 || g.Waiting() != 2 {
		t.Errorf("%d are left, %d wait: one was to go", g.Count(), g.Waiting())
	}
	g.CloseIdle(9, 0)
	if g.Count() != 2 {
		t.Errorf("%d are left; the request that has begun and the one that is served were to stay", g.Count())
	}
	if _, err := quiet.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the silent one may be read on: %v", err)
	}
	quiet.Close() // as the server does that reads so
	silent.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one: %v", err)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the idle one may read on")
	}
	g.Track(begun, http.StateActive)
	g.Track(begun, http.StateIdle)
	if g.CloseIdle(9, 0); g.Count() != 1 {
		t.Errorf("%d are left: after its answer the one in pieces waits like the others", g.Count())
	}
}

// With a flood just before it, a caller of staff was closed unread: what had come on the others was not read yet.
func TestANewcomerWaitsForRoom(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	g := New(1, 1)
	g.Listener, g.AdmissionTimeout = l, 20*time.Second
	half, flood := pair(t, g)
	flood.Write([]byte("G"))
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if n, _ := workerconn.Peek(half); n == 1 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the byte does not come")
		}
	}
	let := make(chan net.Conn, 1)
	go func() {
		c, _ := g.Accept()
		let <- c
	}()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // time to be closed in, if it is to be
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the newcomer: %v", err)
	}
	half.Read(make([]byte, 9)) // the server has it now: half a call, and no reason to keep others out
	if _, err := half.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("its wait is not over: %v", err)
	}
	if len(let) > 0 {
		t.Error("let in while the other's descriptor is open still")
	}
	half.Close() // as the server does that reads so
	g.Track(half, http.StateClosed)
	if c := <-let; c == nil || c.RemoteAddr().String() != caller.LocalAddr().String() {
		t.Errorf("let in: %v", c)
	}
}

// newcomer is a connection that nobody reads, and whether it was let in.
func newcomer(t *testing.T, g *Pool) (c *conn, let bool) {
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	c = &conn{Conn: server, of: g}
	return c, g.admitSoon(c)
}

// A flood that came faster than the readers of those that gave way could run took every descriptor: they were counted as gone when
// their wait was ended, and held their sockets until they were read. Here nobody reads them at all.
func TestThoseThatGiveWayCountUntilTheyAreClosed(t *testing.T) {
	g := New(2, 4)
	var all []*conn
	for range 4 {
		c, let := newcomer(t, g)
		if !let {
			t.Fatalf("%d were let in", len(all))
		}
		all = append(all, c)
	}
	if _, let := newcomer(t, g); let || g.Sockets() != 4 || g.Count() != 1 {
		t.Fatalf("a fifth: %v, with %d sockets, of which %d may stay", let, g.Sockets(), g.Count())
	}
	all[0].Close()
	g.Track(all[0], http.StateClosed)
	if _, let := newcomer(t, g); !let || g.Sockets() != 4 {
		t.Errorf("with one closed: %v, %d sockets", let, g.Sockets())
	}
	if g.SetLimits(1, 1); g.Count() != 1 || g.Sockets() != 4 {
		t.Errorf("%d may stay of the one that there is room for, %d sockets", g.Count(), g.Sockets())
	}
}

// exhausted is a listener that has no descriptor for the next connection until one has been closed.
type exhausted struct {
	net.Listener
	free func() bool
	by   error
}

func (e *exhausted) Accept() (net.Conn, error) {
	if e.by != nil && !e.free() {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", e.by)}
	}
	return e.Listener.Accept()
}

// With all descriptors taken nobody could be accepted, so nobody gave way: clients that said nothing kept all others out, staff too,
// for as long as they liked.
func TestWhereNoDescriptorIsLeftOneThatWaitsGivesWay(t *testing.T) {
	for _, by := range []error{syscall.EMFILE, syscall.ENFILE} {
		g := listening(t, 9)
		waits, client := pair(t, g)
		busy, _ := pair(t, g)
		g.Track(busy, http.StateActive)
		go func() { // the server's reader
			waits.Read(make([]byte, 1))
			waits.Close()
			g.Track(waits, http.StateClosed)
		}()
		g.Listener = &exhausted{g.Listener, func() bool { return g.Sockets() == 1 }, by}
		let := make(chan net.Conn, 1)
		go func() {
			c, _ := g.Accept()
			let <- c
		}()
		second, err := net.Dial("tcp", g.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer second.Close()
		if c := <-let; c == nil || c.RemoteAddr().String() != second.LocalAddr().String() {
			t.Errorf("%v: let in: %v", by, c)
		}
		client.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := client.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the one that waited: %v", err)
		}
	}
}

// Half requests wait for nothing, so they give way to nobody: a flood of them had those give way that were served before, one after
// another, until none of our clients had a connection.
func TestAFloodOfHalfRequestsLeavesTheServedTheirs(t *testing.T) {
	g := New(8, 16)
	served := map[*conn]bool{}
	for range 4 {
		c, _ := newcomer(t, g)
		g.MarkServed(NewContext(t.Context(), c))
		g.Track(c, http.StateActive)
		g.Track(c, http.StateIdle)
		served[c] = true
	}
	for range 50 {
		if c, let := newcomer(t, g); let {
			g.Track(c, http.StateActive)
		}
	}
	for c := range served {
		if g.open[c] == nil {
			t.Error("one that was served gave way")
		}
	}
	if g.Count() != 16 || g.Sockets() != 16 {
		t.Errorf("%d of 16, %d sockets", g.Count(), g.Sockets())
	}
	more, _ := newcomer(t, g) // one that goes beyond the half
	if g.open[more] != nil {
		t.Error("there was no room")
	}
}
