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

// slow is a stand-in worker that answers probes only when let, and keeps the ids of the ops that came.
type slow struct {
	mu     sync.Mutex
	probes int // that wait for their answer
	let    chan bool
	came   []string
}

func (s *slow) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.count(1)
		defer s.count(-1)
		select {
		case <-s.let:
		case <-r.Context().Done():
		}
		fmt.Fprintln(w, `{"waiting":0,"running":0}`)
		w.(http.Flusher).Flush() // it lies before the process once this one is counted off
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	s.came = append(s.came, id)
	s.mu.Unlock()
	fmt.Fprintf(w, `{"id":%q,"state":"done","result":"x"}`+"\n", id)
}

func (s *slow) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes += n
}

func (s *slow) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never", what)
		}
	}
}

// halt stops a process as a machine does that has no time for it, and returns once it stands.
func halt(t *testing.T, p started) {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	until(t, "it stands", func() bool {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err == nil && bytes.HasPrefix(b[bytes.LastIndexByte(b, ')')+1:], []byte(" T"))
	})
}

// leave has clients end their sending, waits until the other machine has said of each that it knows, and closes.
func leave(t *testing.T, clients []net.Conn) {
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
		until(t, "the machine knows", func() bool {
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

// A process that the machine gives no time for a while: the answers to its probes come, its clients leave, others come with whole
// requests and leave before they are accepted, and a client stays. When it runs on, all of that is there at once, on one core. No op of
// one who left is sent on; nor is it by the process that takes its place, whose clients came to the same socket.
func TestAProcessThatStoodSendsNothingOnForThoseWhoLeft(t *testing.T) {
	const held, unread = 300, 100
	settings := map[string]any{
		"bounds":     map[string]any{"maxPushes": 3, "probes": true, "cancel": false, "connectTimeoutNs": 60e9},
		"report":     map[string]any{"fields": []string{"waiting", "running"}, "how": "on_probe"},
		"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 300e9, "targetLatencyNs": 240e9}}}
	for _, heirs := range []int{0, 1} {
		t.Run(fmt.Sprint("heirs ", heirs), func(t *testing.T) {
			t.Parallel()
			s := &slow{let: make(chan bool)}
			worker := httptest.NewServer(s)
			t.Cleanup(func() {
				worker.CloseClientConnections()
				worker.Close()
			})
			discovery := discoveryOf(t, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
				worker.Listener.Addr()))
			dir, listen := t.TempDir(), freeAddr(t)
			all := []started{startProcessOf(t, dir, listen, discovery, 0, 4096, settings)}
			var clients []net.Conn
			for k := range held {
				clients = append(clients, sendOp(t, listen, fmt.Sprint("held", k), "Content-Length: 0\r\n\r\n"))
			}
			until(t, "all wait for their probes", func() bool { return s.waiting() == held })
			for range heirs {
				all = append(all, startProcessOf(t, dir, listen, discovery, 1, 4096, settings))
			}
			for _, p := range all {
				halt(t, p)
			}
			close(s.let)
			until(t, "the answers are there", func() bool { return s.waiting() == 0 })
			for k := range unread {
				clients = append(clients, sendOp(t, listen, fmt.Sprint("unread", k),
					[]string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nabc"}[k%2]))
			}
			leave(t, clients)
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
			if heirs > 0 {
				all[0].cmd.Process.Signal(syscall.SIGTERM)
			}
			for _, p := range all {
				p.cmd.Process.Signal(syscall.SIGCONT)
			}
			if err := <-answered; err != nil {
				t.Errorf("the op of a client that stays: %v", err)
			}
			for _, p := range all { // what was taken is at its end with the process
				p.cmd.Process.Signal(syscall.SIGTERM)
				if err := p.cmd.Wait(); err != nil {
					t.Errorf("%v: %s", err, p.log)
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if got := strings.Join(s.came, " "); got != "stays" {
				t.Errorf("sent on: %s", got)
			}
		})
	}
}
