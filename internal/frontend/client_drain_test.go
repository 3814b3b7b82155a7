package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/lifecycle/clientdrain"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/scheduler"
)

// roundTrip sends a request on a connection. It returns the response's status and whether the response
// closes the connection.
func roundTrip(t *testing.T, c net.Conn, request string) (status int, closes bool) {
	t.Helper()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(c, request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Close
}

// A client drain must fail health checks, close connections without losing a request, and reject late ops
// with a status that allows a retry. Otherwise load balancers continue to send clients to a scheduler that is
// being drained.
func TestAClientDrainClosesConnectionsUntilClientsAreReadmitted(t *testing.T) {
	server, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	addr, stop := serveUntil(t, server)
	defer stop()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	const healthCheck = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	used, idle := dial(), dial()
	for _, c := range []net.Conn{used, idle} {
		if status, closes := roundTrip(t, c, healthCheck); status != 200 || closes {
			t.Fatalf("before: %d, closes %v", status, closes)
		}
	}
	server.DrainClients()
	if status, closes := roundTrip(t, used, healthCheck); status != 503 || !closes {
		t.Errorf("on a connection in use: %d, closes %v", status, closes)
	}
	if status, closes := roundTrip(t, dial(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"); status != 400 || !closes {
		t.Errorf("on a new connection: %d, closes %v; want an answer that closes it", status, closes)
	}
	drainedAt := time.Now()
	idle.SetReadDeadline(drainedAt.Add(10 * time.Second))
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("the idle connection must be closed without a response")
	}
	// The drain admits ops for about two seconds, and closes the first idle connection half a second after its
	// start. The minimum here is lower: drainedAt is taken two requests later, which is long on a slow machine.
	if waited := time.Since(drainedAt); waited < 300*time.Millisecond {
		t.Errorf("it was closed after %v, before a load balancer can have detected the drain", waited)
	}
	// An op that arrives long after the drain's start must be rejected, since it could still be in flight at
	// the drain's end. Its client may retry at another scheduler.
	server.drain.mu.Lock()
	server.drain.state = clientdrain.State{}
	server.drain.state.Start(time.Now().Add(-3 * time.Second))
	server.drain.mu.Unlock()
	op := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%s: a\r\n%s: look\r\n%s: 9000\r\nContent-Length: 0\r\n\r\n", idHeader,
		categoryHeader, timeLeftHeader)
	if status, closes := roundTrip(t, dial(), op); status != 503 || !closes {
		t.Errorf("an op three seconds after the drain's start: %d, closes %v", status, closes)
	}
	server.ReadmitClients()
	readmitted := dial()
	for range 2 {
		if status, closes := roundTrip(t, readmitted, healthCheck); status != 200 || closes {
			t.Errorf("after the drain: %d, closes %v", status, closes)
		}
	}
}

// A client drain that operators started must survive a hot restart: the successor continues it.
func TestASuccessorInheritsTheClientDrain(t *testing.T) {
	noWorkers := `{"rev":5,"all":true,"targets":[]}`
	predecessor, err := New(testBootstrap(t, noWorkers), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	_, stop := serveUntil(t, predecessor)
	<-predecessor.Ready()
	predecessor.DrainClients()
	text, sockets, err := predecessor.HandOver(nil)
	if err != nil || len(sockets) != 1 {
		t.Fatalf("%d sockets, %v", len(sockets), err)
	}
	state, err := hotrestart.DecodeState(text)
	if err != nil || !state.ClientsDrained || len(state.Learned) == 0 {
		t.Fatalf("%s, %v", text, err)
	}
	successor, err := New(testBootstrap(t, noWorkers), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	successor.RestoreState(state, nil, nil)
	if !successor.drain.draining() {
		t.Error("the successor does not drain clients")
	}
	successor.ReadmitClients()
	// With a successor, health checks succeed during the shutdown unless operators have drained clients.
	predecessor.SetSuccessor(true)
	stop()
	if recorder := httptest.NewRecorder(); !predecessor.lifecycle.closeAfterResponse.Load() {
		for until := time.Now().Add(10 * time.Second); !predecessor.lifecycle.closeAfterResponse.Load() && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		if predecessor.health(recorder, httptest.NewRequest(http.MethodGet, "/healthz", nil)); recorder.Code != 503 {
			t.Errorf("drained, during the shutdown: %d", recorder.Code)
		}
	}
	predecessor.ReadmitClients()
	recorder := httptest.NewRecorder()
	if predecessor.health(recorder, httptest.NewRequest(http.MethodGet, "/healthz", nil)); recorder.Code != 200 || recorder.Header().Get("Connection") != "close" {
		t.Errorf("with a successor, during the shutdown: %d %v", recorder.Code, recorder.Header())
	}
}

// A loop that is briefly busy when its successor asks must still hand over its learned state, which includes
// the IDs in use.
func TestABusyLoopStillHandsOverItsLearnedState(t *testing.T) {
	server, err := New(testBootstrap(t, `{"rev":5,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	_, stop := serveUntil(t, server)
	defer stop()
	<-server.Ready()
	server.loop.Inbox() <- scheduler.Query(func(scheduler.State) { time.Sleep(time.Second) })
	text, _, err := server.HandOver(nil)
	if err != nil {
		t.Fatal(err)
	}
	if state, err := hotrestart.DecodeState(text); err != nil || !strings.Contains(string(state.Learned), `"ids"`) {
		t.Errorf("no learned state was handed over: %q, %v", state.Learned, err)
	}
}
