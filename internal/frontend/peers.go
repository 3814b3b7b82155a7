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

const maxPeerMessage = 64 // bytes of a datagram; one that is cut off decodes to no message

// peerMessages brings messages from and to the other schedulers.
type peerMessages struct {
	loop      *scheduler.Loop
	changes   *spillqueue.Queue[scheduler.Message] // of members, to the loop
	sender    func(to int, text string)            // in place of the transport; nil without members
	inherited *net.UDPConn                         // a predecessor's socket, nil without one
	transport *peerTransport                       // nil without addresses in the configuration
	lost      atomic.Uint64                        // messages that found no space in the loop's inbox
	log       zerolog.Logger
}

func newPeerMessages(loop *scheduler.Loop, log zerolog.Logger) *peerMessages {
	return &peerMessages{loop: loop, changes: spillqueue.New(loop.Inbox(), loop.Done()), log: log}
}

// open starts the transport where the configuration has addresses of peers.
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

// conn is the transport's socket, nil without a transport.
func (p *peerMessages) conn() *net.UDPConn {
	if p.transport == nil {
		return nil
	}
	return p.transport.conn
}

// stopReceiving leaves messages to the process that shares the socket.
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

// SetPeerSender sends messages to other schedulers another way than to the configuration's addresses. It
// is called before Serve.
func (s *Server) SetPeerSender(send func(to int, text string)) { s.peers.sender = send }

// ReceivePeerInput takes what other parts of the process learn of other schedulers: a message, a loss, a join.
// It never waits for the loop: a message that finds no space is lost, as a datagram is.
func (s *Server) ReceivePeerInput(event reducer.Input) {
	if _, message := event.(reducer.PeerMessage); !message {
		// Changes of members are few, and must be neither lost nor reordered.
		s.peers.changes.Put(scheduler.Input{Event: event})
		return
	}
	select {
	case s.loop.Inbox() <- scheduler.Input{Event: event}:
	default:
		s.peers.lost.Add(1)
	}
}

// peerTransport sends and receives datagrams. One that is lost, late or duplicated does no harm: a
// message says how many attempts are in flight, not what has changed.
type peerTransport struct {
	conn    *net.UDPConn
	addrs   map[int]netip.AddrPort
	numbers map[netip.AddrPort]int
	log     zerolog.Logger
}

// newPeerTransport uses the socket given, or else opens one.
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

// receive reads until the socket is closed. Datagrams from addresses that the configuration doesn't name
// are dropped.
func (t *peerTransport) receive(send func(reducer.Input)) {
	var buffer [maxPeerMessage]byte
	failures := 0 // in a row
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil { // of one datagram, or a passing shortage of this machine
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
