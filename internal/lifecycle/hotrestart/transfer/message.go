package transfer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A request and a state are each sent as their length and their bytes. The sockets come with the first
// bytes of the state's length.
const (
	lengthSize      = 4 // bytes of a length, big endian
	descriptorSize  = 4 // bytes of a descriptor in a control message
	maxSockets      = 4 // that come with one state
	maxRequestBytes = 64 << 10

	// maxStateBytes is twice 24 MB learned of 12,600 workers and 12 MiB of ids, lists and members.
	maxStateBytes = 64 << 20
)

// SizeError is a message whose length is over the bound.
type SizeError struct {
	Message    string // "request" or "state"
	Size, Most uint32 // bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("a %s of %d bytes, at most %d are read", e.Message, e.Size, e.Most)
}

// UserError is a process of another user at the other end.
type UserError struct{ UID uint32 }

func (e *UserError) Error() string { return fmt.Sprintf("the other process is of user %d", e.UID) }

// writeRequest sends a successor's request.
func writeRequest(line *retryConn, request []byte) error {
	line.SetDeadline(time.Now().Add(sendTimeout))
	length := binary.BigEndian.AppendUint32(nil, uint32(len(request)))
	_, err := line.Write(append(length, request...))
	return err
}

// readRequest receives a successor's request.
func readRequest(line *retryConn) ([]byte, error) {
	line.SetDeadline(time.Now().Add(sendTimeout))
	var header [lengthSize]byte
	if _, err := io.ReadFull(line, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxRequestBytes {
		return nil, &SizeError{Message: "request", Size: length, Most: maxRequestBytes}
	}
	request := make([]byte, length)
	_, err := io.ReadFull(line, request)
	return request, err
}

// writeHandover sends a state and the sockets.
func writeHandover(line *retryConn, state []byte, sockets []syscall.Conn) error {
	descriptors, err := descriptorsOf(sockets)
	if err != nil {
		return err
	}
	line.SetDeadline(time.Now().Add(sendTimeout))
	length := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	if err := line.writeRights(length, unix.UnixRights(descriptors...)); err != nil {
		return err
	}
	if _, err := line.Write(state); err != nil {
		return err
	}
	return line.SetDeadline(time.Time{})
}

// descriptorsOf returns the numbers of the sockets' descriptors. Duplicates, such as File returns, would
// set the sockets to blocking for both processes.
func descriptorsOf(sockets []syscall.Conn) (descriptors []int, err error) {
	for _, socket := range sockets {
		raw, err := socket.SyscallConn()
		if err != nil {
			return nil, err
		}
		if err := raw.Control(func(fd uintptr) { descriptors = append(descriptors, int(fd)) }); err != nil {
			return nil, err
		}
	}
	return descriptors, nil
}

// readHandover receives a state and the sockets. Without an error the handover's files are the caller's
// to close.
func readHandover(line *retryConn) (*Handover, error) {
	if err := checkSameUser(line); err != nil {
		return nil, err
	}
	line.SetDeadline(time.Now().Add(receiveTimeout))
	handover := &Handover{PredecessorEnded: make(chan struct{}), conn: line}
	if err := handover.read(); err != nil {
		handover.closeFiles()
		return nil, err
	}
	return handover, line.SetDeadline(time.Time{})
}

func (h *Handover) read() error {
	var header [lengthSize]byte
	rights := make([]byte, unix.CmsgSpace(descriptorSize*maxSockets))
	n, rightsLength, err := h.conn.readRights(header[:], rights)
	if err != nil {
		return err
	}
	if err := h.openFiles(rights[:rightsLength]); err != nil {
		return err
	}
	if _, err := io.ReadFull(h.conn, header[n:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 {
		return ErrRefused
	}
	if length > maxStateBytes {
		return &SizeError{Message: "state", Size: length, Most: maxStateBytes}
	}
	h.State = make([]byte, length)
	_, err = io.ReadFull(h.conn, h.State)
	return err
}

// openFiles takes the descriptors of a control message over.
func (h *Handover) openFiles(rights []byte) error {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return err
	}
	for _, message := range messages {
		descriptors, err := unix.ParseUnixRights(&message)
		if err != nil {
			return err
		}
		for _, fd := range descriptors {
			unix.CloseOnExec(fd)
			h.Files = append(h.Files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return nil
}

// waitForEnd returns when the other process has ended or has closed the connection. It sends nothing
// more.
func waitForEnd(line *retryConn) {
	io.Copy(io.Discard, line) // an error is an end as well
}

// checkSameUser keeps other users of the machine from taking a socket and from handing one over.
func checkSameUser(line *retryConn) error {
	raw, err := line.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *unix.Ucred
	var optErr error
	err = raw.Control(func(fd uintptr) {
		credentials, optErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err := errors.Join(err, optErr); err != nil {
		return err
	}
	if int(credentials.Uid) != os.Getuid() {
		return &UserError{UID: credentials.Uid}
	}
	return nil
}
