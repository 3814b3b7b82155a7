package frontend

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/base/spillqueue"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
)

const maxPeerMessage = 64 // bytes of a datagram; a longer one is truncated and fails to decode

// peerMessages sends messages to other schedulers, and passes theirs to the loop.
type peerMessages struct {
	loop          *scheduler.Loop
	memberChanges *spillqueue.Queue[scheduler.Message] // unbounded, to the loop
	sender        func(to int, text string)            // if set, used instead of the transport
	inherited     *net.UDPConn                         // a predecessor's socket, nil without one
	transport     *peerTransport                       // nil if the configuration has no addresses of peers
	lost          atomic.Uint64                        // messages dropped because the loop's inbox was full
	log           zerolog.Logger
}

func newPeerMessages(loop *scheduler.Loop, log zerolog.Logger) *peerMessages {
	return &peerMessages{loop: loop, memberChanges: spillqueue.New(loop.Inbox(), loop.Done()), log: log}
}

// open starts the transport if the configuration has addresses of peers.
func (p *peerMessages) open(peers *config.Peers) (err error) {
	if peers == nil {
		return nil
	}
	if p.transport, err = newPeerTransport(peers, p.inherited, p.log); err != nil {
		return err
	}
	go p.transport.receive(p.loop.Send)
	return nil
}

func (p *peerMessages) close() {
	if p.transport != nil {
		p.transport.conn.Close()
	}
}

// conn returns the transport's socket, or nil without a transport.
func (p *peerMessages) conn() *net.UDPConn {
	if p.transport == nil {
		return nil
	}
	return p.transport.conn
}

// stopReceiving ends receive, so that the process that shares the socket gets all messages.
func (p *peerMessages) stopReceiving() {
	if conn := p.conn(); conn != nil {
		conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// send sends a message, which may be lost.
func (p *peerMessages) send(to int, text string) {
	if p.sender != nil {
		p.sender(to, text)
	} else {
		p.transport.send(to, text)
	}
}

// SetPeerSender sends messages to other schedulers through send instead of to the configuration's
// addresses. Call it before Serve.
func (s *Server) SetPeerSender(send func(to int, text string)) { s.peers.sender = send }

// ReceivePeerInput passes the loop an input about another scheduler: a message, or the loss or join of a
// member. It never waits for the loop. A message may be lost as a datagram may: it is dropped if the inbox
// is full.
func (s *Server) ReceivePeerInput(event reducer.Input) {
	if _, isMessage := event.(reducer.PeerMessage); !isMessage {
		// Member changes are rare, and must be neither lost nor reordered.
		s.peers.memberChanges.Put(scheduler.Input{Event: event})
		return
	}
	select {
	case s.loop.Inbox() <- scheduler.Input{Event: event}:
	default:
		s.peers.lost.Add(1)
	}
}

// peerTransport sends and receives messages as datagrams. A lost, late or duplicate datagram does no harm: a
// message gives the number of attempts in flight, not a change of that number.
type peerTransport struct {
	conn    *net.UDPConn
	addrs   map[int]netip.AddrPort
	numbers map[netip.AddrPort]int
	log     zerolog.Logger
}

// newPeerTransport returns a transport on the given socket, or opens one if it is nil.
func newPeerTransport(p *config.Peers, conn *net.UDPConn, log zerolog.Logger) (*peerTransport, error) {
	if conn == nil {
		var err error
		conn, err = oserror.RetryTransient(func() (*net.UDPConn, error) {
			return net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.ListenAddr))
		})
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	t := &peerTransport{conn: conn, addrs: p.ByNumber, numbers: map[netip.AddrPort]int{}, log: log}
	for n, addr := range p.ByNumber {
		t.numbers[addr] = n
	}
	return t, nil
}

// receive reads until the socket is closed or stopReceiving is called. It drops datagrams from addresses that
// are not in the configuration.
func (t *peerTransport) receive(send func(reducer.Input)) {
	var buffer [maxPeerMessage]byte
	failures := 0 // consecutive
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil { // concerns one datagram, or a transient shortage of resources
			failures++
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		sender, known := t.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known {
			send(reducer.PeerMessage{Sender: sender, Text: string(buffer[:n])})
		}
	}
}

func (t *peerTransport) send(to int, text string) {
	addr, known := t.addrs[to]
	if !known {
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort([]byte(text), addr); err != nil {
		t.log.Debug().Err(err).Int("to", to).Msg("message lost")
	}
}
