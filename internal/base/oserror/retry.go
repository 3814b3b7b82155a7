package oserror

import (
	"errors"
	"syscall"
	"time"
)

const (
	// retryTimeout is how long a start waits for what the machine is short of.
	retryTimeout = 10 * time.Second

	minBackoff   = time.Millisecond
	maxBackoff   = 100 * time.Millisecond
	maxDoublings = 10

	// maxAttempts bounds one read or write, with its backoffs to about five seconds.
	maxAttempts = 60
)

// Backoff returns the wait after so many failures in a row, 1 for the first one. It doubles up to
// maxBackoff, so that a failure that lasts does not take the processor.
func Backoff(failures int) time.Duration {
	doublings := min(max(failures-1, 0), maxDoublings)
	return min(minBackoff<<doublings, maxBackoff)
}

// RetryTransient calls what a start needs, and again while the machine is short of something, for ten
// seconds at most.
func RetryTransient[T any](call func() (T, error)) (T, error) {
	deadline := time.Now().Add(retryTimeout)
	for failures := 1; ; failures++ {
		result, err := call()
		if err == nil || !isShortage(err) || time.Now().After(deadline) {
			return result, err
		}
		time.Sleep(Backoff(failures))
	}
}

// Read reads once, and again where the call was interrupted or the machine lacked something for a moment.
func Read(read func([]byte) (int, error), b []byte) (int, error) {
	for attempt := 1; ; attempt++ {
		n, err := read(b)
		passes := IsLocal(err) || errors.Is(err, syscall.EINTR)
		if n > 0 || err == nil || !passes || attempt == maxAttempts {
			return n, err
		}
		time.Sleep(Backoff(attempt))
	}
}

// Write writes all bytes, and goes on where the machine lacked something for a moment.
func Write(write func([]byte) (int, error), b []byte) (written int, err error) {
	for attempt := 1; ; attempt++ {
		n, err := write(b[written:])
		if n > 0 {
			written += n
			attempt = 1
		}
		if err == nil || !IsLocal(err) || attempt == maxAttempts {
			return written, err
		}
		time.Sleep(Backoff(attempt))
	}
}
