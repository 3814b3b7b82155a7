package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/syscallfault"
)

// TestMain lets the test program run as the command itself, for tests of real processes, and as the
// launcher of processes whose system calls fail.
func TestMain(m *testing.M) {
	syscallfault.Launch()
	if os.Getenv("WOADDYKE_TEST_SERVES") != "" {
		main()
		return
	}
	code := m.Run()
	os.RemoveAll(steppedBuildDir)
	os.Exit(code)
}

// restartsUnderLoad returns the number of hot restarts, 3 by default. For longer runs than in CI:
// UPGRADES=20.
func restartsUnderLoad() int {
	if n, err := strconv.Atoi(os.Getenv("UPGRADES")); err == nil {
		return n
	}
	return 3
}

// runCounter is a worker that counts how often each complete op arrived.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		fmt.Fprintln(w, `{"waiting":0,"running":0}`)
		return
	}
	io.Copy(io.Discard, req.Body)
	id := req.Header.Get("X-Correlation-Id")
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	time.Sleep(5 * time.Millisecond) // the time of a job
	fmt.Fprintf(w, `{"id":%q,"state":"done","result":%q}`+"\n", id, id)
}

// count returns how often an op arrived.
func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// testProcess is a running process, its console address and its log.
type testProcess struct {
	cmd     *exec.Cmd
	console string
	log     *logBuffer
}

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func startProcess(t *testing.T, dir, listen, discovery string, n int) testProcess {
	t.Helper()
	return startProcessWith(t, dir, listen, discovery, n, 256, map[string]any{
		"bounds":     map[string]any{"maxPushes": 3, "probes": true, "cancel": true, "connectTimeoutNs": 2e8},
		"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
		"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 5e9, "targetLatencyNs": 5e9}}})
}

// startProcessWith starts a process with given settings and a number of descriptors.
func startProcessWith(t *testing.T, dir, listen, discovery string, n, sockets int, settings map[string]any) testProcess {
	t.Helper()
	return startProgram(t, dir, listen, discovery, n, sockets, settings, testCommand, (*exec.Cmd).Start)
}

// shortTempDir returns a directory with a name that is short enough for a Unix socket in it. The name of
// t.TempDir contains the name of the test.
func shortTempDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "socket-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// paySettings returns settings with one at-most-once category of a given TTL, probes and cancels.
func paySettings(ttl time.Duration) map[string]any {
	return map[string]any{
		"bounds":     map[string]any{"maxPushes": 3, "probes": true, "cancel": true, "connectTimeoutNs": 2e8},
		"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
		"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": float64(ttl), "targetLatencyNs": float64(ttl)}}}
}

// startProgram starts a process of a given build by a given start function, and waits until it is ready.
func startProgram(t *testing.T, dir, listen, discovery string, n, sockets int, settings map[string]any,
	program func(args ...string) *exec.Cmd, start func(*exec.Cmd) error) testProcess {
	t.Helper()
	s := testProcess{console: uniqueAddr(), log: &logBuffer{}}
	path := filepath.Join(dir, fmt.Sprintf("%d.json", n))
	text, err := json.Marshal(map[string]any{"name": "n", "listen": listen, "console": s.console, "discovery": discovery, "seed": "7",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets}, "settings": settings})
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	s.cmd = program("serve", "--config", path)
	s.cmd.Env = append(s.cmd.Env, "TMPDIR="+dir)
	s.cmd.Stderr = s.log
	if err := start(s.cmd); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.cmd.Process.Kill() })
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + s.console + "/api/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return s
			}
		}
		if time.Now().After(until) {
			t.Fatalf("process %d is not ready: %s", n, s.log)
		}
	}
}

// sendOps sends ops one after another until stop is closed. It uses the previous connection again if that
// is still open.
func sendOps(listen, name string, stop <-chan struct{}, report func(id string, status int, err error)) {
	var c net.Conn
	var answers *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", name, n)
		for try := range 2 { // the server may close an idle connection while a request is sent: the op is sent again on a new one
			var err error
			fresh := c == nil
			if fresh {
				if c, err = net.Dial("tcp", listen); err != nil {
					report(id, 0, err)
					break
				}
				answers = bufio.NewReader(c)
			}
			c.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 5000\r\n"+
				"Content-Length: 0\r\n\r\n", id)
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				c.Close()
				if c = nil; !fresh && try == 0 {
					continue
				}
				report(id, 0, err)
				break
			}
			io.Copy(io.Discard, resp.Body)
			if resp.Close {
				c.Close()
				c = nil
			}
			report(id, resp.StatusCode, nil)
			break
		}
	}
}

