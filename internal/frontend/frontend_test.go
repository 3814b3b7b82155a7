package frontend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
)

// startScheduler starts a scheduler with one worker. It returns its address, a function that stops it as
// SIGTERM does, and a channel that gets the result of Serve.
func startScheduler(t *testing.T, work http.HandlerFunc) (addr string, stop func(), ended chan error) {
	return startSchedulerBehind(t, work, func(l net.Listener) net.Listener { return l })
}

// testBootstrap returns a bootstrap configuration without settings, and starts a discovery emulator that
// sends the given endpoint list and nothing after it.
func testBootstrap(t *testing.T, known string) *config.Bootstrap {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, known)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections() // Close would wait for the scheduler's end
		discovery.Close()
	})
	return &config.Bootstrap{Discovery: discovery.Listener.Addr().String(), KnownWorkers: json.RawMessage(known),
		Limits: config.Limits{Cores: 1, MemoryMB: 64, Descriptors: 256}}
}

// oneWorkerList returns a snapshot of discovery with one worker.
func oneWorkerList(addr string) string {
	return fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, addr)
}

// category returns a category in the form of the settings; its times are in ns.
func category(name, effect string, ttl, targetLatency float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "ttlNs": ttl, "targetLatencyNs": targetLatency}
}

// startSchedulerBehind is startScheduler with a wrapper around the scheduler's listener.
func startSchedulerBehind(
	t *testing.T, work http.HandlerFunc, wrap func(net.Listener) net.Listener,
) (addr string, stop func(), ended chan error) {
	worker := httptest.NewServer(work)
	t.Cleanup(worker.Close)
	known := oneWorkerList(worker.Listener.Addr().String())
	bootstrap := testBootstrap(t, known)
	bootstrap.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0, "cancel": true},
		"categories": []any{category("look", "fragile", 3e8, 2e8)}})
	server, err := New(bootstrap, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- server.Serve(ctx, wrap(l), time.Second) }()
	t.Cleanup(stop)
	return l.Addr().String(), stop, ended
}

// serveUntil runs a scheduler until stop is called, and returns its address.
func serveUntil(t *testing.T, server *Server) (addr string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go server.Serve(ctx, l, time.Second)
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// post sends an op; headers given as "name: value" override the default ones.
func post(t *testing.T, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range append([]string{idHeader + ": a1", categoryHeader + ": look", timeLeftHeader + ": 20000"},
		headers...) {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

func writeDone(w http.ResponseWriter, id string) {
	fmt.Fprintf(w, `{"id":%q,"state":"done","result":"made for %s"}`+"\n", id, id)
}

// A worker must receive an op once, and with its request target and headers unchanged. httputil.ReverseProxy
// drops query parameters that it can't parse, and http.Transport resends a request with an Idempotency-Key
// when its connection breaks.
func TestAnOpIsPushedOnceAndUnchanged(t *testing.T) {
	received := make(chan string, 9)
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		received <- r.RequestURI + " " + r.Header.Get("Idempotency-Key") + " " + r.Header.Get(idHeader) + " " +
			string(b)
		if r.Header.Get(idHeader) == "a2" {
			panic(http.ErrAbortHandler)
		}
		writeDone(w, r.Header.Get(idHeader))
	})
	resp, text := post(t, addr+"/api/%41?sid=a;b&x=%zz", "the body", "Idempotency-Key: k")
	if resp.StatusCode != http.StatusOK || text != "made for a1" {
		t.Errorf("%s: %q", resp.Status, text)
	}
	resp, _ = post(t, addr+"/api", "", "Idempotency-Key: k", idHeader+": a2")
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("an at-most-once op whose connection broke: %s", resp.Status)
	}
	if got := <-received; got != "/api/%41?sid=a;b&x=%zz k a1 the body" || len(received) != 1 {
		t.Errorf("the worker received %q, and %d more", got, len(received))
	}
}

