package discovery

import (
	"maps"
	"sync"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
)

// Discovery tells a worker's start in Unix time. This is the one place where that is held against this machine's wall clock, which is
// read once, at the process's start, and may be off by then. What is certain is that nothing has started in the future, and that a worker
// which turns up on a watch that was heard a moment ago has not been there for long.

const (
	// A worker turns up on a live watch this long after its start at the latest: what discovery has counts as told by then.
	maxListingDelay = changeDeadline
	// Of so many that turned up on a live watch one did so within the usual way, late lists included. If the youngest seems older, it is
	// the wall clock that is ahead: a step of a few seconds is less than what a single late list explains.
	samplesPerEstimate = 4
	usualListingDelay  = 2 * time.Second
	maxHeartbeatAge    = 3 * heartbeatInterval / 2 // a watch whose last sign of life is no older
	// A clock that is off by more than this is no clock that was stepped. Whatever else says so tells of that worker alone.
	maxClockSkew = 26 * time.Hour
	// So many workers that left the list are remembered beside those in it: they may come back as they were.
	maxRemovedWorkers = 1024
)

// ProcessStart is when a worker's present process started.
type ProcessStart struct {
	BootMS int64         `json:"boot_ms"` // as discovery tells it: it names the process
	At     dispatch.Time `json:"at"`      // by the clock of whoever says so
}

// StartTimes tells when workers started, by this process's own clock.
type StartTimes struct {
	clock       clock.Clock
	wallStartMS int64 // the wall clock's Unix milliseconds at the clock's start

	mu        sync.Mutex
	clockSkew time.Duration // of the wall clock before discovery's, as far as known
	lastHeard time.Duration // after the clock's start: discovery's last sign of life; negative before one
	processes map[string]ProcessStart

	samples  int           // workers that turned up on a live watch since ahead was found
	youngest time.Duration // of them
}

// NewStartTimes goes on from what another process knew, with moments moved to this one's clock; nil for nothing.
func NewStartTimes(c clock.Clock, before map[string]ProcessStart) *StartTimes {
	s := &StartTimes{clock: c, wallStartMS: time.Now().UnixMilli() - c.Elapsed().Milliseconds(), lastHeard: -1, processes: map[string]ProcessStart{}}
	if before != nil {
		s.lastHeard = c.Elapsed()
		maps.Copy(s.processes, before)
	}
	return s
}

// Snapshot is what another process can go on from.
func (s *StartTimes) Snapshot() map[string]ProcessStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.processes)
}

// noteHeartbeat notes a sign of life of discovery.
func (s *StartTimes) noteHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard = s.clock.Elapsed()
}

// startedAt is when a worker that is listed now started; 0 for long ago.
func (s *StartTimes) startedAt(t *target) dispatch.Time {
	if t.BootMS <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, known := s.processes[t.UID]; known && x.BootMS == t.BootMS {
		return x.At
	}
	at := config.RoundUp(s.clock.Now() - int64(s.age(t.BootMS)))
	if x, known := s.processes[t.UID]; known && t.BootMS > x.BootMS {
		at = max(at, x.At+1) // a later process of the same worker
	}
	s.processes[t.UID] = ProcessStart{t.BootMS, max(at, 1)}
	return s.processes[t.UID].At
}

// age is how long ago a process started that is new here, with the lock held.
func (s *StartTimes) age(bootMS int64) time.Duration {
	passed := s.clock.Elapsed()
	claimed := time.Duration(min(max(s.wallStartMS+passed.Milliseconds()-bootMS, -maxAgeMS), maxAgeMS)) * time.Millisecond
	age := claimed - s.clockSkew
	unseen := passed - s.lastHeard // it may have turned up at any time since then
	switch {
	case age < 0 || s.lastHeard >= 0 && age > unseen+maxListingDelay:
	case s.lastHeard < 0 || unseen > maxHeartbeatAge:
		return age // nothing tells otherwise
	default:
		return s.addSample(age)
	}
	// It has just started, as far as anybody knows, and the two clocks differ by what it seems to be older, or younger, than that.
	if claimed.Abs() <= maxClockSkew {
		s.clockSkew, s.samples = claimed, 0
	}
	return 0
}

// addSample takes the age of a worker that turned up on a live watch, and returns it as it is by what the last few say, with the lock held.
func (s *StartTimes) addSample(age time.Duration) time.Duration {
	if s.samples++; s.samples == 1 {
		s.youngest = age
	}
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

const maxAgeMS = int64(10 * 365 * 24 * time.Hour / time.Millisecond) // what is older is as good as that

// prune lets go of workers that are in the list no more, once there are many of them.
func (s *StartTimes) prune(list map[string]target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.processes) <= len(list)+maxRemovedWorkers {
		return
	}
	maps.DeleteFunc(s.processes, func(uid string, _ ProcessStart) bool {
		_, listed := list[uid]
		return !listed
	})
}
