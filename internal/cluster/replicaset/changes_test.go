package replicaset

import (
	"strings"
	"testing"
)

// requestChange requests a change at a leader, and runs the leader until it answers.
func requestChange(t *testing.T, c *Core, id, epoch uint64, replicas ...string) ChangeResult {
	t.Helper()
	effects := c.Step(c.now+1, ChangeRequest{RequestID: id, Epoch: epoch, Replicas: replicas})
	for range 100 {
		for _, e := range effects {
			if result, ok := e.(ChangeResult); ok && result.RequestID == id {
				return result
			}
		}
		effects = c.Step(c.NextTick(), Tick{})
	}
	t.Fatalf("no answer to request %d", id)
	return ChangeResult{}
}

// A request for an invalid change, or for the present replicas, must be answered with the reason. The set
// does not change.
func TestARequestThatBeginsNoChangeIsAnswered(t *testing.T) {
	for _, x := range []struct {
		name     string
		epoch    uint64
		replicas []string
		ok       bool
		text     string
	}{
		{"the present replicas", 1, []string{"a"}, true, "these are the keepers, by turn 1"},
		{"an even number", 1, []string{"a", "b"}, false, "an odd number"},
		{"an earlier epoch", 0, []string{"a", "b", "c"}, false, "turn 1, not 0"},
		{"replicas that are silent", 1, []string{"a", "b", "c"}, false, "nothing is heard of b, c"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newLeader(t)
			got := requestChange(t, c, 1, x.epoch, x.replicas...)
			if got.OK != x.ok || got.Retryable || !strings.Contains(got.Message, x.text) {
				t.Errorf("%+v", got)
			}
			if c.Set().Joint() || c.Set().Epoch != 1 || c.changes.active != nil {
				t.Errorf("the set is %v", c.Set())
			}
		})
	}
}

// Only one change runs at a time. A second request must be rejected as retryable, and the first change must
// continue.
func TestASecondChangeIsRejectedDuringAChange(t *testing.T) {
	c := newLeader(t)
	c.Step(c.now+1, ChangeRequest{RequestID: 1, Epoch: 1, Replicas: []string{"b"}})
	if got := requestChange(t, c, 2, 1, "c"); got.OK || !got.Retryable || got.Message != errBusy.Error() {
		t.Errorf("%+v", got)
	}
	if active := c.changes.active; active == nil || active.requestID != 1 {
		t.Errorf("the active change is %+v", active)
	}
}

// A replica must be replaced only after it has been dead for ReplaceAfter without interruption, and only by a
// spare that is alive.
func TestADeadReplicaIsReplacedAfterReplaceAfter(t *testing.T) {
	for _, x := range []struct {
		name    string
		status  func(c *Core)
		started bool
	}{
		{"dead for ReplaceAfter", func(c *Core) {}, true},
		{"alive for a moment", func(c *Core) {
			c.handlePeerStatus(PeerStatus{Name: "b", Alive: true})
			c.handlePeerStatus(PeerStatus{Name: "b"})
		}, false},
		{"alive again", func(c *Core) {
			c.handlePeerStatus(PeerStatus{Name: "b", Alive: true})
			c.now += 10 * second
		}, false},
		{"no spare is alive", func(c *Core) { c.handlePeerStatus(PeerStatus{Name: "s"}) }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newLeader(t)
			c.config.ReplaceAfter, c.config.Spares = 10*second, []string{"s"}
			c.set.New = []string{"b"}
			c.handlePeerStatus(PeerStatus{Name: "s", Alive: true})
			c.handlePeerStatus(PeerStatus{Name: "b"})
			c.now += 10 * second
			x.status(c)
			c.replaceDeadReplica()
			if started := c.changes.active != nil; started != x.started {
				t.Errorf("change started: %v", started)
			}
		})
	}
}
