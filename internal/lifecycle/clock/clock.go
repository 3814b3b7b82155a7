// Package clock is the time that a scheduler decides by: it begins at a fixed origin when the process starts and goes on evenly, whatever
// becomes of the wall clock. Its moments mean nothing to another process; what is handed over is moved by the difference of two Offsets.
package clock

import (
	"sync"
	"time"

	"woaddyke/internal/lifecycle/boottime"
)

// origin is the moment at which each process starts. What was before that, such as the start of a worker, has a moment of its own.
const origin = 20 * 365 * 24 * time.Hour

// Clock is one process's.
type Clock struct {
	start  time.Time
	offset func() time.Duration
}

// New is a clock that starts now.
func New() Clock {
	c := Clock{start: time.Now()}
	c.offset = sync.OnceValue(func() time.Duration { return time.Duration(c.Now()) - boottime.Since() })
	return c
}

// Nanos is the moment of a time that was read from the system's clock.
func (c Clock) Nanos(t time.Time) int64 { return int64(origin + t.Sub(c.start)) }

// Now is this moment.
func (c Clock) Now() int64 { return c.Nanos(time.Now()) }

// Elapsed is the time since the start.
func (c Clock) Elapsed() time.Duration { return time.Since(c.start) }

// Offset is by how much this clock is ahead of the time since the machine's start. A moment of one process is moved to the clock of
// another by the difference of their offsets. It is read once: the same moment has to be moved to the same one each time.
func (c Clock) Offset() time.Duration { return c.offset() }
