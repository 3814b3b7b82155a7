package transfer

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

type fakePredecessor struct {
	listener   *net.TCPListener
	successors chan bool // arguments of SetSuccessor
	refuses    bool
	state      string // the state to hand over; empty: half a megabyte
}

func (p *fakePredecessor) SetSuccessor(present bool) { p.successors <- present }

func (p *fakePredecessor) HandOver(request []byte, _ *Link) ([]byte, []syscall.Conn, error) {
	if p.refuses || string(request) != `me` {
		return nil, nil, errors.New("not now")
	}
	state := p.state
	if state == "" {
		state = strings.Repeat("known", 100_000)
	}
	return []byte(state), []syscall.Conn{p.listener}, nil
}

// Connections that are in the listen queue when the predecessor closes its listening socket must not be
// reset. The successor accepts them, because the socket was handed over.
func TestQueuedConnectionsAreServedByTheSuccessor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "h")
	if _, err := Receive(path, []byte(`me`)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no predecessor: %v", err)
	}
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}
	server, err := Serve(path, predecessor, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Receive(path, []byte(`me`))
	if err != nil || len(got.State) != 500_000 || len(got.Files) != 1 || !<-predecessor.successors {
		t.Fatalf("%v", err)
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	l.Close()
	listener, err := net.FileListener(got.Files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if c, err := listener.Accept(); err != nil || c.RemoteAddr().String() != client.LocalAddr().String() {
		t.Errorf("%v, %v", c, err)
	}
	server.Close()
	if _, err := Receive(path, []byte(`me`)); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("after the close of the server: %v", err)
	}
}

// With 12,600 workers, twice the planned number, the learned state has 24 MB and the ids have up to 12 MB. A
// state of that size must be handed over.
func TestAStateOfThePlannedSizeIsHandedOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9), state: strings.Repeat("x", 36<<20)}
	server, err := Serve(path, predecessor, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if got, err := Receive(path, []byte(`me`)); err != nil || len(got.State) != len(predecessor.state) {
		t.Errorf("%v", err)
	}
}

// Each process must detect the end of the other. Otherwise a predecessor whose successor has ended would stop
// serving its clients, and no process would serve them.
func TestEachProcessSeesTheEndOfTheOther(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}
	server, err := Serve(path, predecessor, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	dialed, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	conn := &retryConn{dialed.(*net.UnixConn)}
	if err := writeRequest(conn, []byte(`me`)); err != nil {
		t.Fatal(err)
	}
	if got, err := readHandover(conn); err != nil || len(got.Files) != 1 || !<-predecessor.successors {
		t.Fatalf("%v", err)
	}
	conn.Close()
	select {
	case present := <-predecessor.successors:
		if present {
			t.Error("SetSuccessor(true) was called after the successor had ended")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the predecessor has not detected the end of its successor")
	}
	if got, err := Receive(path, []byte(`me`)); err != nil || !<-predecessor.successors {
		t.Errorf("the next successor: %v, %v", got, err)
	}
}

// A process that refuses a request must answer it, so that the successor does not wait, and must answer
// further requests.
func TestARefusalReachesTheSuccessor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	server, err := Serve(path, &fakePredecessor{refuses: true}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for range 2 {
		if _, err := Receive(path, []byte(`me`)); !errors.Is(err, ErrRefused) {
			t.Errorf("a refused request: %v", err)
		}
	}
	// Serve replaces a process that ended without removing its path.
	if again, err := Serve(path, &fakePredecessor{refuses: true}, zerolog.Nop()); err != nil {
		t.Error(err)
	} else {
		again.Close()
	}
}

// A predecessor that is stopped, dies or hangs in the middle of a message must not block the start of its
// successor.
func TestReceiveReturnsWhenThePredecessorHangsOrDies(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"sends nothing":      nil,
		"dies at once":       func(c net.Conn) { c.Close() },
		"dies in the middle": func(c net.Conn) { c.Write([]byte{0, 0, 1, 0, 'x'}); c.Close() },
		"hangs":              func(c net.Conn) { c.Write([]byte{0, 0, 1, 0, 'x'}) },
		"sends too much":     func(c net.Conn) { c.Write([]byte{255, 255, 255, 255}) },
	} {
		path := filepath.Join(t.TempDir(), "h")
		l, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		if serve != nil {
			go func() {
				if c, err := l.Accept(); err == nil {
					serve(c)
				}
			}()
		}
		start := time.Now()
		if _, err := Receive(path, []byte(`me`)); err == nil || time.Since(start) > 5*sendTimeout {
			t.Errorf("%s: %v after %v", name, err, time.Since(start))
		}
		l.Close()
	}
}

