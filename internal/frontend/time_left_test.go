package frontend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
)

// timeLeftTolerance is by how much the time left in a push may exceed what its client has left.
const timeLeftTolerance = 150 * time.Millisecond

// The time left in a push must be at most what its client has left when the push is written. Formerly it was
// the time left at the decision, before the connection was up or the socket accepted the first byte.
func TestAPushCarriesTheTimeLeftWhenItIsWritten(t *testing.T) {
	const left, delay = 3 * time.Second, 600 * time.Millisecond
	for name, connect := range map[string]func(context.Context, string, string) (net.Conn, error){
		"a slow dial": func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(delay)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		},
		"a socket buffer that is full at first": func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &fullSocketConn{TCPConn: c.(*net.TCPConn), until: time.Now().Add(delay)}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			pushed := make(chan [2]time.Duration, 1) // time since the client sent the op, and the push's time left
			var sent time.Time
			bootstrap := testBootstrap(t, oneWorkerList(newWorker(t, func(w http.ResponseWriter, r *http.Request) {
				ms, _ := strconv.Atoi(r.Header.Get(timeLeftHeader))
				pushed <- [2]time.Duration{time.Since(sent), time.Duration(ms) * time.Millisecond}
				writeDone(w, r.Header.Get(idHeader))
			})))
			bootstrap.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0, "connectTimeoutNs": 2e9},
				"categories": []any{category("look", "fragile", 5e9, 4e9)}})
			server, err := New(bootstrap, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			server.workers.Connect = connect
			addr, _ := serveUntil(t, server)
			<-server.Ready()
			sent = time.Now()
			if resp, text := post(t, addr, "x", timeLeftHeader+": "+strconv.Itoa(int(left.Milliseconds()))); resp.StatusCode != http.StatusOK {
				t.Fatalf("%s: %s", resp.Status, text)
			}
			push := <-pushed
			if limit := left - push[0] + timeLeftTolerance; push[0] < delay || push[1] > limit {
				t.Errorf("%v after the op was sent, its push had %v left, want at most %v", push[0], push[1], limit)
			}
		})
	}
}

// newWorker starts a worker and returns its address.
func newWorker(t *testing.T, work http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: work}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// fullSocketConn is a connection whose socket buffer appears full until a given time: until then, writes
// go to a full pipe.
type fullSocketConn struct {
	*net.TCPConn
	until time.Time
}

func (b *fullSocketConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := b.TCPConn.SyscallConn()
	return &fullSocketRaw{raw, b.until}, err
}

type fullSocketRaw struct {
	syscall.RawConn
	until time.Time
}

// Write calls try as the network's own connection does: immediately, and again once the socket is writable.
func (b *fullSocketRaw) Write(try func(fd uintptr) bool) error {
	if time.Now().Before(b.until) {
		r, w, err := fullPipe()
		if err != nil {
			return err
		}
		defer syscall.Close(r)
		defer syscall.Close(w)
		if try(uintptr(w)) {
			return nil
		}
		time.Sleep(time.Until(b.until))
	}
	return b.RawConn.Write(try)
}

// fullPipe returns a pipe whose buffer is full.
func fullPipe() (r, w int, err error) {
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		return 0, 0, err
	}
	for {
		if _, err := syscall.Write(fds[1], make([]byte, 4096)); err != nil {
			return fds[0], fds[1], nil
		}
	}
}

// A push whose first byte could only be written long after its decision must be decided again: updates about
// its worker may have arrived since and be unread, as in a process that was stopped. The dial has a timeout,
// but the wait for a full socket buffer has none.
func TestAPushHeldUpBeforeItsWriteIsDecidedAgain(t *testing.T) {
	const delay = 1500 * time.Millisecond
	var dials, pushes atomic.Int32
	decided := &lineCounter{text: `"message":"push"`}
	bootstrap := testBootstrap(t, oneWorkerList(newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		pushes.Add(1)
		writeDone(w, r.Header.Get(idHeader))
	})))
	bootstrap.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0, "connectTimeoutNs": 2e8},
		"categories": []any{category("look", "fragile", 9e9, 8e9)}})
	server, err := New(bootstrap, zerolog.New(decided))
	if err != nil {
		t.Fatal(err)
	}
	server.workers.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || dials.Add(1) > 1 {
			return c, err
		}
		return &fullSocketConn{TCPConn: c.(*net.TCPConn), until: time.Now().Add(delay)}, nil
	}
	addr, _ := serveUntil(t, server)
	<-server.Ready()
	if resp, text := post(t, addr, "x", timeLeftHeader+": 8000"); resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s", resp.Status, text)
	}
	if decided.n.Load() != 2 || pushes.Load() != 1 {
		t.Errorf("%d pushes decided and %d received, want 2 and 1", decided.n.Load(), pushes.Load())
	}
}

// lineCounter is a log writer that counts the lines that contain a text.
type lineCounter struct {
	text string
	n    atomic.Int32
}

func (c *lineCounter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), c.text) {
		c.n.Add(1)
	}
	return len(line), nil
}
