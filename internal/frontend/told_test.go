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

// toldSlack is by how much the time that a worker is told may be more than what its client has left.
const toldSlack = 150 * time.Millisecond

// A worker is told how long its answer is waited for, at most what the client has left when the request
// is written: it was what was left when the push was decided on, before the connection came up, or before
// the worker's machine took the first byte.
func TestAWorkerIsToldWhatIsLeftWhenItIsWrittenTo(t *testing.T) {
	const left, holdUp = 3 * time.Second, 600 * time.Millisecond
	for name, connect := range map[string]func(context.Context, string, string) (net.Conn, error){
		"a connection that comes up late": func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(holdUp)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		},
		"a socket that takes nothing at first": func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &fullSocketConn{TCPConn: c.(*net.TCPConn), until: time.Now().Add(holdUp)}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			came := make(chan [2]time.Duration, 1) // after the client's sending, and what it was told
			var sent time.Time
			sheet := testBootstrap(t, oneWorkerList(newWorker(t, func(w http.ResponseWriter, r *http.Request) {
				ms, _ := strconv.Atoi(r.Header.Get(timeLeftHeader))
				came <- [2]time.Duration{time.Since(sent), time.Duration(ms) * time.Millisecond}
				writeDone(w, r.Header.Get(idHeader))
			})))
			sheet.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0, "connectTimeoutNs": 2e9},
				"categories": []any{category("look", "fragile", 5e9, 4e9)}})
			f, err := New(sheet, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			f.workers.Connect = connect
			addr, _ := serveUntil(t, f)
			<-f.Ready()
			sent = time.Now()
			if resp, text := post(t, addr, "x", timeLeftHeader+": "+strconv.Itoa(int(left.Milliseconds()))); resp.StatusCode != http.StatusOK {
				t.Fatalf("%s: %s", resp.Status, text)
			}
			x := <-came
			if most := left - x[0] + toldSlack; x[0] < holdUp || x[1] > most {
				t.Errorf("%v after it was sent its worker was told %v, at most %v may be", x[0], x[1], most)
			}
		})
	}
}

// newWorker is the address of a worker.
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

// fullSocketConn is a connection whose socket takes nothing until a moment: the one that is written to
// until then is full.
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

// Write calls as the network's own does, first at once and again when the socket takes something.
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

// fullPipe is a pipe that takes nothing.
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

// A push that was decided on long before its first byte is decided on anew: what was told of its worker
// meanwhile may lie unread, as in a process that stood. The dial is bounded by itself; a socket that
// takes nothing is not.
func TestAPushThatHasBecomeOldIsDecidedOnAnew(t *testing.T) {
	const holdUp = 1500 * time.Millisecond
	var dials, pushes atomic.Int32
	decided := &lineCount{of: `"message":"push"`}
	sheet := testBootstrap(t, oneWorkerList(newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		pushes.Add(1)
		writeDone(w, r.Header.Get(idHeader))
	})))
	sheet.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0, "connectTimeoutNs": 2e8},
		"categories": []any{category("look", "fragile", 9e9, 8e9)}})
	f, err := New(sheet, zerolog.New(decided))
	if err != nil {
		t.Fatal(err)
	}
	f.workers.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || dials.Add(1) > 1 {
			return c, err
		}
		return &fullSocketConn{TCPConn: c.(*net.TCPConn), until: time.Now().Add(holdUp)}, nil
	}
	addr, _ := serveUntil(t, f)
	<-f.Ready()
	if resp, text := post(t, addr, "x", timeLeftHeader+": 8000"); resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s", resp.Status, text)
	}
	if decided.n.Load() != 2 || pushes.Load() != 1 {
		t.Errorf("%d pushes were decided on and %d came: the old decision was carried out", decided.n.Load(), pushes.Load())
	}
}

// lineCount is a log that counts the lines with some text.
type lineCount struct {
	of string
	n  atomic.Int32
}

func (c *lineCount) Write(line []byte) (int, error) {
	if strings.Contains(string(line), c.of) {
		c.n.Add(1)
	}
	return len(line), nil
}
