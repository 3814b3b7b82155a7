// Package oserror classifies errors of system calls as transient, caused by this machine or caused by the
// other side. All code that accepts, dials, reads and writes uses it, so that a shortage of this machine
// closes no connection and is not treated as a fault of another machine.
package oserror

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// Kind is the class of an error.
type Kind int

// The kinds of errors.
const (
	Unknown              Kind = iota
	Transient                 // the call was interrupted or would block; it may be repeated immediately
	DescriptorsExhausted      // no descriptor is left in this process or on this machine
	ResourceExhausted         // this machine lacks memory, buffers, addresses or permission
	PeerError                 // the other side, or the network between, failed
	Closed                    // this side has closed the socket
)

var kindByErrno = map[syscall.Errno]Kind{
	syscall.EINTR:  Transient,
	syscall.EAGAIN: Transient,

	syscall.EMFILE: DescriptorsExhausted,
	syscall.ENFILE: DescriptorsExhausted,

	syscall.ENOBUFS:       ResourceExhausted,
	syscall.ENOMEM:        ResourceExhausted,
	syscall.ENOSPC:        ResourceExhausted, // epoll can't watch a further descriptor
	syscall.ENOSR:         ResourceExhausted,
	syscall.EADDRNOTAVAIL: ResourceExhausted, // no local port is left
	syscall.EADDRINUSE:    ResourceExhausted,
	syscall.EPERM:         ResourceExhausted, // rejected by the packet filter of this machine
	syscall.EACCES:        ResourceExhausted,
	syscall.ENETDOWN:      ResourceExhausted,

	syscall.ECONNREFUSED: PeerError,
	syscall.ECONNRESET:   PeerError,
	syscall.ECONNABORTED: PeerError,
	syscall.EPIPE:        PeerError,
	syscall.ETIMEDOUT:    PeerError,
	syscall.EHOSTUNREACH: PeerError,
	syscall.EHOSTDOWN:    PeerError,
	syscall.ENETUNREACH:  PeerError,
	syscall.ENETRESET:    PeerError,
	syscall.ESHUTDOWN:    PeerError,
	syscall.ENOTCONN:     PeerError,
	syscall.EPROTO:       PeerError,
}

// Classify returns the kind of an error.
func Classify(err error) Kind {
	if errors.Is(err, net.ErrClosed) {
		return Closed
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return kindByErrno[errno]
	}
	return Unknown
}

// IsLocal reports whether an error is a shortage of this machine, which may end soon.
func IsLocal(err error) bool {
	kind := Classify(err)
	return kind == DescriptorsExhausted || kind == ResourceExhausted
}

// shortages are the errors, apart from those of descriptors, after which RetryTransient retries. They are
// shortages of memory and buffers, and errors of a disk that may become readable or have space again.
var shortages = []error{
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.ENOSR,
	syscall.EIO,
	syscall.ENOSPC,
	syscall.EDQUOT,
}

// isShortage reports whether an error is a shortage that may end soon. A port that another process uses, or
// that this process may not use, is not a shortage.
func isShortage(err error) bool {
	if Classify(err) == DescriptorsExhausted {
		return true
	}
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// permanentAcceptErrors are the errors of accept that every later call would return too.
var permanentAcceptErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsPermanent reports whether an error of accept means that the listening socket will never accept again. Any
// other error concerns one connection, since Linux returns errors of the new connection from accept, or is a
// temporary shortage of the machine.
func IsPermanent(err error) bool {
	if Classify(err) == Closed {
		return true
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return true
	}
	return slices.Contains(permanentAcceptErrors, errno)
}
