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

// Limits of the proxy's own memory and descriptors.
const (
	maxDatagramBytes   = 16 << 10
	maxInFlight        = 50_000 // delayed datagrams, over all links
	maxStreams         = 2048
	dialTimeout        = 2 * time.Second
	schedulersPerBlock = 250 // schedulers for each value of an address's third byte
)

// BindAddr returns the IP address with number n, where 127.2.0.1 has number 0. A scheduler binds this address
// and sends from it, and no other process on the machine sends from it.
func BindAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 2, byte(n / schedulersPerBlock), byte(n%schedulersPerBlock + 1)})
}

func advertisedAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 3, byte(n / schedulersPerBlock), byte(n%schedulersPerBlock + 1)})
}

// senderOf returns the number of a scheduler's IP address, or -1 if the address is not one of a scheduler.
func senderOf(a netip.Addr) int {
	b := a.Unmap().As4()
	if b[0] != 127 || b[1] != 2 || b[3] == 0 || b[3] > schedulersPerBlock {
		return -1
	}
	return int(b[2])*schedulersPerBlock + int(b[3]) - 1
}

// Net holds the links between a set of schedulers.
type Net struct {
	firstAddr     int // number of the first scheduler's address
	endpoints     []*endpoint
	datagramLinks [][]*DatagramLink // by sender and receiver
	streamLinks   [][]*links.Link   // by sender and receiver
	onCut         func(from, to int, cut CutMode)

	inFlight      atomic.Int64
	overflowDrops atomic.Int64 // datagrams dropped because of maxInFlight
	streamSlots   chan struct{}
	mu            sync.Mutex
	openStreams   map[net.Conn][2]int
	done          chan struct{}
	meter         atomic.Pointer[meter.Meter]
}

// SetMeter sets the meter that counts the traffic between schedulers from now on. A datagram that the link loses
// counts as sent, but not as received.
func (x *Net) SetMeter(m *meter.Meter) { x.meter.Store(m) }

// countingWriter counts the bytes of a stream from one scheduler to another.
type countingWriter struct {
	io.Writer
	net      *Net
	from, to int
}

func (c countingWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	m := c.net.meter.Load()
	m.Add(c.from, meter.Members, 0, n, 0)
	m.Add(c.to, meter.Members, n, 0, 0)
	return n, err
}

// endpoint receives the traffic to one scheduler, at the address that the scheduler advertises.
type endpoint struct {
	advertised string
	listenAddr atomic.Pointer[netip.AddrPort] // where the scheduler listens
	udp        *net.UDPConn
	tcp        net.Listener

	mu         sync.Mutex    // held while a marker is in flight
	marker     *net.UDPConn  // sends marker datagrams to udp; see awaitQueued
	markerRead chan struct{} // holds a value once a marker has been read from udp
}

// markerTimeout bounds the wait for a marker. A marker is lost if the socket buffer is full; any datagram
// after it is then lost too.
const markerTimeout = 200 * time.Millisecond

// awaitQueued waits until all datagrams that are in the socket buffer now have been read. It sends a marker
// datagram to the socket: once the marker has been read, so have all datagrams before it.
func (e *endpoint) awaitQueued(done <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.markerRead: // a late marker of an earlier call
	default:
	}
	if _, err := e.marker.WriteToUDPAddrPort([]byte{0}, e.udp.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
		return
	}
	late := time.NewTimer(markerTimeout)
	defer late.Stop()
	select {
	case <-e.markerRead:
	case <-late.C:
	case <-done:
	}
}

// isMarker reports whether a datagram comes from the marker socket.
func (e *endpoint) isMarker(from netip.AddrPort) bool {
	at := e.marker.LocalAddr().(*net.UDPAddr).AddrPort()
	return from.Port() == at.Port() && from.Addr().Unmap() == at.Addr().Unmap()
}

// New opens the links between the given number of schedulers. It calls onCut when a cut begins or ends.
func New(schedulers int, seed uint64, onCut func(from, to int, cut CutMode)) (*Net, error) {
	firstAddr, err := ClaimBase()
	if err != nil {
		return nil, err
	}
	return NewAt(firstAddr, schedulers, seed, onCut)
}

