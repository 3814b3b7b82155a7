package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/lifecycle/hotrestart/transfer"
	"woaddyke/internal/scheduler/reducer"
)

const (
	// joinTimeout is the maximum time for a predecessor to become a member and hand over its membership.
	joinTimeout = 5 * time.Second
	// receiveInterval is the time between two requests for a handover.
	receiveInterval = 100 * time.Millisecond
)

// Positions of the sockets in a handover. The sockets of the mesh come last.
const (
	clientSocket = iota
	peerSocket
)

// errNoAnnouncements means that the predecessor did not say in time which ops it had admitted since its state.
var errNoAnnouncements = errors.New("handover: no announcements received from the predecessor")

// sibling adapts the link to the other process of a hot restart to the scheduler's loop.
type sibling struct{ *transfer.Link }

// Announce informs the other process of an op.
func (s sibling) Announce(key string, ttl time.Duration) error {
	return s.Link.Announce(transfer.Announcement{Key: key, TTL: ttl})
}

// Announced returns the ops that the other process has announced since the last call.
func (s sibling) Announced() (ids []reducer.AnnouncedID, err error) {
	announced, err := s.Link.Announced()
	for _, a := range announced {
		ids = append(ids, reducer.AnnouncedID{Key: a.Key, TTL: config.RoundUp(int64(a.TTL))})
	}
	return ids, err
}

// requestHandover returns the handover of a predecessor, or nil without a predecessor. refused reports
// whether a process of this address and name runs and refused to hand over its state.
func (p *process) requestHandover() (handover *transfer.Handover, refused bool, err error) {
	if p.bootstrap.Console == "" {
		return nil, false, nil
	}
	request, err := p.handoverRequest().Encode()
	if err != nil {
		return nil, false, err
	}
	handover, err = p.receiveHandover(request)
	if err != nil && !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) {
		p.log.Warn().Err(err).Msg("no state received from the predecessor")
	}
	return handover, errors.Is(err, transfer.ErrRefused), nil
}

// receiveHandover returns the handover of a predecessor. If this process is to be a member, it repeats the
// request while the predecessor is not a member yet or does not serve successors for a moment: only the
// predecessor can hand over its member address, and this process can't start without that address.
func (p *process) receiveHandover(request []byte) (*transfer.Handover, error) {
	path := p.handoverPath()
	found := false
	for deadline := time.Now().Add(joinTimeout); ; time.Sleep(receiveInterval) {
		handover, err := transfer.Receive(path, request)
		if p.features.Members == nil || errors.Is(err, transfer.ErrRefused) || time.Now().After(deadline) {
			return handover, err
		}
		if err != nil && !found {
			return handover, err
		}
		found = true
		if err != nil {
			continue // the predecessor serves successors again soon
		}
		state, err := hotrestart.DecodeState(handover.State)
		if err != nil || len(state.Membership) > 0 {
			return handover, nil
		}
		handover.Close()
	}
}

// restore creates the server from a handover, and returns the listening socket of the predecessor.
func (p *process) restore(handover *transfer.Handover) (listener net.Listener, err error) {
	state, err := hotrestart.DecodeState(handover.State)
	if err != nil {
		return nil, err
	}
	listener, err = restoreListener(handover)
	if err != nil {
		return nil, err
	}
	if err := p.restoreServer(handover, state, listener); err != nil {
		listener.Close() // the kernel would still assign clients to an open listener
		return nil, err
	}
	p.setMemoryLimit(2)
	p.log.Info().Int("sockets", state.DescriptorLimit).Msg("took over")
	go func() {
		<-p.server.Ready()
		if err := handover.Link.SignalServing(); err != nil {
			p.log.Warn().Err(err).Msg("predecessor not informed that this process serves")
		}
	}()
	go func() {
		<-handover.Link.Ended()
		p.server.SetDescriptorLimit(p.bootstrap.Limits.Descriptors)
		p.setMemoryLimit(1)
		if p.replica != nil {
			p.replica.PredecessorEnded()
		}
		p.log.Info().Msg("predecessor has ended")
	}()
	return listener, nil
}

