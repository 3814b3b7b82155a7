package transfer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/base/oserror"
)

// Predecessor is a process that hands over. HandOver answers a successor's request; its error refuses it.
// SetSuccessor says whether a successor is there. When the successor has ended, the path may be the
// successor's: a process that wants to be asked again must serve again.
type Predecessor interface {
	HandOver(request []byte) (state []byte, sockets []syscall.Conn, err error)
	SetSuccessor(present bool)
}

// Serve hands over to processes of the same user that ask at the path, one at a time, until the closer is
// closed. It takes the place of the process that served there before.
func Serve(path string, predecessor Predecessor, log zerolog.Logger) (io.Closer, error) {
	newPath := path + ".new"
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	listener, err := oserror.RetryTransient(func() (*net.UnixListener, error) {
		return net.ListenUnix("unix", &net.UnixAddr{Name: newPath, Net: "unix"})
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	listener.SetUnlinkOnClose(false) // by then the path may be the successor's
	if err := os.Rename(newPath, path); err != nil {
		listener.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	go acceptSuccessors(listener.AcceptUnix, predecessor, log)
	return listener, nil
}

// acceptSuccessors hands over to one process after another until accept's socket is closed.
func acceptSuccessors(accept func() (*net.UnixConn, error), predecessor Predecessor, log zerolog.Logger) {
	failures := 0 // in a row
	for {
		conn, err := accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as no descriptor; the successor waits in the socket's queue
			failures++
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		serveSuccessor(&retryConn{conn}, predecessor, log)
	}
}

// serveSuccessor hands over and returns when the successor has ended.
func serveSuccessor(line *retryConn, predecessor Predecessor, log zerolog.Logger) {
	accepted, err := handOver(line, predecessor)
	if err != nil {
		log.Warn().Err(err).Msg("handover rejected")
	} else {
		log.Info().Msg("handed over")
		waitForEnd(line)
		log.Info().Msg("successor has ended")
	}
	line.Close()
	if accepted {
		predecessor.SetSuccessor(false)
	}
}

// handOver answers one request. accepted tells whether SetSuccessor was called: that is before the
// successor gets anything, since then it may have this process end at once.
func handOver(line *retryConn, predecessor Predecessor) (accepted bool, err error) {
	if err := checkSameUser(line); err != nil {
		return false, err
	}
	request, err := readRequest(line)
	if err != nil {
		return false, err
	}
	state, sockets, err := predecessor.HandOver(request)
	if err != nil {
		line.Write(make([]byte, lengthSize)) // an empty state is a refusal
		return false, err
	}
	predecessor.SetSuccessor(true)
	return true, writeHandover(line, state, sockets)
}
