package fleet

import (
	"net"
	"testing"
	"time"
)

// A vanished machine does not answer connection attempts. Guards against a blocked listener that still
// completes handshakes, which would emulate a different fault.
func TestABlockedListenerAnswersNoConnectionAttempt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	blocked, err := blockListener(listener.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection was established")
	} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
		t.Errorf("%v, want a timeout", err)
	}
	blocked.unblock()
	c, err := net.DialTimeout("tcp", listener.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for { // the filler connections are accepted first
		got, err := listener.Accept()
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
