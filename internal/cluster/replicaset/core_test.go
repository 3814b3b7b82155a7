package replicaset

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"
)

// A later set of the same agreement stands in place of an earlier one, an agreed one in place of a file's, and of two foundings neither:
// whoever takes sets in whatever order ends with the same.
func TestWhichSetStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Set
		for range rapid.IntRange(1, 8).Draw(t, "sets") {
			s := Set{New: []string{"a", "b", "c"}}
			if turn := rapid.Uint64Range(0, 5).Draw(t, "turn"); turn > 0 {
				s = Set{GroupID: 7, Epoch: turn, New: []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}}
			}
			all = append(all, s)
		}
		latest := func(order []Set) (turn uint64) {
			s := Configured([]string{"a", "b", "c"})
			for _, x := range order {
				if x.Supersedes(s) {
					s = x
				}
			}
			return s.Epoch
		}
		if a, b := latest(all), latest(rapid.Permutation(all).Draw(t, "order")); a != b {
			t.Errorf("turn %d, in another order %d", a, b)
		}
	})
	a, b := Set{GroupID: 1, Epoch: 9, New: []string{"a"}}, Set{GroupID: 2, Epoch: 3, New: []string{"a"}}
	if a.Supersedes(b) || b.Supersedes(a) || a.Supersedes(a) {
		t.Error("of two foundings, or of one set twice, one stands over the other")
	}
	if (Set{GroupID: 1, Epoch: 9, New: []string{"a"}}).ID() == (Set{GroupID: 1, Epoch: 10, New: []string{"a"}}).ID() {
		t.Error("two turns with the same keepers have one name")
	}
}

// While keepers change a majority is one of each part, whoever stands in both.
func TestAMajorityOfEachPart(t *testing.T) {
	s := Set{GroupID: 1, Epoch: 2, Old: []string{"a", "b", "c"}, New: []string{"c", "d", "e"}}
	for names, want := range map[string]bool{"abc": false, "ab": false, "cde": false, "acd": true, "abde": true, "abcd": true, "ade": false} {
		got := s.HasMajority(func(k string) bool {
			for _, c := range names {
				if string(c) == k {
					return true
				}
			}
			return false
		})
		if got != want {
			t.Errorf("%s: %v", names, got)
		}
	}
}

// A message that makes no sense, or that the library can't bear, must not end the process: it takes no part any more, and says so.
func TestWhatTheLibraryCannotBear(t *testing.T) {
	terms := Defaults()
	terms.Name, terms.Replicas = "a", []string{"a"}
	c := New(terms, State{VoterID: 5}, 0)
	now := Time(1)
	c.Step(now, Membership{Serving: true})
	for range 60 {
		now += 100 * ms
		c.Step(now, Tick{})
	}
	if !c.IsLeader() || c.Set().Epoch != 1 {
		t.Fatalf("alone: %s, %v", c.Status(), c.Set())
	}
	round := func(m raftpb.Message) []byte {
		text, err := m.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	founding := c.Set().GroupID
	for _, text := range [][]byte{nil, {1, 2, 3}, round(raftpb.Message{Type: raftpb.MsgHup, To: 5, From: 9}),
		round(raftpb.Message{Type: raftpb.MsgHeartbeat, To: 6, From: 9, Term: 99, Commit: 99})} {
		c.Step(now, MessageReceived{"b", Message{Kind: RaftMessage, GroupID: founding, VoterID: 9, RaftMessage: text}})
	}
	if !c.IsLeader() {
		t.Fatalf("after nonsense: %s", c.Status())
	}
	said := false
	for _, e := range c.Step(now, MessageReceived{"b", Message{Kind: RaftMessage, GroupID: founding, VoterID: 9,
		RaftMessage: round(raftpb.Message{Type: raftpb.MsgHeartbeat, To: 5, From: 9, Term: 99, Commit: 99})}}) {
		n, ok := e.(Event)
		said = said || ok && n.Description == LeftGroup
	}
	if !said || c.Status() != "none any more" {
		t.Errorf("said %v, part %s", said, c.Status())
	}
	c.Step(now+second, Tick{})
	c.Step(now+second, ChangeRequest{RequestID: 1, Epoch: 1, Replicas: []string{"a"}})
}
