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

// startScheduler starts a scheduler with one worker, and returns its address and what stops it as SIGTERM
// does.
func startScheduler(t *testing.T, work http.HandlerFunc) (addr string, stop func(), ended chan error) {
	return startSchedulerBehind(t, work, func(l net.Listener) net.Listener { return l })
}

// testBootstrap is a sheet without settings, beside a stand-in discovery that tells of the workers known
// and then no more.
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
		Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 256}}
}

// oneWorkerList is discovery's complete list of one worker.
func oneWorkerList(addr string) string {
	return fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`, addr)
}

// category is a category as the settings have it; its times are in ns.
func category(name, effect string, ttl, targetLatency float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "ttlNs": ttl, "targetLatencyNs": targetLatency}
}

// startSchedulerBehind puts something before the scheduler's listener.
func startSchedulerBehind(
	t *testing.T, work http.HandlerFunc, before func(net.Listener) net.Listener,
) (addr string, stop func(), ended chan error) {
	worker := httptest.NewServer(work)
	t.Cleanup(worker.Close)
	known := oneWorkerList(worker.Listener.Addr().String())
	sheet := testBootstrap(t, known)
	sheet.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0, "cancel": true},
		"categories": []any{category("look", "fragile", 3e8, 2e8)}})
	f, err := New(sheet, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- f.Serve(ctx, before(l), time.Second) }()
	t.Cleanup(stop)
	return l.Addr().String(), stop, ended
}

// serveUntil serves at an address until it is told to stop.
func serveUntil(t *testing.T, f *Server) (addr string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go f.Serve(ctx, l, time.Second)
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// post sends an op; headers given as "name: value" stand over the usual ones.
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

// The proxy drops parameters that it can't parse, and the standard transport sends a keyed request again when
// its connection breaks.
func TestAnOpGoesToTheWorkerOnceAndAsItCame(t *testing.T) {
	seen := make(chan string, 9)
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		seen <- r.RequestURI + " " + r.Header.Get("Idempotency-Key") + " " + r.Header.Get(idHeader) + " " +
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
	if got := <-seen; got != "/api/%41?sid=a;b&x=%zz k a1 the body" || len(seen) != 1 {
		t.Errorf("the worker saw %q, and %d more", got, len(seen))
	}
}

func TestWhatIsNoOpIsAnsweredPlainly(t *testing.T) {
	addr, _, _ := startScheduler(t, func(http.ResponseWriter, *http.Request) { t.Error("it went to the worker") })
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

// A request with both framings went on to a worker, and so did another that stood in its body.
func TestNothingIsReadBehindARequestOfDoubtfulLength(t *testing.T) {
	addr, _, _ := startScheduler(t, func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s went to the worker", r.Header.Get(idHeader))
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
		refused := strings.Count(string(text), "HTTP/1.1 4") + strings.Count(string(text), "HTTP/1.1 501")
		if err != nil || refused != 1 || strings.Count(string(text), "HTTP/1.1 ") != 1 || !strings.Contains(string(text), "close") {
			t.Errorf("%q: %q, %v", framing, text, err)
		}
	}
}

// Clients that write in pieces were told 411, and a second request whose head came with the first one's
// body can't be vouched for.
func TestAnOpInChunksIsServed(t *testing.T) {
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
	answered := func(want int) {
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
		if answered(200); <-bodies != "8the body" {
			t.Errorf("op %d came otherwise", k)
		}
	}
	both := strings.Replace(head, "Content-LengthX", "Content-Length", 1)
	fmt.Fprint(c, head+"p3\r\n\r\n0\r\n\r\n"+head+"p4\r\n\r\n1\r\nb\r\n0\r\n\r\n"+both+"p5\r\n\r\n0\r\n\r\n"+head+"p6\r\n\r\n0\r\n\r\n")
	answered(200)
	answered(200)
	answered(411)
	if <-bodies != "0" || <-bodies != "1b" || len(bodies) > 0 {
		t.Error("a request that has a length beside its chunks went on, or what came behind it")
	}
}

// A push for a client that has gone holds a descriptor for nothing.
func TestAClientThatLeavesEndsItsPush(t *testing.T) {
	began, ended := make(chan bool, 1), make(chan bool, 1)
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		began <- true
		<-r.Context().Done()
		ended <- true
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%s: a\r\n%s: look\r\n%s: 9000\r\n\r\n",
		idHeader, categoryHeader, timeLeftHeader)
	<-began
	c.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the push is still out")
	}
}

// A process that ends with ops unanswered has lost them, and one that lingers is killed with them.
func TestAStopAnswersAllAndEnds(t *testing.T) {
	began := make(chan bool, 1)
	addr, stop, ended := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		if io.Copy(io.Discard, r.Body); r.Header.Get(idHeader) == "silent" {
			began <- true
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
	<-began
	from := time.Now()
	stop()
	time.Sleep(100 * time.Millisecond)
	// The others may be down still: clients that found their connections closed had no scheduler at all.
	if resp, text := post(t, addr+"/api", ""); resp.StatusCode != 200 || resp.Close || text != "made for a1" {
		t.Errorf("soon after the word to stop: %s, close %v", resp.Status, resp.Close)
	}
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("the op that a worker was silent on: %d", got)
	}
	if err := <-ended; err != nil || time.Since(from) > 10*time.Second {
		t.Errorf("ended after %v: %v", time.Since(from), err)
	}
}

// A worker that says nothing must not cost the op its answer.
func TestASilentWorkerDoesNotOutlastTheTTL(t *testing.T) {
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	if resp, _ := post(t, addr+"/api", "", timeLeftHeader+": 200"); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("an at-most-once op that may have run: %s", resp.Status)
	}
}

// A flood of connections that say nothing had ops of usual clients turned away, and 10 s for a head let
// it stay.
func TestAFloodTakesItsRoomFromItself(t *testing.T) {
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) { writeDone(w, r.Header.Get(idHeader)) })
	usual := http.Client{}
	ask := func(id string) string {
		r, _ := http.NewRequest(http.MethodPost, "http://"+addr, strings.NewReader("x"))
		r.Header = http.Header{idHeader: {id}, categoryHeader: {"look"}, timeLeftHeader: {"9000"}}
		local := ""
		trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { local = i.Conn.LocalAddr().String() }}
		resp, err := usual.Do(r.WithContext(httptrace.WithClientTrace(context.Background(), trace)))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %s", id, resp.Status)
		}
		return local
	}
	first, came := ask("before"), time.Now()
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
		t.Error("the flood took a connection that had served")
	}
	open := 0
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if open > 256/3 { // clients open no more than a third of the descriptors: those with ops had none left
		t.Errorf("%d of the flood may stay", open)
	}
	usual.CloseIdleConnections()
	ask("new")
	for _, c := range silent {
		c.SetReadDeadline(came.Add(3 * time.Second))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a silent connection is still open")
		}
	}
}

// A body that was claimed and never came held its client as long as the client liked.
func TestHalfARequestIsAnsweredSoon(t *testing.T) {
	addr, _, _ := startScheduler(t, func(http.ResponseWriter, *http.Request) { t.Error("it went to the worker") })
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
