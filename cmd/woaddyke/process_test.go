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

// discoveryOf is a stand-in that tells of the workers known and then no more.
func discoveryOf(t *testing.T, known string) (addr string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, known)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// replaceable is a process with a stand-in discovery that knows no worker.
func replaceable(t *testing.T, listen string) *process {
	return &process{log: zerolog.Nop(), bootstrap: &config.Bootstrap{Listen: listen, Console: "127.0.0.1:0",
		Discovery: discoveryOf(t, `{"rev":7,"all":true,"targets":[]}`), Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 256},
		Settings: config.Flatten(map[string]any{"categories": []any{map[string]any{"name": "look", "ttlNs": 3e9}}})}}
}

// start serves until the context that stop ends; ended tells what Serve said.
func (p *process) start(at net.Listener) (stop func(), ended chan error) {
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- p.server.Serve(ctx, at, 3*time.Second) }()
	return stop, ended
}

// health asks on a connection and tells whether the answer ends it.
func health(t *testing.T, c net.Conn) (status int, ends bool) {
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

// freeAddr is an address that nobody listens at. One that the machine gives out would be free for another test's process too, as soon as it is
// closed here; processes that may be replaced even share it without a word.
func freeAddr(t *testing.T) string {
	t.Helper()
	return ownAddr()
}

// The second process could not listen and ended, and the first one had sent its clients away: jobs were lost at the door.
func TestAProcessIsReplacedAndNobodyIsTurnedAway(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	addr := freeAddr(t)
	first, log := replaceable(t, addr), &lines{}
	first.log = zerolog.New(log)
	at, err := first.openServer()
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := first.start(at)
	defer stop()
	first.offerHandover()
	kept := dial(t, addr)
	if status, ends := health(t, kept); status != http.StatusOK || ends {
		t.Fatalf("the first process: %d, ends %v", status, ends)
	}

	second := replaceable(t, addr)
	heirs, err := second.openServer()
	if err != nil {
		t.Fatal(err)
	}
	var known struct{ Rev int }
	if err := json.Unmarshal(second.bootstrap.KnownWorkers, &known); err != nil || known.Rev != 7 {
		t.Errorf("the list that came: %s, %v", second.bootstrap.KnownWorkers, err)
	}
	stop()
	await(t, "it has noted that it is to end", log, func() bool { return strings.Contains(log.String(), `"message":"stopping"`) })
	if status, ends := health(t, kept); status != http.StatusOK || !ends {
		t.Errorf("on the connection from before: %d, ends %v; it must move and the front must not be told to", status, ends)
	}
	kept.Close()
	if err := <-ended; err != nil {
		t.Errorf("the first process: %v", err)
	}
	waits := dial(t, addr) // nobody accepts now, and nothing may be lost
	stop, ended = second.start(heirs)
	defer stop()
	if status, ends := health(t, waits); status != http.StatusOK || ends {
		t.Errorf("the second process: %d, ends %v", status, ends)
	}
	second.offerHandover()
	third := replaceable(t, addr)
	if last, err := third.openServer(); err != nil || third.bootstrap.KnownWorkers == nil {
		t.Errorf("the third process: %v", err)
	} else {
		last.Close()
	}
	stop()
	waits.Close()
	<-ended
}

// A process that hands over what the next one can't use must not keep that one from starting.
func TestWithoutALegacyAProcessListensBesideTheOther(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	first := replaceable(t, "127.0.0.1:0")
	at, err := first.openServer()
	if err != nil {
		t.Fatal(err)
	}
	defer at.Close()
	second := replaceable(t, at.Addr().String())
	beside, err := second.openServer()
	if err != nil {
		t.Fatal(err)
	}
	beside.Close()
}

// A process of another deployment at the same address, under the same name, was given the listening socket, workers and ids of the one
// that serves there, and served its clients by other settings. It must get nothing and serve nobody there, and the other must not notice.
func TestAnotherDeploymentsProcessTakesNothing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	addr := freeAddr(t)
	first := replaceable(t, addr)
	at, err := first.openServer()
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := first.start(at)
	defer stop()
	first.offerHandover()
	other := replaceable(t, addr)
	other.bootstrap.Settings = config.Flatten(map[string]any{"categories": []any{map[string]any{"name": "pay", "ttlNs": 3e9}}})
	if at, err := other.openServer(); err == nil {
		at.Close()
		t.Error("it listens where another's clients come")
	}
	if other.bootstrap.KnownWorkers != nil {
		t.Errorf("it knows another's workers: %s", other.bootstrap.KnownWorkers)
	}
	if first.server.HasSuccessor() {
		t.Error("the one that serves takes it for its heir")
	}
	for range 5 {
		if status, ends := health(t, dial(t, addr)); status != http.StatusOK || ends {
			t.Errorf("%d, ends %v", status, ends)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
