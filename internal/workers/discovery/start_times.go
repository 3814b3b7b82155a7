package discovery

import (
	"maps"
	"sync"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
)

// Discovery sends a worker's start time in Unix time. Only this file compares it with the wall clock of this
// machine, which is read once, at the start of this process, and may be wrong. Two facts bound the skew: no
// worker starts in the future, and a worker that appears on a watch with a recent heartbeat started
// recently. If discovery's responses have a Date, its clock is a second source: of the two clocks, the one
// by which a worker is younger applies.

const (
	// maxListingDelay is the longest time from a worker's start until its entry arrives on a live watch:
	// the entry is in force for all schedulers by then.
	maxListingDelay = changeDeadline

	// samplesPerEstimate is the number of workers that must appear on a live watch for one estimate of the
	// clock skew. At least one of them is listed within usualListingDelay, even if some lists arrive late.
	samplesPerEstimate = 4

	// usualListingDelay is the longest usual time from a worker's start until its entry arrives on a live
	// watch. If even the youngest of samplesPerEstimate workers appears older, the wall clock is ahead. A
	// smaller skew can't be distinguished from a list that arrives late.
	usualListingDelay = 2 * time.Second

	// maxHeartbeatAge is the maximum age of the last heartbeat of a live watch.
	maxHeartbeatAge = 3 * heartbeatInterval / 2

	// maxClockSkew bounds the skew of a wall clock that was stepped: a day and two hours. A worker whose
	// start implies a larger skew has a wrong start time.
	maxClockSkew = 26 * time.Hour

	// dateResolution is the resolution of the Date header of an HTTP response (RFC 9110, 5.6.7).
	dateResolution = time.Second

	// maxRemovedWorkers is how many workers that have left the list are retained in addition to the listed
	// ones, as they may return.
	maxRemovedWorkers = 1024

	// maxAgeMS bounds the age of a worker to ten years, so that sums don't overflow.
	maxAgeMS = int64(10 * 365 * 24 * time.Hour / time.Millisecond)
)

// WorkerStart is the start time of a worker's current process.
type WorkerStart struct {
	BootMS int64         `json:"boot_ms"` // as discovery sends it; identifies the worker's process
	At     dispatch.Time `json:"at"`      // by the clock of the scheduler process that reports it
}

// StartTimes converts the start times of workers to the clock of this process.
type StartTimes struct {
	clock       clock.Clock
	wallStartMS int64 // wall clock in Unix milliseconds at the start of clock

	mu            sync.Mutex
	lastHeartbeat time.Duration          // time of the last heartbeat, by clock; -1 before the first
	starts        map[string]WorkerStart // by worker
	clockSkew     time.Duration          // estimated skew of the wall clock; above 0 if it is ahead

	// State of the estimate in progress.
	samples     int           // workers that appeared on a live watch
	youngestAge time.Duration // lowest age among them
}

// NewStartTimes returns start times that begin with those of the predecessor, the process that this one
// replaces at a hot restart. They must already be converted to this clock. The map is nil if there is no
// predecessor.
func NewStartTimes(c clock.Clock, predecessor map[string]WorkerStart) *StartTimes {
	s := &StartTimes{
		clock:         c,
		wallStartMS:   time.Now().UnixMilli() - c.Elapsed().Milliseconds(),
		lastHeartbeat: -1,
		starts:        map[string]WorkerStart{},
	}
	if predecessor != nil {
		s.lastHeartbeat = c.Elapsed()
		maps.Copy(s.starts, predecessor)
	}
	return s
}

// Snapshot returns a copy of the start times for the successor, the process that replaces this one at a hot
// restart.
func (s *StartTimes) Snapshot() map[string]WorkerStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.starts)
}

// recordHeartbeat records that discovery is alive.
func (s *StartTimes) recordHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeartbeat = s.clock.Elapsed()
}

// recordDate uses the Date of discovery's response to a call made at calledAt. The response is dated after
// the call. So if calledAt is later than the date by the wall clock, the wall clock is ahead by at least the
// difference.
func (s *StartTimes) recordDate(date, calledAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calledMS := s.wallStartMS + (s.clock.Elapsed() - time.Since(calledAt)).Milliseconds()
	ahead := time.Duration(calledMS-date.UnixMilli())*time.Millisecond - dateResolution
	if ahead > s.clockSkew && ahead <= maxClockSkew {
		s.clockSkew = ahead
		s.samples = 0
	}
}

// startedAt returns the start time of a worker that is listed now; 0 if unknown, which counts as long ago.
// All entries of the same process get the same start time.
func (s *StartTimes) startedAt(t *target) dispatch.Time {
	if t.BootMS <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	former, known := s.starts[t.UID]
	if known && former.BootMS == t.BootMS {
		return former.At
	}
	at := config.RoundUp(s.clock.Now() - int64(s.age(t.BootMS)))
	if known && t.BootMS > former.BootMS {
		at = max(at, former.At+1) // a later process of the same worker starts later
	}
	at = max(at, 1)
	s.starts[t.UID] = WorkerStart{BootMS: t.BootMS, At: at}
	return at
}

// age returns the age of a process that is seen for the first time. The caller holds the lock.
func (s *StartTimes) age(bootMS int64) time.Duration {
	elapsed := s.clock.Elapsed()
	claimedMS := s.wallStartMS + elapsed.Milliseconds() - bootMS
	claimed := time.Duration(min(max(claimedMS, -maxAgeMS), maxAgeMS)) * time.Millisecond
	age := claimed - s.clockSkew
	sinceHeartbeat := elapsed - s.lastHeartbeat // the worker may have been listed at any time since
	switch {
	case age < 0, s.lastHeartbeat >= 0 && age > sinceHeartbeat+maxListingDelay:
		// This age is impossible. The process counts as just started, and its claimed age as clock skew.
		if claimed.Abs() <= maxClockSkew {
			s.clockSkew = claimed
			s.samples = 0
		}
		return 0
	case s.lastHeartbeat < 0 || sinceHeartbeat > maxHeartbeatAge:
		return age // no heartbeat is recent enough to contradict this age
	}
	return s.addSample(age)
}

// addSample adds the age of a worker that appeared on a live watch. It returns the age corrected by the
// latest estimate of the clock skew. The caller holds the lock.
func (s *StartTimes) addSample(age time.Duration) time.Duration {
	if s.samples == 0 {
		s.youngestAge = age
	}
	s.samples++
	s.youngestAge = min(s.youngestAge, age)
	if s.samples < samplesPerEstimate {
		return age
	}
	s.samples = 0
	if s.youngestAge <= usualListingDelay {
		return age
	}
	s.clockSkew += s.youngestAge
	return age - s.youngestAge
}

// prune deletes the workers that have left the list once there are more than maxRemovedWorkers of them.
func (s *StartTimes) prune(list map[string]target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.starts) <= len(list)+maxRemovedWorkers {
		return
	}
	maps.DeleteFunc(s.starts, func(uid string, _ WorkerStart) bool {
		_, listed := list[uid]
		return !listed
	})
}
