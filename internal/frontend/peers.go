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
func listen(p *config.Peers, conn *net.UDPConn, log zerolog.Logger) (*peers, error) {
	if conn == nil {
		var err error
		conn, err = oserror.RetryTransient(func() (*net.UDPConn, error) { return net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.ListenAddr)) })
		if err != nil {
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
func (s *peers) hear(tell func(reducer.Input)) {
	var room [longestWord]byte
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
		if by, known := s.by[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]; known {
			tell(reducer.PeerMessage{Sender: by, Text: string(room[:n])})
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

// sendToPeer sends a message of the reducer's, which may be lost.
func (f *Server) sendToPeer(to int, text string) {
	if f.say != nil {
		f.say(to, text)
	} else {
		f.peers.tell(to, text)
	}
}

// SetPeerSender has words to other schedulers go another way than by the configuration's addresses. It is called before Serve.
func (f *Server) SetPeerSender(say func(to int, text string)) { f.say = say }

// PeerInput takes what is learned of other schedulers from elsewhere: a word, that one is no more, that one is new. The loop is
// never waited for: a word that finds no room is lost, as a datagram is.
func (f *Server) PeerInput(in reducer.Input) {
	if _, word := in.(reducer.PeerMessage); !word {
		f.changes.Put(scheduler.Input{Event: in}) // they are few, and none must be missed or overtake another
		return
	}
	select {
	case f.loop.Inbox() <- scheduler.Input{Event: in}:
	default:
	}
}
