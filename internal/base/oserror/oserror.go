// Package oserror classifies failed system calls: what failed is the moment, this machine or the other
// side. Everything that accepts, dials, reads and writes goes by it, so that a shortage of this machine
// ends nothing and is not taken for a fault of another machine.
package oserror

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// Kind is what an error is about.
type Kind int

// The kinds of errors.
const (
	Unknown              Kind = iota
	Transient                 // the call was interrupted, or found nothing to do: it may be repeated at once
	DescriptorsExhausted      // this machine or process has no descriptor left
	ResourceExhausted         // this machine lacks something else: memory, buffers, addresses, permission
	PeerError                 // the other side, or the way to it
	Closed                    // this side has closed the socket
)

var kindByErrno = map[syscall.Errno]Kind{
	syscall.EINTR:  Transient,
	syscall.EAGAIN: Transient,

	syscall.EMFILE: DescriptorsExhausted,
	syscall.ENFILE: DescriptorsExhausted,

	syscall.ENOBUFS:       ResourceExhausted,
	syscall.ENOMEM:        ResourceExhausted,
	syscall.ENOSPC:        ResourceExhausted, // of epoll: no further descriptor can be watched
	syscall.ENOSR:         ResourceExhausted,
	syscall.EADDRNOTAVAIL: ResourceExhausted, // no local port is left
	syscall.EADDRINUSE:    ResourceExhausted,
	syscall.EPERM:         ResourceExhausted, // the machine's own packet filter
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

// IsLocal tells whether an error is a shortage of this machine that may be over in a moment.
func IsLocal(err error) bool {
	kind := Classify(err)
	return kind == DescriptorsExhausted || kind == ResourceExhausted
}

// shortages are the errors, beside those of descriptors, that RetryTransient waits out: of memory and
// buffers, and of a disk that may be readable or have space again.
var shortages = []error{
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.ENOSR,
	syscall.EIO,
	syscall.ENOSPC,
	syscall.EDQUOT,
}

// isShortage tells whether an error is a shortage that may be over soon. A port that another process has,
// or that this one may not use, is none.
func isShortage(err error) bool {
	if Classify(err) == DescriptorsExhausted {
		return true
	}
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// acceptErrorsOfSocket are the errors of accept that no later call can be without.
var acceptErrorsOfSocket = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsPermanent tells whether a listening socket will never accept again. Linux returns errors of the new
// connection from accept, so any other error concerns one connection, or is the machine's for a moment.
func IsPermanent(err error) bool {
	if Classify(err) == Closed {
		return true
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return true
	}
	return slices.Contains(acceptErrorsOfSocket, errno)
}
