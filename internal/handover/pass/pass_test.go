package pass

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
}

func (g *giver) Heir(there bool) { g.heirs <- there }

func (g *giver) Give() ([]byte, []syscall.Conn, error) {
	if g.fails {
		return nil, nil, errors.New("not now")
	}
	return []byte(strings.Repeat("known", 100_000)), []syscall.Conn{g.l}, nil
}

// What waits at the door when the first process closes its listening socket was reset.
func TestWhatWaitsAtTheDoorIsServedByTheHeir(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "h")
	if _, err := Ask(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nobody there: %v", err)
	}
	g := &giver{l: l.(*net.TCPListener), heirs: make(chan bool, 9)}
	offer, err := Offer(path, g, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Ask(path)
	if err != nil || len(got.Text) != 500_000 || len(got.Files) != 1 || !<-g.heirs {
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
	if _, err := Ask(path); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the giver offers no more: %v", err)
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
	offer, err := Offer(path, g, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	line, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := receive(line.(*net.UnixConn)); err != nil || len(got.Files) != 1 || !<-g.heirs {
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
	if got, err := Ask(path); err != nil || !<-g.heirs {
		t.Errorf("the next heir: %v, %v", got, err)
	}
}

// A process that can't give must not leave its heir waiting, nor stay without heirs.
func TestAGiverThatFailsSaysSo(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	offer, err := Offer(path, &giver{fails: true}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	for range 2 {
		if _, err := Ask(path); err == nil {
			t.Error("nothing was given")
		}
	}
	// A path is taken over from one that is gone without a word.
	if again, err := Offer(path, &giver{fails: true}, zerolog.Nop()); err != nil {
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
		if _, err := Ask(path); err == nil || time.Since(began) > 5*sendTime {
			t.Errorf("%s: %v after %v", name, err, time.Since(began))
		}
		l.Close()
	}
}
