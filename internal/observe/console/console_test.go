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

type scheduler struct {
	ready chan struct{}
	calls chan string
}

func (s *scheduler) Ready() <-chan struct{}   { return s.ready }
func (s *scheduler) Metrics() metrics.Metrics { return metrics.Metrics{OpsInFlight: 14} }

func (s *scheduler) DrainClients()   { s.calls <- "evacuate" }
func (s *scheduler) ReadmitClients() { s.calls <- "rejoin" }

func serve(t *testing.T, of Scheduler) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	Serve(l, of, zerolog.Nop())
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
	whole, err := io.ReadAll(c) // to its end: a connection has one call
	if err != nil {
		t.Fatalf("%s %s: %v after %q", method, path, err, whole)
	}
	head, text, _ := strings.Cut(string(whole), "\r\n\r\n")
	if _, err := fmt.Sscanf(head, "HTTP/1.1 %d", &status); err != nil {
		t.Fatalf("%q: %v", head, err)
	}
	return status, text
}

// A tool that takes any answer for a yes must not find one at a wrong path or by a wrong method.
func TestOnlyACallThatIsOneGetsAYes(t *testing.T) {
	of := &scheduler{make(chan struct{}), make(chan string, 9)}
	addr := serve(t, of)
	if status, _ := call(t, addr, "GET", "/api/ready"); status != http.StatusServiceUnavailable {
		t.Errorf("not ready yet: %d", status)
	}
	close(of.ready)
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
	if len(of.calls) != 2 || <-of.calls != "evacuate" || <-of.calls != "rejoin" {
		t.Error("it was not called to evacuate and then to rejoin")
	}
	if _, text := call(t, addr, "GET", "/api/telemetry"); !strings.Contains(text, `"in_flight":14,"workers_known":0`) {
		t.Errorf("figures %q", text)
	}
}

// Callers that hold connections and say nothing kept the others out.
func TestCallersWhoSayNothingGiveWay(t *testing.T) {
	of := &scheduler{make(chan struct{}), make(chan string, 9)}
	close(of.ready)
	addr := serve(t, of)
	for range 4 * maxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /api/re")
	}
	began := time.Now()
	if status, _ := call(t, addr, "GET", "/api/ready"); status != http.StatusOK || time.Since(began) > callTimeout/2 {
		t.Errorf("%d after %v", status, time.Since(began))
	}
}

// A call in pieces is that call; one that is cut off is none, and leaves the others theirs.
func TestCallsInPiecesAreTheSame(t *testing.T) {
	of := &scheduler{make(chan struct{}), make(chan string, 999)}
	addr := serve(t, of)
	const whole = "POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	send := func(way fragmentpeer.Way) string {
		c := fragmentpeer.Dial(t, addr)
		defer c.Close()
		way.Write(c)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		text, _ := io.ReadAll(c)
		return string(text)
	}
	for n, way := range fragmentpeer.Whole(whole) {
		if text := send(way); !strings.HasPrefix(text, "HTTP/1.1 200") || len(of.calls) != n+1 {
			t.Errorf("%s: %q, %d calls", way.Name, text, len(of.calls))
		}
	}
	called := len(of.calls)
	for _, way := range fragmentpeer.Cuts(whole) {
		if text := send(way); strings.HasPrefix(text, "HTTP/1.1 2") {
			t.Errorf("%s: %q", way.Name, text)
		}
	}
	if len(of.calls) != called {
		t.Errorf("%d calls that were never whole were carried out", len(of.calls)-called)
	}
	if text := send(fragmentpeer.Way{Parts: []string{"GET /api/ready\r\n\r\n"}}); !strings.HasPrefix(text, "HTTP/1.1 400") {
		t.Errorf("a head that can't be read: %q", text)
	}
}
