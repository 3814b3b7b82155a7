package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"woaddyke/internal/lab/links"
	"woaddyke/internal/lab/meter"
)

// Bounds of the rig's own memory and descriptors.
const (
	longestDatagram = 16 << 10
	mostFlying      = 50_000 // datagrams on their way, over all links
	mostStreams     = 2048
	dialTime        = 2 * time.Second
	perBlock        = 250 // schedulers to a third byte of an address
)

// Bound is the address that the n-th scheduler, from 0, binds and sends from; nobody else on the machine sends from it.
func Bound(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 2, byte(n / perBlock), byte(n%perBlock + 1)})
}

func toldAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 3, byte(n / perBlock), byte(n%perBlock + 1)})
}

// senderOf is the scheduler that sends from an address, -1 for none.
func senderOf(a netip.Addr) int {
	b := a.Unmap().As4()
	if b[0] != 127 || b[1] != 2 || b[3] == 0 || b[3] > perBlock {
		return -1
	}
	return int(b[2])*perBlock + int(b[3]) - 1
}

// Net is the links between so many schedulers.
type Net struct {
	base   int // the address of the first scheduler
	mouths []*mouth
	lanes  [][]*Lane          // from, to
	skies  [][]*links.Weather // of streams, from, to
	tell   func(from, to int, cut Cut)

	flying  atomic.Int64
	crowded atomic.Int64 // datagrams lost for want of room in the rig itself
	streams chan struct{}
	mu      sync.Mutex
	open    map[net.Conn][2]int
	done    chan struct{}
	meter   atomic.Pointer[meter.Meter]
}

// Count has a meter count what schedulers send one another from here on; a datagram that the link loses is sent, and not received.
func (x *Net) Count(m *meter.Meter) { x.meter.Store(m) }

// counter writes a stream from one scheduler to another.
type counter struct {
	io.Writer
	x        *Net
	from, to int
}

func (c counter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	m := c.x.meter.Load()
	m.Add(c.from, meter.Members, 0, n, 0)
	m.Add(c.to, meter.Members, n, 0, 0)
	return n, err
}

// mouth is where one scheduler is reached: the address that it tells the others.
type mouth struct {
	told  string
	bound atomic.Pointer[netip.AddrPort] // where it listens
	udp   *net.UDPConn
	tcp   net.Listener

	mu      sync.Mutex    // held while a marker is on its way
	marker  *net.UDPConn  // sends markers, which are no scheduler's datagrams
	reached chan struct{} // has one when a marker has been read
}

// settleTime is the longest wait for a marker: it is lost where the socket has no room, and then so is what came after it.
const settleTime = 200 * time.Millisecond

// settle returns when all datagrams have been judged that lie at the socket now.
func (m *mouth) settle(done <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.reached: // one that came too late for the wait before
	default:
	}
	if _, err := m.marker.WriteToUDPAddrPort([]byte{0}, m.udp.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
		return
	}
	late := time.NewTimer(settleTime)
	defer late.Stop()
	select {
	case <-m.reached:
	case <-late.C:
	case <-done:
	}
}

// isMarker tells whether a datagram came from the marker's own socket.
func (m *mouth) isMarker(from netip.AddrPort) bool {
	at := m.marker.LocalAddr().(*net.UDPAddr).AddrPort()
	return from.Port() == at.Port() && from.Addr().Unmap() == at.Addr().Unmap()
}

// New opens the links; tell hears of each cut that begins or ends.
func New(n int, seed uint64, tell func(from, to int, cut Cut)) (*Net, error) {
	base, err := Own()
	if err != nil {
		return nil, err
	}
	return At(base, n, seed, tell)
}

// At opens the links between schedulers whose first one binds the address of the given number: several nets at once must not share
// addresses, where a port that one gives up for a moment is another's.
func At(base, n int, seed uint64, tell func(from, to int, cut Cut)) (*Net, error) {
	x := &Net{base: base, tell: tell, streams: make(chan struct{}, mostStreams), open: map[net.Conn][2]int{}, done: make(chan struct{})}
	for i := range n {
		m, err := newMouth(base + i)
		if err != nil {
			x.Close()
			return nil, err
		}
		x.mouths = append(x.mouths, m)
		var lanes []*Lane
		var skies []*links.Weather
		for j := range n {
			s := seed ^ uint64(i)<<40 ^ uint64(j)<<20
			lanes, skies = append(lanes, newLane(s)), append(skies, links.New(links.Sky{}, s))
		}
		x.lanes, x.skies = append(x.lanes, lanes), append(x.skies, skies)
	}
	for i, m := range x.mouths {
		go x.datagrams(i, m)
		go x.accept(i, m)
	}
	return x, nil
}

// both opens the two sockets of a port that is free for datagrams and for streams.
func both(at netip.Addr) (*net.UDPConn, net.Listener, error) {
	var last error
	for range 20 {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
		if err != nil {
			return nil, nil, fmt.Errorf("links between schedulers: %w", err)
		}
		tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
		if err == nil {
			return udp, tcp, nil
		}
		last = err
		udp.Close()
	}
	return nil, nil, fmt.Errorf("links between schedulers: %w", last)
}

// Free is a port of an address that is free for datagrams and for streams, other than some: one that is free for datagrams alone may be
// what another of the same scheduler's listeners was given, and then it does not start.
func Free(at netip.Addr, but ...string) (netip.AddrPort, error) {
	for range 20 {
		udp, tcp, err := both(at)
		if err != nil {
			return netip.AddrPort{}, err
		}
		free := udp.LocalAddr().(*net.UDPAddr).AddrPort()
		udp.Close()
		if tcp.Close(); !slices.Contains(but, free.String()) {
			return free, nil
		}
	}
	return netip.AddrPort{}, errTaken
}

