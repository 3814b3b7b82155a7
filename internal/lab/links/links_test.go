package links

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against pieces of a stream that overtake a delayed piece, and against a rate that applies to each
// piece separately.
func TestPiecesKeepTheirOrderAndTheRate(t *testing.T) {
	now := time.Unix(0, 0)
	link := New(Conditions{Delay: 10 * time.Millisecond, Jitter: 5 * time.Millisecond, Rate: 1000, Stall: 0.2, StallFor: time.Second}, 7)
	direction := link.NewDirection()
	var arrivals []time.Time
	for range 50 {
		arrivals = append(arrivals, direction.Send(now, 100, true).ArrivesAt)
	}
	if !slices.IsSortedFunc(arrivals, time.Time.Compare) {
		t.Error("a piece overtakes an earlier one")
	}
	if last := arrivals[49].Sub(now); last < 5*time.Second {
		t.Errorf("5,000 bytes at 1,000 bytes/s took %v", last)
	}
	again := New(Conditions{Delay: 10 * time.Millisecond, Jitter: 5 * time.Millisecond, Rate: 1000, Stall: 0.2, StallFor: time.Second}, 7).NewDirection()
	for i := range arrivals {
		if got := again.Send(now, 100, true).ArrivesAt; got != arrivals[i] {
			t.Fatalf("piece %d: %v and %v with the same seed", i, got, arrivals[i])
		}
	}
}

// pair returns the two ends of a connection. The far end is wrapped in a link.
func pair(t *testing.T, link *Link) (near net.Conn, far *Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far = Wrap(c, link)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func TestAllBytesArriveAfterTheDelay(t *testing.T) {
	near, far := pair(t, New(Conditions{Delay: 30 * time.Millisecond}, 1))
	start := time.Now()
	want := bytes.Repeat([]byte("0123456789"), 5000)
	go near.Write(want)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	if took := time.Since(start); took < 30*time.Millisecond {
		t.Errorf("the bytes took %v, want at least the delay", took)
	}
	if far.ReceivedAt().Before(start) || far.ReceivedAt().Sub(start) > 29*time.Second {
		t.Errorf("the bytes were received at %v", far.ReceivedAt())
	}
	far.Write([]byte("back"))
	if _, err := io.ReadFull(near, got[:4]); err != nil || string(got[:4]) != "back" {
		t.Errorf("opposite direction: %q, %v", got[:4], err)
	}
}

// Guards against bytes that pass a link during a cut or are lost by it, and against a close by the peer that
// is noticed only after the cut.
func TestNothingPassesACutLinkUntilTheCutEnds(t *testing.T) {
	link := New(Conditions{}, 1)
	near, far := pair(t, link)
	link.SetCut(true)
	peerClosed := make(chan bool)
	far.OnPeerClose(func() { close(peerClosed) })
	near.Write([]byte("x"))
	far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("a byte passed a link that is cut")
	}
	near.Close()
	<-peerClosed
	far.SetReadDeadline(time.Time{})
	link.SetCut(false)
	if b, err := io.ReadAll(far); err != nil || string(b) != "x" {
		t.Errorf("after the cut: %q, %v", b, err)
	}
}

func TestALinkResetsAConnectionBeforeOrAfterAWrite(t *testing.T) {
	near, far := pair(t, New(Conditions{ResetFirst: 1}, 1))
	near.Write([]byte("whole"))
	if b, err := io.ReadAll(far); err == nil || len(b) > 0 {
		t.Errorf("reset before the write: %q, %v", b, err)
	}
	near, far = pair(t, New(Conditions{ResetAfter: 1}, 1))
	near.Write([]byte("whole"))
	if buf := make([]byte, 5); true {
		if _, err := io.ReadFull(far, buf); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("reset after the write: %q, %v", buf, err)
		}
	}
	if _, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the peer read %v, want a reset", err)
	}
}

func TestForwardCarriesBothWaysAndEndsWithItsListener(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- Forward(listener, echo.Addr().String(), New(Conditions{Delay: time.Millisecond}, 1)) }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("there and back"))
	c.(*net.TCPConn).CloseWrite()
	if b, err := io.ReadAll(c); err != nil || string(b) != "there and back" {
		t.Errorf("%q, %v", b, err)
	}
	c.Close()
	listener.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Forward returned %v", err)
	}
}
