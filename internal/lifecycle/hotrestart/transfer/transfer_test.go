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
	successors chan bool // what SetSuccessor was told
	refuses    bool
	state      string // that it hands over; empty: half a megabyte
}

func (p *fakePredecessor) SetSuccessor(present bool) { p.successors <- present }

func (p *fakePredecessor) HandOver(request []byte) ([]byte, []syscall.Conn, error) {
	if p.refuses || string(request) != `me` {
		return nil, nil, errors.New("not now")
	}
	state := p.state
	if state == "" {
		state = strings.Repeat("known", 100_000)
	}
	return []byte(state), []syscall.Conn{p.listener}, nil
}

// What waits at the door when the first process closes its listening socket was reset.
func TestWhatWaitsAtTheDoorIsServedByTheHeir(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "h")
	if _, err := Receive(path, []byte(`me`)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nobody there: %v", err)
	}
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}
	offer, err := Serve(path, predecessor, zerolog.Nop())
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
	offer.Close()
	if _, err := Receive(path, []byte(`me`)); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the predecessor serves no more: %v", err)
	}
}

// At twice the size that is planned for, 12,600 workers, what is learned takes 24 MB and the ids up to
// 12: it is handed over as any other.
func TestAllThatAProcessMayKnowIsHandedOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9), state: strings.Repeat("x", 36<<20)}
	offer, err := Serve(path, predecessor, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	if got, err := Receive(path, []byte(`me`)); err != nil || len(got.State) != len(predecessor.state) {
		t.Errorf("%v", err)
	}
}

// A predecessor that went on as if it had a successor would have let its clients go to nobody.
func TestEachSideSeesTheOthersEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}
	offer, err := Serve(path, predecessor, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	nc, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	line := &retryConn{nc.(*net.UnixConn)}
	if err := writeRequest(line, []byte(`me`)); err != nil {
		t.Fatal(err)
	}
	if got, err := readHandover(line); err != nil || len(got.Files) != 1 || !<-predecessor.successors {
		t.Fatalf("%v", err)
	}
	line.Close()
	select {
	case there := <-predecessor.successors:
		if there {
			t.Error("the successor has ended")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the predecessor has not seen that its successor has ended")
	}
	if got, err := Receive(path, []byte(`me`)); err != nil || !<-predecessor.successors {
		t.Errorf("the next successor: %v, %v", got, err)
	}
}

// A process that can't hand over must not leave its successor waiting, nor stay without successors.
func TestAGiverThatFailsSaysSo(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	offer, err := Serve(path, &fakePredecessor{refuses: true}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	for range 2 {
		if _, err := Receive(path, []byte(`me`)); !errors.Is(err, ErrRefused) {
			t.Errorf("nothing was given: %v", err)
		}
	}
	// A path is taken over from one that is gone without a word.
	if again, err := Serve(path, &fakePredecessor{refuses: true}, zerolog.Nop()); err != nil {
		t.Error(err)
	} else {
		again.Close()
	}
}

// A process that is stopped, or dies or hangs in the middle of its message, must not hold up the start
// of the next one.
func TestAGiverThatHangsOrDiesIsNotWaitedFor(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"says nothing":       nil,
		"dies at once":       func(c net.Conn) { c.Close() },
		"dies in the middle": func(c net.Conn) { c.Write([]byte{0, 0, 1, 0, 'x'}); c.Close() },
		"hangs":              func(c net.Conn) { c.Write([]byte{0, 0, 1, 0, 'x'}) },
		"says too much":      func(c net.Conn) { c.Write([]byte{255, 255, 255, 255}) },
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
		began := time.Now()
		if _, err := Receive(path, []byte(`me`)); err == nil || time.Since(began) > 5*sendTimeout {
			t.Errorf("%s: %v after %v", name, err, time.Since(began))
		}
		l.Close()
	}
}

// A process that is no successor leaves the predecessor as it was: it is not told of a successor, and
// gives up neither descriptors nor records. One that says nothing, too much, or half of who it is does
// not keep the next one waiting for long.
func TestAGiverIsNotDisturbedByAStranger(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "h")
	predecessor := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}
	offer, err := Serve(path, predecessor, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	if _, err := Receive(path, []byte("another")); !errors.Is(err, ErrRefused) {
		t.Errorf("a stranger: %v", err)
	}
	for name, text := range map[string][]byte{"nothing": nil, "half": {0, 0, 0, 9, 'm'}, "too much": {255, 255, 255, 255}} {
		line, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		line.Write(text)
		line.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := line.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d bytes, %v", name, n, err)
		}
		line.Close()
	}
	if len(predecessor.successors) > 0 {
		t.Error("it was told of a successor")
	}
	if got, err := Receive(path, []byte("me")); err != nil || !<-predecessor.successors {
		t.Errorf("the next one: %v", err)
	} else {
		got.Close()
	}
}

// Two schedulers at one address, of other names, or of other network namespaces that share the folder,
// must not meet.
func TestPathsAreEachSchedulersOwn(t *testing.T) {
	if SocketPath("127.0.0.1:9000", "a") == SocketPath("127.0.0.1:9000", "b") || SocketPath("127.0.0.1:9000", "a") == SocketPath("127.0.0.1:9001", "a") {
		t.Error("they meet")
	}
	first, again := SocketPath("127.0.0.1:9000", "a"), SocketPath("127.0.0.1:9000", "a")
	if first != again {
		t.Error("a scheduler does not find its own")
	}
}

// A process that had no descriptor for the one that asked was never asked again: it could not be
// replaced any more.
func TestAMomentWithoutDescriptorsDoesNotEndTheOffer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "h")
	at, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	predecessor, none, ended := &fakePredecessor{listener: l.(*net.TCPListener), successors: make(chan bool, 9)}, 3, make(chan bool)
	go func() {
		acceptSuccessors(func() (*net.UnixConn, error) {
			if none--; none >= 0 {
				return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
			}
			return at.AcceptUnix()
		}, predecessor, zerolog.Nop())
		close(ended)
	}()
	got, err := Receive(path, []byte(`me`))
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
	at.Close()
	<-ended
}

// A length that no state or request has must be refused by its own error, before memory is given for
// it.
func TestSizesAreBoundedByTypedErrors(t *testing.T) {
	for name, c := range map[string]struct {
		length []byte
		read   func(*retryConn) error
		want   SizeError
	}{
		"request": {[]byte{0, 1, 0, 1}, func(l *retryConn) error { _, err := readRequest(l); return err },
			SizeError{Message: "request", Size: 1<<16 + 1, Most: 1 << 16}},
		"state": {[]byte{4, 0, 0, 1}, func(l *retryConn) error { _, err := readHandover(l); return err },
			SizeError{Message: "state", Size: 64<<20 + 1, Most: 64 << 20}},
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
