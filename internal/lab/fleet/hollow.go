package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// A hollow worker has one listener for all schedulers: a port of its own on all addresses of the loopback device. Each scheduler is told
// another address with that port, so the address at which a connection comes in tells who dialled. A listener for each worker and
// scheduler would be 126,000 descriptors for 6,300 workers and 20 schedulers.

// Ports of hollow workers lie below those that the kernel gives to connections, so that none takes one while its worker is down. Plays
// on one machine claim them block by block.
const (
	firstPort  = 2048
	lastPort   = 32_767
	blockPorts = 256
	claimAddr  = "127.5.0.1"
)

// ports are those that this play has claimed.
type ports struct {
	claims []net.PacketConn
	room   []int // claimed and not used yet
}

var errNoPorts = errors.New("hollow workers: other plays of this machine have all ports")

// claimPorts claims as many ports as are wanted, and some more for those that other programs use.
func claimPorts(wanted int) (*ports, error) {
	p := &ports{}
	if wanted == 0 {
		return p, nil
	}
	wanted += wanted/16 + 16
	for at := firstPort; len(p.room) < wanted; at += blockPorts {
		if at+blockPorts > lastPort {
			p.free()
			return nil, errNoPorts
		}
		c, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", claimAddr, at))
		if err != nil {
			continue
		}
		p.claims = append(p.claims, c)
		for i := range blockPorts {
			p.room = append(p.room, at+i)
		}
	}
	return p, nil
}

// free gives the claims back.
func (p *ports) free() {
	for _, c := range p.claims {
		c.Close()
	}
	p.claims = nil
}

// listen opens a hollow worker's listener at the addresses that it had, or fills them in.
func (p *ports) listen(addrs []string) (net.Listener, error) {
	if addrs[0] != "" {
		return onLoopback(netip.MustParseAddrPort(addrs[0]).Port())
	}
	for len(p.room) > 0 {
		port := uint16(p.room[0])
		p.room = p.room[1:]
		l, err := onLoopback(port)
		if errors.Is(err, syscall.EADDRINUSE) { // another program has it
			continue
		}
		if err != nil {
			return nil, err
		}
		for n := range addrs {
			addrs[n] = netip.AddrPortFrom(toldTo(n), port).String()
		}
		return l, nil
	}
	return nil, errNoPorts
}

// onLoopback listens at a port on all addresses of the loopback device and on no other one.
func onLoopback(port uint16) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
		}); err != nil {
			return err
		}
		return failed
	}}
	return c.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
}

// toldTo is the address of hollow workers that the n-th scheduler is told.
func toldTo(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 4, byte(n / 250), byte(n%250 + 1)})
}

// dialler is the scheduler that was told the address at which a connection came in, below 0 for none.
func dialler(c net.Conn) int {
	at, err := netip.ParseAddrPort(c.LocalAddr().String())
	if b := at.Addr().As4(); err == nil && b[0] == 127 && b[1] == 4 && b[3] >= 1 && b[3] <= 250 {
		return int(b[2])*250 + int(b[3]) - 1
	}
	return -1
}
