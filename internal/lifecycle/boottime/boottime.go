// Package boottime reads the time since the machine was started. It goes on while a process stands still and while the machine sleeps,
// nobody can set it, and all processes of the machine read the same; so it is what moments are told by from one process to another and
// from one life of a process to the next. The wall clock is not: it may be stepped at any time.
package boottime

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a moment on the clock of one start of the machine.
type Reading struct {
	BootID    string        // names the start of the machine; empty where that can't be told
	SinceBoot time.Duration // since then
}

// After is how long after another reading this one was taken; false where that can't be known, as the machine was started in between.
func (r Reading) After(before Reading) (time.Duration, bool) {
	if r.BootID == "" || r.BootID != before.BootID || r.SinceBoot < before.SinceBoot {
		return 0, false
	}
	return r.SinceBoot - before.SinceBoot, true
}

// Since is the time since the machine was started.
func Since() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return time.Duration(t.Nano())
}

var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})

// Now is this moment.
func Now() Reading { return Reading{bootID(), Since()} }
