// Package transfer carries a hot restart from one process to another on the same machine: a message and
// open sockets, over a Unix socket that only the same user reaches. The connection stays open while both
// processes run, so that each sees the other's end.
package transfer

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"time"

	"woaddyke/internal/base/oserror"
)

const (
	// sendTimeout is for a complete message to be sent.
	sendTimeout = time.Second
	// receiveTimeout is for a predecessor that may not run for a moment, or whose event loop is busy, to
	// send all that it hands over.
	receiveTimeout = 3 * time.Second
)

// ErrRefused is a predecessor's answer that it hands nothing over to this process.
var ErrRefused = errors.New("the process there hands nothing to this one")

// SocketPath is where a scheduler of this name with this address for clients hands over. The network
// namespace is part of it: the same address may belong to another scheduler in another namespace that
// shares the folder.
func SocketPath(listen, name string) string {
	namespace, _ := os.Readlink("/proc/self/ns/net") // empty where the system does not say
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\n%s\n%s", listen, name, namespace) // never fails
	return filepath.Join(os.TempDir(), fmt.Sprintf("woaddyke-%016x", h.Sum64()))
}

// Handover is what a successor received from its predecessor.
type Handover struct {
	State            []byte
	Files            []*os.File    // the sockets, in the predecessor's order
	PredecessorEnded chan struct{} // closed when the predecessor has ended
	conn             *retryConn
}

// Close gives the handover up. The predecessor goes on alone.
func (h *Handover) Close() {
	h.closeFiles()
	h.conn.Close()
}

func (h *Handover) closeFiles() {
	for _, f := range h.Files {
		f.Close()
	}
}

// Receive requests a handover from the process that serves at the path. The error is os.ErrNotExist or
// ECONNREFUSED where there is none.
func Receive(path string, request []byte) (*Handover, error) {
	// Without a retry a process that lacks a descriptor for a moment would serve ids beside a predecessor
	// that has them already.
	conn, err := oserror.RetryTransient(func() (net.Conn, error) {
		return net.DialTimeout("unix", path, sendTimeout)
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	line := &retryConn{conn.(*net.UnixConn)}
	handover, err := requestHandover(line, request)
	if err != nil {
		line.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	go func() {
		defer close(handover.PredecessorEnded)
		waitForEnd(line)
	}()
	return handover, nil
}

func requestHandover(line *retryConn, request []byte) (*Handover, error) {
	if err := writeRequest(line, request); err != nil {
		return nil, err
	}
	return readHandover(line)
}
