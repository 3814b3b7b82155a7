package front

import (
	"fmt"
	"net"
	"net/netip"
	"time"

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

// listen hears on the socket given, or on one of its own.
func listen(p *terms.Peers, conn *net.UDPConn, log zerolog.Logger) (*peers, error) {
	if conn == nil {
		var err error
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.At)); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
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

// deaf leaves what comes to the process that shares the socket.
func (s *peers) deaf() {
	if s != nil {
		s.conn.SetReadDeadline(time.Unix(1, 0))
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
