package discovery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
)

// newEmptyStartTimes returns the start times of a process without a predecessor.
func newEmptyStartTimes() *StartTimes { return NewStartTimes(clock.New(), nil) }

// targetStarted returns the entry of a worker that started some time ago, as sent by a discovery service
// whose clock is behind the clock of this process.
func targetStarted(uid string, ago, behind time.Duration) *target {
	return &target{UID: uid, BootMS: time.Now().Add(-ago - behind).UnixMilli()}
}

// ageOf returns the age of a worker by its converted start time.
func (s *StartTimes) ageOf(t *target) time.Duration {
	return time.Duration(s.clock.Now()) - time.Duration(s.startedAt(t))*config.Tenth
}

func approxEqual(got, want time.Duration) bool { return (got - want).Abs() <= 2*time.Millisecond }

// For any skew of the wall clock: a worker that appears on a live watch is not older than the time since the
// last heartbeat allows. The workers after it have their true age. Start times that were known before don't
// change.
func TestAWorkerThatAppearsOnALiveWatchIsYoung(t *testing.T) {
	for _, skew := range []time.Duration{0, time.Second, 5 * time.Second, -time.Second, 30 * time.Second, time.Hour, -time.Hour, 25 * time.Hour} {
		t.Run(fmt.Sprint(skew), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEmptyStartTimes()
				old := targetStarted("old", 10*time.Hour, skew)
				oldStart := s.startedAt(old)
				s.recordHeartbeat()
				time.Sleep(time.Second)
				maxAge := 200 * time.Millisecond
				for k := range 3 * samplesPerEstimate {
					if k == samplesPerEstimate-1 {
						maxAge = 200*time.Millisecond + usualListingDelay
					} else if k < samplesPerEstimate && skew > 0 && skew <= maxListingDelay {
						maxAge = 200*time.Millisecond + skew // may be a listing delay, until there are enough samples
					}
					x := targetStarted(fmt.Sprint("new", k), 200*time.Millisecond, skew)
					if age := s.ageOf(x); age < 0 || age > maxAge+2*time.Millisecond {
						t.Errorf("worker %d: age %v, want 0 to %v", k, age, maxAge)
					}
					s.recordHeartbeat()
					time.Sleep(500 * time.Millisecond)
					if first, again := s.startedAt(x), s.startedAt(x); first != again {
						t.Errorf("start times of one process differ: %v and %v", first, again)
					}
				}
				if s.startedAt(old) != oldStart {
					t.Error("the start time of a worker changed without a restart")
				}
			})
		})
	}
}

// With a correct clock, the start times sent by discovery apply, both to an entry of the first list and to an
// entry that appeared during a silence. An entry without a start time gets 0. An old worker that appears on a
// live watch counts as new.
func TestACorrectClockIsTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEmptyStartTimes()
		if age := s.ageOf(targetStarted("first", 90*time.Second, 0)); !approxEqual(age, 90*time.Second) {
			t.Errorf("first list: age %v", age)
		}
		s.recordHeartbeat()
		time.Sleep(20 * time.Second)
		if age := s.ageOf(targetStarted("silence", 15*time.Second, 0)); !approxEqual(age, 15*time.Second) {
			t.Errorf("during a silence of 20 s: age %v", age)
		}
		if at := s.startedAt(&target{UID: "ever"}); at != 0 {
			t.Errorf("without a start time: started at %v, want 0", at)
		}
		s.recordHeartbeat()
		if age := s.ageOf(targetStarted("forgotten", 80*time.Hour, 0)); !approxEqual(age, 0) {
			t.Errorf("old worker on a live watch: age %v", age)
		}
		if age := s.ageOf(targetStarted("next", time.Second, 0)); !approxEqual(age, time.Second) {
			t.Errorf("next worker: age %v", age)
		}
	})
}

// If the wall clock is behind, the start times in the first list are in the future. The latest becomes now,
// and the others keep their distance from it.
func TestStartTimesInTheFutureAreShiftedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEmptyStartTimes()
		for _, c := range []struct{ ago, want time.Duration }{{10 * time.Second, 0}, {4 * time.Second, 0}, {7 * time.Second, 3 * time.Second},
			{20 * time.Second, 16 * time.Second}} {
			if age := s.ageOf(targetStarted(c.ago.String(), c.ago, -time.Hour)); !approxEqual(age, c.want) {
				t.Errorf("started %v ago: age %v, want %v", c.ago, age, c.want)
			}
		}
	})
}

