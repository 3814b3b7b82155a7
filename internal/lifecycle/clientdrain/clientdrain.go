// Package clientdrain decides how a scheduler moves its clients to other schedulers while it keeps running,
// and how it admits them again. An operator starts and ends such a client drain. The package does no input or
// output and reads no clock.
package clientdrain

import "time"

// Times of the phases of a client drain, from its start.
const (
	// detectionTime is when every load balancer has seen the failing health check and has stopped sending
	// clients. Load balancers poll ten times a second, and go on sending clients for 0.2 s after
	// the first failure.
	detectionTime = time.Second / 2

	// closeTime is when all idle connections are closed. The closes are spread between detectionTime and
	// closeTime: if all connections were closed together, their clients would reach the other
	// schedulers in one burst.
	closeTime = 3 * time.Second / 2

	// rejectionTime is when the scheduler begins to reject ops. It is 0.1 s before 2 s, as the delivery of an
	// admitted op may take 0.1 s. So four seconds after the start, no connection has had an op in the last
	// two seconds.
	rejectionTime = 19 * time.Second / 10
)

// minIdleTime is how long a connection must have been idle to be closed. Once a connection has
// been idle for that long, no request of a busy client can be on its way.
const minIdleTime = time.Second / 4

// State says whether clients are being drained. The zero value admits all ops.
type State struct {
	draining  bool
	startedAt time.Time
}

// Start begins a drain. It has no effect during a drain.
func (s *State) Start(now time.Time) {
	if !s.draining {
		s.draining = true
		s.startedAt = now
	}
}

// Cancel ends the drain.
func (s *State) Cancel() { s.draining = false }

// Draining reports whether clients are being drained. During a drain, health checks fail and each connection
// is closed after an answer.
func (s *State) Draining() bool { return s.draining }

// Admits reports whether an op that arrives now is admitted. The client of a rejected op may retry elsewhere.
func (s *State) Admits(now time.Time) bool {
	return !s.draining || now.Sub(s.startedAt) < rejectionTime
}

// ConnectionsToClose returns how many of the idle connections to close now, beginning with the longest idle,
// and how long each must have been idle. The caller calls it once in each interval.
func (s *State) ConnectionsToClose(
	now time.Time, idle int, interval time.Duration,
) (count int, minIdle time.Duration) {
	age := now.Sub(s.startedAt)
	switch {
	case !s.draining || age < detectionTime:
		return 0, 0
	case age+interval >= closeTime:
		return idle, minIdleTime
	}
	intervals := int((closeTime - age) / interval)
	return (idle + intervals - 1) / intervals, minIdleTime
}
