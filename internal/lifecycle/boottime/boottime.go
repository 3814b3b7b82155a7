// Package boottime reads the time since the machine was started. The clock of this time runs while a
// process is stopped and while the machine sleeps, can't be set, and is the same for all processes of the
// machine. Times that are sent to another process or persisted are therefore relative to the start of the
// machine. The wall clock may be stepped at any time.
package boottime

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a point in time. It can be compared with readings of the same boot.
type Reading struct {
	BootID    string // identifies the boot; empty if the system does not report it
	SinceBoot time.Duration
}

// After returns the time from an earlier reading to this one. It returns false if that time is unknown,
// because the machine was started in between or the earlier reading is ahead of this one.
func (r Reading) After(earlier Reading) (time.Duration, bool) {
	if r.BootID == "" || r.BootID != earlier.BootID || r.SinceBoot < earlier.SinceBoot {
		return 0, false
	}
	return r.SinceBoot - earlier.SinceBoot, true
}

// Since returns the time since the machine was started. On a system without CLOCK_BOOTTIME it reads the
// monotonic clock.
func Since() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	}
	return time.Duration(now.Nano())
}

// bootID returns the kernel's identifier of this boot.
var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})

// Now returns the current reading.
func Now() Reading { return Reading{BootID: bootID(), SinceBoot: Since()} }