// A restarted worker has a later start time, however far discovery's clock advanced in the meantime.
func TestALaterProcessOfAWorkerStartsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEmptyStartTimes()
		boot := time.Now().UnixMilli()
		last := dispatch.Time(0)
		for range 5 {
			at := s.startedAt(&target{UID: "w", BootMS: boot})
			if at <= last {
				t.Errorf("start time %v is not after %v", at, last)
			}
			last, boot = at, boot+1
			s.recordHeartbeat()
		}
	})
}

// A successor continues with the start times and the heartbeat of its predecessor, converted to its own
// clock.
func TestStartTimesAreInheritedByASuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		predecessor := newEmptyStartTimes()
		x := targetStarted("w", 3*time.Second, time.Hour)
		predecessor.recordHeartbeat()
		at := predecessor.startedAt(x)
		time.Sleep(2 * time.Second)
		successorClock := clock.New()
		shift := dispatch.Time(successorClock.Now()-predecessor.clock.Now()) / dispatch.Time(100_000)
		inherited := predecessor.Snapshot()
		for uid, s := range inherited {
			inherited[uid] = WorkerStart{s.BootMS, s.At + shift}
		}
		successor := NewStartTimes(successorClock, inherited)
		if got := successor.startedAt(x); got != at+shift {
			t.Errorf("started at %v, want %v", got, at+shift)
		}
		if age := successor.ageOf(targetStarted("fresh", 0, time.Hour)); !approxEqual(age, 0) {
			t.Errorf("worker that appears immediately: age %v", age)
		}
	})
}

// Workers that have left the list are deleted once there are too many; listed workers are never deleted.
func TestTheNumberOfStartTimesIsBounded(t *testing.T) {
	s := newEmptyStartTimes()
	list := map[string]target{}
	for k := range 3 * maxRemovedWorkers {
		x := target{UID: fmt.Sprint(k), BootMS: int64(k + 1)}
		s.startedAt(&x)
		if k%100 == 0 {
			list[x.UID] = x
		}
		if s.prune(list); len(s.starts) > len(list)+maxRemovedWorkers {
			t.Fatalf("%d start times with %d workers in the list", len(s.starts), len(list))
		}
	}
	for uid := range list {
		if _, known := s.starts[uid]; !known {
			t.Errorf("the start time of listed worker %s was deleted", uid)
		}
	}
}

// If the wall clock is ahead at the start, a new worker of the first list seems old. The Date of discovery's
// response reveals this. If the response is late, a worker may seem younger by at most its delay, and by at
// most the resolution of the date. A date that is ahead proves nothing.
func TestAResponseDateRevealsAClockThatIsAhead(t *testing.T) {
	for _, c := range []struct {
		name                string
		skew                time.Duration // of the wall clock
		readDelay           time.Duration // from the date of the response until it is read
		minAge, maxAge, ago time.Duration // minAge and maxAge bound the resulting age; ago is the true age
	}{
		{"right", 0, 0, 5 * time.Second, 5 * time.Second, 5 * time.Second},
		{"right, response read late", 0, 3 * time.Second, 5 * time.Second, 5 * time.Second, 5 * time.Second},
		{"an hour ahead", time.Hour, 0, 5 * time.Second, 7 * time.Second, 5 * time.Second},
		{"an hour ahead, response read late", time.Hour, 3 * time.Second, 5 * time.Second, 7 * time.Second, 5 * time.Second},
		{"an hour behind", -time.Hour, 0, 0, 0, 5 * time.Second},
		{"a month ahead, ignored", 30 * 24 * time.Hour, 0, 30 * 24 * time.Hour, 31 * 24 * time.Hour, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEmptyStartTimes()
				calledAt := time.Now()
				date := time.Now().Add(-c.skew).Truncate(time.Second)
				time.Sleep(c.readDelay)
				s.recordDate(date, calledAt)
				if age := s.ageOf(targetStarted("first", c.ago, c.skew)); age < c.minAge-2*time.Millisecond || age > c.maxAge+2*time.Millisecond {
					t.Errorf("age %v, want %v to %v", age, c.minAge, c.maxAge)
				}
			})
		})
	}
}
