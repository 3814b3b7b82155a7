// Package mesh connects the schedulers of a cluster by datagrams and streams. It owns the sockets, the
// encoding and the clock of a membership.Node, and carries the messages of other services between members.
// Only this package decodes messages of other members. Package internal/cluster/membership decides what
// follows from them.
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

// Limits on the resources that other members can make this process use.
const (
	maxQueuedInputs    = 1024 // inputs that wait for the loop
	maxAcceptedStreams = 16   // open streams from other members
	maxOpenedStreams   = 16   // open streams to other members
	streamTimeout      = 5 * time.Second
	dialTimeout        = time.Second
	replyTimeout       = 2 * time.Second // longest wait for the loop's reply on a stream
	snapshotInterval   = 250 * time.Millisecond
	dropLogInterval    = time.Minute // minimum time between two log lines about dropped messages
	receiveBufferBytes = 1 << 20     // socket buffer for datagrams that arrive while the process is stopped
)

// Descriptors is the largest number of file descriptors that a mesh uses: two sockets, its streams, and a
// stream that is accepted only to be rejected.
const Descriptors = 2 + maxAcceptedStreams + maxOpenedStreams + 1

// Host holds the callbacks of a mesh. The mesh waits for each callback, so a callback must not wait for the
// mesh. The loop calls the callbacks about membership. Before the loop starts, Restore calls MembersRestored,
// and ServingChanged with the incarnation of the predecessor. The datagram reader calls the callbacks of the
// services: Drains, Replication, ReplicaSet and OperatorState. A nil callback is not called, and messages of
// a service with a nil callback are dropped.
type Host struct {
	MemberChanged func(membership.MemberChanged)
	UserMessage   func(number int, text string)
	Stopped       func(replaced bool) // called when this process is no longer a member

	// MembersRestored receives the members that a predecessor handed over, before the loop starts.
	MembersRestored func([]membership.MemberView)

	// ServingChanged receives whether this process serves as a member, and its incarnation.
	ServingChanged func(on bool, incarnation membership.Incarnation)

	Drains        func(from string, records []drainstate.DrainRecord)
	Replication   func(from string, message replication.Message)
	ReplicaSet    func(from string, message replicaset.Message)
	OperatorState func(from string, incarnation uint64, state operatorstate.State)
}

// Identity identifies this process among the schedulers.
type Identity struct {
	Name   string
	Number int    // index in the scheduler list of the settings; -1 if it is not listed
	Seed   uint64 // seed of the node's random numbers
}

// Mesh connects one process to its cluster. Its methods may be called from any goroutine.
type Mesh struct {
	config       *Config
	host         Host
	log          zerolog.Logger
	sockets      sockets
	node         *membership.Node // used only by the loop once the loop runs
	loop         loop
	streams      streamTable
	dropped      *dropCounter
	readers      sync.WaitGroup
	closeOnce    sync.Once
	handedOver   atomic.Bool // set by HandOver and cleared by Resume
	lastReported servingState

	status atomic.Pointer[Status]
	known  atomic.Pointer[knownMembers]
}

// Start joins a cluster on new sockets.
func Start(config *Config, identity Identity, host Host, log zerolog.Logger) (*Mesh, error) {
	s, err := listen(config.Listen)
	if err != nil {
		return nil, startError(err)
	}
	return startClosingOnError(config, identity, host, log, s, nil)
}

// Restore continues the membership of a predecessor from its state and its sockets. The files are the
// datagram socket and the stream listener, in this order.
func Restore(
	config *Config, identity Identity, host Host, log zerolog.Logger, state []byte, files []*os.File,
) (*Mesh, error) {
	predecessor, err := decodeHandover(state)
	if err != nil {
		return nil, err
	}
	if predecessor.Self.Name != identity.Name || len(files) != 2 {
		return nil, startError(errors.New(
			"the state handed over is of another member, or the number of files handed over is not 2"))
	}
	s, err := socketsFrom(files)
	if err != nil {
		return nil, startError(err)
	}
	return startClosingOnError(config, identity, host, log, s, &predecessor)
}

// startClosingOnError calls start and closes the sockets if it fails.
func startClosingOnError(
	config *Config, identity Identity, host Host, log zerolog.Logger,
	s sockets, predecessor *membership.HandoverState,
) (*Mesh, error) {
	m, err := start(config, identity, host, log, s, predecessor)
	if err != nil {
		s.close()
		return nil, err
	}
	return m, nil
}

// start runs a node on the sockets. If predecessor is nil, the process joins as a new member.
func start(
	config *Config, identity Identity, host Host, log zerolog.Logger,
	s sockets, predecessor *membership.HandoverState,
) (*Mesh, error) {
	s.udp.SetReadBuffer(receiveBufferBytes)
	addr := config.Advertise
	if addr == "" {
		addr = s.addr().String()
	}
	nodeConfig := config.membershipConfig(identity.Name, addr, identity.Number)
	nodeConfig.Seed = identity.Seed
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
		Str("member", identity.Name).
		Str("listen", s.addr().String()).
		Str("address", addr).
		Msg("joining the cluster")
	m.updateSnapshot()
	m.startReaders()
	if predecessor != nil && host.MembersRestored != nil {
		host.MembersRestored(m.node.View())
	}
	if predecessor != nil && host.ServingChanged != nil {
		host.ServingChanged(true, predecessor.Self.Incarnation)
	}
	go m.run()
	return m, nil
}

// setNonce sets the predecessor's nonce or, without a predecessor, a random nonce. The nonce isn't derived
// from the seed, because the next process of this name may have the same seed.
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

// Now returns the time since the machine's boot, in tenths of a millisecond, the unit of package membership.
// This clock advances while the process is stopped and while the machine sleeps, and it cannot be set.
func Now() membership.Time { return membership.Time(boottime.Since() / membership.Tenth) }

// Now returns the time of the mesh's clock.
func (m *Mesh) Now() membership.Time { return Now() }

// Names returns the sorted names of the other members that are alive or suspect.
func (m *Mesh) Names() (names []string) {
	for name, member := range m.known.Load().byName {
		if !member.State.Ended() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// SendUserMessage sends a text to the member with the given number. It does not wait.
func (m *Mesh) SendUserMessage(number int, text string) {
	m.enqueue(membership.SendUserMessage{Number: number, Text: text})
}

// Leave starts to notify the other members that this process leaves. It does not wait.
func (m *Mesh) Leave() { m.enqueue(membership.LeaveRequested{}) }

// HandOver returns the state and the sockets that a successor passes to Restore. Until Resume is called,
// this process sends no membership messages. Of the service messages, it sends only outcomes.
func (m *Mesh) HandOver() (state []byte, conns []syscall.Conn, err error) {
	err = startError(errors.New("cannot hand over: this process is not a member"))
	m.callInLoop(func() {
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
	return state, m.sockets.rawConns(), nil
}

// Resume continues the membership of this process after its successor has ended.
func (m *Mesh) Resume() {
	resumed := false
	m.callInLoop(func() {
		resumed = m.handedOver.CompareAndSwap(true, false)
		if resumed {
			m.startReaders()
		}
	})
	if !resumed {
		return
	}
	select { // waits while the queue is full, because this input must not be lost
	case m.loop.inputs <- membership.Resumed{}:
	case <-m.loop.done:
	}
}

// Close ends the mesh without notifying the other members. To leave the cluster, call Leave first and give it
// time.
func (m *Mesh) Close() {
	m.closeOnce.Do(func() {
		close(m.loop.quit)
		<-m.loop.done
		m.sockets.close()
		m.readers.Wait()
		m.streams.closeAll()
	})
}
