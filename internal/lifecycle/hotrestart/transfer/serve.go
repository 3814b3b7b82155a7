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

// Predecessor is a process that hands its state and sockets over. HandOver answers a successor's request; an
// error refuses the request. From the moment that the state describes, the process announces its ops on the
// link. SetSuccessor is called when a successor is accepted and when it has ended. The
// successor may have replaced the predecessor's socket at the path of Serve before it ended. So after
// SetSuccessor(false), the predecessor must call Serve again to receive further requests.
type Predecessor interface {
	HandOver(request []byte, link *Link) (state []byte, sockets []syscall.Conn, err error)
	SetSuccessor(present bool)
}

// Serve answers requests for a handover at the path, one at a time, until the returned closer is closed. It
// accepts processes of the same user only, and replaces the process that served at the path before.
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
	listener.SetUnlinkOnClose(false) // the successor may serve at the path by then
	if err := os.Rename(newPath, path); err != nil {
		listener.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	go acceptSuccessors(listener.AcceptUnix, predecessor, log)
	return listener, nil
}

// acceptSuccessors answers the requests of one process after another until accept's socket is closed.
func acceptSuccessors(accept func() (*net.UnixConn, error), predecessor Predecessor, log zerolog.Logger) {
	failures := 0 // consecutive failures of accept
	for {
		conn, err := accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example EMFILE; the successor stays in the listen queue
			failures++
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		serveSuccessor(&retryConn{conn}, predecessor, log)
	}
}

// serveSuccessor answers one request, and returns when the successor has ended.
func serveSuccessor(conn *retryConn, predecessor Predecessor, log zerolog.Logger) {
	link, err := newLink(conn, false)
	if err != nil {
		log.Warn().Err(err).Msg("handover rejected")
		conn.Close()
		return
	}
	accepted, err := handOver(conn, predecessor, link)
	if err != nil {
		log.Warn().Err(err).Msg("handover rejected")
		conn.Close()
	} else {
		log.Info().Msg("handed over")
	}
	link.run()
	if err == nil {
		log.Info().Msg("successor has ended")
	}
	conn.Close()
	if accepted {
		predecessor.SetSuccessor(false)
	}
}

// handOver answers one request. accepted reports whether it has called SetSuccessor. It calls
// SetSuccessor before it sends the state, since a successor that has the state may make this process end
// immediately.
func handOver(conn *retryConn, predecessor Predecessor, link *Link) (accepted bool, err error) {
	if err := checkSameUser(conn); err != nil {
		return false, err
	}
	request, err := readRequest(conn)
	if err != nil {
		return false, err
	}
	state, sockets, err := predecessor.HandOver(request, link)
	if err != nil {
		conn.Write(make([]byte, lengthSize)) // an empty state is a refusal
		return false, err
	}
	predecessor.SetSuccessor(true)
	if err := writeHandover(conn, state, sockets); err != nil {
		return true, err
	}
	return true, link.start()
}
