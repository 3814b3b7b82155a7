package oserror

import (
	"errors"
	"syscall"
	"time"
)

const (
	// retryTimeout limits how long RetryTransient waits for the end of a shortage.
	retryTimeout = 10 * time.Second

	minBackoff   = time.Millisecond
	maxBackoff   = 100 * time.Millisecond
	maxDoublings = 10

	// maxAttempts limits the attempts of a read or write. With the backoffs they take about five seconds.
	maxAttempts = 60
)

// Backoff returns the wait after a number of consecutive failures, 1 for the first. The wait doubles up to
// maxBackoff, so that a lasting failure does not use up the processor.
func Backoff(failures int) time.Duration {
	doublings := min(max(failures-1, 0), maxDoublings)
	return min(minBackoff<<doublings, maxBackoff)
}

// RetryTransient makes a call that the start of the process needs. It repeats the call after shortages of the
// machine, for at most ten seconds.
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

// Read makes one read. It repeats the read if it was interrupted or failed because of a shortage of the
// machine.
func Read(read func([]byte) (int, error), b []byte) (int, error) {
	for attempt := 1; ; attempt++ {
		n, err := read(b)
		temporary := IsLocal(err) || errors.Is(err, syscall.EINTR)
		if n > 0 || err == nil || !temporary || attempt == maxAttempts {
			return n, err
		}
		time.Sleep(Backoff(attempt))
	}
}

// Write writes all bytes. It continues after shortages of the machine.
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
