package replicaset

import (
	"errors"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
)

// groupCreation is the progress of creating the raft group, which happens once. Only the configured replica
// whose name sorts first creates the group, so that there are never two groups.
type groupCreation struct {
	voterIDs map[string]uint64 // voter IDs of the configured replicas that have answered, by name
	accepted map[uint64]bool   // IDs of the voters that acknowledged the group
}

func newGroupCreation() groupCreation {
	return groupCreation{voterIDs: map[string]uint64{}, accepted: map[uint64]bool{}}
}

// voters returns the configured replicas whose voter IDs are known.
func (g *groupCreation) voters(replicas []string) (voters []Voter) {
	for _, name := range replicas {
		if id := g.voterIDs[name]; id != 0 {
			voters = append(voters, Voter{id, name})
		}
	}
	return voters
}

// isGroupCreator reports whether this process creates the group.
func (c *Core) isGroupCreator() bool {
	return len(c.config.Replicas) > 0 && c.config.Replicas[0] == c.config.Name
}

// createGroup creates the group once every configured replica has reported its voter ID and no replica has
// reported an existing group.
func (c *Core) createGroup() error {
	if !c.isGroupCreator() {
		return nil
	}
	c.creation.voterIDs[c.config.Name] = c.state.VoterID
	for _, name := range c.config.Replicas {
		c.send(name, Message{Kind: VoterQuery})
	}
	voters := c.creation.voters(c.config.Replicas)
	if len(voters) < len(c.config.Replicas) {
		return nil
	}
	groupID := c.random.Uint64() | 1
	c.emit(Event{Description: "raft group created", Subject: strings.Join(c.config.Replicas, ", ")})
	if err := c.joinGroup(groupID, voters); err != nil {
		return err
	}
	c.announceGroup()
	return nil
}

// announceGroup announces the group to its voters during its first epoch, until all voters have acknowledged.
func (c *Core) announceGroup() {
	allAccepted := len(c.creation.accepted) >= len(c.config.Replicas)-1
	if c.raft.epoch > 1 || allAccepted || c.raft.node == nil {
		return
	}
	voters := c.raft.voters()
	for _, v := range voters {
		if !c.creation.accepted[v.ID] {
			c.send(v.Name, Message{Kind: GroupCreated, Voters: voters})
		}
	}
}

// joinGroup starts the node from the first snapshot of a group, and persists the snapshot. All voters of the
// group have the same first snapshot.
func (c *Core) joinGroup(groupID uint64, voters []Voter) error {
	snapshot, hard, err := initialState(voters)
	if err != nil {
		return err
	}
	c.state.GroupID, c.state.Snapshot, c.state.HardState = groupID, snapshot, hard
	c.state.Entries = nil
	if err := c.startNode(); err != nil {
		return err
	}
	return c.persist()
}

// initialState encodes the snapshot and the hard state of a new group.
func initialState(voters []Voter) (snapshot, hard []byte, err error) {
	var conf raftpb.ConfState
	for _, v := range voters {
		conf.Voters = append(conf.Voters, v.ID)
	}
	slices.Sort(conf.Voters)
	byName := func(a, b Voter) int { return strings.Compare(a.Name, b.Name) }
	voters = slices.SortedFunc(slices.Values(voters), byName)
	data, err := cbor.Marshal(snapshotData{1, voters})
	if err != nil {
		return nil, nil, err
	}
	first := raftpb.Snapshot{
		Data:     data,
		Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: conf},
	}
	firstHard := raftpb.HardState{Term: 1, Commit: 1}
	snapshot, err1 := first.Marshal()
	hard, err2 := firstHard.Marshal()
	return snapshot, hard, errors.Join(err1, err2)
}

// handleGroupFounded joins an announced group if this process is one of the group's voters, and acknowledges
// the announcement.
func (c *Core) handleGroupFounded(in MessageReceived) error {
	isVoter := slices.Contains(in.Voters, Voter{c.state.VoterID, c.config.Name})
	joins := c.state.GroupID == 0 && in.GroupID != 0 && c.state.VoterID != 0
	if joins && isVoter && len(in.Voters) <= MaxReplicas {
		if err := c.joinGroup(in.GroupID, in.Voters); err != nil {
			return err
		}
	}
	if c.state.GroupID == in.GroupID {
		c.send(in.From, Message{Kind: GroupAcknowledged})
	}
	return nil
}

// handleVoterReply records another process's voter ID, for the creation of the group or a change of the set.
func (c *Core) handleVoterReply(in MessageReceived) {
	if c.state.GroupID == 0 && c.set.GroupID == 0 {
		switch {
		case in.GroupID != 0:
			// A group exists already: this process has lost its file and must not create another group. The
			// other members announce the set.
			clear(c.creation.voterIDs)
		case in.VoterID != 0:
			c.creation.voterIDs[in.From] = in.VoterID
		}
		return
	}
	c.addChangeVoter(in)
}