var errTaken = errors.New("links between schedulers: no port is free for both")

func newMouth(n int) (*mouth, error) {
	udp, tcp, err := both(toldAddr(n))
	if err != nil {
		return nil, err
	}
	udp.SetReadBuffer(4 << 20)
	marker, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(toldAddr(n), 0)))
	if err != nil {
		udp.Close()
		tcp.Close()
		return nil, fmt.Errorf("links between schedulers: %w", err)
	}
	return &mouth{told: udp.LocalAddr().String(), udp: udp, tcp: tcp, marker: marker, reached: make(chan struct{}, 1)}, nil
}

// Bound is the address that the n-th scheduler binds.
func (x *Net) Bound(n int) netip.Addr { return Bound(x.base + n) }

// Told is the address that the n-th scheduler tells the others.
func (x *Net) Told(n int) string { return x.mouths[n].told }

// Listens sets where the n-th scheduler listens; it may change.
func (x *Net) Listens(n int, at netip.AddrPort) { x.mouths[n].bound.Store(&at) }

// Crowded is how many datagrams the rig lost for want of room of its own: a play with any is void.
func (x *Net) Crowded() int64 { return x.crowded.Load() }

// Weather changes the link from one to another.
func (x *Net) Weather(from, to int, change func(*Sky)) {
	s := x.lanes[from][to].set(change)
	x.skies[from][to].Set(links.Sky{Delay: s.Delay, Jitter: s.Jitter, Rate: s.Rate, Stall: s.Loss, StallFor: resendTime})
}

// Cut cuts the link from one to another, or opens it. A stream needs both directions, since nothing of it is taken without a word
// back; so it stands still as long as either is cut.
func (x *Net) Cut(from, to int, how Cut) {
	l := x.lanes[from][to]
	if l.isCut() == how {
		return
	}
	x.mouths[to].settle(x.done) // what was sent before goes by how the link was then
	l.setCut(how)
	x.tell(from, to, how)
	either := how != Open || x.lanes[to][from].isCut() != Open
	x.skies[from][to].Cut(either)
	x.skies[to][from].Cut(either)
	if how != Refusing {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for c, pair := range x.open {
		if pair == [2]int{from, to} || pair == [2]int{to, from} {
			reset(c)
		}
	}
}

// Reaches tells whether the link from one to another is open.
func (x *Net) Reaches(from, to int) bool { return x.lanes[from][to].isCut() == Open }

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (x *Net) datagrams(to int, m *mouth) {
	room := make([]byte, longestDatagram)
	for {
		n, from, err := m.udp.ReadFromUDPAddrPort(room)
		if err != nil {
			return
		}
		if m.isMarker(from) {
			select {
			case m.reached <- struct{}{}:
			default:
			}
			continue
		}
		by, at := senderOf(from.Addr())-x.base, m.bound.Load()
		if by < 0 || by >= len(x.mouths) || at == nil {
			continue
		}
		x.meter.Load().Add(by, meter.Members, 0, n, 1)
		for _, after := range x.lanes[by][to].Datagram(time.Now(), n) {
			text := append([]byte(nil), room[:n]...)
			if after <= 0 {
				m.udp.WriteToUDPAddrPort(text, *at)
				x.meter.Load().Add(to, meter.Members, n, 0, 0)
				continue
			}
			if x.flying.Add(1) > mostFlying {
				x.flying.Add(-1)
				x.crowded.Add(1)
				continue
			}
			time.AfterFunc(after, func() {
				x.flying.Add(-1)
				if x.lanes[by][to].isCut() == Open { // a cut takes what is on its way
					m.udp.WriteToUDPAddrPort(text, *at)
					x.meter.Load().Add(to, meter.Members, n, 0, 0)
				}
			})
		}
	}
}

func (x *Net) accept(to int, m *mouth) {
	for {
		c, err := m.tcp.Accept()
		if err != nil {
			return
		}
		from := -1
		if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
			from = senderOf(a.AddrPort().Addr()) - x.base
		}
		at := m.bound.Load()
		if from < 0 || from >= len(x.mouths) || at == nil || x.lanes[from][to].isCut() == Refusing || x.lanes[to][from].isCut() == Refusing {
			reset(c)
			continue
		}
		select {
		case x.streams <- struct{}{}:
		default:
			reset(c)
			continue
		}
		go x.carry(c, from, to, at.String())
	}
}

// carry passes a stream on. One that comes up during a cut waits for its end, as a handshake whose packets are lost does.
func (x *Net) carry(c net.Conn, from, to int, at string) {
	defer func() { <-x.streams }()
	x.mu.Lock()
	x.open[c] = [2]int{from, to}
	x.mu.Unlock()
	near := links.Between(c, x.skies[from][to], x.skies[to][from])
	defer func() {
		x.mu.Lock()
		delete(x.open, c)
		x.mu.Unlock()
		near.Close()
	}()
	for {
		silent, over := x.skies[from][to].Silent()
		if !silent {
			break
		}
		select {
		case <-over:
		case <-x.done:
			return
		}
	}
	far, err := net.DialTimeout("tcp4", at, dialTime)
	if err != nil {
		reset(c)
		return
	}
	defer far.Close()
	back := make(chan struct{})
	go func() {
		defer close(back)
		io.Copy(counter{near, x, to, from}, far)
		near.CloseSoon(10 * time.Second)
	}()
	if _, err := io.Copy(counter{far, x, from, to}, near); err != nil {
		reset(far)
	} else if t, ok := far.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	<-back
}

// Close ends all links.
func (x *Net) Close() {
	select {
	case <-x.done:
		return
	default:
		close(x.done)
	}
	for _, m := range x.mouths {
		m.udp.Close()
		m.tcp.Close()
		m.marker.Close()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.open {
		c.Close()
	}
}
