// Package transfer hands a message and open sockets over to another process on the same machine, for a hot
// restart. It uses a Unix socket and accepts only processes of the same user. The connection stays open while
// both processes run, so that each detects the end of the other.
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
	// sendTimeout limits the time to send a message.
	sendTimeout = time.Second
	// receiveTimeout limits the time to receive the handover. The predecessor may be stopped for a moment, or
	// its event loop may be busy.
	receiveTimeout = 3 * time.Second
)

// ErrRefused means that the predecessor refused to hand over to this process.
var ErrRefused = errors.New("the predecessor refused the handover")

// SocketPath returns the path of the Unix socket for handovers of the scheduler with this name and this
// address for clients. The path depends on the network namespace, because a scheduler in another namespace
// may have the same address and share the folder.
func SocketPath(listen, name string) string {
	namespace, _ := os.Readlink("/proc/self/ns/net") // empty if the system does not report it
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\n%s\n%s", listen, name, namespace) // never fails
	return filepath.Join(os.TempDir(), fmt.Sprintf("woaddyke-%016x", h.Sum64()))
}

// Handover is what a successor received from its predecessor.
type Handover struct {
	State []byte
	Files []*os.File // the sockets, in the predecessor's order
	Link  *Link      // informs the processes of each other's ops
	conn  *retryConn
}

// Close abandons the handover. The predecessor goes on as if it had no successor.
func (h *Handover) Close() {
	h.closeFiles()
	h.conn.Close()
}

func (h *Handover) closeFiles() {
	for _, f := range h.Files {
		f.Close()
	}
}

// Receive requests a handover from the process that serves at the path. Its error wraps os.ErrNotExist or
// ECONNREFUSED if no process serves there.
func Receive(path string, request []byte) (*Handover, error) {
	// Without a retry, a process that lacks a descriptor for a moment would start without a handover and
	// serve ids that its predecessor already serves.
	dialed, err := oserror.RetryTransient(func() (net.Conn, error) {
		return net.DialTimeout("unix", path, sendTimeout)
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	conn := &retryConn{dialed.(*net.UnixConn)}
	handover, err := requestHandover(conn, request)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("handover: exchange with the predecessor: %w", err)
	}
	go handover.Link.run()
	return handover, nil
}

func requestHandover(conn *retryConn, request []byte) (*Handover, error) {
	link, err := newLink(conn, true)
	if err != nil {
		return nil, err
	}
	if err := writeRequest(conn, request); err != nil {
		return nil, err
	}
	handover, err := readHandover(conn)
	if err != nil {
		return nil, err
	}
	handover.Link = link
	return handover, nil
}
