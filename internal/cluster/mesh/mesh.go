// Package mesh connects the schedulers of a cluster by datagrams and streams. It owns the sockets, the
// encoding and the clock of a membership.Node, and carries the messages of other services between members.
// It is the only package that reads what another scheduler sent; internal/cluster/membership decides.
package mesh

import (
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

// Bounds, each of something that others could make grow.
const (
	maxQueuedInputs    = 1024 // messages that were read and wait for the loop
	maxAcceptedStreams = 16   // that others opened
	maxOpenedStreams   = 16   // that this process opened
	streamTimeout      = 5 * time.Second
	dialTimeout        = time.Second
	replyTimeout       = 2 * time.Second // for the loop to reply on a stream
	snapshotInterval   = 250 * time.Millisecond
	dropLogInterval    = time.Minute // between two log lines about dropped messages
	receiveBufferBytes = 1 << 20     // that the kernel keeps for a process that is stopped
)

// Descriptors is the largest number of file descriptors that a mesh uses: two sockets, its streams, and one
// that is rejected.
const Descriptors = 2 + maxAcceptedStreams + maxOpenedStreams + 1

// Host is notified by the mesh. Its functions must not wait for the mesh. The loop calls the first four,
// the reader of datagrams the others. Nil functions are not called; messages of a service without one are
// dropped.
type Host struct {
	MemberChanged func(membership.MemberChanged)
	UserMessage   func(number int, text string)
	Stopped       func(replaced bool) // this process is no member any more

	// MembersRestored gets the members that a predecessor handed over. It is called before the loop runs.
	MembersRestored func([]membership.MemberView)

	// Serving reports whether this process is a member, and as which incarnation.
	Serving func(on bool, incarnation membership.Incarnation)

	Drains        func(from string, records []drainstate.DrainRecord)
	Replication   func(from string, message replication.Message)
	ReplicaSet    func(from string, message replicaset.Message)
	OperatorState func(from string, incarnation uint64, state operatorstate.State)
}

// Identity is who a process is among the schedulers.
type Identity struct {
	Name   string
	Number int // among the schedulers of the settings; -1 for none
	Seed   uint64
}

// Mesh is one process's part in a cluster. Its methods may be called from any goroutine.
type Mesh struct {
	config     *Config
	host       Host
	log        zerolog.Logger
	sockets    sockets
	node       *membership.Node // the loop's alone
	loop       loop
	streams    streamTable
	dropped    *dropCounter
	readers    sync.WaitGroup
	closeOnce  sync.Once
	handedOver atomic.Bool // a successor is the member: this process sends nothing
	reported   servingState

	status atomic.Pointer[Status]
	known  atomic.Pointer[knownMembers]
}

// Start joins a cluster, on new sockets.
func Start(config *Config, who Identity, host Host, log zerolog.Logger) (*Mesh, error) {
	s, err := listen(config.Listen)
	if err != nil {
		return nil, startError(err)
	}
	return startOrClose(config, who, host, log, s, nil)
}

// Restore goes on as the member that a predecessor was, with its state and its sockets: that of datagrams,
// then that of streams.
func Restore(
	config *Config, who Identity, host Host, log zerolog.Logger, state []byte, files []*os.File,
) (*Mesh, error) {
	predecessor, err := decodeHandover(state)
	if err != nil {
		return nil, err
	}
	if predecessor.Self.Name != who.Name || len(files) != 2 {
		return nil, startError(errors.New("what was handed over is another's"))
	}
	s, err := socketsFrom(files)
	if err != nil {
		return nil, startError(err)
	}
	return startOrClose(config, who, host, log, s, &predecessor)
}

// startOrClose is start, and closes the sockets where that fails.
func startOrClose(
	config *Config, who Identity, host Host, log zerolog.Logger,
	s sockets, predecessor *membership.HandoverState,
) (*Mesh, error) {
	m, err := start(config, who, host, log, s, predecessor)
	if err != nil {
		s.close()
		return nil, err
	}
	return m, nil
}

// start runs a node on sockets. The predecessor is nil for a process that joins.
func start(
	config *Config, who Identity, host Host, log zerolog.Logger,
	s sockets, predecessor *membership.HandoverState,
) (*Mesh, error) {
	s.udp.SetReadBuffer(receiveBufferBytes)
	addr := config.Advertise
	if addr == "" {
		addr = s.addr().String()
	}
	nodeConfig := config.membershipConfig(who.Name, addr, who.Number)
	nodeConfig.Seed = who.Seed
	if err := setNonce(&nodeConfig, predecessor); err != nil {
		return nil, startError(err)
	}
	if err := nodeConfig.Validate(); err != nil {
		return nil, startError(err)
	}
	m := &Mesh{
		config:  config,
		host:    host,
		log:     log,
		sockets: s,
		loop:    newLoop(),
		streams: newStreamTable(),
		dropped: newDropCounter(log),
	}
	if predecessor != nil {
		m.node = membership.Restore(nodeConfig, *predecessor, Now())
	} else {
		m.node = membership.New(nodeConfig, Now())
	}
	m.log.Info().
		Str("member", who.Name).
		Str("listen", s.addr().String()).
		Str("address", addr).
		Msg("joining the cluster")
	m.updateSnapshot()
	m.startReaders()
	if predecessor != nil && host.MembersRestored != nil {
		host.MembersRestored(m.node.View())
	}
	if predecessor != nil && host.Serving != nil {
		host.Serving(true, predecessor.Self.Incarnation)
	}
	go m.run()
	return m, nil
}

// setNonce sets the predecessor's nonce, or a random one. The seed cannot give it, as the next process of
// this name may have the same.
func setNonce(config *membership.Config, predecessor *membership.HandoverState) error {
	if predecessor != nil {
		config.Nonce = predecessor.Self.Nonce
		return nil
	}
	var random [8]byte
	if _, err := crand.Read(random[:]); err != nil {
		return err
	}
	config.Nonce = binary.BigEndian.Uint64(random[:]) | 1 // never 0
	return nil
}

func (m *Mesh) startReaders() {
	m.sockets.allowReads()
	m.readers.Go(m.readDatagrams)
	m.readers.Go(m.acceptStreams)
}

// Now returns the time of the clock of which all members' times are: the machine's time since its start. It
// goes on while a process is stopped and while the machine sleeps, and cannot be set.
func Now() membership.Time { return membership.Time(boottime.Since() / membership.Tenth) }

// Now returns the time of the mesh's clock.
func (m *Mesh) Now() membership.Time { return Now() }

// Names returns the names of the other members that are alive or suspect, in order.
func (m *Mesh) Names() (names []string) {
	for name, member := range m.known.Load().byName {
		if !member.State.Ended() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// SendUserMessage sends a text to the member with a number. It does not wait.
func (m *Mesh) SendUserMessage(number int, text string) {
	m.enqueue(membership.SendUserMessage{Number: number, Text: text})
}

// Leave has this process notify the others that it leaves. It does not wait.
func (m *Mesh) Leave() { m.enqueue(membership.LeaveRequested{}) }

// HandOver returns what a successor needs to Restore. From here on this process sends nothing, until
// Resume.
func (m *Mesh) HandOver() (state []byte, conns []syscall.Conn, err error) {
	err = startError(errors.New("not a member just now"))
	m.call(func() {
		handover, ok := m.node.HandoverState()
		if !ok {
			return
		}
		state, err = encodeHandover(handover)
		if err == nil {
			m.handedOver.Store(true)
		}
	})
	if err != nil {
		return nil, nil, err
	}
	m.sockets.interruptReads()
	m.readers.Wait()
	return state, m.sockets.conns(), nil
}

// Resume goes on as a member after the successor has ended.
func (m *Mesh) Resume() {
	resumed := false
	m.call(func() {
		resumed = m.handedOver.CompareAndSwap(true, false)
		if resumed {
			m.startReaders()
		}
	})
	if !resumed {
		return
	}
	select { // unlike a message, this input must not be lost
	case m.loop.inputs <- membership.Resumed{}:
	case <-m.loop.done:
	}
}

// Close ends the mesh at once. A process that leaves is given time to notify the others before.
func (m *Mesh) Close() {
	m.closeOnce.Do(func() {
		close(m.loop.quit)
		<-m.loop.done
		m.sockets.close()
		m.readers.Wait()
		m.streams.closeAll()
	})
}
