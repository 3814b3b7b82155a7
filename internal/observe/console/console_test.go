package console

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/testsupport/fragmentpeer"
)

type fakeScheduler struct {
	ready chan struct{}
	calls chan string
}

func (s *fakeScheduler) Ready() <-chan struct{}   { return s.ready }
func (s *fakeScheduler) Metrics() metrics.Metrics { return metrics.Metrics{OpsInFlight: 14} }

func (s *fakeScheduler) DrainClients()   { s.calls <- "evacuate" }
func (s *fakeScheduler) ReadmitClients() { s.calls <- "rejoin" }

func serve(t *testing.T, s Scheduler) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	Serve(l, s, zerolog.Nop())
	return l.Addr().String()
}

func call(t *testing.T, addr, method, path string) (status int, text string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, path)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := io.ReadAll(c) // until the close: a connection has one request
	if err != nil {
		t.Fatalf("%s %s: %v after %q", method, path, err, response)
	}
	head, text, _ := strings.Cut(string(response), "\r\n\r\n")
	if _, err := fmt.Sscanf(head, "HTTP/1.1 %d", &status); err != nil {
		t.Fatalf("%q: %v", head, err)
	}
	return status, text
}

// A request with a wrong path or method must get an error status, since a tool may treat any other answer as
// success.
func TestWrongPathsAndMethodsAreRejected(t *testing.T) {
	s := &fakeScheduler{make(chan struct{}), make(chan string, 9)}
	addr := serve(t, s)
	if status, _ := call(t, addr, "GET", "/api/ready"); status != http.StatusServiceUnavailable {
		t.Errorf("not ready yet: %d", status)
	}
	close(s.ready)
	for _, c := range []struct {
		method, path string
		want         int
	}{{"GET", "/api/ready", 200}, {"POST", "/api/ready", 405}, {"GET", "/api/telemetry", 200}, {"GET", "/", 404},
		{"GET", "/api/readyx", 404}, {"POST", "/api/telemetry", 405}, {"GET", "/api/evacuate", 405},
		{"GET", "/api/rejoin", 405}, {"POST", "/api/evacuate", 200}, {"POST", "/api/rejoin", 200}} {
		if status, _ := call(t, addr, c.method, c.path); status != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, status, c.want)
		}
	}
	if len(s.calls) != 2 || <-s.calls != "evacuate" || <-s.calls != "rejoin" {
		t.Error("DrainClients and then ReadmitClients were not called once each")
	}
	if _, text := call(t, addr, "GET", "/api/telemetry"); !strings.Contains(text, `"in_flight":14,"workers_known":0`) {
		t.Errorf("metrics %q", text)
	}
}

// Connections whose requests are incomplete must not keep other callers out: the console closes idle
// connections for new ones.
func TestIncompleteRequestsDoNotBlockOtherCallers(t *testing.T) {
	s := &fakeScheduler{make(chan struct{}), make(chan string, 9)}
	close(s.ready)
	addr := serve(t, s)
	for range 4 * maxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /api/re")
	}
	start := time.Now()
	if status, _ := call(t, addr, "GET", "/api/ready"); status != http.StatusOK || time.Since(start) > callTimeout/2 {
		t.Errorf("status %d after %v", status, time.Since(start))
	}
}

// A request that arrives in fragments is carried out once. A truncated request is not carried out, and later
// requests are still answered.
func TestFragmentedRequestsAreAnsweredAndTruncatedOnesAreNot(t *testing.T) {
	s := &fakeScheduler{make(chan struct{}), make(chan string, 999)}
	addr := serve(t, s)
	const request = "POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	send := func(script fragmentpeer.Script) string {
		c := fragmentpeer.Dial(t, addr)
		defer c.Close()
		script.Write(c)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		text, _ := io.ReadAll(c)
		return string(text)
	}
	for n, script := range fragmentpeer.CompleteScripts(request) {
		if text := send(script); !strings.HasPrefix(text, "HTTP/1.1 200") || len(s.calls) != n+1 {
			t.Errorf("%s: %q, %d calls", script.Name, text, len(s.calls))
		}
	}
	completed := len(s.calls)
	for _, script := range fragmentpeer.TruncatedScripts(request) {
		if text := send(script); strings.HasPrefix(text, "HTTP/1.1 2") {
			t.Errorf("%s: %q", script.Name, text)
		}
	}
	if len(s.calls) != completed {
		t.Errorf("%d truncated requests were carried out", len(s.calls)-completed)
	}
	if text := send(fragmentpeer.Script{Parts: []string{"GET /api/ready\r\n\r\n"}}); !strings.HasPrefix(text, "HTTP/1.1 400") {
		t.Errorf("malformed head: %q", text)
	}
}
