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
	sheet *config.Bootstrap
	front *frontend.Server
	log   zerolog.Logger
	lost  func() uint64 // lines of the log that nobody could read; nil where nobody counts

	offers offers
	board  *board           // beside mesh
	mesh   *mesh.Mesh       // nil where the operator's file has no members
	fates  *replica.Replica // nil where it has no copies
	stop   func()           // ends this process as SIGTERM does

	mu      sync.Mutex
	offered io.Closer // ends the offer that is on
}

// memory sets how much the collector may let grow, with so many processes beside one another. The rest is for stacks, the
// program itself and what the kernel counts against it.
func (p *process) memory(processes int64) {
	debug.SetMemoryLimit(int64(p.sheet.Limits.MemoryMB) << 20 * 3 / 4 / processes)
}

// fewer takes the machine's own bound on descriptors for the configuration's where it is lower: what lies beyond is not there.
func fewer(sheet *config.Bootstrap, log zerolog.Logger) {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur >= uint64(sheet.Limits.Sockets) {
		return
	}
	log.Warn().Int("sockets", sheet.Limits.Sockets).Uint64("allowed", r.Cur).Msg("the machine allows fewer descriptors than the configuration")
	sheet.Limits.Sockets = int(r.Cur)
}

// make makes the scheduler, from what one before handed over if one did, and has it leave descriptors for what the operator's file has run beside it.
func (p *process) make(before *hotrestart.State) (err error) {
	if p.front, err = frontend.NewSuccessor(p.sheet, before, p.log); err != nil {
		return err
	}
	if p.lost != nil {
		p.front.SetLostLogLines(p.lost)
	}
	if n := p.offers.descriptors(); n > 0 {
		p.front.Reserve(n)
	}
	return nil
}

// begin makes the scheduler and its listening socket, from those of a process that is to be replaced if there is one.
func (p *process) begin() (at net.Listener, err error) {
	var legacy *transfer.Handover
	stranger := false // beside another's scheduler clients would come to either
	if p.sheet.Console != "" {
		asker, err := p.asker().Encode()
		if err != nil {
			return nil, err
		}
		legacy, err = p.ask(asker)
		if err != nil && !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) {
			p.log.Warn().Err(err).Msg("nothing taken over")
		}
		stranger = errors.Is(err, transfer.ErrRefused)
	}
	if legacy != nil {
		if at, err = p.inherit(legacy); err == nil {
			return at, nil
		}
		legacy.Close()
		p.log.Warn().Err(err).Msg("nothing taken over")
	}
	if err = p.make(nil); err != nil {
		return nil, err
	}
	var how net.ListenConfig
	if p.sheet.Console != "" && !stranger {
		how.Control = shared
	}
	at, err = oserror.RetryTransient(func() (net.Listener, error) { return how.Listen(context.Background(), "tcp", p.sheet.Listen) })
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	if err = p.join(nil, hotrestart.State{}); err != nil {
		at.Close()
		return nil, err
	}
	return at, nil
}

const (
	joinTime = 5 * time.Second // for the process before to become a member, so that it can hand that over
	askEvery = 100 * time.Millisecond
)

// ask takes over from the process before. One that is not a member yet, or not just now, is asked again: its member's address can only be
// had from it, and without that this process could not start.
func (p *process) ask(asker []byte) (*transfer.Handover, error) {
	path, there := transfer.SocketPath(p.sheet.Listen, p.sheet.Name), false
	for until := time.Now().Add(joinTime); ; time.Sleep(askEvery) {
		legacy, err := transfer.Receive(path, asker)
		if p.offers.Members == nil || errors.Is(err, transfer.ErrRefused) || err != nil && !there || time.Now().After(until) {
			return legacy, err
		}
		if there = true; err != nil {
			continue // between two offers of its own
		}
		if state, err := hotrestart.DecodeState(legacy.Text); err != nil || len(state.Membership) > 0 {
			return legacy, nil
		}
		legacy.Close()
	}
}

// shared lets the process that takes this one's place listen beside it, where it could not take the socket over.
func shared(_, _ string, c syscall.RawConn) error {
	var no error
	err := c.Control(func(fd uintptr) { no = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.Join(err, no)
}

// inherit makes the scheduler from what came, and its listening socket from the one that came.
func (p *process) inherit(legacy *transfer.Handover) (listener net.Listener, err error) {
	state, err := hotrestart.DecodeState(legacy.Text)
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
	if _, want, err := net.SplitHostPort(p.sheet.Listen); err == nil {
		if _, got, _ := net.SplitHostPort(at.Addr().String()); want != "0" && got != want {
			return nil, fmt.Errorf("handover: the socket that came is at %s", at.Addr())
		}
	}
	var peers *net.UDPConn
	if len(legacy.Files) > 1 && p.sheet.Peers != nil && len(state.Membership) == 0 {
		conn, err := oserror.RetryTransient(func() (net.PacketConn, error) { return net.FilePacketConn(legacy.Files[1]) })
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		peers, _ = conn.(*net.UDPConn)
	}
	p.sheet.KnownWorkers = state.KnownWorkers
	if err = p.make(&state); err != nil {
		return nil, err
	}
	if err = p.join(legacy, state); err != nil {
		return nil, err
	}
	for _, f := range legacy.Files {
		f.Close() // what is used of them was duplicated
	}
	p.front.RestoreState(state, peers)
	p.memory(2)
	p.log.Info().Int("sockets", state.Sockets).Msg("took over")
	go func() {
		<-legacy.PredecessorEnded
		p.front.Limit(p.sheet.Limits.Sockets)
		p.memory(1)
		p.log.Info().Msg("the process before has ended")
	}()
	return at, nil
}

// offer lets another process take the place of this one, once this one serves.
func (p *process) offer() {
	<-p.front.Ready()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offered != nil {
		p.offered.Close()
	}
	var err error
	if p.offered, err = transfer.Serve(transfer.SocketPath(p.sheet.Listen, p.sheet.Name), p, p.log); err != nil {
		p.log.Warn().Err(err).Msg("no process can take over from this one")
	}
}

// asker is who this process is to one whose place it may take, and to one that may take its own.
func (p *process) asker() hotrestart.Request {
	a := hotrestart.Request{Name: p.sheet.Name, Listen: p.sheet.Listen, Discovery: p.sheet.Discovery, Settings: p.sheet.SettingsHash()}
	if p.front != nil {
		a.Discovery, a.Settings = p.front.Discovery(), p.front.SettingsHash()
	}
	return a
}

// HandOver is the front's, to a process that may take the place of this one.
func (p *process) HandOver(asker []byte) ([]byte, []syscall.Conn, error) {
	a, err := hotrestart.DecodeRequest(asker)
	if err == nil {
		err = a.CheckSuccessorOf(p.asker())
	}
	if err != nil {
		return nil, nil, err
	}
	return p.front.HandOver(p.giveMember)
}

// SetSuccessor shares what only one process may use. An heir that was ready has offered in this one's place; when it has ended, the
// next would find nobody there.
func (p *process) SetSuccessor(there bool) {
	p.front.SetSuccessor(there)
	if there {
		p.memory(2)
		return
	}
	p.memory(1)
	if p.mesh != nil {
		p.mesh.Resume()
	}
	if p.fates != nil {
		p.fates.Resumed()
	}
	p.offer()
}
