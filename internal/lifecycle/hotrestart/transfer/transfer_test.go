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

type giver struct {
	l     *net.TCPListener
	heirs chan bool
	fails bool
	text  string // that it hands over; empty: half a megabyte
}

func (g *giver) SetSuccessor(there bool) { g.heirs <- there }

func (g *giver) HandOver(asker []byte) ([]byte, []syscall.Conn, error) {
	if g.fails || string(asker) != `me` {
		return nil, nil, errors.New("not now")
	}
	text := g.text
	if text == "" {
		text = strings.Repeat("known", 100_000)
	}
	return []byte(text), []syscall.Conn{g.l}, nil
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
	g := &giver{l: l.(*net.TCPListener), heirs: make(chan bool, 9)}
	offer, err := Serve(path, g, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Receive(path, []byte(`me`))
	if err != nil || len(got.State) != 500_000 || len(got.Files) != 1 || !<-g.heirs {
		t.Fatalf("%v", err)
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	l.Close()
	heirs, err := net.FileListener(got.Files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer heirs.Close()
	if c, err := heirs.Accept(); err != nil || c.RemoteAddr().String() != client.LocalAddr().String() {
		t.Errorf("%v, %v", c, err)
	}
	offer.Close()
	if _, err := Receive(path, []byte(`me`)); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the giver offers no more: %v", err)
	}
}

// At twice the size that is planned for, 12,600 workers, what is learned takes 24 MB and the ids up to 12: it is handed over as any other.
func TestAllThatAProcessMayKnowIsHandedOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	g := &giver{l: l.(*net.TCPListener), heirs: make(chan bool, 9), text: strings.Repeat("x", 36<<20)}
	offer, err := Serve(path, g, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	if got, err := Receive(path, []byte(`me`)); err != nil || len(got.State) != len(g.text) {
		t.Errorf("%v", err)
	}
}

// A giver that went on as if it had an heir would have let its clients go to nobody.
func TestEachSideSeesTheOthersEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	g := &giver{l: l.(*net.TCPListener), heirs: make(chan bool, 9)}
	offer, err := Serve(path, g, zerolog.Nop())
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
	if got, err := readHandover(line); err != nil || len(got.Files) != 1 || !<-g.heirs {
		t.Fatalf("%v", err)
	}
	line.Close()
	select {
	case there := <-g.heirs:
		if there {
			t.Error("the heir has ended")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the giver has not seen that its heir has ended")
	}
	if got, err := Receive(path, []byte(`me`)); err != nil || !<-g.heirs {
		t.Errorf("the next heir: %v, %v", got, err)
	}
}

// A process that can't give must not leave its heir waiting, nor stay without heirs.
func TestAGiverThatFailsSaysSo(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	offer, err := Serve(path, &giver{fails: true}, zerolog.Nop())
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
	if again, err := Serve(path, &giver{fails: true}, zerolog.Nop()); err != nil {
		t.Error(err)
	} else {
		again.Close()
	}
}

// A process that is stopped, or dies or hangs in the middle of its message, must not hold up the start of the next one.
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

// Whoever asks and is no replacement leaves the giver as it was: it is not told of an heir, and gives up neither descriptors nor records.
// One that says nothing, too much, or half of who it is does not keep the next one waiting for long.
func TestAGiverIsNotDisturbedByAStranger(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := filepath.Join(t.TempDir(), "h")
	g := &giver{l: l.(*net.TCPListener), heirs: make(chan bool, 9)}
	offer, err := Serve(path, g, zerolog.Nop())
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
	if len(g.heirs) > 0 {
		t.Error("it was told of an heir")
	}
	if got, err := Receive(path, []byte("me")); err != nil || !<-g.heirs {
		t.Errorf("the next one: %v", err)
	} else {
		got.Close()
	}
}

// Two schedulers at one address, of other names, or of other network namespaces that share the folder, must not meet.
func TestPathsAreEachSchedulersOwn(t *testing.T) {
	if SocketPath("127.0.0.1:9000", "a") == SocketPath("127.0.0.1:9000", "b") || SocketPath("127.0.0.1:9000", "a") == SocketPath("127.0.0.1:9001", "a") {
		t.Error("they meet")
	}
	first, again := SocketPath("127.0.0.1:9000", "a"), SocketPath("127.0.0.1:9000", "a")
	if first != again {
		t.Error("a scheduler does not find its own")
	}
}

// A process that had no descriptor for the one that asked was never asked again: it could not be replaced any more.
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
	g, none, ended := &giver{l: l.(*net.TCPListener), heirs: make(chan bool, 9)}, 3, make(chan bool)
	go func() {
		acceptSuccessors(func() (*net.UnixConn, error) {
			if none--; none >= 0 {
				return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
			}
			return at.AcceptUnix()
		}, g, zerolog.Nop())
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

// A length that no state or request has must be refused by its own error, before memory is given for it.
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
