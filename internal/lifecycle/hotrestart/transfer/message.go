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

// A request and a state are each sent as a length and that many bytes. The descriptors of the sockets are
// sent in a control message, along with the state's length.
const (
	lengthSize      = 4 // bytes of a length, big endian
	descriptorSize  = 4 // bytes of a descriptor in a control message
	maxSockets      = 4 // sockets that are handed over with a state
	maxRequestBytes = 64 << 10

	// maxStateBytes is almost twice the largest expected state. That state has 24 MB of learned state for
	// 12,600 workers, twice the planned number, and 12 MiB of ids, endpoint lists and members.
	maxStateBytes = 64 << 20
)

// SizeError reports a message whose length is over the limit.
type SizeError struct {
	Message   string // "request" or "state"
	Size, Max uint32 // bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of %d bytes exceeds the limit of %d", e.Message, e.Size, e.Max)
}

// UserError reports that the other process belongs to another user.
type UserError struct{ UID uint32 }

func (e *UserError) Error() string { return fmt.Sprintf("the other process belongs to user %d", e.UID) }

// writeRequest sends a successor's request.
func writeRequest(conn *retryConn, request []byte) error {
	conn.SetDeadline(time.Now().Add(sendTimeout))
	length := binary.BigEndian.AppendUint32(nil, uint32(len(request)))
	_, err := conn.Write(append(length, request...))
	return err
}

// readRequest receives a successor's request.
func readRequest(conn *retryConn) ([]byte, error) {
	conn.SetDeadline(time.Now().Add(sendTimeout))
	var header [lengthSize]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxRequestBytes {
		return nil, &SizeError{Message: "request", Size: length, Max: maxRequestBytes}
	}
	request := make([]byte, length)
	_, err := io.ReadFull(conn, request)
	return request, err
}

// writeHandover sends a state and the sockets.
func writeHandover(conn *retryConn, state []byte, sockets []syscall.Conn) error {
	descriptors, err := descriptorsOf(sockets)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(sendTimeout))
	length := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	if err := conn.writeRights(length, unix.UnixRights(descriptors...)); err != nil {
		return err
	}
	if _, err := conn.Write(state); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// descriptorsOf returns the descriptors of the sockets. It does not duplicate them with File, which would
// make the sockets blocking for both processes.
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

// readHandover receives a state and the sockets. If it succeeds, the caller must close the handover's files.
func readHandover(conn *retryConn) (*Handover, error) {
	if err := checkSameUser(conn); err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(receiveTimeout))
	handover := &Handover{conn: conn}
	if err := handover.read(); err != nil {
		handover.closeFiles()
		return nil, err
	}
	return handover, conn.SetDeadline(time.Time{})
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
		return &SizeError{Message: "state", Size: length, Max: maxStateBytes}
	}
	h.State = make([]byte, length)
	_, err = io.ReadFull(h.conn, h.State)
	return err
}

// openFiles adds the descriptors in SCM_RIGHTS control messages to the handover's files.
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

// checkSameUser checks that the other process belongs to the same user, so that other users of the machine
// can neither receive nor hand over sockets.
func checkSameUser(conn *retryConn) error {
	raw, err := conn.SyscallConn()
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