// NewAt opens the links like New. The first scheduler binds the address with the number firstAddr, and the
// others bind the addresses after it. Two sets of links that are open at the same time must not share
// addresses. Otherwise one could take a port that the other frees for a moment.
func NewAt(firstAddr, schedulers int, seed uint64, onCut func(from, to int, cut CutMode)) (*Net, error) {
	x := &Net{firstAddr: firstAddr, onCut: onCut, streamSlots: make(chan struct{}, maxStreams), openStreams: map[net.Conn][2]int{}, done: make(chan struct{})}
	for i := range schedulers {
		e, err := newEndpoint(firstAddr + i)
		if err != nil {
			x.Close()
			return nil, err
		}
		x.endpoints = append(x.endpoints, e)
		var datagramLinks []*DatagramLink
		var streamLinks []*links.Link
		for j := range schedulers {
			s := seed ^ uint64(i)<<40 ^ uint64(j)<<20
			datagramLinks, streamLinks = append(datagramLinks, newDatagramLink(s)), append(streamLinks, links.New(links.Conditions{}, s))
		}
		x.datagramLinks, x.streamLinks = append(x.datagramLinks, datagramLinks), append(x.streamLinks, streamLinks)
	}
	for i, e := range x.endpoints {
		go x.forwardDatagrams(i, e)
		go x.acceptStreams(i, e)
	}
	return x, nil
}

// listenBoth opens a UDP and a TCP socket on a port that is free for both.
func listenBoth(at netip.Addr) (*net.UDPConn, net.Listener, error) {
	var lastErr error
	for range 20 {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
		if err != nil {
			return nil, nil, fmt.Errorf("links between schedulers: %w", err)
		}
		tcp, err := net.Listen("tcp4", udp.LocalAddr().String())
		if err == nil {
			return udp, tcp, nil
		}
		lastErr = err
		udp.Close()
	}
	return nil, nil, fmt.Errorf("links between schedulers: %w", lastErr)
}

// FreePort returns a port that is free for both UDP and TCP, other than the given ones. A port that is only free
// for UDP may belong to another listener of the same scheduler, which then could not start.
func FreePort(at netip.Addr, exclude ...string) (netip.AddrPort, error) {
	for range 20 {
		udp, tcp, err := listenBoth(at)
		if err != nil {
			return netip.AddrPort{}, err
		}
		free := udp.LocalAddr().(*net.UDPAddr).AddrPort()
		udp.Close()
		if tcp.Close(); !slices.Contains(exclude, free.String()) {
			return free, nil
		}
	}
	return netip.AddrPort{}, errAllPortsExcluded
}

var errAllPortsExcluded = errors.New("links between schedulers: every free port that was tried is excluded")

func newEndpoint(n int) (*endpoint, error) {
	udp, tcp, err := listenBoth(advertisedAddr(n))
	if err != nil {
		return nil, err
	}
	udp.SetReadBuffer(4 << 20)
	marker, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(advertisedAddr(n), 0)))
	if err != nil {
		udp.Close()
		tcp.Close()
		return nil, fmt.Errorf("links between schedulers: %w", err)
	}
	return &endpoint{advertised: udp.LocalAddr().String(), udp: udp, tcp: tcp, marker: marker, markerRead: make(chan struct{}, 1)}, nil
}

// BindAddr returns the address that the n-th scheduler binds.
func (x *Net) BindAddr(n int) netip.Addr { return BindAddr(x.firstAddr + n) }

// AdvertisedAddr returns the address that the n-th scheduler advertises to the others.
func (x *Net) AdvertisedAddr(n int) string { return x.endpoints[n].advertised }

// SetListenAddr sets the address at which the n-th scheduler listens. The address may change while the links are
// open.
func (x *Net) SetListenAddr(n int, addr netip.AddrPort) { x.endpoints[n].listenAddr.Store(&addr) }

// OverflowDrops returns how many datagrams were dropped because of maxInFlight. If the number is not zero, the
// result of the run is void.
func (x *Net) OverflowDrops() int64 { return x.overflowDrops.Load() }

// SetConditions changes the conditions of the link from one scheduler to another.
func (x *Net) SetConditions(from, to int, change func(*Conditions)) {
	s := x.datagramLinks[from][to].update(change)
	x.streamLinks[from][to].SetConditions(links.Conditions{Delay: s.Delay, Jitter: s.Jitter, Rate: s.Rate, Stall: s.Loss, StallFor: retransmitDelay})
}