// A rejected request must not affect the predecessor: SetSuccessor is not called, so that the predecessor
// gives up neither descriptors nor records. A process that sends no request, or an incomplete or too long
// one, must not block the next process for long.
func TestARejectedRequestDoesNotAffectThePredecessor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "h")
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}
	server, err := Serve(path, predecessor, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if _, err := Receive(path, []byte("another")); !errors.Is(err, ErrRefused) {
		t.Errorf("a request of another process: %v", err)
	}
	for name, text := range map[string][]byte{"nothing": nil, "incomplete": {0, 0, 0, 9, 'm'}, "too much": {255, 255, 255, 255}} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(text)
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d bytes, %v", name, n, err)
		}
		conn.Close()
	}
	if len(predecessor.successors) > 0 {
		t.Error("SetSuccessor was called")
	}
	if got, err := Receive(path, []byte("me")); err != nil || !<-predecessor.successors {
		t.Errorf("the next request: %v", err)
	} else {
		got.Close()
	}
}

// Schedulers with different names or addresses, or in different network namespaces that share the folder,
// must have different paths. Otherwise one scheduler could request a handover from the other.
func TestSchedulersHaveDifferentSocketPaths(t *testing.T) {
	if SocketPath("127.0.0.1:9000", "a") == SocketPath("127.0.0.1:9000", "b") || SocketPath("127.0.0.1:9000", "a") == SocketPath("127.0.0.1:9001", "a") {
		t.Error("two schedulers have the same path")
	}
	first, again := SocketPath("127.0.0.1:9000", "a"), SocketPath("127.0.0.1:9000", "a")
	if first != again {
		t.Error("a scheduler has two different paths")
	}
}

// A process that lacks a descriptor to accept a request must go on accepting. Otherwise no successor could
// replace it.
func TestAcceptingContinuesAfterADescriptorShortage(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "h")
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	predecessor, failures, ended := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}, 3, make(chan bool)
	go func() {
		acceptSuccessors(func() (*net.UnixConn, error) {
			if failures--; failures >= 0 {
				return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
			}
			return listener.AcceptUnix()
		}, predecessor, zerolog.Nop())
		close(ended)
	}()
	got, err := Receive(path, []byte(`me`))
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
	listener.Close()
	<-ended
}

// A message whose length is over the limit must be rejected with a *SizeError, before its memory is
// allocated.
func TestMessagesOverTheSizeLimitAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		length []byte
		read   func(*retryConn) error
		want   SizeError
	}{
		"request": {[]byte{0, 1, 0, 1}, func(conn *retryConn) error { _, err := readRequest(conn); return err },
			SizeError{Message: "request", Size: 1<<16 + 1, Max: 1 << 16}},
		"state": {[]byte{4, 0, 0, 1}, func(conn *retryConn) error { _, err := readHandover(conn); return err },
			SizeError{Message: "state", Size: 64<<20 + 1, Max: 64 << 20}},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "h")
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				if conn, err := l.Accept(); err == nil {
					conn.Write(c.length)
				}
			}()
			conn, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			var size *SizeError
			if err := c.read(&retryConn{conn.(*net.UnixConn)}); !errors.As(err, &size) || *size != c.want {
				t.Errorf("%v, want %v", err, &c.want)
			}
		})
	}
}