func (p *process) restoreServer(
	handover *transfer.Handover,
	state hotrestart.State,
	listener net.Listener,
) error {
	if err := p.checkPort(listener); err != nil {
		return err
	}
	peers, err := p.restorePeerSocket(handover, state)
	if err != nil {
		return err
	}
	p.bootstrap.KnownWorkers = state.KnownWorkers
	if err := p.createServer(&state); err != nil {
		return err
	}
	if err := p.joinCluster(handover, state); err != nil {
		return err
	}
	for _, f := range handover.Files {
		f.Close() // the sockets in use are duplicates
	}
	if state.AnnouncesOps && !handover.Link.AwaitStart() {
		return errNoAnnouncements
	}
	p.server.RestoreState(state, sibling{handover.Link}, peers)
	return nil
}

func restoreListener(handover *transfer.Handover) (net.Listener, error) {
	if len(handover.Files) == 0 {
		return nil, errors.New("handover: no socket received")
	}
	listener, err := oserror.RetryTransient(func() (net.Listener, error) {
		return net.FileListener(handover.Files[clientSocket])
	})
	if err != nil {
		return nil, fmt.Errorf("handover: opening the listening socket: %w", err)
	}
	return listener, nil
}

// checkPort checks that the predecessor's socket has the configured port. Port 0 allows any port.
func (p *process) checkPort(listener net.Listener) error {
	_, want, err := net.SplitHostPort(p.bootstrap.Listen)
	if err != nil {
		return nil
	}
	_, got, _ := net.SplitHostPort(listener.Addr().String())
	if want != "0" && got != want {
		return fmt.Errorf("handover: the received socket is at %s, want port %s", listener.Addr(), want)
	}
	return nil
}

// restorePeerSocket returns the predecessor's socket for peer reports. It returns nil if peer reports are
// disabled or sent through the mesh.
func (p *process) restorePeerSocket(
	handover *transfer.Handover,
	state hotrestart.State,
) (*net.UDPConn, error) {
	if len(handover.Files) <= peerSocket || p.bootstrap.Peers == nil || len(state.Membership) > 0 {
		return nil, nil
	}
	conn, err := oserror.RetryTransient(func() (net.PacketConn, error) {
		return net.FilePacketConn(handover.Files[peerSocket])
	})
	if err != nil {
		return nil, fmt.Errorf("handover: opening the socket for peer reports: %w", err)
	}
	peers, _ := conn.(*net.UDPConn)
	return peers, nil
}

// offerHandover serves successors as soon as this process serves clients.
func (p *process) offerHandover() {
	<-p.server.Ready()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successorOffer != nil {
		p.successorOffer.Close()
	}
	var err error
	if p.successorOffer, err = transfer.Serve(p.handoverPath(), p, p.log); err != nil {
		p.log.Warn().Err(err).Msg("handover socket not opened")
	}
}

func (p *process) handoverPath() string {
	return transfer.SocketPath(p.bootstrap.Listen, p.bootstrap.Name)
}

// handoverRequest describes the scheduler of this process. The process sends it to its predecessor, and
// compares the request of a successor with it.
func (p *process) handoverRequest() hotrestart.Request {
	request := hotrestart.Request{
		Name:      p.bootstrap.Name,
		Listen:    p.bootstrap.Listen,
		Discovery: p.bootstrap.Discovery,
		Settings:  p.bootstrap.SettingsHash(),
	}
	if p.server != nil { // a reload may have changed these two values
		request.Discovery = p.server.DiscoveryAddr()
		request.Settings = p.server.SettingsHash()
	}
	return request
}

// HandOver answers a successor's request with the state and the sockets of this process.
func (p *process) HandOver(message []byte, link *transfer.Link) ([]byte, []syscall.Conn, error) {
	request, err := hotrestart.DecodeRequest(message)
	if err != nil {
		return nil, nil, err
	}
	if err := request.CheckSuccessorOf(p.handoverRequest()); err != nil {
		return nil, nil, err
	}
	go func() {
		select {
		case <-link.Started():
			p.server.SuccessorServes()
		case <-link.Ended():
		}
	}()
	return p.server.HandOver(sibling{link}, p.handOverMembership)
}

// SetSuccessor adapts this process to the start or the end of a successor: the processes share the memory
// limit, and the mesh and the replica resume when the successor ends. A ready successor replaces the
// handover socket at the path of this process, so the socket is opened again after the end of the
// successor. Otherwise the next successor would find no process at that path.
func (p *process) SetSuccessor(present bool) {
	p.server.SetSuccessor(present)
	if present {
		p.setMemoryLimit(2)
		return
	}
	p.setMemoryLimit(1)
	if p.mesh != nil {
		p.mesh.Resume()
	}
	if p.replica != nil {
		p.replica.ResumeAfterSuccessor()
	}
	p.offerHandover()
}
