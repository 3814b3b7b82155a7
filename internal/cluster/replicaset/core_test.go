package replicaset

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// newLeader returns the leader of a group with a single voter.
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
		t.Fatalf("single replica: status %s, set %v", c.Status(), c.Set())
	}
	return c
}

// leftGroup reports whether the effects include the event LeftGroup.
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
	data, err := m.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A message that makes the raft library panic must not end the process: the core leaves the group and emits
// LeftGroup. Three kinds of messages are ignored: those that cannot be decoded, those for another voter, and
// those of a type that voters never send to each other.
func TestAnInvalidRaftMessageDoesNotEndTheProcess(t *testing.T) {
	c := newLeader(t)
	groupID := c.Set().GroupID
	receive := func(data []byte) []Effect {
		m := Message{Kind: RaftMessage, GroupID: groupID, VoterID: 9, RaftMessage: data}
		return c.Step(c.now, MessageReceived{"b", m})
	}
	heartbeat := raftpb.Message{Type: raftpb.MsgHeartbeat, To: 5, From: 9, Term: 99, Commit: 99}
	toAnother := heartbeat
	toAnother.To = 6
	for _, data := range [][]byte{
		nil,
		{1, 2, 3},
		marshalMessage(t, raftpb.Message{Type: raftpb.MsgHup, To: 5, From: 9}),
		marshalMessage(t, toAnother),
	} {
		receive(data)
	}
	if !c.IsLeader() {
		t.Fatalf("status after invalid messages: %s", c.Status())
	}
	reported := leftGroup(receive(marshalMessage(t, heartbeat)))
	if !reported || c.Status() != "none any more" {
		t.Errorf("LeftGroup reported: %v, status %s", reported, c.Status())
	}
	c.Step(c.now+second, Tick{})
	c.Step(c.now, ChangeRequest{RequestID: 1, Epoch: 1, Replicas: []string{"a"}})
}

// A corrupt stored state must not end the process: the core leaves the group. With a valid state it
// continues.
func TestACorruptStoredStateDoesNotEndTheProcess(t *testing.T) {
	valid := newLeader(t).state
	badData := raftpb.Snapshot{Data: []byte{0xff}, Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1}}
	badDataSnapshot, err := badData.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func(*State){
		"snapshot":      func(s *State) { s.Snapshot = []byte{1, 2, 3} },
		"snapshot data": func(s *State) { s.Snapshot = badDataSnapshot },
		"hard state":    func(s *State) { s.HardState = []byte{1, 2, 3} },
		"entry":         func(s *State) { s.Entries = [][]byte{{1, 2, 3}} },
	} {
		t.Run(name, func(t *testing.T) {
			config := Defaults()
			config.Name, config.Replicas = "a", []string{"a"}
			state := valid
			damage(&state)
			c := New(config, state, 0)
			if effects := c.Step(1, Membership{Serving: true}); !leftGroup(effects) || len(effects) != 1 {
				t.Errorf("effects %+v", effects)
			}
			c.Step(2, StateReloaded{valid})
			if c.Status() != "follows" {
				t.Errorf("status with a valid state: %s", c.Status())
			}
		})
	}
}

// After a failed write the core takes no part in the group until its state is durable again.
func TestACoreLeavesTheGroupWhileItsStateIsNotDurable(t *testing.T) {
	c := newLeader(t)
	state := c.state
	if !leftGroup(c.Step(c.now, PersistFailed{})) || c.IsLeader() {
		t.Errorf("status after the failure: %s", c.Status())
	}
	c.Step(c.now, StateReloaded{state})
	for range 60 {
		c.Step(c.now+100*ms, Tick{})
	}
	if !c.IsLeader() {
		t.Errorf("status with a durable state: %s", c.Status())
	}
}
