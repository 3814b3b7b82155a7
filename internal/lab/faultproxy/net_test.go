package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// party is a scheduler's two sockets at its bound address.
type party struct {
	udp *net.UDPConn
	tcp net.Listener
}

func parties(t *testing.T, n int) (*Net, []party, *[][3]int) {
	t.Helper()
	var told [][3]int
	x, err := New(n, 1, func(from, to int, cut Cut) { told = append(told, [3]int{from, to, int(cut)}) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	var all []party
	for i := range n {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(x.Bound(i), 0)))
		if err != nil {
			t.Fatal(err)
		}
		tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { udp.Close(); tcp.Close() })
		x.Listens(i, udp.LocalAddr().(*net.UDPAddr).AddrPort())
		all = append(all, party{udp, tcp})
	}
	return x, all, &told
}

func (p party) send(t *testing.T, to, text string) {
	t.Helper()
	if _, err := p.udp.WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(to)); err != nil {
		t.Fatal(err)
	}
}

func (p party) heard(t *testing.T) string {
	t.Helper()
	room := make([]byte, 99)
	p.udp.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := p.udp.Read(room)
	if err != nil {
		t.Fatal(err)
	}
	return string(room[:n])
}

// A cut of one direction that took the other too, or hit another pair, would make every one-sided experiment a lie.
func TestACutTakesOneDirectionOfOnePair(t *testing.T) {
	x, p, told := parties(t, 3)
	x.Cut(0, 1, Silent)
	p[0].send(t, x.Told(1), "lost")
	p[1].send(t, x.Told(0), "back")
	p[0].send(t, x.Told(2), "aside")
	if got := p[0].heard(t) + p[2].heard(t); got != "backaside" {
		t.Errorf("heard %q", got)
	}
	x.Cut(0, 1, Open)
	p[0].send(t, x.Told(1), "after")
	if got := p[1].heard(t); got != "after" {
		t.Errorf("heard %q: what a cut took must not come later", got)
	}
	if len(*told) != 2 || (*told)[0] != [3]int{0, 1, int(Silent)} || (*told)[1] != [3]int{0, 1, int(Open)} || !x.Reaches(0, 1) {
		t.Errorf("noted %v", *told)
	}
}

// A stream through a link whose way back is cut must stand still, and be reset where the cut refuses.
func TestStreamsStandStillOrAreReset(t *testing.T) {
	x, p, _ := parties(t, 2)
	dial := func() net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IP(x.Bound(0).AsSlice())}}
		c, err := d.Dial("tcp4", x.Told(1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	go func() {
		for {
			c, err := p[1].tcp.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	room := make([]byte, 3)
	c := dial()
	c.Write([]byte("one"))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(c, room); err != nil || string(room) != "one" {
		t.Fatalf("%q, %v", room, err)
	}
	x.Cut(1, 0, Silent)
	c.Write([]byte("two"))
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(room); err == nil {
		t.Errorf("%q came through a cut", room[:n])
	}
	x.Cut(1, 0, Open)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(c, room); err != nil || string(room) != "two" {
		t.Errorf("after the cut: %q, %v", room, err)
	}
	x.Cut(0, 1, Refusing)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(room); err == nil || err == io.EOF {
		t.Errorf("a refusing cut: %v", err)
	}
}

// One seed, one history: the share that is lost and doubled must be the same each time, and near what was asked.
func TestAWeatherIsDrawnFromItsSeed(t *testing.T) {
	play := func() (lost, twice int) {
		l := newLane(7)
		l.set(func(s *Sky) { *s = Sky{Loss: 0.3, Dup: 0.1, Jitter: time.Millisecond} })
		for range 10_000 {
			switch len(l.Datagram(time.Time{}, 100)) {
			case 0:
				lost++
			case 2:
				twice++
			}
		}
		return lost, twice
	}
	lost, twice := play()
	if l, d := play(); l != lost || d != twice || lost < 2700 || lost > 3300 || twice < 600 || twice > 800 {
		t.Errorf("lost %d and %d, twice %d and %d", lost, l, twice, d)
	}
}

// A link with a rate has a bounded queue; without one a flood would arrive minutes later.
func TestARateHoldsUpAndThenLoses(t *testing.T) {
	l, now := newLane(1), time.Time{}
	l.set(func(s *Sky) { s.Rate = 1000 })
	for i := range 30 {
		after := l.Datagram(now, 100)
		if want := time.Duration(i+1) * 100 * time.Millisecond; want > longestWait {
			if after != nil {
				t.Fatalf("datagram %d arrives after %v", i, after)
			}
		} else if len(after) != 1 || after[0] != want {
			t.Fatalf("datagram %d: %v, not %v", i, after, want)
		}
	}
}