// startWorkers starts three workers and their discovery, and returns a free address for clients.
func startWorkers(t *testing.T, runs *runCounter) (discovery, listen string) {
	known := `{"rev":1,"all":true,"targets":[`
	for i := range 3 {
		worker := httptest.NewServer(runs)
		t.Cleanup(worker.Close)
		known += fmt.Sprintf(`%s{"uid":"w%d","endpoint":%q,"state":"SERVING"}`, []string{"", ","}[min(i, 1)], i, worker.Listener.Addr())
	}
	return startDiscovery(t, known+"]}"), uniqueAddr()
}

// Under load, hot restarts must neither lose nor reject an op nor run one twice. The workers count the
// runs.
func TestHotRestartsUnderLoadLoseNoOp(t *testing.T) {
	runs := &runCounter{runs: map[string]int{}}
	discovery, listen := startWorkers(t, runs)
	dir := t.TempDir()
	p := startProcess(t, dir, listen, discovery, 0)
	var mu sync.Mutex
	acked, other := map[string]bool{}, 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			sendOps(listen, fmt.Sprint("c", i), stop, func(id string, status int, err error) {
				mu.Lock()
				defer mu.Unlock()
				if acked[id] = status == http.StatusOK; !acked[id] {
					other++
					t.Errorf("%s: status %d, %v", id, status, err)
				}
			})
		})
	}
	for n := range restartsUnderLoad() {
		before := p
		p = startProcess(t, dir, listen, discovery, n+1)
		if err := before.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := before.cmd.Wait(); err != nil {
			t.Errorf("process %d: %v, %s", n, err, before.log)
		}
	}
	close(stop)
	clients.Wait()
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the last process: %v, %s", err, p.log)
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	if len(acked) == 0 {
		t.Error("no op was served")
	}
	for id := range acked {
		if n := runs.runs[id]; n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	t.Logf("%d ops over %d upgrades", len(acked), restartsUnderLoad())
}

// A process must serve on when its successor dies, and its operator state must be handed over to the next
// successor. A process once ended together with its successor, or behaved as if it still had one, and the
// operator state was lost.
func TestServingGoesOnWhenASuccessorDies(t *testing.T) {
	runs := &runCounter{runs: map[string]int{}}
	discovery, listen := startWorkers(t, runs)
	dir, n := t.TempDir(), 0
	requireServed := func(want bool) {
		t.Helper()
		n++
		done, status := make(chan struct{}), 0
		sendOps(listen, fmt.Sprint("x", n), done, func(_ string, got int, _ error) {
			if status = got; got != 0 {
				close(done)
			} else {
				t.Fatal("no answer")
			}
		})
		if (status == http.StatusOK) != want {
			t.Errorf("an op is answered %d", status)
		}
	}
	requireHealth := func(want int) {
		t.Helper()
		resp, err := http.Get("http://" + listen + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != want {
			t.Errorf("health %d, want %d", resp.StatusCode, want)
		}
	}
	call := func(s testProcess, path string) {
		t.Helper()
		resp, err := http.Post("http://"+s.console+path, "", nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v, %v", path, resp, err)
		}
		resp.Body.Close()
	}
	first := startProcess(t, dir, listen, discovery, 0)
	requireServed(true)
	successor := startProcess(t, dir, listen, discovery, 1)
	first.cmd.Process.Signal(syscall.SIGHUP) // operators may reload while both run
	successor.cmd.Process.Kill()
	successor.cmd.Wait()
	for range 5 {
		requireServed(true)
	}
	requireHealth(http.StatusOK)
	var figures struct {
		ReloadsOK int `json:"reloads_ok"`
		Requests  map[string]struct{ Served int }
	}
	for until := time.Now().Add(10 * time.Second); figures.ReloadsOK == 0 && time.Now().Before(until); {
		resp, err := http.Get("http://" + first.console + "/api/telemetry")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&figures)
			resp.Body.Close()
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if figures.ReloadsOK != 1 || figures.Requests["pay"].Served < 5 {
		t.Errorf("metrics of the first process: %+v", figures)
	}
	call(first, "/api/evacuate")
	requireHealth(http.StatusServiceUnavailable)
	second := startProcess(t, dir, listen, discovery, 2)
	first.cmd.Process.Signal(syscall.SIGTERM)
	if err := first.cmd.Wait(); err != nil {
		t.Errorf("the first process: %v, %s", err, first.log)
	}
	requireHealth(http.StatusServiceUnavailable)
	call(second, "/api/rejoin")
	requireHealth(http.StatusOK)
	requireServed(true)
	second.cmd.Process.Signal(syscall.SIGTERM)
	if err := second.cmd.Wait(); err != nil {
		t.Errorf("the second process: %v, %s", err, second.log)
	}
}
