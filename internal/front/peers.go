package front

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/rs/zerolog"

	"woaddyke/internal/ops"
	"woaddyke/internal/terms"
)

const longestWord = 64 // bytes of a datagram; what is cut off is no message

// peers are the other schedulers, by datagrams: what is lost, late or twice does no harm, as each message says how
// many pushes are out and not what has changed.
type peers struct {
	conn *net.UDPConn
	to   map[int]netip.AddrPort
	by   map[netip.AddrPort]int
	log  zerolog.Logger
}

func listen(p *terms.Peers, log zerolog.Logger) (*peers, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.At))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	s := &peers{conn: conn, to: p.ByNumber, by: map[netip.AddrPort]int{}, log: log}
	for n, addr := range p.ByNumber {
		s.by[addr] = n
	}
	return s, nil
}

// hear reads until the socket is closed. Only the schedulers that the configuration names are heard.
func (s *peers) hear(tell func(ops.Input)) {
	var room [longestWord]byte
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(room[:])
		if err != nil {
			return
		}
		if by, known := s.by[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]; known {
			tell(ops.Told{By: by, Text: string(room[:n])})
		}
	}
}

func (s *peers) tell(to int, text string) {
	addr, known := s.to[to]
	if !known {
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort([]byte(text), addr); err != nil {
		s.log.Debug().Err(err).Int("to", to).Msg("message lost")
	}
}
