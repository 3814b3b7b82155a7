package mesh

import (
	"net/netip"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// receiveService passes a service message to the host if its sender is the process that is known under the
// sender's name. While this process does not take part in the service, it ignores the message.
func (m *Mesh) receiveService(data []byte, from netip.Addr) {
	message, err := m.decodeServiceDatagram(data, from)
	if err == nil {
		err = m.checkService(message)
	}
	if err != nil {
		m.dropped.add(err)
		return
	}
	if !m.takesPart(message) {
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

// takesPart reports whether this process sends and receives a service message. One that has left still holds ops,
// whose outcomes the replicas must learn. It requests no claims and grants none.
func (m *Mesh) takesPart(message serviceMessage) bool {
	switch m.known.Load().self.State {
	case membership.Alive:
		return true
	case membership.Left:
		return message.Replication != nil
	}
	return false
}

func (m *Mesh) decodeServiceDatagram(data []byte, from netip.Addr) (serviceMessage, error) {
	if !m.config.isAllowed(from) {
		return serviceMessage{}, errOutsideNetworks
	}
	if len(data) > maxServiceBytes {
		return serviceMessage{}, errTooLong
	}
	return decodeService(data)
}

// checkService returns the dropCause of a message that must be dropped, or nil.
func (m *Mesh) checkService(message serviceMessage) error {
	if message.Cluster != m.config.Cluster {
		return errWrongCluster
	}
	if !m.serviceEnabled(message) {
		return errServiceDisabled
	}
	sender, known := m.known.Load().byName[message.From.Name]
	if !known || sender.Incarnation != message.From.incarnation() {
		return errUnknownSender
	}
	return nil
}

// serviceEnabled reports whether the host has a callback for the service of a message.
func (m *Mesh) serviceEnabled(message serviceMessage) bool {
	return (message.Replication == nil || m.host.Replication != nil) &&
		(message.ReplicaSet == nil || m.host.ReplicaSet != nil) &&
		(message.Drains == nil || m.host.Drains != nil) &&
		(message.OperatorState == nil || m.host.OperatorState != nil)
}

// SendReplication sends a replication message to a member. If the member is not known, the message is lost.
// After HandOver, only outcomes are sent, because the successor votes.
func (m *Mesh) SendReplication(to string, message replication.Message) {
	if !m.handedOver.Load() || message.Kind == replication.OutcomeReported {
		m.sendService(to, serviceMessage{Replication: &message})
	}
}

// SendReplicaSet sends a replica set message to a member, except after HandOver.
func (m *Mesh) SendReplicaSet(to string, message replicaset.Message) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{ReplicaSet: &message})
	}
}

// SendOperatorState sends the operator state of this process to one member, except after HandOver.
func (m *Mesh) SendOperatorState(to string, state operatorstate.State) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{OperatorState: &state})
	}
}

// SendDrains sends drain records to a member, except after HandOver.
func (m *Mesh) SendDrains(to string, records []drainstate.DrainRecord) {
	if !m.handedOver.Load() {
		m.sendService(to, serviceMessage{Drains: records})
	}
}

func (m *Mesh) sendService(to string, message serviceMessage) {
	known := m.known.Load()
	receiver, ok := known.byName[to]
	if !ok || !m.takesPart(message) {
		return
	}
	addr, err := netip.ParseAddrPort(receiver.Addr)
	if err != nil || !m.config.isAllowed(addr.Addr()) {
		return
	}
	message.Cluster = m.config.Cluster
	message.From = recordToWire(known.self)
	if err := m.writeService(addr, message); err != nil {
		m.log.Debug().Err(err).Str("to", to).Msg("message lost")
	}
}

func (m *Mesh) writeService(to netip.AddrPort, message serviceMessage) error {
	data, err := encodeService(message)
	if err != nil {
		return err
	}
	if len(data) > maxServiceBytes {
		m.dropped.add(errTooLong)
		return errTooLong
	}
	_, err = m.sockets.udp.WriteToUDPAddrPort(data, to)
	return err
}
