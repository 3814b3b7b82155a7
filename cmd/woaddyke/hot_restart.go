package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/lifecycle/hotrestart/transfer"
)

const (
	// joinTimeout is for a predecessor to become a member, so that it can hand that over.
	joinTimeout = 5 * time.Second
	// receiveInterval is between two requests for a handover.
	receiveInterval = 100 * time.Millisecond
)

// Positions of the sockets in a handover. Those of the mesh come last.
const (
	clientSocket = iota
	peerSocket
)

// requestHandover returns a predecessor's handover, nil without one. refused tells whether there is a
// process that hands nothing over to this one.
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

// receiveHandover returns a predecessor's handover. Where this process is to be a member, a predecessor
// that is none yet, or does not serve successors for a moment, is asked again: its address as a member
// can be had from it alone, and without that this process can't start.
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
			continue // the predecessor is about to serve again
		}
		state, err := hotrestart.DecodeState(handover.State)
		if err != nil || len(state.Membership) > 0 {
			return handover, nil
		}
		handover.Close()
	}
}

// restore creates the server from a handover, and returns its listening socket.
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
		listener.Close() // open and unread, it would go on being dealt clients
		return nil, err
	}
	p.setMemoryLimit(2)
	p.log.Info().Int("sockets", state.Sockets).Msg("took over")
	go func() {
		<-handover.PredecessorEnded
		p.server.SetDescriptorLimit(p.bootstrap.Limits.Sockets)
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
		f.Close() // what is used of them was duplicated
	}
	p.server.RestoreState(state, peers)
	return nil
}

func restoreListener(handover *transfer.Handover) (net.Listener, error) {
	if len(handover.Files) == 0 {
		return nil, errors.New("handover: no socket came")
	}
	listener, err := oserror.RetryTransient(func() (net.Listener, error) {
		return net.FileListener(handover.Files[clientSocket])
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return listener, nil
}

// checkPort checks that a predecessor's socket has the configured port. Port 0 is any.
func (p *process) checkPort(listener net.Listener) error {
	_, want, err := net.SplitHostPort(p.bootstrap.Listen)
	if err != nil {
		return nil
	}
	_, got, _ := net.SplitHostPort(listener.Addr().String())
	if want != "0" && got != want {
		return fmt.Errorf("handover: the socket that came is at %s", listener.Addr())
	}
	return nil
}

// restorePeerSocket returns the predecessor's socket for peer reports; nil where reports don't come by
// that way.
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
		return nil, fmt.Errorf("handover: %w", err)
	}
	peers, _ := conn.(*net.UDPConn)
	return peers, nil
}

// offerHandover serves successors, once this process serves clients.
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

// handoverRequest says which scheduler this process is, to its predecessor and in comparison with a
// successor.
func (p *process) handoverRequest() hotrestart.Request {
	request := hotrestart.Request{
		Name:      p.bootstrap.Name,
		Listen:    p.bootstrap.Listen,
		Discovery: p.bootstrap.Discovery,
		Settings:  p.bootstrap.SettingsHash(),
	}
	if p.server != nil { // a reload may have changed them
		request.Discovery = p.server.DiscoveryAddr()
		request.Settings = p.server.SettingsHash()
	}
	return request
}

// HandOver answers a successor's request for what this process hands over.
func (p *process) HandOver(message []byte) ([]byte, []syscall.Conn, error) {
	request, err := hotrestart.DecodeRequest(message)
	if err != nil {
		return nil, nil, err
	}
	if err := request.CheckSuccessorOf(p.handoverRequest()); err != nil {
		return nil, nil, err
	}
	return p.server.HandOver(p.handOverMembership)
}

// SetSuccessor shares what only one process may use. A successor that was ready has served at this
// process's path; after its end the next one would find nobody there.
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
