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

// roundTrip sends a request on a connection, and tells the answer's status and whether it ends the
// connection.
func roundTrip(t *testing.T, c net.Conn, request string) (status int, ends bool) {
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

// Clients of a scheduler that was told to drain went on being sent to it; they were to go without losing
// a job.
func TestADrainSendsClientsAwayAndTakesThemBack(t *testing.T) {
	f, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	addr, stop := serveUntil(t, f)
	defer stop()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	const check = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	used, idle := dial(), dial()
	for _, c := range []net.Conn{used, idle} {
		if status, ends := roundTrip(t, c, check); status != 200 || ends {
			t.Fatalf("before: %d, ends %v", status, ends)
		}
	}
	f.DrainClients()
	if status, ends := roundTrip(t, used, check); status != 503 || !ends {
		t.Errorf("on a connection in use: %d, ends %v", status, ends)
	}
	if status, ends := roundTrip(t, dial(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"); status != 400 || !ends {
		t.Errorf("on a new connection: %d, ends %v; it must be answered still", status, ends)
	}
	began := time.Now()
	idle.SetReadDeadline(began.Add(10 * time.Second))
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("the idle connection must be closed without a word")
	}
	// The rule gives two seconds to the last job that may come; a machine that is slow gets more here.
	if waited := time.Since(began); waited < 300*time.Millisecond {
		t.Errorf("it was closed after %v, before the front can have noticed", waited)
	}
	// An op that comes late would still be held when none may be; its client may come again elsewhere.
	f.drain.mu.Lock()
	f.drain.state = clientdrain.State{}
	f.drain.state.Start(time.Now().Add(-3 * time.Second))
	f.drain.mu.Unlock()
	op := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%s: a\r\n%s: look\r\n%s: 9000\r\nContent-Length: 0\r\n\r\n", idHeader,
		categoryHeader, timeLeftHeader)
	if status, ends := roundTrip(t, dial(), op); status != 503 || !ends {
		t.Errorf("an op three seconds after the call: %d, ends %v", status, ends)
	}
	f.ReadmitClients()
	back := dial()
	for range 2 {
		if status, ends := roundTrip(t, back, check); status != 200 || ends {
			t.Errorf("after the drain: %d, ends %v", status, ends)
		}
	}
}

// A scheduler that its staff had drained took clients again when its process was replaced.
func TestTheHeirOfADrainedProcessIsDrained(t *testing.T) {
	whole := `{"rev":5,"all":true,"targets":[]}`
	was, err := New(testBootstrap(t, whole), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	_, stop := serveUntil(t, was)
	<-was.Ready()
	was.DrainClients()
	text, sockets, err := was.HandOver()
	if err != nil || len(sockets) != 1 {
		t.Fatalf("%d sockets, %v", len(sockets), err)
	}
	state, err := hotrestart.DecodeState(text)
	if err != nil || !state.ClientsDrained || len(state.Learned) == 0 {
		t.Fatalf("%s, %v", text, err)
	}
	is, err := New(testBootstrap(t, whole), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	is.RestoreState(state, nil)
	if !is.drain.draining() {
		t.Error("the heir takes clients")
	}
	is.ReadmitClients()
	// With an heir the front is not told to go elsewhere at the end, unless staff have sent it away.
	was.SetSuccessor(true)
	stop()
	if recorder := httptest.NewRecorder(); !was.lifecycle.closing.Load() {
		for until := time.Now().Add(10 * time.Second); !was.lifecycle.closing.Load() && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		if was.health(recorder, httptest.NewRequest(http.MethodGet, "/healthz", nil)); recorder.Code != 503 {
			t.Errorf("drained, at its end: %d", recorder.Code)
		}
	}
	was.ReadmitClients()
	recorder := httptest.NewRecorder()
	if was.health(recorder, httptest.NewRequest(http.MethodGet, "/healthz", nil)); recorder.Code != 200 || recorder.Header().Get("Connection") != "close" {
		t.Errorf("with an heir, at its end: %d %v", recorder.Code, recorder.Header())
	}
}

// A loop that is busy for a moment just when its heir asks: what it has learned, the ids that are taken
// among it, is handed over all the same.
func TestABusyLoopHandsOverWhatItHasLearned(t *testing.T) {
	f, err := New(testBootstrap(t, `{"rev":5,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	_, stop := serveUntil(t, f)
	defer stop()
	<-f.Ready()
	f.loop.Inbox() <- scheduler.Query(func(scheduler.State) { time.Sleep(time.Second) })
	text, _, err := f.HandOver()
	if err != nil {
		t.Fatal(err)
	}
	if state, err := hotrestart.DecodeState(text); err != nil || !strings.Contains(string(state.Learned), `"ids"`) {
		t.Errorf("nothing learned is handed over: %q, %v", state.Learned, err)
	}
}
