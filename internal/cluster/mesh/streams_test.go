package mesh

import (
	"net"
	"testing"

	"woaddyke/internal/cluster/membership"
)

// No more slots than the limit can be acquired. Otherwise streams that other members open could use up the
// file descriptors of the process.
func TestSlotsAboveTheLimitAreNotAcquired(t *testing.T) {
	s := make(slots, 2)
	for i, want := range []bool{true, true, false} {
		if got := s.acquire(); got != want {
			t.Errorf("acquire %d: %v, want %v", i, got, want)
		}
	}
	s.release()
	if !s.acquire() {
		t.Error("a released slot was not acquired")
	}
}

// A reply to a stream that has ended, or whose replies nobody reads, does not block the loop.
func TestAReplyThatNobodyReadsDoesNotBlock(t *testing.T) {
	table := newStreamTable()
	local, remote := net.Pipe()
	defer remote.Close()
	id, s := table.add(local)
	for range 3 {
		table.reply(membership.StreamReply{Stream: id, Last: true})
	}
	if len(s.replies) != 1 {
		t.Errorf("%d replies wait, want 1", len(s.replies))
	}
	table.close(id, s)
	table.reply(membership.StreamReply{Stream: id})
	if len(table.byID) != 0 || len(s.replies) != 1 {
		t.Errorf("%d streams are open, %d replies wait", len(table.byID), len(s.replies))
	}
}

// A stream ends with the message that has no reply, so that its slot is released without a timeout.
func TestMessagesThatEndAStream(t *testing.T) {
	differs := membership.Message{Kind: membership.DigestDiff, Buckets: []int{1}}
	for _, c := range []struct {
		name    string
		message membership.Message
		want    bool
	}{
		{"ping", membership.Message{Kind: membership.Ping}, false},
		{"ack", membership.Message{Kind: membership.Ack}, true},
		{"digests", membership.Message{Kind: membership.Digests}, false},
		{"equal views", membership.Message{Kind: membership.DigestDiff}, true},
		{"views that differ", differs, false},
		{"the opener's records", membership.Message{Kind: membership.DigestDiffReply}, true},
	} {
		if got := endsStream(c.message); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
