package mesh

import (
	"net/netip"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// receiveService passes a service message to the host, if it comes from the process that is known under its
// sender's name. It is dropped while this process is no member.
func (m *Mesh) receiveService(text []byte, from netip.Addr) {
	message, err := m.decodeServiceDatagram(text, from)
	if err == nil {
		err = m.checkService(message)
	}
	if err != nil {
		m.dropped.add(err)
		return
	}
	if m.known.Load().self.State != membership.Alive {
		return
	}
	sender := message.From
	switch {
	case message.Replication != nil:
		m.host.Replication(sender.Name, *message.Replication)
	case message.ReplicaSet != nil:
		m.host.ReplicaSet(sender.Name, *message.ReplicaSet)
	case message.OperatorState != nil:
		m.host.OperatorState(sender.Name, sender.Incarnation, *message.OperatorState)
	case message.Drains != nil:
		m.host.Drains(sender.Name, message.Drains)
	}
}

func (m *Mesh) decodeServiceDatagram(text []byte, from netip.Addr) (serviceMessage, error) {
	if !m.config.allowed(from) {
		return serviceMessage{}, errOutside
	}
	if len(text) > maxServiceBytes {
		return serviceMessage{}, errTooLong
	}
	return decodeService(text)
}

// checkService returns the cause for which a message is dropped, or nil.
func (m *Mesh) checkService(message serviceMessage) error {
	if message.Cluster != m.config.Cluster {
		return errWrongCluster
	}
	if !m.enabled(message) {
		return errNotEnabled
	}
	sender, known := m.known.Load().byName[message.From.Name]
	if !known || sender.Incarnation != message.From.incarnation() {
		return errUnknownSender
	}
	return nil
}

// enabled tells whether the host takes the messages of the service.
func (m *Mesh) enabled(message serviceMessage) bool {
	return (message.Replication == nil || m.host.Replication != nil) &&
		(message.ReplicaSet == nil || m.host.ReplicaSet != nil) &&
		(message.Drains == nil || m.host.Drains != nil) &&
		(message.OperatorState == nil || m.host.OperatorState != nil)
}

// SendReplication sends a message of replication to a member. It is lost where that member is not known.
// After HandOver only outcomes are sent: the successor votes.
func (m *Mesh) SendReplication(to string, message replication.Message) {
	if !m.handedOver.Load() || message.Kind == replication.OutcomeReported {
		m.sendService(to, serviceMessage{Replication: &message})
	}
}

// SendReplicaSet sends a message of the replica set to a member.
func (m *Mesh) SendReplicaSet(to string, message replicaset.Message) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{ReplicaSet: &message})
	}
}

// BroadcastOperatorState sends a member what operators decided for this process.
func (m *Mesh) BroadcastOperatorState(to string, state operatorstate.State) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{OperatorState: &state})
	}
}

// SendDrains sends drain records to a member.
func (m *Mesh) SendDrains(to string, records []drainstate.DrainRecord) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{Drains: records})
	}
}

func (m *Mesh) sendService(to string, message serviceMessage) {
	known := m.known.Load()
	receiver, ok := known.byName[to]
	if !ok || known.self.State != membership.Alive {
		return
	}
	addr, err := netip.ParseAddrPort(receiver.Addr)
	if err != nil || !m.config.allowed(addr.Addr()) {
		return
	}
	message.Cluster = m.config.Cluster
	message.From = recordToWire(known.self)
	if err := m.writeService(addr, message); err != nil {
		m.log.Debug().Err(err).Str("to", to).Msg("message lost")
	}
}

func (m *Mesh) writeService(to netip.AddrPort, message serviceMessage) error {
	text, err := encodeService(message)
	if err != nil {
		return err
	}
	if len(text) > maxServiceBytes {
		m.dropped.add(errTooLong)
		return errTooLong
	}
	_, err = m.sockets.udp.WriteToUDPAddrPort(text, to)
	return err
}
