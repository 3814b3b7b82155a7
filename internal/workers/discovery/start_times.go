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
	turnsUp = told
	// Of so many that turned up on a live watch one did so within the usual way, late lists included. If the youngest seems older, it is
	// the wall clock that is ahead: a step of a few seconds is less than what a single late list explains.
	fewSeen  = 4
	usualWay = 2 * time.Second
	live     = 3 * beat / 2 // a watch whose last sign of life is no older
	// A clock that is off by more than this is no clock that was stepped. Whatever else says so tells of that worker alone.
	mostSkew = 26 * time.Hour
	// So many workers that left the list are remembered beside those in it: they may come back as they were.
	mostLeft = 1024
)

// ProcessStart is when a worker's present process started.
type ProcessStart struct {
	BootMS int64         `json:"boot_ms"` // as discovery tells it: it names the process
	At     dispatch.Time `json:"at"`      // by the clock of whoever says so
}

// StartTimes tells when workers started, by this process's own clock.
type StartTimes struct {
	clock clock.Clock
	wall  int64 // the wall clock's Unix milliseconds at the clock's start

	mu    sync.Mutex
	ahead time.Duration // of the wall clock before discovery's, as far as known
	heard time.Duration // after the clock's start: discovery's last sign of life; negative before one
	known map[string]ProcessStart

	seen     int           // workers that turned up on a live watch since ahead was found
	youngest time.Duration // of them
}

// NewStartTimes goes on from what another process knew, with moments moved to this one's clock; nil for nothing.
func NewStartTimes(c clock.Clock, before map[string]ProcessStart) *StartTimes {
	s := &StartTimes{clock: c, wall: time.Now().UnixMilli() - c.Elapsed().Milliseconds(), heard: -1, known: map[string]ProcessStart{}}
	if before != nil {
		s.heard = c.Elapsed()
		maps.Copy(s.known, before)
	}
	return s
}

// Snapshot is what another process can go on from.
func (s *StartTimes) Snapshot() map[string]ProcessStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.known)
}

// alive notes a sign of life of discovery.
func (s *StartTimes) alive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = s.clock.Elapsed()
}

// of is when a worker that is listed now started; 0 for long ago.
func (s *StartTimes) of(t *target) dispatch.Time {
	if t.BootMS <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, known := s.known[t.UID]; known && x.BootMS == t.BootMS {
		return x.At
	}
	at := config.RoundUp(s.clock.Now() - int64(s.age(t.BootMS)))
	if x, known := s.known[t.UID]; known && t.BootMS > x.BootMS {
		at = max(at, x.At+1) // a later process of the same worker
	}
	s.known[t.UID] = ProcessStart{t.BootMS, max(at, 1)}
	return s.known[t.UID].At
}

// age is how long ago a process started that is new here, with the lock held.
func (s *StartTimes) age(bootMS int64) time.Duration {
	passed := s.clock.Elapsed()
	claimed := time.Duration(min(max(s.wall+passed.Milliseconds()-bootMS, -longestAgeMS), longestAgeMS)) * time.Millisecond
	age := claimed - s.ahead
	unseen := passed - s.heard // it may have turned up at any time since then
	switch {
	case age < 0 || s.heard >= 0 && age > unseen+turnsUp:
	case s.heard < 0 || unseen > live:
		return age // nothing tells otherwise
	default:
		return s.sample(age)
	}
	// It has just started, as far as anybody knows, and the two clocks differ by what it seems to be older, or younger, than that.
	if claimed.Abs() <= mostSkew {
		s.ahead, s.seen = claimed, 0
	}
	return 0
}

// sample takes the age of a worker that turned up on a live watch, and returns it as it is by what the last few say, with the lock held.
func (s *StartTimes) sample(age time.Duration) time.Duration {
	if s.seen++; s.seen == 1 {
		s.youngest = age
	}
	s.youngest = min(s.youngest, age)
	if s.seen < fewSeen {
		return age
	}
	s.seen = 0
	if s.youngest <= usualWay {
		return age
	}
	s.ahead += s.youngest
	return age - s.youngest
}

const longestAgeMS = int64(10 * 365 * 24 * time.Hour / time.Millisecond) // what is older is as good as that

// forget lets go of workers that are in the list no more, once there are many of them.
func (s *StartTimes) forget(list map[string]target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.known) <= len(list)+mostLeft {
		return
	}
	maps.DeleteFunc(s.known, func(uid string, _ ProcessStart) bool {
		_, listed := list[uid]
		return !listed
	})
}
