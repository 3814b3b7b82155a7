package replicaset

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// newLeader is the leader of a group of its own.
func newLeader(t *testing.T) *Core {
	t.Helper()
	config := Defaults()
	config.Name, config.Replicas = "a", []string{"a"}
	c := New(config, State{VoterID: 5}, 0)
	c.Step(1, Membership{Serving: true})
	for range 60 {
		c.Step(c.now+100*ms, Tick{})
	}
	if !c.IsLeader() || c.Set().Epoch != 1 {
		t.Fatalf("alone: %s, %v", c.Status(), c.Set())
	}
	return c
}

// leftGroup reports whether some effects say that the process takes no part in the group any more.
func leftGroup(effects []Effect) bool {
	for _, e := range effects {
		if event, ok := e.(Event); ok && event.Description == LeftGroup {
			return true
		}
	}
	return false
}

func marshalMessage(t *testing.T, m raftpb.Message) []byte {
	t.Helper()
	text, err := m.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A message that makes no sense, or that the library can't bear, must not end the process: it takes no part
// any more, and says so.
func TestWhatTheLibraryCannotBear(t *testing.T) {
	c := newLeader(t)
	groupID := c.Set().GroupID
	receive := func(text []byte) []Effect {
		x := Message{Kind: RaftMessage, GroupID: groupID, VoterID: 9, RaftMessage: text}
		return c.Step(c.now, MessageReceived{"b", x})
	}
	heartbeat := raftpb.Message{Type: raftpb.MsgHeartbeat, To: 5, From: 9, Term: 99, Commit: 99}
	toAnother := heartbeat
	toAnother.To = 6
	for _, text := range [][]byte{
		nil,
		{1, 2, 3},
		marshalMessage(t, raftpb.Message{Type: raftpb.MsgHup, To: 5, From: 9}),
		marshalMessage(t, toAnother),
	} {
		receive(text)
	}
	if !c.IsLeader() {
		t.Fatalf("after nonsense: %s", c.Status())
	}
	said := leftGroup(receive(marshalMessage(t, heartbeat)))
	if !said || c.Status() != "none any more" {
		t.Errorf("said %v, part %s", said, c.Status())
	}
	c.Step(c.now+second, Tick{})
	c.Step(c.now, ChangeRequest{RequestID: 1, Epoch: 1, Replicas: []string{"a"}})
}

// A stored state that makes no sense must not end the process either; with a state that does it goes on.
func TestAStoredStateThatMakesNoSense(t *testing.T) {
	good := newLeader(t).state
	badData := raftpb.Snapshot{Data: []byte{0xff}, Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1}}
	badDataText, err := badData.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func(*State){
		"snapshot":      func(s *State) { s.Snapshot = []byte{1, 2, 3} },
		"snapshot data": func(s *State) { s.Snapshot = badDataText },
		"hard state":    func(s *State) { s.HardState = []byte{1, 2, 3} },
		"entry":         func(s *State) { s.Entries = [][]byte{{1, 2, 3}} },
	} {
		t.Run(name, func(t *testing.T) {
			config := Defaults()
			config.Name, config.Replicas = "a", []string{"a"}
			state := good
			damage(&state)
			c := New(config, state, 0)
			if effects := c.Step(1, Membership{Serving: true}); !leftGroup(effects) || len(effects) != 1 {
				t.Errorf("effects %+v", effects)
			}
			c.Step(2, StateReloaded{good})
			if c.Status() != "follows" {
				t.Errorf("with a good state: %s", c.Status())
			}
		})
	}
}

// A disk that fails ends the part in the group until it works again.
func TestAStateThatIsNotDurable(t *testing.T) {
	c := newLeader(t)
	state := c.state
	if !leftGroup(c.Step(c.now, PersistFailed{})) || c.IsLeader() {
		t.Errorf("after the failure: %s", c.Status())
	}
	c.Step(c.now, StateReloaded{state})
	for range 60 {
		c.Step(c.now+100*ms, Tick{})
	}
	if !c.IsLeader() {
		t.Errorf("after it works again: %s", c.Status())
	}
}
