// Package boottime reads the time since the machine was started. That clock goes on while a process is
// stopped and while the machine sleeps, can't be set, and is the same for all processes of the machine.
// So moments that pass from one process to another, or are persisted, refer to it; the wall clock may be
// stepped at any time.
package boottime

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a moment, which is comparable with those of the same start of the machine.
type Reading struct {
	BootID    string // names the start of the machine; empty where the system does not say
	SinceBoot time.Duration
}

// After returns how long after an earlier reading this one was taken. It returns false where that is
// unknown: the machine was started in between.
func (r Reading) After(earlier Reading) (time.Duration, bool) {
	if r.BootID == "" || r.BootID != earlier.BootID || r.SinceBoot < earlier.SinceBoot {
		return 0, false
	}
	return r.SinceBoot - earlier.SinceBoot, true
}

// Since returns the time since the machine was started. A system without that clock has its monotonic
// clock read.
func Since() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	}
	return time.Duration(now.Nano())
}

// bootID is the kernel's name for this start of the machine.
var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})

// Now returns a reading of this moment.
func Now() Reading { return Reading{BootID: bootID(), SinceBoot: Since()} }
