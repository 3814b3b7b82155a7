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

// unknown are the starts of a process that knows of none.
func unknown() *StartTimes { return NewStartTimes(clock.New(), nil) }

// seenAt is a worker's entry as discovery tells it, by a clock that is behind this process's by so
// much.
func seenAt(uid string, ago, behind time.Duration) *target {
	return &target{UID: uid, BootMS: time.Now().Add(-ago - behind).UnixMilli()}
}

// ageOf is how old a worker is to the module.
func (s *StartTimes) ageOf(t *target) time.Duration {
	return time.Duration(s.clock.Now()) - time.Duration(s.startedAt(t))*config.Tenth
}

func near(got, want time.Duration) bool { return (got - want).Abs() <= 2*time.Millisecond }

// Whatever a wall clock is off by, a worker that turns up on a live watch is as old as it may be since
// the watch was last heard, those after it are as old as they are, and what was known before stays as
// it was.
func TestAWorkerThatTurnsUpOnALiveWatchIsYoung(t *testing.T) {
	for _, off := range []time.Duration{0, time.Second, 5 * time.Second, -time.Second, 30 * time.Second, time.Hour, -time.Hour, 25 * time.Hour} {
		t.Run(fmt.Sprint(off), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := unknown()
				old := seenAt("old", 10*time.Hour, off)
				was := s.startedAt(old)
				s.recordHeartbeat()
				time.Sleep(time.Second)
				most := 200 * time.Millisecond
				for k := range 3 * samplesPerEstimate {
					if k == samplesPerEstimate-1 {
						most = 200*time.Millisecond + usualListingDelay
					} else if k < samplesPerEstimate && off > 0 && off <= maxListingDelay {
						most = 200*time.Millisecond + off // so little may be the way to here, until a few have turned up
					}
					x := seenAt(fmt.Sprint("new", k), 200*time.Millisecond, off)
					if age := s.ageOf(x); age < 0 || age > most+2*time.Millisecond {
						t.Errorf("worker %d: %v old", k, age)
					}
					s.recordHeartbeat()
					time.Sleep(500 * time.Millisecond)
					if first, again := s.startedAt(x), s.startedAt(x); first != again {
						t.Errorf("one start is at %v and at %v", first, again)
					}
				}
				if s.startedAt(old) != was {
					t.Error("a worker that has not started again has another start")
				}
			})
		})
	}
}

// A clock that is right is believed: an entry of the first list, one that turned up in a silence, and
// one of long ago.
func TestAClockThatIsRightIsBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := unknown()
		if age := s.ageOf(seenAt("first", 90*time.Second, 0)); !near(age, 90*time.Second) {
			t.Errorf("of the first list: %v", age)
		}
		s.recordHeartbeat()
		time.Sleep(20 * time.Second)
		if age := s.ageOf(seenAt("silence", 15*time.Second, 0)); !near(age, 15*time.Second) {
			t.Errorf("in a silence of 20 s: %v", age)
		}
		if at := s.startedAt(&target{UID: "ever"}); at != 0 {
			t.Errorf("long ago is %v", at)
		}
		s.recordHeartbeat()
		if age := s.ageOf(seenAt("forgotten", 80*time.Hour, 0)); !near(age, 0) {
			t.Errorf("one that nobody had told of: %v", age)
		}
		if age := s.ageOf(seenAt("next", time.Second, 0)); !near(age, time.Second) {
			t.Errorf("and one after it: %v", age)
		}
	})
}

// With the clock behind, starts of the first list lie in the future: the last of them is now, the
// others as long before it as they are.
func TestStartsOfTheFutureMoveTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := unknown()
		for _, c := range []struct{ ago, want time.Duration }{{10 * time.Second, 0}, {4 * time.Second, 0}, {7 * time.Second, 3 * time.Second},
			{20 * time.Second, 16 * time.Second}} {
			if age := s.ageOf(seenAt(c.ago.String(), c.ago, -time.Hour)); !near(age, c.want) {
				t.Errorf("%v ago: %v old, want %v", c.ago, age, c.want)
			}
		}
	})
}

