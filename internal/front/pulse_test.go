package front

import (
	"testing"
	"time"
)

// A process that was stopped read requests that had lain for seconds as new ones, and pushed them after the TTL.
func TestRequestsThatLayThroughAHaltAreDatedBack(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var p pulse
	if got := p.came(at(0)); got != at(0) {
		t.Errorf("before the first beat: %v", got)
	}
	for ms := 0; ms <= 1000; ms += 90 { // late beats are no halt
		p.beat(at(ms))
		if got := p.came(at(ms + 80)); got != at(ms+80) {
			t.Fatalf("a request at %d ms, with beats, is dated %v", ms+80, got)
		}
	}
	if got := p.came(at(7000)); got != at(990) {
		t.Errorf("read before the first beat after a halt: %v", got)
	}
	p.beat(at(7000))
	if got := p.came(at(7300)); got != at(990) {
		t.Errorf("read soon after a halt: %v", got)
	}
	p.beat(at(7090))
	if got := p.came(at(7501)); got != at(7090) {
		t.Errorf("a second halt: %v", got)
	}
	for ms := 7501; ms <= 8600; ms += 90 {
		p.beat(at(ms))
	}
	if got := p.came(at(8600)); got != at(8600) {
		t.Errorf("long after a halt: %v", got)
	}
}
