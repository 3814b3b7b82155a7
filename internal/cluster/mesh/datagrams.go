package mesh

import (
	"net/netip"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/cluster/membership"
)

// readDatagrams reads until the sockets are interrupted or closed.
func (m *Mesh) readDatagrams() {
	buffer := make([]byte, maxServiceBytes+1)
	failures := 0 // in a row
	for {
		n, from, err := m.sockets.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if readsEnded(err) {
				return
			}
			failures++ // of one datagram, such as a port that was unreachable, or of this machine
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		m.receiveDatagram(buffer[:n], from.Addr())
	}
}

func (m *Mesh) receiveDatagram(text []byte, from netip.Addr) {
	if isService(text) {
		m.receiveService(text, from)
		return
	}
	message, err := m.decodeDatagram(text, from)
	if err != nil {
		m.dropped.add(err)
		return
	}
	m.enqueue(membership.MessageReceived{Message: message})
}

func (m *Mesh) decodeDatagram(text []byte, from netip.Addr) (membership.Message, error) {
	if !m.config.allowed(from) {
		return membership.Message{}, errOutside
	}
	if len(text) > maxDatagramBytes {
		return membership.Message{}, errTooLong
	}
	return decode(text, m.config.allowed)
}

// sendDatagram sends a membership message. Records that do not fit are left to push-pull.
func (m *Mesh) sendDatagram(to string, message membership.Message) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil || !m.config.allowed(addr.Addr()) {
		m.dropped.add(errOutside)
		return
	}
	text, err := encode(message)
	if err == nil && len(text) > maxDatagramBytes {
		message.Records = nil
		text, err = encode(message)
	}
	if err == nil && len(text) <= maxDatagramBytes {
		_, err = m.sockets.udp.WriteToUDPAddrPort(text, addr)
	}
	if err != nil {
		m.log.Debug().Err(err).Str("to", to).Msg("message lost")
	}
}
