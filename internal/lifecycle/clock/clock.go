// Package clock has the monotonic clock on which a scheduler bases its decisions. It starts at a fixed origin
// when the process starts, and steps of the wall clock do not affect it. A reading is valid in another
// process only after the difference between the offsets of the two processes is added.
package clock

import (
	"sync"
	"time"

	"woaddyke/internal/lifecycle/boottime"
)

// origin is the reading at the start of the process. It is large enough that earlier times, such as the start
// of a worker, are not negative.
const origin = 20 * 365 * 24 * time.Hour

// Clock is the clock of a process. Its readings are in nanoseconds.
type Clock struct {
	start  time.Time
	offset func() time.Duration
}

// New returns a clock that starts now.
func New() Clock {
	c := Clock{start: time.Now()}
	c.offset = sync.OnceValue(func() time.Duration { return time.Duration(c.Now()) - boottime.Since() })
	return c
}

// FromTime converts a time to a reading of the clock. The time must have a monotonic reading.
func (c Clock) FromTime(t time.Time) int64 { return int64(origin + t.Sub(c.start)) }

// Now returns the current reading.
func (c Clock) Now() int64 { return c.FromTime(time.Now()) }

// Elapsed returns the time since the start of the clock.
func (c Clock) Elapsed() time.Duration { return time.Since(c.start) }

// Offset returns by how much this clock is ahead of the time since boot. The difference between the offsets
// of two processes converts a reading of one to a reading of the other. The offset is determined once, so
// that equal readings stay equal after conversion.
func (c Clock) Offset() time.Duration { return c.offset() }
