package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// testScheduler holds the two sockets that a scheduler opens at its bound address.
type testScheduler struct {
	udp *net.UDPConn
	tcp net.Listener
}

func newNet(t *testing.T, n int) (*Net, []testScheduler, *[][3]int) {
	t.Helper()
	var cuts [][3]int
	x, err := New(n, 1, func(from, to int, cut CutMode) { cuts = append(cuts, [3]int{from, to, int(cut)}) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	var schedulers []testScheduler
	for i := range n {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(x.BindAddr(i), 0)))
		if err != nil {
			t.Fatal(err)
		}
		tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { udp.Close(); tcp.Close() })
		x.SetListenAddr(i, udp.LocalAddr().(*net.UDPAddr).AddrPort())
		schedulers = append(schedulers, testScheduler{udp, tcp})
	}
	return x, schedulers, &cuts
}

func (s testScheduler) send(t *testing.T, to, text string) {
	t.Helper()
	if _, err := s.udp.WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(to)); err != nil {
		t.Fatal(err)
	}
}

func (s testScheduler) receive(t *testing.T) string {
	t.Helper()
	buf := make([]byte, 99)
	s.udp.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := s.udp.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n])
}

// Guards against a cut that also affects the opposite direction or another pair. One-sided experiments would
// then give wrong results.
func TestACutStopsOneDirectionOfOnePair(t *testing.T) {
	x, s, cuts := newNet(t, 3)
	x.SetCut(0, 1, Silent)
	s[0].send(t, x.AdvertisedAddr(1), "lost")
	s[1].send(t, x.AdvertisedAddr(0), "back")
	s[0].send(t, x.AdvertisedAddr(2), "aside")
	if got := s[0].receive(t) + s[2].receive(t); got != "backaside" {
		t.Errorf("received %q", got)
	}
	x.SetCut(0, 1, Open)
	s[0].send(t, x.AdvertisedAddr(1), "after")
	if got := s[1].receive(t); got != "after" {
		t.Errorf("received %q; a datagram dropped by a cut must not arrive later", got)
	}
	if len(*cuts) != 2 || (*cuts)[0] != [3]int{0, 1, int(Silent)} || (*cuts)[1] != [3]int{0, 1, int(Open)} || !x.IsOpen(0, 1) {
		t.Errorf("reported cuts: %v", *cuts)
	}
}

// Guards against a stream that passes a link whose opposite direction is cut, and against a refusing cut that
// does not reset open streams.
func TestACutStallsOrResetsStreams(t *testing.T) {
	x, s, _ := newNet(t, 2)
	dial := func() net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IP(x.BindAddr(0).AsSlice())}}
		c, err := d.Dial("tcp4", x.AdvertisedAddr(1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	go func() {
		for {
			c, err := s[1].tcp.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	buf := make([]byte, 3)
	c := dial()
	c.Write([]byte("one"))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "one" {
		t.Fatalf("%q, %v", buf, err)
	}
	x.SetCut(1, 0, Silent)
	c.Write([]byte("two"))
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(buf); err == nil {
		t.Errorf("%q passed a cut", buf[:n])
	}
	x.SetCut(1, 0, Open)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "two" {
		t.Errorf("after the cut: received %q, %v", buf, err)
	}
	x.SetCut(0, 1, Refusing)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(buf); err == nil || err == io.EOF {
		t.Errorf("reading during a refusing cut: %v, want a reset", err)
	}
}

// Guards against losses and duplicates that differ between two runs with the same seed, or whose shares
// differ from the configured probabilities.
func TestDeliveriesAreReproducibleFromTheSeed(t *testing.T) {
	count := func() (lost, twice int) {
		l := newDatagramLink(7)
		l.update(func(s *Conditions) { *s = Conditions{Loss: 0.3, Dup: 0.1, Jitter: time.Millisecond} })
		for range 10_000 {
			switch len(l.DeliveryDelays(time.Time{}, 100)) {
			case 0:
				lost++
			case 2:
				twice++
			}
		}
		return lost, twice
	}
	lost, twice := count()
	if l, d := count(); l != lost || d != twice || lost < 2700 || lost > 3300 || twice < 600 || twice > 800 {
		t.Errorf("lost %d and %d, duplicated %d and %d", lost, l, twice, d)
	}
}

// Guards against an unbounded queue on a link with a rate, from which datagrams would arrive minutes later.
func TestARateDelaysDatagramsAndDropsThemWhenTheQueueIsFull(t *testing.T) {
	l, now := newDatagramLink(1), time.Time{}
	l.update(func(s *Conditions) { s.Rate = 1000 })
	for i := range 30 {
		delays := l.DeliveryDelays(now, 100)
		if want := time.Duration(i+1) * 100 * time.Millisecond; want > maxQueueDelay {
			if delays != nil {
				t.Fatalf("datagram %d arrives after %v, want a drop", i, delays)
			}
		} else if len(delays) != 1 || delays[0] != want {
			t.Fatalf("datagram %d arrives after %v, want %v", i, delays, want)
		}
	}
}
