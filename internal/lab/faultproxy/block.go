package faultproxy

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

const (
	claimPort = 7946
)

// addressBlocks are the values of the third byte of 127.2.x.y that a run may claim; the addresses of the run
// begin there. Tests that start processes use the values from 4 to 234 (package cluster, allocateAddrs).
var addressBlocks = []byte{0, 2, 236, 238, 240, 242, 244, 246, 248, 250, 252, 254}

// claimSockets are the sockets that claim the blocks of this process. The garbage collector would close an
// unreferenced socket.
var claimSockets []net.PacketConn

var errNoBlock = errors.New("links between schedulers: other runs on this machine have claimed all address blocks")

// ClaimBase claims an address block for this process, and returns the number of the first address in it. Two runs
// on one machine must not share addresses. One run could take a port that the other frees while its scheduler
// is down, and that scheduler would not start again. A socket on an unused address of the block claims the
// block until the process ends.
var ClaimBase = sync.OnceValues(func() (int, error) {
	for _, block := range addressBlocks {
		claimAddr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, block, schedulersPerBlock + 2}), claimPort)
		if claim, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(claimAddr)); err == nil {
			claimSockets = append(claimSockets, claim)
			return int(block) * schedulersPerBlock, nil
		}
	}
	return 0, errNoBlock
})
