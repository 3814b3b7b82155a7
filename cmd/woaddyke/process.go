package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/cluster/replica"
	"woaddyke/internal/config"
	"woaddyke/internal/frontend"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/lifecycle/hotrestart/transfer"
)

// process is one scheduler's process, which may take the place of another and be replaced by one.
type process struct {
	bootstrap    *config.Bootstrap
	server       *frontend.Server
	log          zerolog.Logger
	lostLogLines func() uint64 // lines of the log that nobody could read; nil where nobody counts

	features      featureTables
	operatorBoard *operatorBoard   // beside mesh
	mesh          *mesh.Mesh       // nil where the operator's file has no members
	replica       *replica.Replica // nil where it has no copies
	stop          func()           // ends this process as SIGTERM does

	mu             sync.Mutex
	successorOffer io.Closer // ends the offer that is on
}

// setMemoryLimit sets how much the collector may let grow, with so many processes beside one another. The rest is for stacks, the
// program itself and what the kernel counts against it.
func (p *process) setMemoryLimit(processes int64) {
	debug.SetMemoryLimit(int64(p.bootstrap.Limits.MemoryMB) << 20 * 3 / 4 / processes)
}

// limitDescriptors takes the machine's own bound on descriptors for the configuration's where it is lower: what lies beyond is not there.
func limitDescriptors(sheet *config.Bootstrap, log zerolog.Logger) {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur >= uint64(sheet.Limits.Sockets) {
		return
	}
	log.Warn().Int("sockets", sheet.Limits.Sockets).Uint64("allowed", r.Cur).Msg("the machine allows fewer descriptors than the configuration")
	sheet.Limits.Sockets = int(r.Cur)
}

// createServer makes the scheduler, from what one before handed over if one did, and has it leave descriptors for what the operator's file has run beside it.
func (p *process) createServer(before *hotrestart.State) (err error) {
	if p.server, err = frontend.NewSuccessor(p.bootstrap, before, p.log); err != nil {
		return err
	}
	if p.lostLogLines != nil {
		p.server.SetLostLogLines(p.lostLogLines)
	}
	if n := p.features.descriptors(); n > 0 {
		p.server.Reserve(n)
	}
	return nil
}

// openServer makes the scheduler and its listening socket, from those of a process that is to be replaced if there is one.
func (p *process) openServer() (at net.Listener, err error) {
	var legacy *transfer.Handover
	stranger := false // beside another's scheduler clients would come to either
	if p.bootstrap.Console != "" {
		asker, err := p.handoverRequest().Encode()
		if err != nil {
			return nil, err
		}
		legacy, err = p.receiveHandover(asker)
		if err != nil && !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) {
			p.log.Warn().Err(err).Msg("nothing taken over")
		}
		stranger = errors.Is(err, transfer.ErrRefused)
	}
	if legacy != nil {
		if at, err = p.restore(legacy); err == nil {
			return at, nil
		}
		legacy.Close()
		p.log.Warn().Err(err).Msg("nothing taken over")
	}
	if err = p.createServer(nil); err != nil {
		return nil, err
	}
	var how net.ListenConfig
	if p.bootstrap.Console != "" && !stranger {
		how.Control = setReusePort
	}
	at, err = oserror.RetryTransient(func() (net.Listener, error) { return how.Listen(context.Background(), "tcp", p.bootstrap.Listen) })
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	if err = p.joinCluster(nil, hotrestart.State{}); err != nil {
		at.Close()
		return nil, err
	}
	return at, nil
}

const (
	joinTimeout     = 5 * time.Second // for the process before to become a member, so that it can hand that over
	receiveInterval = 100 * time.Millisecond
)

// receiveHandover takes over from the process before. One that is not a member yet, or not just now, is asked again: its member's address can only be
// had from it, and without that this process could not start.
func (p *process) receiveHandover(asker []byte) (*transfer.Handover, error) {
	path, there := transfer.SocketPath(p.bootstrap.Listen, p.bootstrap.Name), false
	for until := time.Now().Add(joinTimeout); ; time.Sleep(receiveInterval) {
		legacy, err := transfer.Receive(path, asker)
		if p.features.Members == nil || errors.Is(err, transfer.ErrRefused) || err != nil && !there || time.Now().After(until) {
			return legacy, err
		}
		if there = true; err != nil {
			continue // between two offers of its own
		}
		if state, err := hotrestart.DecodeState(legacy.State); err != nil || len(state.Membership) > 0 {
			return legacy, nil
		}
		legacy.Close()
	}
}

