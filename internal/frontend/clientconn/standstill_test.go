package clientconn

import (
	"testing"
	"time"
)

// What is first seen when the process runs on after it stood may have come at any time since it was last known to run.
func TestAStandstillIsSeenWhoeverRunsFirst(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s standstill
	if got := s.earliest(at(0)); !got.Equal(at(0)) {
		t.Error("one that nobody has asked for yet says that it stood")
	}
	s.begin(at(0))
	for ms := 0; ms <= 400; ms += 40 {
		s.beat(at(ms))
	}
	for _, c := range []struct{ now, want int }{{401, 401}, {440, 440}, {470, 470}, {1500, 400}} {
		if got := s.earliest(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("after a beat at 400 ms, at %d ms: %v, not %d ms", c.now, got.Sub(start), c.want)
		}
	}
	s.beat(at(1500)) // it came before the one that asks
	ms := 1500
	for _, c := range []struct{ now, want int }{{1501, 400}, {1550, 400}, {1900, 1900}} {
		for ; ms <= c.now; ms += 40 {
			s.beat(at(ms))
		}
		if got := s.earliest(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("after it ran on at 1,500 ms, at %d ms: %v, not %d ms", c.now, got.Sub(start), c.want)
		}
	}
	if s.beat(at(int(beatsFor.Milliseconds()))); s.on {
		t.Error("it goes on for good though nobody asks")
	}
}

// Before anybody has sent behind another request, what is seen may be as old as the last sign of life, and a standstill shows in these.
func TestSignsOfLifeTellOfAStandstillToo(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s standstill
	for _, ms := range []int{0, 1000, 1100} {
		s.sign(at(ms))
	}
	if got := s.earliest(at(1900)); !got.Equal(at(1100)) {
		t.Errorf("between two signs: %v", got.Sub(start))
	}
	s.sign(at(3000)) // it came before the one that asks
	for _, c := range []struct{ now, want int }{{3001, 1100}, {3249, 1100}, {3300, 3000}} {
		if got := s.earliest(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("after it ran on at 3,000 ms, at %d ms: %v, not %d ms", c.now, got.Sub(start), c.want)
		}
	}
}

// A process that runs on may take longer to read what came while it stood than it is usually given: what the kernel dates into the standstill
// came in it, whenever it is read.
func TestWhatCameInAStandstillIsDatedByItHoweverLateItIsRead(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s standstill
	s.begin(at(0))
	for ms := 0; ms <= 400; ms += 40 {
		s.beat(at(ms))
	}
	for ms := 1500; ms <= 2200; ms += 40 { // it stood from 400 to 1,500
		s.beat(at(ms))
	}
	for _, c := range []struct{ newest, want int }{{1200, 400}, {1499, 400}, {390, 2200}, {1600, 2200}, {2200, 2200}} {
		if got := s.earliestOf(at(2200), at(c.newest)); !got.Equal(at(c.want)) {
			t.Errorf("newest bytes at %d ms, read at 2,200 ms: since %v, not %d ms", c.newest, got.Sub(start), c.want)
		}
	}
}
