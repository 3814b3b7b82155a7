// Package oserror says in one place what a failed system call tells of: the moment, this machine, or the other side. All that accepts,
// dials, reads and writes goes by it, so that a shortage here ends nothing and is nobody else's fault.
package oserror

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// Kind is what an error tells of.
type Kind int

// The kinds of errors.
const (
	Unknown              Kind = iota // nothing that is known
	Transient                        // the call was interrupted, or found nothing to do: it may be made again at once
	DescriptorsExhausted             // this machine or process has no descriptor left
	ResourceExhausted                // this machine lacks something else: memory, buffers, addresses, permission
	PeerError                        // the other side, or the way to it
	Closed                           // this side has closed
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

// Classify is what an error tells of.
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

// shortages are the errors beside those of descriptors that a start and a reread wait out: of memory and buffers, and a disk's that may be
// read, or have room, again.
var shortages = []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSR, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT}

// Short tells whether an error is a shortage that may be over soon. A port that another process has, or that this one may not take, is none.
func Short(err error) bool {
	return Classify(err) == DescriptorsExhausted || slices.ContainsFunc(shortages, func(short error) bool { return errors.Is(err, short) })
}

// retryTimeout is how long a start waits for what the machine is short of.
const retryTimeout = 10 * time.Second

// RetryTransient tries what a start needs, and again while the machine is short of something, for ten seconds at most.
func RetryTransient[T any](try func() (T, error)) (T, error) {
	until := time.Now().Add(retryTimeout)
	for failures := 1; ; failures++ {
		x, err := try()
		if err == nil || !Short(err) || time.Now().After(until) {
			return x, err
		}
		time.Sleep(Backoff(failures))
	}
}

// IsPermanent tells whether a listening socket will never accept again. Linux hands on by accept whatever lies on the new connection, so any
// other error is one connection's, or the machine's for a moment.
func IsPermanent(err error) bool {
	if Classify(err) == Closed {
		return true
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return true
	}
	return errno == syscall.EBADF || errno == syscall.EINVAL || errno == syscall.ENOTSOCK || errno == syscall.EFAULT
}

const (
	minBackoff  = time.Millisecond
	maxBackoff  = 100 * time.Millisecond
	maxAttempts = 60 // of one read or write: about five seconds
)

// Backoff is how long to wait after so many failures in a row, 1 for the first one: a failure that lasts must not be a spin.
func Backoff(failures int) time.Duration {
	return min(minBackoff<<min(max(failures-1, 0), 10), maxBackoff)
}

// Read reads, and again where the machine lacked something for a moment.
func Read(read func([]byte) (int, error), b []byte) (int, error) {
	for tries := 1; ; tries++ {
		n, err := read(b)
		if n > 0 || err == nil || !IsLocal(err) || tries == maxAttempts {
			return n, err
		}
		time.Sleep(Backoff(tries))
	}
}

// Write writes all, and goes on where the machine lacked something for a moment.
func Write(write func([]byte) (int, error), b []byte) (written int, err error) {
	for tries := 1; ; tries++ {
		n, err := write(b[written:])
		if n > 0 {
			written, tries = written+n, 1
		}
		if err == nil || !IsLocal(err) || tries == maxAttempts {
			return written, err
		}
		time.Sleep(Backoff(tries))
	}
}
