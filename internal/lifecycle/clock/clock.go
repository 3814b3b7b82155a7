// Package clock is the clock by which a scheduler decides. It starts at a fixed origin with the process
// and runs evenly, whatever happens to the wall clock. Its moments mean nothing to another process,
// unless they are shifted by the difference between the two processes' offsets.
package clock

import (
	"sync"
	"time"

	"woaddyke/internal/lifecycle/boottime"
)

// origin is the reading at the start of the process. It leaves room for earlier moments, such as the
// start of a worker: none of them is negative.
const origin = 20 * 365 * 24 * time.Hour

// Clock is the clock of one process. Its readings are in nanoseconds.
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

// FromTime converts a time of this process. The time must have a monotonic reading.
func (c Clock) FromTime(t time.Time) int64 { return int64(origin + t.Sub(c.start)) }

// Now returns this moment.
func (c Clock) Now() int64 { return c.FromTime(time.Now()) }

// Elapsed returns the time since the start.
func (c Clock) Elapsed() time.Duration { return time.Since(c.start) }

// Offset returns by how much this clock is ahead of boottime. A moment of one process is converted to the
// clock of another by the difference of their offsets. The offset is read once, so that equal moments
// stay equal.
func (c Clock) Offset() time.Duration { return c.offset() }
