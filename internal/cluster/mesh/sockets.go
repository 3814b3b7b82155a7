package mesh

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"woaddyke/internal/base/oserror"
)

const maxPortAttempts = 20 // ports tried until one is free for both datagrams and streams

// sockets holds the datagram socket and the stream listener of a member, on the same address and port.
type sockets struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

// listen opens both sockets. With port 0 it tries several ports, because a port that is free for datagrams
// may be in use for streams.
func listen(text string) (s sockets, err error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return s, err
	}
	for range maxPortAttempts {
		s.udp, err = oserror.RetryTransient(func() (*net.UDPConn, error) {
			return net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		})
		if err != nil {
			return s, err
		}
		sameAddr := net.TCPAddrFromAddrPort(s.udp.LocalAddr().(*net.UDPAddr).AddrPort())
		s.tcp, err = oserror.RetryTransient(func() (*net.TCPListener, error) {
			return net.ListenTCP("tcp", sameAddr)
		})
		if err == nil {
			return s, nil
		}
		s.udp.Close()
		if addr.Port() != 0 {
			break
		}
	}
	return s, err
}

// socketsFrom takes over the sockets of a predecessor. The files are the datagram socket and the stream
// listener, in this order.
func socketsFrom(files []*os.File) (s sockets, err error) {
	conn, err := oserror.RetryTransient(func() (net.PacketConn, error) {
		return net.FilePacketConn(files[0])
	})
	if err != nil {
		return s, err
	}
	listener, err := oserror.RetryTransient(func() (net.Listener, error) {
		return net.FileListener(files[1])
	})
	if err != nil {
		conn.Close()
		return s, err
	}
	udp, isUDP := conn.(*net.UDPConn)
	tcp, isTCP := listener.(*net.TCPListener)
	if !isUDP || !isTCP {
		conn.Close()
		listener.Close()
		return s, errors.New("the files handed over are not a UDP socket and a TCP listener")
	}
	return sockets{udp, tcp}, nil
}

func (s sockets) addr() *net.UDPAddr { return s.udp.LocalAddr().(*net.UDPAddr) }

// allowReads makes reads possible again after interruptReads.
func (s sockets) allowReads() {
	s.udp.SetReadDeadline(time.Time{})
	s.tcp.SetDeadline(time.Time{})
}

// interruptReads makes all reads fail with os.ErrDeadlineExceeded.
func (s sockets) interruptReads() {
	past := time.Unix(1, 0)
	s.udp.SetReadDeadline(past)
	s.tcp.SetDeadline(past)
}

// rawConns returns the sockets in the order that socketsFrom expects.
func (s sockets) rawConns() []syscall.Conn { return []syscall.Conn{s.udp, s.tcp} }

func (s sockets) close() {
	s.udp.Close()
	s.tcp.Close()
}

// readsEnded reports whether a read failed because the sockets were interrupted or closed.
func readsEnded(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// startError wraps an error of Start, Restore or HandOver.
func startError(err error) error { return fmt.Errorf("members: %w", err) }
