package dispatch

import "math"

// Time is a point in time or a duration, in tenths of a millisecond.
type Time int64

const (
	second Time = 10_000
	// unlimitedDuration exceeds the duration of every attempt, and can be added to a point in time without
	// overflow.
	unlimitedDuration Time = math.MaxInt64 / 4
	// noDeadline is later than every other deadline.
	noDeadline Time = math.MaxInt64
)