// A worker that starts again is another one, however discovery's clock went meanwhile as long as it
// went on.
func TestALaterProcessOfAWorkerStartsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := unknown()
		boot := time.Now().UnixMilli()
		last := dispatch.Time(0)
		for range 5 {
			at := s.startedAt(&target{UID: "w", BootMS: boot})
			if at <= last {
				t.Errorf("%v after %v", at, last)
			}
			last, boot = at, boot+1
			s.recordHeartbeat()
		}
	})
}

// What one process knew another goes on from, by its own clock.
func TestStartsAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		was := unknown()
		x := seenAt("w", 3*time.Second, time.Hour)
		was.recordHeartbeat()
		at := was.startedAt(x)
		time.Sleep(2 * time.Second)
		is := clock.New()
		shift := dispatch.Time(is.Now()-was.clock.Now()) / dispatch.Time(100_000)
		before := was.Snapshot()
		for uid, s := range before {
			before[uid] = WorkerStart{s.BootMS, s.At + shift}
		}
		heir := NewStartTimes(is, before)
		if got := heir.startedAt(x); got != at+shift {
			t.Errorf("%v, want %v", got, at+shift)
		}
		if age := heir.ageOf(seenAt("fresh", 0, time.Hour)); !near(age, 0) {
			t.Errorf("one that turns up at once: %v", age)
		}
	})
}

// Workers that left the list are forgotten once there are many, and those in it never.
func TestStartsAreBounded(t *testing.T) {
	s := unknown()
	list := map[string]target{}
	for k := range 3 * maxRemovedWorkers {
		x := target{UID: fmt.Sprint(k), BootMS: int64(k + 1)}
		s.startedAt(&x)
		if k%100 == 0 {
			list[x.UID] = x
		}
		if s.prune(list); len(s.starts) > len(list)+maxRemovedWorkers {
			t.Fatalf("%d are known with %d in the list", len(s.starts), len(list))
		}
	}
	for uid := range list {
		if _, known := s.starts[uid]; !known {
			t.Errorf("%s is forgotten", uid)
		}
	}
}

// With the clock ahead at a start, a worker of the first list that has just started looks old. Discovery's own clock, where its answers are
// dated, tells; a date that is late or coarse does not make a worker younger than it is by more than that, and one that is ahead says nothing.
func TestTheDateOfAnAnswerShowsThatTheClockIsAhead(t *testing.T) {
	for _, c := range []struct {
		name             string
		off              time.Duration // of this clock
		dateLate         time.Duration // the answer is dated so long before it is read
		least, most, ago time.Duration // of the age that counts
	}{
		{"right", 0, 0, 5 * time.Second, 5 * time.Second, 5 * time.Second},
		{"right, answer read late", 0, 3 * time.Second, 5 * time.Second, 5 * time.Second, 5 * time.Second},
		{"an hour ahead", time.Hour, 0, 5 * time.Second, 7 * time.Second, 5 * time.Second},
		{"an hour ahead, answer read late", time.Hour, 3 * time.Second, 5 * time.Second, 7 * time.Second, 5 * time.Second},
		{"an hour behind", -time.Hour, 0, 0, 0, 5 * time.Second},
		{"a month ahead: not believed", 30 * 24 * time.Hour, 0, 30 * 24 * time.Hour, 31 * 24 * time.Hour, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := unknown()
				calledAt := time.Now()
				date := time.Now().Add(-c.off).Truncate(time.Second)
				time.Sleep(c.dateLate)
				s.recordDate(date, calledAt)
				if age := s.ageOf(seenAt("first", c.ago, c.off)); age < c.least-2*time.Millisecond || age > c.most+2*time.Millisecond {
					t.Errorf("%v old, want from %v to %v", age, c.least, c.most)
				}
			})
		})
	}
}
