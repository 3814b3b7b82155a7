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

// What a stream's link holds up holds up all behind it, and its rate is shared by what is sent at once.
func TestPiecesKeepTheirOrderAndTheRate(t *testing.T) {
	now := time.Unix(0, 0)
	w := New(Sky{Delay: 10 * time.Millisecond, Jitter: 5 * time.Millisecond, Rate: 1000, Stall: 0.2, StallFor: time.Second}, 7)
	l := w.Lane()
	var at []time.Time
	for range 50 {
		at = append(at, l.Send(now, 100, true).At)
	}
	if !slices.IsSortedFunc(at, time.Time.Compare) {
		t.Error("pieces overtake each other")
	}
	if last := at[49].Sub(now); last < 5*time.Second {
		t.Errorf("5,000 bytes at 1,000 a second took %v", last)
	}
	again := New(Sky{Delay: 10 * time.Millisecond, Jitter: 5 * time.Millisecond, Rate: 1000, Stall: 0.2, StallFor: time.Second}, 7).Lane()
	for i := range at {
		if got := again.Send(now, 100, true).At; got != at[i] {
			t.Fatalf("piece %d: %v and %v on one seed", i, got, at[i])
		}
	}
}

// pair is a socket and the far end of it behind a link.
func pair(t *testing.T, w *Weather) (near net.Conn, far *Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far = Through(c, w)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func TestBytesArriveWholeLateAndNotBeforeTheirTime(t *testing.T) {
	near, far := pair(t, New(Sky{Delay: 30 * time.Millisecond}, 1))
	from := time.Now()
	want := bytes.Repeat([]byte("0123456789"), 5000)
	go near.Write(want)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	if took := time.Since(from); took < 30*time.Millisecond {
		t.Errorf("they took %v", took)
	}
	if far.Mouth().Before(from) || far.Mouth().Sub(from) > 29*time.Second {
		t.Errorf("they came to the mouth at %v", far.Mouth())
	}
	far.Write([]byte("back"))
	if _, err := io.ReadFull(near, got[:4]); err != nil || string(got[:4]) != "back" {
		t.Errorf("back: %q, %v", got[:4], err)
	}
}

// While a link is cut nothing passes, but the mouth knows at once that its peer has ended.
func TestACutIsSilentAndEnds(t *testing.T) {
	w := New(Sky{}, 1)
	near, far := pair(t, w)
	w.Cut(true)
	gone := make(chan bool)
	far.OnGone(func() { close(gone) })
	near.Write([]byte("x"))
	far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("a byte passed through a link that is cut")
	}
	near.Close()
	<-gone
	far.SetReadDeadline(time.Time{})
	w.Cut(false)
	if b, err := io.ReadAll(far); err != nil || string(b) != "x" {
		t.Errorf("after the cut: %q, %v", b, err)
	}
}

func TestALinkBreaksBeforeOrAfterTheLastByte(t *testing.T) {
	near, far := pair(t, New(Sky{ResetFirst: 1}, 1))
	near.Write([]byte("whole"))
	if b, err := io.ReadAll(far); err == nil || len(b) > 0 {
		t.Errorf("before: %q, %v", b, err)
	}
	near, far = pair(t, New(Sky{ResetAfter: 1}, 1))
	near.Write([]byte("whole"))
	if b := make([]byte, 5); true {
		if _, err := io.ReadFull(far, b); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("after: %q, %v", b, err)
		}
	}
	if _, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the peer read %v, no reset", err)
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
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- Forward(door, echo.Addr().String(), New(Sky{Delay: time.Millisecond}, 1)) }()
	c, err := net.Dial("tcp", door.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("there and back"))
	c.(*net.TCPConn).CloseWrite()
	if b, err := io.ReadAll(c); err != nil || string(b) != "there and back" {
		t.Errorf("%q, %v", b, err)
	}
	c.Close()
	door.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("it ended with %v", err)
	}
}
