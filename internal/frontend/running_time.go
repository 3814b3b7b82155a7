package frontend

import "time"

// maxRunningGap is the longest time between two polls that counts as running time.
const maxRunningGap = 20 * time.Millisecond

// runningTime measures for how long a loop that polls has run. Time in which the process stood still, because it was
// stopped or starved of CPU, does not count.
type runningTime struct {
	limit    time.Duration
	total    time.Duration
	lastPoll time.Time
}

// reached records a poll, and reports whether the loop has run for the limit.
func (r *runningTime) reached(now time.Time) bool {
	if !r.lastPoll.IsZero() {
		r.total += min(now.Sub(r.lastPoll), maxRunningGap)
	}
	r.lastPoll = now
	return r.total >= r.limit
}
