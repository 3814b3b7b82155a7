// Package transfer carries a handover from one process to another on the same machine: a message and open sockets, over a Unix
// socket that only the same user reaches. The connection stays open while both run, so each sees the other's end.
package transfer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"woaddyke/internal/base/oserror"
)

const (
	sendTimeout     = time.Second     // for a whole message
	receiveTimeout  = 3 * time.Second // for a giver that may stand for a moment, or whose loop is busy, to answer with all that it hands over
	maxStateBytes   = 64 << 20        // bytes of one: 24 MB learned of 12,600 workers, 12 MiB of ids, lists and members, and as much again
	maxRequestBytes = 64 << 10
	maxSockets      = 4 // that come with one
)

// SocketPath is where a scheduler of this name with this address for clients hands over. The same address may be another one's in another
// network namespace that shares the folder.
func SocketPath(listen, name string) string {
	space, _ := os.Readlink("/proc/self/ns/net") // empty where it is not told
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\n%s\n%s", listen, name, space) // never fails
	return filepath.Join(os.TempDir(), fmt.Sprintf("woaddyke-%016x", h.Sum64()))
}

// Handover is what a process got from the one before it.
type Handover struct {
	State            []byte
	Files            []*os.File    // the sockets, in the order in which they were given
	PredecessorEnded chan struct{} // closed when the giver has ended
	conn             *retryConn
}

// Close lets the giver go on alone: what it gave is of no use.
func (l *Handover) Close() {
	for _, f := range l.Files {
		f.Close()
	}
	l.conn.Close()
}

// ErrRefused is the giver's word that it hands nothing to this asker.
var ErrRefused = errors.New("the process there hands nothing to this one")

// Receive takes over from the process that offers at the path, which is told who asks. The error is os.ErrNotExist or ECONNREFUSED where
// there is none.
func Receive(path string, asker []byte) (*Handover, error) {
	// A process that does not hear of the one before, for want of a descriptor, would serve ids beside it that it does not know.
	nc, err := oserror.RetryTransient(func() (net.Conn, error) { return net.DialTimeout("unix", path, sendTimeout) })
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	line := &retryConn{nc.(*net.UnixConn)}
	var l *Handover
	if err = writeRequest(line, asker); err == nil {
		l, err = readHandover(line)
	}
	if err != nil {
		line.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	go func() {
		defer close(l.PredecessorEnded)
		waitForEnd(line)
	}()
	return l, nil
}

// writeRequest says who asks: a giver that is not asked by its like gives nothing up.
func writeRequest(line *retryConn, asker []byte) error {
	line.SetDeadline(time.Now().Add(sendTimeout))
	_, err := line.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(asker))), asker...))
	return err
}

