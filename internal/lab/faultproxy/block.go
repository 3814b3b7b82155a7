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

// blocks are the third bytes at which a play's addresses may begin; the tests that start processes of their own use those between.
var blocks = []byte{0, 2, 236, 238, 240, 242, 244, 246, 248, 250, 252, 254}

// claims are the sockets by which this process holds its blocks: one that nothing refers to is closed by the garbage collector.
var claims []net.PacketConn

var errNoBlock = errors.New("links between schedulers: as many plays run at once as there are addresses for")

// Own is the number of the first scheduler's address in the plays of this process. Two plays on one machine must not share addresses: a
// port that one of them gives up for a moment, as while its scheduler is down, is taken by the other, and that scheduler does not start
// again. A block is claimed by a socket on an address of it that no scheduler has, until the process ends.
var Own = sync.OnceValues(func() (int, error) {
	for _, b := range blocks {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, b, perBlock + 2}), claimPort)
		if held, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err == nil {
			claims = append(claims, held)
			return int(b) * perBlock, nil
		}
	}
	return 0, errNoBlock
})
