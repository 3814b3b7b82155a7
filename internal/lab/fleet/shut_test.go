package fleet

import (
	"net"
	"testing"
	"time"
)

// A vanished machine answers no new connection; one that came up and was silent would be another trouble.
func TestNoConnectionComesUpOnASilentListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s, err := shutListener(l.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection came up")
	} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
		t.Errorf("%v, no time-out", err)
	}
	s.open()
	c, err := net.DialTimeout("tcp", l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for { // the fillers come first
		got, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		filler := isFiller(got)
		got.Close()
		if !filler {
			return
		}
	}
}
