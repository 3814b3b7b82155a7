package keepers

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
				s = Set{Founding: 7, Turn: turn, New: []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}}
			}
			all = append(all, s)
		}
		latest := func(order []Set) (turn uint64) {
			s := ByFile([]string{"a", "b", "c"})
			for _, x := range order {
				if x.After(s) {
					s = x
				}
			}
			return s.Turn
		}
		if a, b := latest(all), latest(rapid.Permutation(all).Draw(t, "order")); a != b {
			t.Errorf("turn %d, in another order %d", a, b)
		}
	})
	a, b := Set{Founding: 1, Turn: 9, New: []string{"a"}}, Set{Founding: 2, Turn: 3, New: []string{"a"}}
	if a.After(b) || b.After(a) || a.After(a) {
		t.Error("of two foundings, or of one set twice, one stands over the other")
	}
	if (Set{Founding: 1, Turn: 9, New: []string{"a"}}).Epoch() == (Set{Founding: 1, Turn: 10, New: []string{"a"}}).Epoch() {
		t.Error("two turns with the same keepers have one name")
	}
}

// While keepers change a majority is one of each part, whoever stands in both.
func TestAMajorityOfEachPart(t *testing.T) {
	s := Set{Founding: 1, Turn: 2, Old: []string{"a", "b", "c"}, New: []string{"c", "d", "e"}}
	for names, want := range map[string]bool{"abc": false, "ab": false, "cde": false, "acd": true, "abde": true, "abcd": true, "ade": false} {
		got := s.Holds(func(k string) bool {
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
	terms.Name, terms.Keepers = "a", []string{"a"}
	c := New(terms, State{Seat: 5}, 0)
	now := Time(1)
	c.Take(now, Serving{On: true})
	for range 60 {
		now += 100 * ms
		c.Take(now, Tick{})
	}
	if !c.Leads() || c.Set().Turn != 1 {
		t.Fatalf("alone: %s, %v", c.Part(), c.Set())
	}
	round := func(m raftpb.Message) []byte {
		text, err := m.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	founding := c.Set().Founding
	for _, text := range [][]byte{nil, {1, 2, 3}, round(raftpb.Message{Type: raftpb.MsgHup, To: 5, From: 9}),
		round(raftpb.Message{Type: raftpb.MsgHeartbeat, To: 6, From: 9, Term: 99, Commit: 99})} {
		c.Take(now, Heard{"b", Message{Kind: Round, Founding: founding, Seat: 9, Round: text}})
	}
	if !c.Leads() {
		t.Fatalf("after nonsense: %s", c.Part())
	}
	said := false
	for _, e := range c.Take(now, Heard{"b", Message{Kind: Round, Founding: founding, Seat: 9,
		Round: round(raftpb.Message{Type: raftpb.MsgHeartbeat, To: 5, From: 9, Term: 99, Commit: 99})}}) {
		n, ok := e.(Noted)
		said = said || ok && n.What == "takes no part in changes of keepers any more"
	}
	if !said || c.Part() != "none any more" {
		t.Errorf("said %v, part %s", said, c.Part())
	}
	c.Take(now+second, Tick{})
	c.Take(now+second, Change{Ticket: 1, Turn: 1, Keepers: []string{"a"}})
}
