package frontend

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
)

const maxPeerMessage = 64 // bytes of a datagram; what is cut off is no message

// peerTransport are the other schedulers, by datagrams: what is lost, late or twice does no harm, as each message says how
// many pushes are out and not what has changed.
type peerTransport struct {
	conn    *net.UDPConn
	addrs   map[int]netip.AddrPort
	numbers map[netip.AddrPort]int
	log     zerolog.Logger
}

// newPeerTransport hears on the socket given, or on one of its own.
func newPeerTransport(p *config.Peers, conn *net.UDPConn, log zerolog.Logger) (*peerTransport, error) {
	if conn == nil {
		var err error
		conn, err = oserror.RetryTransient(func() (*net.UDPConn, error) { return net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.ListenAddr)) })
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	s := &peerTransport{conn: conn, addrs: p.ByNumber, numbers: map[netip.AddrPort]int{}, log: log}
	for n, addr := range p.ByNumber {
		s.numbers[addr] = n
	}
	return s, nil
}

// receive reads until the socket is closed. Only the schedulers that the configuration names are heard.
func (s *peerTransport) receive(tell func(reducer.Input)) {
	var room [maxPeerMessage]byte
	failures := 0 // in a row
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(room[:])
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil { // one datagram's trouble, or this machine's for a moment
			failures++
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		if by, known := s.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]; known {
			tell(reducer.PeerMessage{Sender: by, Text: string(room[:n])})
		}
	}
}

// stopReceiving leaves what comes to the process that shares the socket.
func (s *peerTransport) stopReceiving() {
	if s != nil {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *peerTransport) send(to int, text string) {
	addr, known := s.addrs[to]
	if !known {
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort([]byte(text), addr); err != nil {
		s.log.Debug().Err(err).Int("to", to).Msg("message lost")
	}
}

// sendToPeer sends a message of the reducer's, which may be lost.
func (f *Server) sendToPeer(to int, text string) {
	if f.peerSender != nil {
		f.peerSender(to, text)
	} else {
		f.peers.send(to, text)
	}
}

// SetPeerSender has words to other schedulers go another way than by the configuration's addresses. It is called before Serve.
func (f *Server) SetPeerSender(say func(to int, text string)) { f.peerSender = say }

// PeerInput takes what is learned of other schedulers from elsewhere: a word, that one is no more, that one is new. The loop is
// never waited for: a word that finds no room is lost, as a datagram is.
func (f *Server) PeerInput(in reducer.Input) {
	if _, word := in.(reducer.PeerMessage); !word {
		f.peerChanges.Put(scheduler.Input{Event: in}) // they are few, and none must be missed or overtake another
		return
	}
	select {
	case f.loop.Inbox() <- scheduler.Input{Event: in}:
	default:
	}
}