// setReusePort lets the process that takes this one's place listen beside it, where it could not take the socket over.
func setReusePort(_, _ string, c syscall.RawConn) error {
	var no error
	err := c.Control(func(fd uintptr) { no = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.Join(err, no)
}

// restore makes the scheduler from what came, and its listening socket from the one that came.
func (p *process) restore(legacy *transfer.Handover) (listener net.Listener, err error) {
	state, err := hotrestart.DecodeState(legacy.State)
	if err != nil {
		return nil, err
	}
	if len(legacy.Files) == 0 {
		return nil, errors.New("handover: no socket came")
	}
	at, err := oserror.RetryTransient(func() (net.Listener, error) { return net.FileListener(legacy.Files[0]) })
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer func() {
		if err != nil {
			at.Close() // open and unread, it would go on being dealt clients
		}
	}()
	if _, want, err := net.SplitHostPort(p.bootstrap.Listen); err == nil {
		if _, got, _ := net.SplitHostPort(at.Addr().String()); want != "0" && got != want {
			return nil, fmt.Errorf("handover: the socket that came is at %s", at.Addr())
		}
	}
	var peers *net.UDPConn
	if len(legacy.Files) > 1 && p.bootstrap.Peers != nil && len(state.Membership) == 0 {
		conn, err := oserror.RetryTransient(func() (net.PacketConn, error) { return net.FilePacketConn(legacy.Files[1]) })
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		peers, _ = conn.(*net.UDPConn)
	}
	p.bootstrap.KnownWorkers = state.KnownWorkers
	if err = p.createServer(&state); err != nil {
		return nil, err
	}
	if err = p.joinCluster(legacy, state); err != nil {
		return nil, err
	}
	for _, f := range legacy.Files {
		f.Close() // what is used of them was duplicated
	}
	p.server.RestoreState(state, peers)
	p.setMemoryLimit(2)
	p.log.Info().Int("sockets", state.Sockets).Msg("took over")
	go func() {
		<-legacy.PredecessorEnded
		p.server.Limit(p.bootstrap.Limits.Sockets)
		p.setMemoryLimit(1)
		p.log.Info().Msg("predecessor has ended")
	}()
	return at, nil
}

// offerHandover lets another process take the place of this one, once this one serves.
func (p *process) offerHandover() {
	<-p.server.Ready()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successorOffer != nil {
		p.successorOffer.Close()
	}
	var err error
	if p.successorOffer, err = transfer.Serve(transfer.SocketPath(p.bootstrap.Listen, p.bootstrap.Name), p, p.log); err != nil {
		p.log.Warn().Err(err).Msg("no process can take over from this one")
	}
}

// handoverRequest is who this process is to one whose place it may take, and to one that may take its own.
func (p *process) handoverRequest() hotrestart.Request {
	a := hotrestart.Request{Name: p.bootstrap.Name, Listen: p.bootstrap.Listen, Discovery: p.bootstrap.Discovery, Settings: p.bootstrap.SettingsHash()}
	if p.server != nil {
		a.Discovery, a.Settings = p.server.Discovery(), p.server.SettingsHash()
	}
	return a
}

// HandOver is the front's, to a process that may take the place of this one.
func (p *process) HandOver(asker []byte) ([]byte, []syscall.Conn, error) {
	a, err := hotrestart.DecodeRequest(asker)
	if err == nil {
		err = a.CheckSuccessorOf(p.handoverRequest())
	}
	if err != nil {
		return nil, nil, err
	}
	return p.server.HandOver(p.handOverMembership)
}

// SetSuccessor shares what only one process may use. An heir that was ready has offered in this one's place; when it has ended, the
// next would find nobody there.
func (p *process) SetSuccessor(there bool) {
	p.server.SetSuccessor(there)
	if there {
		p.setMemoryLimit(2)
		return
	}
	p.setMemoryLimit(1)
	if p.mesh != nil {
		p.mesh.Resume()
	}
	if p.replica != nil {
		p.replica.Resumed()
	}
	p.offerHandover()
}
