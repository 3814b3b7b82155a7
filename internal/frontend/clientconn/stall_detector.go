package clientconn

import (
	"sync"
	"time"
)

const (
	tickInterval = 40 * time.Millisecond // while the detector uses ticks
	tickDuration = time.Minute           // ticks run for this long after they were last needed
	// A longer gap between two ticks counts as a stall. With this threshold, the remaining time that is
	// passed to a worker may be up to 0.15 s too long.
	tickStallThreshold = 80 * time.Millisecond
	// A longer gap between two heartbeats counts as a stall. A loop that always runs sends heartbeats at
	// least once a second.
	heartbeatStallThreshold = 1200 * time.Millisecond
	// Bytes that were received during a stall are assumed to be read within this time after the stall.
	catchUpTime = 250 * time.Millisecond
	// maxStalls is the number of stalls that are remembered.
	maxStalls = 16
)

// stall is a time in which the process did not run.
type stall struct{ start, end time.Time }

func (s stall) contains(at time.Time) bool { return at.After(s.start) && at.Before(s.end) }

// stallDetector detects when the process did not run, because it was stopped or starved of CPU. The kernel
// only reports when the newest bytes of a connection were received. Older unread bytes may have been received
// at any time since the start of the stall.
//
// The detector uses ticks while connections are open: ticking is true meanwhile. At other times it uses
// heartbeats. These cost nothing extra, but are up to a second apart.
type stallDetector struct {
	mu        sync.Mutex
	ticking   bool
	tickUntil time.Time // end of the ticks; each call of extendTicks extends it
	lastRun   time.Time // time of the last tick or heartbeat
	stalls    []stall   // by time; at most maxStalls
}

// earliestReceive returns the earliest time at which bytes that are first seen now can have been received.
func (s *stallDetector) earliestReceive(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.lastRun.IsZero():
		return now
	case now.Sub(s.last().end) < catchUpTime:
		return s.last().start
	case !s.ticking || now.Sub(s.lastRun) > tickStallThreshold:
		return s.lastRun
	}
	return now
}

// earliestReceiveOf is earliestReceive for bytes of which the newest were received at a known time. If this
// time is within a stall, earliestReceiveOf returns the start of the stall, however late the bytes are read.
func (s *stallDetector) earliestReceiveOf(now, newest time.Time) time.Time {
	if start, ok := s.stallStartAt(newest); ok {
		return start
	}
	return s.earliestReceive(now)
}

// stallStartAt returns the start of the stall that contains a time.
func (s *stallDetector) stallStartAt(at time.Time) (start time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.stalls {
		if x.contains(at) {
			return x.start, true
		}
	}
	return time.Time{}, false
}

// last returns the last stall, the zero value if there was none, with the lock held.
func (s *stallDetector) last() stall {
	if len(s.stalls) == 0 {
		return stall{}
	}
	return s.stalls[len(s.stalls)-1]
}

// addStall records a stall, with the lock held. Bytes that were received in the stall before may not have been read
// yet if that has ended within catchUpTime, so the two count as one.
func (s *stallDetector) addStall(x stall) {
	if len(s.stalls) > 0 && x.start.Sub(s.last().end) < catchUpTime {
		s.stalls[len(s.stalls)-1].end = x.end
		return
	}
	if len(s.stalls) == maxStalls {
		s.stalls = append(s.stalls[:0], s.stalls[1:]...)
	}
	s.stalls = append(s.stalls, x)
}

// heartbeat records that the process runs.
func (s *stallDetector) heartbeat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRun(now)
}

// recordRun records that the process runs, and a stall if the gap since lastRun is too long. It is called
// with the lock held.
func (s *stallDetector) recordRun(now time.Time) {
	threshold := heartbeatStallThreshold
	if s.ticking {
		threshold = tickStallThreshold
	}
	if !s.lastRun.IsZero() && now.Sub(s.lastRun) > threshold {
		s.addStall(stall{s.lastRun, now})
	}
	s.lastRun = now
}

// keepTicking makes ticks run for tickDuration, and for as long as they are needed beyond that.
func (s *stallDetector) keepTicking(now time.Time, needed func() bool) {
	if !s.extendTicks(now) {
		return
	}
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for range ticker.C {
			now := time.Now()
			if needed() {
				s.extendTicks(now)
			}
			if !s.tick(now) {
				return
			}
		}
	}()
}

// extendTicks makes ticks run until tickDuration from now. It returns false if they were already running.
func (s *stallDetector) extendTicks(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickUntil = now.Add(tickDuration)
	if s.ticking {
		return false
	}
	s.recordRun(now)
	s.ticking = true
	return true
}

// tick records that the process runs. It returns false once the ticks have to end.
func (s *stallDetector) tick(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRun(now)
	s.ticking = now.Before(s.tickUntil)
	return s.ticking
}