// readRequest reads who asks.
func readRequest(line *retryConn) ([]byte, error) {
	line.SetDeadline(time.Now().Add(sendTimeout))
	var size [4]byte
	if _, err := io.ReadFull(line, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxRequestBytes {
		return nil, fmt.Errorf("an asker of %d bytes", length)
	}
	asker := make([]byte, length)
	_, err := io.ReadFull(line, asker)
	return asker, err
}

func readHandover(line *retryConn) (*Handover, error) {
	if err := checkSameUser(line); err != nil {
		return nil, err
	}
	line.SetDeadline(time.Now().Add(receiveTimeout))
	var size [4]byte
	rights := make([]byte, unix.CmsgSpace(4*maxSockets))
	n, m, err := line.readRights(size[:], rights)
	if err != nil {
		return nil, err
	}
	l := &Handover{PredecessorEnded: make(chan struct{}), conn: line}
	fail := func(err error) (*Handover, error) {
		for _, f := range l.Files {
			f.Close()
		}
		return nil, err
	}
	messages, err := unix.ParseSocketControlMessage(rights[:m])
	if err != nil {
		return nil, err
	}
	for _, c := range messages {
		fds, err := unix.ParseUnixRights(&c)
		if err != nil {
			return fail(err)
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			l.Files = append(l.Files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	if _, err := io.ReadFull(line, size[n:]); err != nil {
		return fail(err)
	}
	length := binary.BigEndian.Uint32(size[:])
	if length == 0 {
		return fail(ErrRefused)
	}
	if length > maxStateBytes {
		return fail(fmt.Errorf("a message of %d bytes", length))
	}
	l.State = make([]byte, length)
	if _, err := io.ReadFull(line, l.State); err != nil {
		return fail(err)
	}
	return l, line.SetDeadline(time.Time{})
}

// Predecessor is asked for a handover, and told when an heir is there and when it has gone. By then the path may be the heir's: who
// wants to be asked again must offer again.
type Predecessor interface {
	HandOver(asker []byte) (text []byte, sockets []syscall.Conn, err error)
	SetSuccessor(there bool)
}

// Serve hands over to whoever of the same user asks at the path, one at a time, until the closer is closed. It takes the
// place of whoever offered there before.
func Serve(path string, g Predecessor, log zerolog.Logger) (io.Closer, error) {
	fresh := path + ".new"
	if err := os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := oserror.RetryTransient(func() (*net.UnixListener, error) {
		return net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may be the heir's
	if err := os.Rename(fresh, path); err != nil {
		l.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	go acceptSuccessors(l.AcceptUnix, g, log)
	return l, nil
}

// acceptSuccessors hands over to one after another until nobody can come any more.
func acceptSuccessors(accept func() (*net.UnixConn, error), g Predecessor, log zerolog.Logger) {
	failures := 0 // in a row
	for {
		accepted, err := accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptor, for one: who asks waits in the queue
			failures++
			time.Sleep(oserror.Backoff(failures))
			continue
		}
		failures = 0
		line := &retryConn{accepted}
		given, err := handOver(line, g)
		if err != nil {
			log.Warn().Err(err).Msg("not handed over")
		} else {
			log.Info().Msg("handed over")
			waitForEnd(line)
			log.Info().Msg("the process that took over has ended")
		}
		line.Close()
		if given {
			g.SetSuccessor(false)
		}
	}
}

// handOver hands over. The giver is told of its heir before that one can know of it: it may be told to end at once.
func handOver(line *retryConn, g Predecessor) (given bool, err error) {
	if err := checkSameUser(line); err != nil {
		return false, err
	}
	asker, err := readRequest(line)
	if err != nil {
		return false, err
	}
	text, sockets, err := g.HandOver(asker)
	if err != nil {
		line.Write(make([]byte, 4)) // an empty message: no
		return false, err
	}
	g.SetSuccessor(true)
	return true, writeHandover(line, text, sockets)
}

func writeHandover(line *retryConn, text []byte, sockets []syscall.Conn) error {
	var fds []int
	for _, s := range sockets {
		raw, err := s.SyscallConn()
		if err != nil {
			return err
		}
		// The number alone: what duplicates it for the way would turn the socket to blocking for both processes.
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return err
		}
	}
	line.SetDeadline(time.Now().Add(sendTimeout))
	size := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	if err := line.writeRights(size, unix.UnixRights(fds...)); err != nil {
		return err
	}
	if _, err := line.Write(text); err != nil {
		return err
	}
	return line.SetDeadline(time.Time{})
}

// waitForEnd returns when the other side has ended or closed.
func waitForEnd(line *retryConn) {
	io.Copy(io.Discard, line) // nothing more is said; the end comes with an error or without
}

// checkSameUser keeps others on the machine from taking a socket, or from giving one.
func checkSameUser(line *retryConn) error {
	raw, err := line.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	var no error
	err = raw.Control(func(fd uintptr) { cred, no = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) })
	if err = errors.Join(err, no); err == nil && int(cred.Uid) != os.Getuid() {
		err = fmt.Errorf("the other side is user %d", cred.Uid)
	}
	return err
}
