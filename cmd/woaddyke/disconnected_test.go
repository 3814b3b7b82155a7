package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slowWorker answers probes only after release is closed, and records the ids of the ops that it receives.
type slowWorker struct {
	mu       sync.Mutex
	probes   int // pending probes
	release  chan bool
	received []string
}

func (s *slowWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.addProbes(1)
		defer s.addProbes(-1)
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
		fmt.Fprintln(w, `{"waiting":0,"running":0}`)
		w.(http.Flusher).Flush() // the answer is in the socket before the probe counts as done
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	s.received = append(s.received, id)
	s.mu.Unlock()
	fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
}

func (s *slowWorker) addProbes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes += n
}

func (s *slowWorker) pendingProbes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

func awaitCondition(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: timed out", what)
		}
	}
}

// suspend stops a process with SIGSTOP and returns when the process is stopped. The process then behaves
// like one that gets no processor time.
func suspend(t *testing.T, p testProcess) {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	awaitCondition(t, "the process is stopped", func() bool {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err == nil && bytes.HasPrefix(b[bytes.LastIndexByte(b, ')')+1:], []byte(" T"))
	})
}

// disconnect shuts down the sending side of the clients, waits until the kernel of the server has
// acknowledged each shutdown, and closes the connections.
func disconnect(t *testing.T, clients []net.Conn) {
	t.Helper()
	for _, c := range clients {
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range clients {
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		awaitCondition(t, "the shutdown is acknowledged", func() bool {
			known := false
			raw.Control(func(fd uintptr) {
				info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
				known = err == nil && info.State == unix.BPF_TCP_FIN_WAIT2
			})
			return known
		})
		c.Close()
	}
}

func sendOp(t *testing.T, listen, id, framing string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 250000\r\n%s", id, framing)
	return c
}

// A process is stopped for a while. Meanwhile the answers to its probes arrive, its clients disconnect,
// further clients send complete requests and disconnect before they are accepted, and one client stays.
// When the process resumes, all of this is pending at the same time, on one core. Neither the process nor a
// successor, whose clients use the same socket, may push an op of a client that has disconnected.
func TestAStoppedProcessPushesNoAbandonedOp(t *testing.T) {
	const held, unread = 300, 100
	settings := map[string]any{
		"bounds":     map[string]any{"maxPushes": 3, "probes": true, "cancel": false, "connectTimeoutNs": 60e9},
		"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
		"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 300e9, "targetLatencyNs": 240e9}}}
	for _, successors := range []int{0, 1} {
		t.Run(fmt.Sprint("successors ", successors), func(t *testing.T) {
			t.Parallel()
			s := &slowWorker{release: make(chan bool)}
			worker := httptest.NewServer(s)
			t.Cleanup(func() {
				worker.CloseClientConnections()
				worker.Close()
			})
			discovery := startDiscovery(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
				worker.Listener.Addr()))
			dir, listen := t.TempDir(), freeAddr(t)
			all := []testProcess{startProcessWith(t, dir, listen, discovery, 0, 4096, settings)}
			var clients []net.Conn
			for k := range held {
				clients = append(clients, sendOp(t, listen, fmt.Sprint("held", k), "Content-Length: 0\r\n\r\n"))
			}
			awaitCondition(t, "all ops wait for their probes", func() bool { return s.pendingProbes() == held })
			for range successors {
				all = append(all, startProcessWith(t, dir, listen, discovery, 1, 4096, settings))
			}
			for _, p := range all {
				suspend(t, p)
			}
			close(s.release)
			awaitCondition(t, "the probes are answered", func() bool { return s.pendingProbes() == 0 })
			for k := range unread {
				clients = append(clients, sendOp(t, listen, fmt.Sprint("unread", k),
					[]string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nabc"}[k%2]))
			}
			disconnect(t, clients)
			answered := make(chan error, 1)
			go func() {
				r, err := http.NewRequest(http.MethodPost, "http://"+listen, nil)
				if err == nil {
					r.Header = http.Header{"X-Correlation-Id": {"stays"}, "X-Service-Class": {"pay"}, "X-Time-Left-Ms": {"20000"}}
					var resp *http.Response
					if resp, err = http.DefaultClient.Do(r); err == nil && resp.StatusCode != http.StatusOK {
						err = fmt.Errorf("%s", resp.Status)
					}
				}
				answered <- err
			}()
			if successors > 0 {
				all[0].cmd.Process.Signal(syscall.SIGTERM)
			}
			for _, p := range all {
				p.cmd.Process.Signal(syscall.SIGCONT)
			}
			if err := <-answered; err != nil {
				t.Errorf("the op of a client that stays: %v", err)
			}
			for _, p := range all { // a process ends after all its ops
				p.cmd.Process.Signal(syscall.SIGTERM)
				if err := p.cmd.Wait(); err != nil {
					t.Errorf("%v: %s", err, p.log)
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if got := strings.Join(s.received, " "); got != "stays" {
				t.Errorf("pushed: %s", got)
			}
		})
	}
}