func TestAnInvalidRequestIsRejectedWithItsStatus(t *testing.T) {
	addr, _, _ := startScheduler(t, func(http.ResponseWriter, *http.Request) { t.Error("the worker got a request") })
	for header, want := range map[string]int{
		idHeader + ": ": 400, categoryHeader + ": ": 400, categoryHeader + ": other": 400,
		timeLeftHeader + ": ": 400, timeLeftHeader + ": 1e3": 400, timeLeftHeader + ": 0": 503,
		timeLeftHeader + ": -5": 503, factsHeader + ": slots=NaN": 400, factsHeader + ": memory=-1": 400,
		workHeader + ": much": 400,
	} {
		if resp, text := post(t, addr+"/api", "", header); resp.StatusCode != want || text == "" {
			t.Errorf("%s: %s %q", header, resp.Status, text)
		}
	}
	if resp, _ := post(t, addr+"/api", strings.Repeat("x", maxBodyBytes+1)); resp.StatusCode != 413 {
		t.Errorf("a large body: %s", resp.Status)
	}
	if resp, err := http.Get("http://" + addr + "/api"); err != nil || resp.StatusCode != 405 {
		t.Errorf("GET: %v, %v", resp, err)
	}
}

// After a request whose end is ambiguous, the connection must be closed and neither the request nor what
// follows may be pushed. Formerly a request with a Content-Length and chunks was pushed to a worker, and so
// was another request hidden in its body (request smuggling).
func TestNothingIsReadAfterARequestWithAmbiguousFraming(t *testing.T) {
	addr, _, _ := startScheduler(t, func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s was pushed to the worker", r.Header.Get(idHeader))
	})
	head := "POST / HTTP/1.1\r\nHost: x\r\n" + categoryHeader + ": look\r\n" + timeLeftHeader + ": 9000\r\n"
	hidden := head + idHeader + ": hidden\r\nContent-Length: 0\r\n\r\n"
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(hidden)+5),
		fmt.Sprintf("Transfer-Encoding: chunked\r\ncontent-LENGTH:%d\r\n\r\n0\r\n\r\n", len(hidden)+5),
		fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(hidden)),
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes+1),
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, head+idHeader+": outer\r\n"+framing+hidden)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		text, err := io.ReadAll(c)
		rejected := strings.Count(string(text), "HTTP/1.1 4") + strings.Count(string(text), "HTTP/1.1 501")
		if err != nil || rejected != 1 || strings.Count(string(text), "HTTP/1.1 ") != 1 || !strings.Contains(string(text), "close") {
			t.Errorf("%q: %q, %v", framing, text, err)
		}
	}
}

// Ops in chunks must be served, also when they are pipelined. An op that has a Content-Length too must be
// rejected with 411, and its connection must be closed. Formerly all ops in chunks were rejected with 411.
func TestAChunkedOpIsServed(t *testing.T) {
	bodies := make(chan string, 9)
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- r.Header.Get("Content-Length") + string(b)
		writeDone(w, r.Header.Get(idHeader))
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-LengthX: 3\r\n" + categoryHeader + ": look\r\n" + timeLeftHeader +
		": 9000\r\nTransfer-Encoding: chunked\r\n" + idHeader + ": "
	answers := bufio.NewReader(c)
	expectStatus := func(want int) {
		t.Helper()
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("%v, %v, want %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
	}
	for k, id := range []string{"p1", "p2"} {
		for _, b := range []byte(head + id + "\r\n\r\n5\r\nthe b\r\n3\r\nody\r\n0\r\n\r\n") {
			c.Write([]byte{b})
		}
		if expectStatus(200); <-bodies != "8the body" {
			t.Errorf("the worker received op %d with another body", k)
		}
	}
	both := strings.Replace(head, "Content-LengthX", "Content-Length", 1)
	fmt.Fprint(c, head+"p3\r\n\r\n0\r\n\r\n"+head+"p4\r\n\r\n1\r\nb\r\n0\r\n\r\n"+both+"p5\r\n\r\n0\r\n\r\n"+head+"p6\r\n\r\n0\r\n\r\n")
	expectStatus(200)
	expectStatus(200)
	expectStatus(411)
	if <-bodies != "0" || <-bodies != "1b" || len(bodies) > 0 {
		t.Error("a request with a Content-Length and chunks was pushed, or the request after it")
	}
}

// A push for a client that has disconnected occupies a descriptor for nothing, so it must be cancelled.
func TestAPushIsCancelledWhenItsClientDisconnects(t *testing.T) {
	started, ended := make(chan bool, 1), make(chan bool, 1)
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		started <- true
		<-r.Context().Done()
		ended <- true
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%s: a\r\n%s: look\r\n%s: 9000\r\n\r\n",
		idHeader, categoryHeader, timeLeftHeader)
	<-started
	c.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the push is still in flight")
	}
}

