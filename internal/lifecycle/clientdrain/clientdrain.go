// Package clientdrain decides how a scheduler that goes on running sends its clients to other schedulers
// when an operator asks for it, and how it readmits them. It does no input or output and reads no clock.
package clientdrain

import "time"

// Moments of a drain, from its start.
const (
	// detectionTime is when every load balancer has seen the failing health check and sends no more
	// clients: it polls ten times a second, and goes on sending for 0.2 s after the first failure.
	detectionTime = time.Second / 2

	// closeTime is when all idle connections are closed. Closing begins at detectionTime and is spread
	// until then: all at once, the clients would reach the other schedulers in one burst.
	closeTime = 3 * time.Second / 2

	// admissionTime is when ops are rejected. Four seconds after the start no connection may have had an
	// op in the last two; 0.1 s is for an op's way to here.
	admissionTime = 19 * time.Second / 10
)

// minIdleTime is how long a connection has been idle when no request of a busy client can be on its way.
const minIdleTime = time.Second / 4

// State is whether clients are being drained. The zero value admits all.
type State struct {
	draining  bool
	startedAt time.Time
}

// Start begins a drain. A drain that has begun goes on.
func (s *State) Start(now time.Time) {
	if !s.draining {
		s.draining = true
		s.startedAt = now
	}
}

// Cancel ends the drain.
func (s *State) Cancel() { s.draining = false }

// Draining tells whether clients are being drained: health checks fail, and each answer ends its connection.
func (s *State) Draining() bool { return s.draining }

// Admits tells whether an op that arrives now is admitted. The client of one that is not may retry elsewhere.
func (s *State) Admits(now time.Time) bool {
	return !s.draining || now.Sub(s.startedAt) < admissionTime
}

// ConnectionsToClose is how many of the idle connections to close now, those first that have been idle
// longest, and how long each must have been idle. It is asked again after each interval.
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