// SetCut begins or ends a cut of the link from one scheduler to another. A stream makes no progress while either
// direction is cut, because it needs acknowledgments.
func (x *Net) SetCut(from, to int, mode CutMode) {
	l := x.datagramLinks[from][to]
	if l.cutMode() == mode {
		return
	}
	x.endpoints[to].awaitQueued(x.done) // the previous mode still applies to datagrams that were sent before
	l.setCut(mode)
	x.onCut(from, to, mode)
	either := mode != Open || x.datagramLinks[to][from].cutMode() != Open
	x.streamLinks[from][to].SetCut(either)
	x.streamLinks[to][from].SetCut(either)
	if mode != Refusing {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for c, pair := range x.openStreams {
		if pair == [2]int{from, to} || pair == [2]int{to, from} {
			reset(c)
		}
	}
}

// IsOpen reports whether the link from one scheduler to another is open.
func (x *Net) IsOpen(from, to int) bool { return x.datagramLinks[from][to].cutMode() == Open }

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (x *Net) forwardDatagrams(to int, e *endpoint) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := e.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if e.isMarker(from) {
			select {
			case e.markerRead <- struct{}{}:
			default:
			}
			continue
		}
		sender, listenAddr := senderOf(from.Addr())-x.firstAddr, e.listenAddr.Load()
		if sender < 0 || sender >= len(x.endpoints) || listenAddr == nil {
			continue
		}
		x.meter.Load().Add(sender, meter.Members, 0, n, 1)
		for _, delay := range x.datagramLinks[sender][to].DeliveryDelays(time.Now(), n) {
			datagram := append([]byte(nil), buf[:n]...)
			if delay <= 0 {
				e.udp.WriteToUDPAddrPort(datagram, *listenAddr)
				x.meter.Load().Add(to, meter.Members, n, 0, 0)
				continue
			}
			if x.inFlight.Add(1) > maxInFlight {
				x.inFlight.Add(-1)
				x.overflowDrops.Add(1)
				continue
			}
			time.AfterFunc(delay, func() {
				x.inFlight.Add(-1)
				if x.datagramLinks[sender][to].cutMode() == Open { // a cut also drops datagrams in flight
					e.udp.WriteToUDPAddrPort(datagram, *listenAddr)
					x.meter.Load().Add(to, meter.Members, n, 0, 0)
				}
			})
		}
	}
}

func (x *Net) acceptStreams(to int, e *endpoint) {
	for {
		c, err := e.tcp.Accept()
		if err != nil {
			return
		}
		from := -1
		if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
			from = senderOf(a.AddrPort().Addr()) - x.firstAddr
		}
		listenAddr := e.listenAddr.Load()
		if from < 0 || from >= len(x.endpoints) || listenAddr == nil || x.datagramLinks[from][to].cutMode() == Refusing || x.datagramLinks[to][from].cutMode() == Refusing {
			reset(c)
			continue
		}
		select {
		case x.streamSlots <- struct{}{}:
		default:
			reset(c)
			continue
		}
		go x.forwardStream(c, from, to, listenAddr.String())
	}
}

// forwardStream forwards a stream. A stream that is opened during a cut waits for the end of the cut, like a
// handshake whose packets are lost.
func (x *Net) forwardStream(c net.Conn, from, to int, listenAddr string) {
	defer func() { <-x.streamSlots }()
	x.mu.Lock()
	x.openStreams[c] = [2]int{from, to}
	x.mu.Unlock()
	in := links.WrapAsymmetric(c, x.streamLinks[from][to], x.streamLinks[to][from])
	defer func() {
		x.mu.Lock()
		delete(x.openStreams, c)
		x.mu.Unlock()
		in.Close()
	}()
	for {
		cut, cutEnded := x.streamLinks[from][to].IsCut()
		if !cut {
			break
		}
		select {
		case <-cutEnded:
		case <-x.done:
			return
		}
	}
	out, err := net.DialTimeout("tcp4", listenAddr, dialTimeout)
	if err != nil {
		reset(c)
		return
	}
	defer out.Close()
	copiedBack := make(chan struct{})
	go func() {
		defer close(copiedBack)
		io.Copy(countingWriter{in, x, to, from}, out)
		in.CloseSoon(10 * time.Second)
	}()
	if _, err := io.Copy(countingWriter{out, x, from, to}, in); err != nil {
		reset(out)
	} else if t, ok := out.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	<-copiedBack
}

// Close closes all links and streams.
func (x *Net) Close() {
	select {
	case <-x.done:
		return
	default:
		close(x.done)
	}
	for _, e := range x.endpoints {
		e.udp.Close()
		e.tcp.Close()
		e.marker.Close()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.openStreams {
		c.Close()
	}
}
