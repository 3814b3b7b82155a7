package oserror

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func wrapped(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
}

// Accepting ends only if the listening socket is unusable. Every other error that Linux documents concerns
// one connection or is temporary.
func TestOnlyAnUnusableSocketEndsAccepting(t *testing.T) {
	for errno := syscall.Errno(1); errno < 134; errno++ {
		want := errno == syscall.EBADF || errno == syscall.EINVAL || errno == syscall.ENOTSOCK || errno == syscall.EFAULT
		if got := IsPermanent(wrapped(errno)); got != want {
			t.Errorf("%v: %v", errno, got)
		}
	}
	for _, err := range []error{net.ErrClosed, fmt.Errorf("serving: %w", net.ErrClosed), errors.New("of some other kind")} {
		if !IsPermanent(err) {
			t.Errorf("%v", err)
		}
	}
}

// A shortage of this machine must not be treated as a fault of a worker or as a client's disconnect. Errors
// that the other side caused have a kind of their own.
func TestErrorsAreClassifiedByCause(t *testing.T) {
	for errno, want := range map[syscall.Errno]Kind{syscall.EINTR: Transient, syscall.EMFILE: DescriptorsExhausted, syscall.ENFILE: DescriptorsExhausted,
		syscall.ENOBUFS: ResourceExhausted, syscall.ENOMEM: ResourceExhausted, syscall.EADDRNOTAVAIL: ResourceExhausted, syscall.ENOSPC: ResourceExhausted, syscall.ECONNRESET: PeerError,
		syscall.ETIMEDOUT: PeerError, syscall.EHOSTUNREACH: PeerError, syscall.EPIPE: PeerError, syscall.ENETUNREACH: PeerError, syscall.EBADF: Unknown} {
		if got := Classify(wrapped(errno)); got != want {
			t.Errorf("%v: %v, want %v", errno, got, want)
		}
		if got := IsLocal(wrapped(errno)); got != (want == ResourceExhausted || want == DescriptorsExhausted) {
			t.Errorf("%v: %v", errno, got)
		}
	}
	if Classify(io.EOF) != Unknown || Classify(&net.OpError{Err: net.ErrClosed}) != Closed {
		t.Error("io.EOF or net.ErrClosed has the wrong kind")
	}
}

// Read and Write retry after a temporary shortage, and no byte is written twice or left out. An error of the
// other side is returned immediately.
func TestReadAndWriteRetryAfterAShortage(t *testing.T) {
	shortages := []error{wrapped(syscall.ENOBUFS), wrapped(syscall.ENOMEM)}
	n, err := Read(func(b []byte) (int, error) {
		if len(shortages) > 0 {
			err := shortages[0]
			shortages = shortages[1:]
			return 0, err
		}
		return copy(b, "ab"), nil
	}, make([]byte, 9))
	if n != 2 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	var out []byte
	n, err = Write(func(b []byte) (int, error) {
		k := min(2, len(b))
		if out = append(out, b[:k]...); k < len(b) {
			return k, wrapped(syscall.ENOBUFS)
		}
		return k, nil
	}, []byte("abcde"))
	if n != 5 || err != nil || string(out) != "abcde" {
		t.Errorf("%d, %v, %q", n, err, out)
	}
	calls := 0
	if _, err = Read(func([]byte) (int, error) { calls++; return 0, wrapped(syscall.ECONNRESET) }, nil); calls != 1 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d calls, %v", calls, err)
	}
}

// RetryTransient repeats a call after shortages of the machine, and returns every other error immediately.
func TestRetryTransientRetriesOnlyAfterAShortage(t *testing.T) {
	calls := 0
	result, err := RetryTransient(func() (string, error) {
		if calls++; calls < 4 {
			return "", wrapped([]syscall.Errno{0, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}[calls])
		}
		return "socket", nil
	})
	if result != "socket" || err != nil || calls != 4 {
		t.Errorf("%q, %v after %d calls", result, err, calls)
	}
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EACCES, syscall.EADDRNOTAVAIL, syscall.EINVAL} {
		calls = 0
		if _, err := RetryTransient(func() (int, error) { calls++; return 0, wrapped(errno) }); calls != 1 || !errors.Is(err, errno) {
			t.Errorf("%v: %v after %d calls", errno, err, calls)
		}
	}
}

func TestBackoffGrowsToItsLimit(t *testing.T) {
	previous := time.Duration(0)
	for failures := range 100 {
		backoff := Backoff(failures)
		if backoff < previous || backoff < minBackoff || backoff > maxBackoff {
			t.Errorf("after %d failures: %v, before that %v", failures, backoff, previous)
		}
		previous = backoff
	}
}

// A read that was interrupted, or failed because of a shortage of the machine, has read nothing and is
// repeated. After any other error it is not.
func TestReadRetriesOnlyTransientErrors(t *testing.T) {
	for errno, wantRetry := range map[syscall.Errno]bool{syscall.EINTR: true, syscall.ENOBUFS: true, syscall.ECONNRESET: false, syscall.EAGAIN: false} {
		calls := 0
		n, err := Read(func(b []byte) (int, error) {
			if calls++; calls == 1 {
				return 0, errno
			}
			return copy(b, "x"), nil
		}, make([]byte, 1))
		if retried := calls == 2 && n == 1 && err == nil; retried != wantRetry {
			t.Errorf("%v: %d calls, %d bytes, %v", errno, calls, n, err)
		}
	}
}
