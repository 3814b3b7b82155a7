package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/cluster/replica"
	"woaddyke/internal/config"
	"woaddyke/internal/frontend"
	"woaddyke/internal/lifecycle/hotrestart"
)

// process is the process of one scheduler. It may be the successor of another process, and may have a
// successor itself.
type process struct {
	bootstrap    *config.Bootstrap
	features     featureTables
	log          zerolog.Logger
	lostLogLines func() uint64 // counts dropped log lines; nil if they are not counted
	stop         func()        // stops this process as SIGTERM does

	server        *frontend.Server
	mesh          *mesh.Mesh       // nil if the features file has no [members] table
	operatorBoard *operatorBoard   // nil if mesh is nil
	replica       *replica.Replica // nil if the features file has no [copies] table

	mu             sync.Mutex
	successorOffer io.Closer // the handover socket, on which successors are served
}

// setMemoryLimit sets the memory limits of the garbage collector and of clients' requests for a number of
// processes that share the configured memory. A quarter of the memory remains for the program itself and for
// what the kernel counts against it.
func (p *process) setMemoryLimit(processes int64) {
	bytes := int64(p.bootstrap.Limits.MemoryMB) << 20 / processes
	debug.SetMemoryLimit(bytes * 3 / 4)
	if p.server != nil {
		p.server.SetMemoryLimit(bytes)
	}
}

// limitDescriptors lowers the configured number of descriptors to the limit of the operating system.
func limitDescriptors(bootstrap *config.Bootstrap, log zerolog.Logger) {
	limits := &bootstrap.Limits
	var allowed unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &allowed)
	if err != nil || allowed.Cur >= uint64(limits.Descriptors) {
		return
	}
	log.Warn().Int("sockets", limits.Descriptors).Uint64("allowed", allowed.Cur).
		Msg("the machine allows fewer descriptors than the configuration")
	limits.Descriptors = int(allowed.Cur)
}

// openServer creates the server and its listening socket, from the handover of a predecessor if there is
// one.
func (p *process) openServer() (net.Listener, error) {
	handover, refused, err := p.requestHandover()
	if err != nil {
		return nil, err
	}
	if handover != nil {
		listener, err := p.restore(handover)
		if err == nil {
			return listener, nil
		}
		handover.Close()
		p.log.Warn().Err(err).Msg("state of the predecessor not restored: starting without it")
	}
	// Two processes of different deployments must not share a port: the kernel would assign each client to
	// one or the other.
	sharePort := p.bootstrap.Console != "" && !refused
	return p.openNewServer(sharePort)
}

// openNewServer creates a server that has no predecessor.
func (p *process) openNewServer(sharePort bool) (net.Listener, error) {
	if err := p.createServer(nil); err != nil {
		return nil, err
	}
	var options net.ListenConfig
	if sharePort {
		options.Control = setReusePort
	}
	listener, err := oserror.RetryTransient(func() (net.Listener, error) {
		return options.Listen(context.Background(), "tcp", p.bootstrap.Listen)
	})
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	if err := p.joinCluster(nil, hotrestart.State{}); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// createServer creates the server, from the predecessor's state if there is one. It reserves the
// descriptors that the features need.
func (p *process) createServer(predecessor *hotrestart.State) (err error) {
	if p.server, err = frontend.NewSuccessor(p.bootstrap, predecessor, p.log); err != nil {
		return err
	}
	if p.lostLogLines != nil {
		p.server.SetLostLogLines(p.lostLogLines)
	}
	if n := p.features.descriptors(); n > 0 {
		p.server.ReserveDescriptors(n)
	}
	return nil
}

// setReusePort lets a successor listen at the same port beside this process if it can't take over the
// socket.
func setReusePort(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, optErr)
}
