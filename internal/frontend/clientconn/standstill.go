package clientconn

import (
	"sync"
	"time"
)

const (
	beatEvery = 40 * time.Millisecond // while it is wanted
	beatsFor  = time.Minute           // after it was wanted last
	// A beat that is later than that tells of a process that stood. What is told to a worker may be too much by 0.15 s.
	lateBeat = 80 * time.Millisecond
	// The same before that, when whoever has something to do all the time tells of it: once a second at the least.
	lateSign = 1200 * time.Millisecond
	// What came while the process stood is read by then.
	catchesUp = 250 * time.Millisecond
)

// standstill knows since when the process may have stood, as one does that is stopped or starved. The kernel tells when the newest bytes of a
// connection came, and no more; what came before them while nobody could look may be as old as the standstill. Until a client first sends a
// request behind another one, and again a minute after the last, it goes by signs of life that cost nothing, and are up to a second apart.
type standstill struct {
	mu       sync.Mutex
	on       bool
	until    time.Time // when it ends, if nobody asks
	last     time.Time // beat, or sign of life
	from, to time.Time // the last standstill
}

// earliest is since when something may have come that is seen now, and was not a moment ago.
func (s *standstill) earliest(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.last.IsZero():
		return now
	case !s.to.IsZero() && now.Sub(s.to) < catchesUp:
		return s.from
	case !s.on || now.Sub(s.last) > lateBeat:
		return s.last
	}
	return now
}

// earliestOf is earliest for bytes of which the newest came at a moment. Where that lies in the last standstill all of them came in it or before,
// however late they are read after it.
func (s *standstill) earliestOf(now, newest time.Time) time.Time {
	s.mu.Lock()
	from, to := s.from, s.to
	s.mu.Unlock()
	if newest.After(from) && newest.Before(to) {
		return from
	}
	return s.earliest(now)
}

// sign notes that the process runs.
func (s *standstill) sign(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran(now)
}

// ran is sign with the lock held.
func (s *standstill) ran(now time.Time) {
	late := lateSign
	if s.on {
		late = lateBeat
	}
	if !s.last.IsZero() && now.Sub(s.last) > late {
		s.from, s.to = s.last, now
	}
	s.last = now
}

// want has the process watched for a while from now on.
func (s *standstill) want(now time.Time) {
	if !s.begin(now) {
		return
	}
	go func() {
		beats := time.NewTicker(beatEvery)
		defer beats.Stop()
		for range beats.C {
			if !s.beat(time.Now()) {
				return
			}
		}
	}()
}

// begin begins to watch, or goes on; false where it has begun already.
func (s *standstill) begin(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = now.Add(beatsFor)
	if s.on {
		return false
	}
	s.ran(now)
	s.on = true
	return true
}

// beat notes that the process runs; false once nobody has asked for long.
func (s *standstill) beat(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran(now)
	s.on = now.Before(s.until)
	return s.on
}
