package mesh

import (
	"net/netip"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/cluster/membership"
)

// readDatagrams handles datagrams until the sockets are interrupted or closed.
func (m *Mesh) readDatagrams() {
	buffer := make([]byte, maxServiceBytes+1)
	failures := 0 // consecutive
	for {
		n, from, err := m.sockets.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if readsEnded(err) {
				return
			}
			failures++ // the error is of one datagram, such as an unreachable port, or of this machine
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		m.receiveDatagram(buffer[:n], from.Addr())
	}
}

func (m *Mesh) receiveDatagram(data []byte, from netip.Addr) {
	if isServiceMessage(data) {
		m.receiveService(data, from)
		return
	}
	message, err := m.decodeDatagram(data, from)
	if err != nil {
		m.dropped.add(err)
		return
	}
	m.enqueue(membership.MessageReceived{Message: message})
}

func (m *Mesh) decodeDatagram(data []byte, from netip.Addr) (membership.Message, error) {
	if !m.config.isAllowed(from) {
		return membership.Message{}, errOutsideNetworks
	}
	if len(data) > maxDatagramBytes {
		return membership.Message{}, errTooLong
	}
	return decode(data, m.config.isAllowed)
}

// sendDatagram sends a membership message. If the message is too long, it is sent without its records, which
// then spread by push-pull.
func (m *Mesh) sendDatagram(to string, message membership.Message) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil || !m.config.isAllowed(addr.Addr()) {
		m.dropped.add(errOutsideNetworks)
		return
	}
	data, err := encode(message)
	if err == nil && len(data) > maxDatagramBytes {
		message.Records = nil
		data, err = encode(message)
	}
	if err == nil && len(data) <= maxDatagramBytes {
		_, err = m.sockets.udp.WriteToUDPAddrPort(data, addr)
	}
	if err != nil {
		m.log.Debug().Err(err).Str("to", to).Msg("message lost")
	}
}
