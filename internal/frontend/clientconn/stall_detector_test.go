package clientconn

import (
	"testing"
	"time"
)

// Bytes that are first seen after a stall are dated to the last time at which the process was known to run.
// This holds whether the ticker or the reader of the bytes runs first after the stall.
func TestAStallIsDetectedWhicheverGoroutineRunsFirst(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s stallDetector
	if got := s.earliestReceive(at(0)); !got.Equal(at(0)) {
		t.Error("a stall is reported before the first tick or heartbeat")
	}
	s.extendTicks(at(0))
	for ms := 0; ms <= 400; ms += 40 {
		s.tick(at(ms))
	}
	for _, c := range []struct{ now, want int }{{401, 401}, {440, 440}, {470, 470}, {1500, 400}} {
		if got := s.earliestReceive(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("after a tick at 400 ms, at %d ms: got %v, want %d ms", c.now, got.Sub(start), c.want)
		}
	}
	s.tick(at(1500)) // the ticker runs before the reader
	ms := 1500
	for _, c := range []struct{ now, want int }{{1501, 400}, {1550, 400}, {1900, 1900}} {
		for ; ms <= c.now; ms += 40 {
			s.tick(at(ms))
		}
		if got := s.earliestReceive(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("stall until 1,500 ms, at %d ms: got %v, want %d ms", c.now, got.Sub(start), c.want)
		}
	}
	if s.tick(at(int(tickDuration.Milliseconds()))); s.ticking {
		t.Error("the ticks do not end after tickDuration")
	}
}

// Before the first pipelined request there are no ticks. Bytes may be as old as the last heartbeat, and a
// long gap between two heartbeats is a stall.
func TestAHeartbeatGapIsAStall(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s stallDetector
	for _, ms := range []int{0, 1000, 1100} {
		s.heartbeat(at(ms))
	}
	if got := s.earliestReceive(at(1900)); !got.Equal(at(1100)) {
		t.Errorf("between two heartbeats: got %v, want 1,100 ms", got.Sub(start))
	}
	s.heartbeat(at(3000)) // the heartbeat runs before the reader
	for _, c := range []struct{ now, want int }{{3001, 1100}, {3249, 1100}, {3300, 3000}} {
		if got := s.earliestReceive(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("stall until 3,000 ms, at %d ms: got %v, want %d ms", c.now, got.Sub(start), c.want)
		}
	}
}

// After a stall a process may need longer than catchUpTime to read what was received during it. Bytes whose
// kernel receive time is within the stall are dated to its start, whenever they are read.
func TestBytesReceivedDuringAStallAreDatedToItsStart(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s stallDetector
	s.extendTicks(at(0))
	for ms := 0; ms <= 400; ms += 40 {
		s.tick(at(ms))
	}
	for ms := 1500; ms <= 2200; ms += 40 { // stalled from 400 to 1,500 ms
		s.tick(at(ms))
	}
	for _, c := range []struct{ newest, want int }{
		{1200, 400}, {1499, 400}, {390, 2200}, {1600, 2200}, {2200, 2200},
	} {
		if got := s.earliestReceiveOf(at(2200), at(c.newest)); !got.Equal(at(c.want)) {
			t.Errorf("newest bytes at %d ms, read at 2,200 ms: got %v, want %d ms",
				c.newest, got.Sub(start), c.want)
		}
	}
}

// A later stall must not hide an earlier one: bytes that were received in either are dated to its start, and two
// stalls with a short time between them count as one, as the bytes of the first may not have been read yet.
func TestALaterStallHidesNoEarlierOne(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s stallDetector
	s.extendTicks(at(0))
	for _, ms := range []int{0, 40, 900, 940, 1030, 1070, 1110, 1150, 1190, 1230, 1270, 1310, 2000, 2040} {
		s.tick(at(ms)) // stalled from 40 to 900, from 940 to 1,030 and from 1,310 to 2,000 ms
	}
	for _, c := range []struct{ newest, want int }{{500, 40}, {920, 40}, {1000, 40}, {1100, 1310}, {1500, 1310}} {
		if got := s.earliestReceiveOf(at(2050), at(c.newest)); !got.Equal(at(c.want)) {
			t.Errorf("newest bytes at %d ms, read at 2,050 ms: got %v, want %d ms", c.newest, got.Sub(start), c.want)
		}
	}
	if len(s.stalls) != 2 {
		t.Errorf("%d stalls are remembered, want 2", len(s.stalls))
	}
}
