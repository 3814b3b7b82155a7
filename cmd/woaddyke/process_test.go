package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
)

// startDiscovery starts a discovery server that sends one endpoint list on each watch, and nothing more.
func startDiscovery(t *testing.T, known string) (addr string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, known)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// newProcess returns a process with a discovery server that has no workers.
func newProcess(t *testing.T, listen string) *process {
	return &process{log: zerolog.Nop(), bootstrap: &config.Bootstrap{Listen: listen, Console: "127.0.0.1:0",
		Discovery: startDiscovery(t, `{"rev":7,"all":true,"targets":[]}`), Limits: config.Limits{Cores: 1, MemoryMB: 64, Descriptors: 256},
		Settings: config.Flatten(map[string]any{"categories": []any{map[string]any{"name": "look", "ttlNs": 3e9}}})}}
}

// serve serves until stop is called. ended receives the result of Serve.
func (p *process) serve(at net.Listener) (stop func(), ended chan error) {
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- p.server.Serve(ctx, at, 3*time.Second) }()
	return stop, ended
}

// getHealth requests /healthz on a connection, and returns the status and whether the answer closes the
// connection.
func getHealth(t *testing.T, c net.Conn) (status int, ends bool) {
	t.Helper()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Close
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// freeAddr returns an address at which no process listens. An ephemeral port would be free for the process
// of another test as soon as it is closed here, and processes with SO_REUSEPORT would share it without an
// error.
func freeAddr(t *testing.T) string {
	t.Helper()
	return uniqueAddr()
}

// A successor must be able to listen while its predecessor drains its clients. It once could not listen,
// and ended after the predecessor had drained its clients, so ops were lost.
func TestAHotRestartRejectsNoClient(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	addr := freeAddr(t)
	first, log := newProcess(t, addr), &logBuffer{}
	first.log = zerolog.New(log)
	at, err := first.openServer()
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := first.serve(at)
	defer stop()
	first.offerHandover()
	persistent := dial(t, addr)
	if status, ends := getHealth(t, persistent); status != http.StatusOK || ends {
		t.Fatalf("the first process: %d, ends %v", status, ends)
	}

	second := newProcess(t, addr)
	secondListener, err := second.openServer()
	if err != nil {
		t.Fatal(err)
	}
	var known struct{ Rev int }
	if err := json.Unmarshal(second.bootstrap.KnownWorkers, &known); err != nil || known.Rev != 7 {
		t.Errorf("the endpoint list from the handover: %s, %v", second.bootstrap.KnownWorkers, err)
	}
	stop()
	await(t, "the process has started to stop", log, func() bool { return strings.Contains(log.String(), `"message":"stopping"`) })
	if status, ends := getHealth(t, persistent); status != http.StatusOK || !ends {
		t.Errorf("on the earlier connection: %d, ends %v; want it closed with status 200, so that the load balancer keeps the address", status, ends)
	}
	persistent.Close()
	if err := <-ended; err != nil {
		t.Errorf("the first process: %v", err)
	}
	waiting := dial(t, addr) // no process accepts now; this client must not be lost
	stop, ended = second.serve(secondListener)
	defer stop()
	if status, ends := getHealth(t, waiting); status != http.StatusOK || ends {
		t.Errorf("the second process: %d, ends %v", status, ends)
	}
	second.offerHandover()
	third := newProcess(t, addr)
	if last, err := third.openServer(); err != nil || third.bootstrap.KnownWorkers == nil {
		t.Errorf("the third process: %v", err)
	} else {
		last.Close()
	}
	stop()
	waiting.Close()
	<-ended
}

// A predecessor without a usable handover must not prevent a process from starting.
func TestAProcessStartsWithoutAHandover(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	first := newProcess(t, "127.0.0.1:0")
	at, err := first.openServer()
	if err != nil {
		t.Fatal(err)
	}
	defer at.Close()
	second := newProcess(t, at.Addr().String())
	beside, err := second.openServer()
	if err != nil {
		t.Fatal(err)
	}
	beside.Close()
}

// A process of another deployment starts at the same address and under the same name. It must get no
// handover and must not listen there, and the first process must not be affected. Such a process once got
// the listening socket, workers and ids, and served the clients by other settings.
func TestAnotherDeploymentGetsNoHandover(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	addr := freeAddr(t)
	first := newProcess(t, addr)
	at, err := first.openServer()
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := first.serve(at)
	defer stop()
	first.offerHandover()
	other := newProcess(t, addr)
	other.bootstrap.Settings = config.Flatten(map[string]any{"categories": []any{map[string]any{"name": "pay", "ttlNs": 3e9}}})
	if at, err := other.openServer(); err == nil {
		at.Close()
		t.Error("it listens at the address of another deployment")
	}
	if other.bootstrap.KnownWorkers != nil {
		t.Errorf("it knows the workers of another deployment: %s", other.bootstrap.KnownWorkers)
	}
	if first.server.HasSuccessor() {
		t.Error("the first process has it as its successor")
	}
	for range 5 {
		if status, ends := getHealth(t, dial(t, addr)); status != http.StatusOK || ends {
			t.Errorf("%d, ends %v", status, ends)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
