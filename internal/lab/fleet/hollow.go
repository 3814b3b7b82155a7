package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// A hollow worker has one listener for all schedulers, on a separate port at all loopback addresses. Each
// scheduler gets a different IP address with that port, so the local address of a connection identifies the
// dialing scheduler. A listener for each worker and scheduler would take 126,000 descriptors with 6,300
// workers and 20 schedulers.

// Ports of hollow workers are below the kernel's ephemeral range, so that no connection takes the port of a
// worker that is down. Runs on the same machine claim the ports in blocks. A run claims a block by opening a
// UDP socket at claimAddr on the first port of the block.
const (
	firstPort  = 2048
	lastPort   = 32_767
	blockPorts = 256
	claimAddr  = "127.5.0.1"
)

// ports are the ports that this run has claimed.
type ports struct {
	claims []net.PacketConn
	unused []int // claimed ports that no worker has used yet
}

var errNoPorts = errors.New("hollow workers: other runs on this machine have claimed all ports")

// claimPorts claims at least the given number of ports. It adds spare ports, because other programs may use
// some of the claimed ones.
func claimPorts(count int) (*ports, error) {
	p := &ports{}
	if count == 0 {
		return p, nil
	}
	count += count/16 + 16
	for port := firstPort; len(p.unused) < count; port += blockPorts {
		if port+blockPorts > lastPort {
			p.release()
			return nil, errNoPorts
		}
		claim, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", claimAddr, port))
		if err != nil {
			continue
		}
		p.claims = append(p.claims, claim)
		for i := range blockPorts {
			p.unused = append(p.unused, port+i)
		}
	}
	return p, nil
}

// release releases the claimed blocks.
func (p *ports) release() {
	for _, c := range p.claims {
		c.Close()
	}
	p.claims = nil
}

// listen opens the listener of a hollow worker. If addrs is filled, it listens on the same port again.
// Otherwise it takes an unused port and fills in the address for each scheduler.
func (p *ports) listen(addrs []string) (net.Listener, error) {
	if addrs[0] != "" {
		return listenOnLoopback(netip.MustParseAddrPort(addrs[0]).Port())
	}
	for len(p.unused) > 0 {
		port := uint16(p.unused[0])
		p.unused = p.unused[1:]
		l, err := listenOnLoopback(port)
		if errors.Is(err, syscall.EADDRINUSE) { // another program uses the port
			continue
		}
		if err != nil {
			return nil, err
		}
		for n := range addrs {
			addrs[n] = netip.AddrPortFrom(hollowAddr(n), port).String()
		}
		return l, nil
	}
	return nil, errNoPorts
}

// listenOnLoopback listens on a port at all addresses of the loopback device only.
func listenOnLoopback(port uint16) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		if err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
		}); err != nil {
			return err
		}
		return sockErr
	}}
	return config.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
}

// hollowAddr returns the IP address at which the n-th scheduler, from 0, reaches every hollow worker.
func hollowAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 4, byte(n / 250), byte(n%250 + 1)})
}

// dialingScheduler returns the scheduler, from 0, whose hollowAddr is the local address of a connection. It
// returns -1 if there is none.
func dialingScheduler(c net.Conn) int {
	at, err := netip.ParseAddrPort(c.LocalAddr().String())
	if b := at.Addr().As4(); err == nil && b[0] == 127 && b[1] == 4 && b[3] >= 1 && b[3] <= 250 {
		return int(b[2])*250 + int(b[3]) - 1
	}
	return -1
}
