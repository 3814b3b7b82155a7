package discovery

import (
	"maps"
	"sync"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
)

// Discovery sends a worker's start in Unix time. This file alone compares it with this machine's wall
// clock, which is read once, at the start of this process, and may be wrong by then. Two things are
// certain: nothing has started in the future, and a worker that is new on a watch that was heard a moment
// ago has not been there for long. Where discovery dates its answers, its clock is a second opinion: of the
// two the one counts by which a worker is younger.

const (
	// maxListingDelay is the longest time from a worker's start until it is on a live watch: its entry is
	// in force for everybody by then.
	maxListingDelay = changeDeadline

	// samplesPerEstimate is how many workers that are new on a live watch make one estimate of the clock
	// skew. At least one of so many is listed within usualListingDelay, late lists included.
	samplesPerEstimate = 4

	// usualListingDelay is how old the youngest of samplesPerEstimate workers may seem. If it seems
	// older, the wall clock is ahead. A step of fewer seconds can't be told from one late list.
	usualListingDelay = 2 * time.Second

	// maxHeartbeatAge is how old the last heartbeat of a live watch may be.
	maxHeartbeatAge = 3 * heartbeatInterval / 2

	// maxClockSkew bounds the skew of a clock that was stepped, a day and two hours. A worker that
	// suggests more has a wrong start time.
	maxClockSkew = 26 * time.Hour

	// dateResolution is that of the Date of an HTTP answer (RFC 9110, 5.6.7).
	dateResolution = time.Second

	// maxRemovedWorkers is how many workers that have left the list are retained beside those in it: they
	// may come back.
	maxRemovedWorkers = 1024

	// maxAgeMS bounds the age of a worker, ten years, so that sums don't overflow.
	maxAgeMS = int64(10 * 365 * 24 * time.Hour / time.Millisecond)
)

// WorkerStart is when a worker's present process started.
type WorkerStart struct {
	BootMS int64         `json:"boot_ms"` // as discovery sends it; it tells a worker's processes apart
	At     dispatch.Time `json:"at"`      // by the clock of the process that says so
}

// StartTimes converts the start times of workers to this process's own clock.
type StartTimes struct {
	clock       clock.Clock
	wallStartMS int64 // Unix milliseconds of the wall clock at the clock's start

	mu        sync.Mutex
	lastHeard time.Duration          // since the clock's start; negative before the first heartbeat
	processes map[string]WorkerStart // by worker
	clockSkew time.Duration          // of the wall clock, as far as known; above 0 where it is ahead

	// Of the estimate that is being made.
	samples  int           // workers that were new on a live watch
	youngest time.Duration // age of the youngest of them
}

// NewStartTimes returns start times that begin with those of the predecessor, converted to this clock;
// nil for none.
func NewStartTimes(c clock.Clock, predecessor map[string]WorkerStart) *StartTimes {
	s := &StartTimes{
		clock:       c,
		wallStartMS: time.Now().UnixMilli() - c.Elapsed().Milliseconds(),
		lastHeard:   -1,
		processes:   map[string]WorkerStart{},
	}
	if predecessor != nil {
		s.lastHeard = c.Elapsed()
		maps.Copy(s.processes, predecessor)
	}
	return s
}

// Snapshot returns the start times for a successor.
func (s *StartTimes) Snapshot() map[string]WorkerStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.processes)
}

// noteHeartbeat notes that discovery is alive.
func (s *StartTimes) noteHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard = s.clock.Elapsed()
}

// noteDate takes the date of an answer of discovery to a call that was made at a moment. The answer was dated
// after the call, so where the call's moment lies behind the date by the wall clock, that one is ahead by
// the difference at the least.
func (s *StartTimes) noteDate(date, calledAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calledMS := s.wallStartMS + (s.clock.Elapsed() - time.Since(calledAt)).Milliseconds()
	ahead := time.Duration(calledMS-date.UnixMilli())*time.Millisecond - dateResolution
	if ahead > s.clockSkew && ahead <= maxClockSkew {
		s.clockSkew = ahead
		s.samples = 0
	}
}

// startedAt returns when a worker that is listed now started; 0 for long ago. It is the same for each
// entry of one process.
func (s *StartTimes) startedAt(t *target) dispatch.Time {
	if t.BootMS <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	former, known := s.processes[t.UID]
	if known && former.BootMS == t.BootMS {
		return former.At
	}
	at := config.RoundUp(s.clock.Now() - int64(s.age(t.BootMS)))
	if known && t.BootMS > former.BootMS {
		at = max(at, former.At+1) // a later process of the same worker
	}
	at = max(at, 1)
	s.processes[t.UID] = WorkerStart{BootMS: t.BootMS, At: at}
	return at
}

// age returns how long ago a process started that is new here. The caller holds the lock.
func (s *StartTimes) age(bootMS int64) time.Duration {
	elapsed := s.clock.Elapsed()
	claimedMS := s.wallStartMS + elapsed.Milliseconds() - bootMS
	claimed := time.Duration(min(max(claimedMS, -maxAgeMS), maxAgeMS)) * time.Millisecond
	age := claimed - s.clockSkew
	sinceHeard := elapsed - s.lastHeard // the worker may have been listed at any time since then
	switch {
	case age < 0, s.lastHeard >= 0 && age > sinceHeard+maxListingDelay:
		// It has just started, as far as can be known, so all of the claimed age is skew.
		if claimed.Abs() <= maxClockSkew {
			s.clockSkew = claimed
			s.samples = 0
		}
		return 0
	case s.lastHeard < 0 || sinceHeard > maxHeartbeatAge:
		return age // nothing contradicts it
	}
	return s.addSample(age)
}

// addSample takes the age of a worker that is new on a live watch. It returns the age by the latest
// estimate of the clock skew. The caller holds the lock.
func (s *StartTimes) addSample(age time.Duration) time.Duration {
	if s.samples == 0 {
		s.youngest = age
	}
	s.samples++
	s.youngest = min(s.youngest, age)
	if s.samples < samplesPerEstimate {
		return age
	}
	s.samples = 0
	if s.youngest <= usualListingDelay {
		return age
	}
	s.clockSkew += s.youngest
	return age - s.youngest
}

// prune deletes workers that are not in the list any more, once there are more than maxRemovedWorkers.
func (s *StartTimes) prune(list map[string]target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.processes) <= len(list)+maxRemovedWorkers {
		return
	}
	maps.DeleteFunc(s.processes, func(uid string, _ WorkerStart) bool {
		_, listed := list[uid]
		return !listed
	})
}
