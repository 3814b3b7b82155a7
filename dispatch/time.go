package dispatch

import "math"

// Time is a moment or a span in tenths of a millisecond.
type Time int64

const (
	second Time = 10_000
	// never is a span that no attempt outlasts, and to which moments can be added.
	never Time = math.MaxInt64 / 4
	// noDeadline is later than any moment.
	noDeadline Time = math.MaxInt64
)
