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

// Only a socket that is none any more ends accepting: every other error that Linux documents is one
// connection's or a moment's.
func TestWhichErrorsEndAccepting(t *testing.T) {
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

// What this machine lacks is no worker's fault and no client's leaving; what the other side did is.
func TestWhoAnErrorTellsOf(t *testing.T) {
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
		t.Error("an end, or a close")
	}
}

// A moment's shortage is waited out, nothing is written twice or left out, and a failure of the other
// side is told at once.
func TestAShortageIsWaitedOut(t *testing.T) {
	short := []error{wrapped(syscall.ENOBUFS), wrapped(syscall.ENOMEM)}
	n, err := Read(func(b []byte) (int, error) {
		if len(short) > 0 {
			err := short[0]
			short = short[1:]
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

// What a start needs is waited for while the machine is short of it; what is wrong stays wrong at once.
func TestAStartWaitsForWhatIsShort(t *testing.T) {
	calls := 0
	x, err := RetryTransient(func() (string, error) {
		if calls++; calls < 4 {
			return "", wrapped([]syscall.Errno{0, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}[calls])
		}
		return "socket", nil
	})
	if x != "socket" || err != nil || calls != 4 {
		t.Errorf("%q, %v after %d calls", x, err, calls)
	}
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EACCES, syscall.EADDRNOTAVAIL, syscall.EINVAL} {
		calls = 0
		if _, err := RetryTransient(func() (int, error) { calls++; return 0, wrapped(errno) }); calls != 1 || !errors.Is(err, errno) {
			t.Errorf("%v: %v after %d calls", errno, err, calls)
		}
	}
}

func TestPausesGrowAndAreBounded(t *testing.T) {
	last := time.Duration(0)
	for k := range 100 {
		p := Backoff(k)
		if p < last || p < minBackoff || p > maxBackoff {
			t.Errorf("%d: %v after %v", k, p, last)
		}
		last = p
	}
}

// A read that was interrupted, or that the machine lacked something for, has read nothing: it is made again. One that failed for good is not.
func TestAReadThatPassesIsMadeAgain(t *testing.T) {
	for errno, again := range map[syscall.Errno]bool{syscall.EINTR: true, syscall.ENOBUFS: true, syscall.ECONNRESET: false, syscall.EAGAIN: false} {
		calls := 0
		n, err := Read(func(b []byte) (int, error) {
			if calls++; calls == 1 {
				return 0, errno
			}
			return copy(b, "x"), nil
		}, make([]byte, 1))
		if made := calls == 2 && n == 1 && err == nil; made != again {
			t.Errorf("%v: %d calls, %d bytes, %v", errno, calls, n, err)
		}
	}
}