// A scheduler that is stopped must answer every admitted op, and must then end in time. If it ends earlier,
// or is killed because it takes too long, ops are lost.
func TestAShutdownAnswersEveryOpAndEnds(t *testing.T) {
	started := make(chan bool, 1)
	addr, stop, ended := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		if io.Copy(io.Discard, r.Body); r.Header.Get(idHeader) == "silent" {
			started <- true
			<-r.Context().Done()
			return
		}
		writeDone(w, r.Header.Get(idHeader))
	})
	status := make(chan int, 1)
	go func() {
		resp, _ := post(t, addr+"/api", "", idHeader+": silent")
		status <- resp.StatusCode
	}()
	<-started
	stoppedAt := time.Now()
	stop()
	time.Sleep(100 * time.Millisecond)
	// Connections must stay open at first: the other schedulers may still be down, and the clients would then
	// have no scheduler.
	if resp, text := post(t, addr+"/api", ""); resp.StatusCode != 200 || resp.Close || text != "made for a1" {
		t.Errorf("soon after the stop: %s, close %v", resp.Status, resp.Close)
	}
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("the op that the worker did not answer: %d", got)
	}
	if err := <-ended; err != nil || time.Since(stoppedAt) > 10*time.Second {
		t.Errorf("ended after %v: %v", time.Since(stoppedAt), err)
	}
}

// An op must be answered by its TTL even if its worker never answers.
func TestAnOpIsAnsweredByItsTTLWhenItsWorkerIsSilent(t *testing.T) {
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	if resp, _ := post(t, addr+"/api", "", timeLeftHeader+": 200"); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("an at-most-once op that may have run: %s", resp.Status)
	}
}

// During a flood of connections that send nothing, connections that have served ops must stay open, and
// silent connections must be closed soon. Formerly ops of other clients were rejected, and with a header
// timeout of 10 s the flood lasted.
func TestAFloodOfSilentConnectionsDisplacesNoClientInUse(t *testing.T) {
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) { writeDone(w, r.Header.Get(idHeader)) })
	client := http.Client{}
	// ask sends an op and returns the local address of the connection that it used.
	ask := func(id string) string {
		r, _ := http.NewRequest(http.MethodPost, "http://"+addr, strings.NewReader("x"))
		r.Header = http.Header{idHeader: {id}, categoryHeader: {"look"}, timeLeftHeader: {"9000"}}
		local := ""
		trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { local = i.Conn.LocalAddr().String() }}
		resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(context.Background(), trace)))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %s", id, resp.Status)
		}
		return local
	}
	first, floodedAt := ask("before"), time.Now()
	var silent []net.Conn
	for range 300 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	if ask("kept") != first {
		t.Error("the flood displaced a connection that had served")
	}
	open := 0
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	// Silent connections are closed above the soft client limit, which is about 30% of the unreserved
	// descriptors. A third of all 256 descriptors leaves a margin.
	if open > 256/3 {
		t.Errorf("%d connections of the flood are still open", open)
	}
	client.CloseIdleConnections()
	ask("new")
	for _, c := range silent {
		c.SetReadDeadline(floodedAt.Add(3 * time.Second))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a silent connection is still open")
		}
	}
}

// The connection of a request whose head or body is never completed must be closed after a timeout. Formerly
// such a request kept its connection open without limit.
func TestAnIncompleteRequestTimesOut(t *testing.T) {
	addr, _, _ := startScheduler(t, func(http.ResponseWriter, *http.Request) { t.Error("the worker got a request") })
	for _, half := range []string{"POST / HT", "POST / HTTP/1.1\r\nHost: x\r\n" + idHeader + ": a\r\n" + categoryHeader +
		": look\r\n" + timeLeftHeader + ": 60000\r\nContent-Length: 60\r\n\r\nx"} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, half)
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := io.ReadAll(c); err != nil {
			t.Errorf("%q: %v", half, err)
		}
	}
}
