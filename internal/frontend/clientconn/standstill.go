package clientconn

import (
	"sync"
	"time"
)

const (
	tickInterval  = 40 * time.Millisecond // while stalls are watched
	watchDuration = time.Minute           // after the last call of watch
	// A longer gap between two ticks counts as a stall. The remaining time that a worker is given may be up
	// to 0.15 s too long.
	tickStallThreshold = 80 * time.Millisecond
	// The same for heartbeats, which come at least once a second from a loop that always runs.
	heartbeatStallThreshold = 1200 * time.Millisecond
	// Bytes that were received during a stall are read within this time after it.
	catchUpTime = 250 * time.Millisecond
)

// stallDetector finds out when the process did not run, because it was stopped or starved of CPU. The kernel
// only reports when the newest bytes of a connection were received; older ones that nobody could look at
// meanwhile may be as old as the stall. Until a client first sends a pipelined request, and again from a
// minute after the last one, the detector uses heartbeats: they cost nothing extra, but are up to a second
// apart.
type stallDetector struct {
	mu                   sync.Mutex
	watching             bool
	watchUntil           time.Time // unless watch is called again
	lastRun              time.Time // last tick or heartbeat
	stallStart, stallEnd time.Time // of the last stall
}

// earliestReceive returns the earliest time at which bytes that are first seen now can have been received.
func (s *stallDetector) earliestReceive(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.lastRun.IsZero():
		return now
	case !s.stallEnd.IsZero() && now.Sub(s.stallEnd) < catchUpTime:
		return s.stallStart
	case !s.watching || now.Sub(s.lastRun) > tickStallThreshold:
		return s.lastRun
	}
	return now
}

// earliestReceiveOf is earliestReceive for bytes of which the newest were received at a known time. If that
// is within the last stall, all of them were received during the stall or before it, however late they are
// read.
func (s *stallDetector) earliestReceiveOf(now, newest time.Time) time.Time {
	s.mu.Lock()
	start, end := s.stallStart, s.stallEnd
	s.mu.Unlock()
	if newest.After(start) && newest.Before(end) {
		return start
	}
	return s.earliestReceive(now)
}

// heartbeat notes that the process runs.
func (s *stallDetector) heartbeat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRun(now)
}

// recordRun notes that the process runs, and a stall if the gap since the last time is too long. It is called
// with the lock held.
func (s *stallDetector) recordRun(now time.Time) {
	threshold := heartbeatStallThreshold
	if s.watching {
		threshold = tickStallThreshold
	}
	if !s.lastRun.IsZero() && now.Sub(s.lastRun) > threshold {
		s.stallStart, s.stallEnd = s.lastRun, now
	}
	s.lastRun = now
}

// watch has ticks detect stalls for watchDuration from now on.
func (s *stallDetector) watch(now time.Time) {
	if !s.startWatching(now) {
		return
	}
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for range ticker.C {
			if !s.tick(time.Now()) {
				return
			}
		}
	}()
}

// startWatching starts or extends the watch. It returns false if the watch was already running.
func (s *stallDetector) startWatching(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchUntil = now.Add(watchDuration)
	if s.watching {
		return false
	}
	s.recordRun(now)
	s.watching = true
	return true
}

// tick notes that the process runs. It returns false once the watch has expired.
func (s *stallDetector) tick(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRun(now)
	s.watching = now.Before(s.watchUntil)
	return s.watching
}
