package replicaset

import (
	"errors"
	"fmt"
	"io"
	"log"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	maxLogEntries       = 64   // applied entries before the log is compacted
	maxMessageBytes     = 4096 // bytes of entries in one raft message
	maxInflightMessages = 16
	maxStoredBytes      = 1 << 30 // bytes of persisted entries
	maxSenders          = 4 * MaxReplicas
	snapshotHeartbeats  = 5  // heartbeat intervals until an unanswered snapshot is sent again
	quorumHeartbeats    = 10 // heartbeats without a majority's answers until a leader steps down
)

// discardLogger keeps the raft library from writing to standard error.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// raftGroup contains the library's node and the state that results from the applied log.
type raftGroup struct {
	node    *raft.RawNode // nil: this process takes no part in the group now
	log     *raft.MemoryStorage
	conf    raftpb.ConfState
	applied uint64 // index of the last applied entry
	epoch   uint64 // epoch of the latest applied change

	names           map[uint64]string // member names of the voters, by voter ID
	senders         map[uint64]string // up to maxSenders member names by voter ID, for IDs not in names yet
	snapshotsSentAt map[uint64]Time   // send times of unanswered snapshots, by voter ID

	compactionDue bool // compact after the current Ready
	removed       bool // this process is no longer a voter: the node stops after its last Ready
}

func newRaftGroup() raftGroup {
	return raftGroup{senders: map[uint64]string{}, snapshotsSentAt: map[uint64]Time{}}
}

func (g *raftGroup) isLeader() bool {
	return g.node != nil && g.node.BasicStatus().RaftState == raft.StateLeader
}

// isVoter reports whether a voter ID belongs to the group according to the applied log.
func (g *raftGroup) isVoter(id uint64) bool {
	return slices.Contains(g.conf.Voters, id) || slices.Contains(g.conf.VotersOutgoing, id)
}

func (g *raftGroup) nameOf(id uint64) string {
	if name := g.names[id]; name != "" {
		return name
	}
	return g.senders[id]
}

func (g *raftGroup) addNames(voters []Voter) {
	for _, v := range voters {
		g.names[v.ID] = v.Name
	}
}

// addSender records the name of the member that sends messages with a voter ID. If there are too many names,
// it deletes all others.
func (g *raftGroup) addSender(id uint64, name string) {
	g.senders[id] = name
	if len(g.senders) > maxSenders {
		clear(g.senders)
		g.senders[id] = name
	}
}

// voters returns the current voters, ordered by voter ID.
func (g *raftGroup) voters() (voters []Voter) {
	ids := append(slices.Clone(g.conf.Voters), g.conf.VotersOutgoing...)
	slices.Sort(ids)
	for _, id := range ids {
		voters = append(voters, Voter{id, g.names[id]})
	}
	return slices.Compact(voters)
}

// sortedNames returns the names of the given voters in alphabetical order.
func (g *raftGroup) sortedNames(ids []uint64) (names []string) {
	for _, id := range ids {
		names = append(names, g.names[id])
	}
	slices.Sort(names)
	return names
}

// set returns the set that results from the applied log, with the given epoch.
func (g *raftGroup) set(groupID, epoch uint64) Set {
	return Set{
		GroupID: groupID,
		Epoch:   epoch,
		Old:     g.sortedNames(g.conf.VotersOutgoing),
		New:     g.sortedNames(g.conf.Voters),
	}
}

// loadEntries appends the entries of a persisted state to the log.
func (g *raftGroup) loadEntries(entries [][]byte) error {
	for _, data := range entries {
		var entry raftpb.Entry
		if err := entry.Unmarshal(data); err != nil {
			return fmt.Errorf("stored raft entry: %w", err)
		}
		g.log.Append([]raftpb.Entry{entry})
	}
	return nil
}

// save writes the log into a state.
func (g *raftGroup) save(state *State) error {
	hard, _, _ := g.log.InitialState()
	snapshot, _ := g.log.Snapshot()
	var err1, err2 error
	state.HardState, err1 = hard.Marshal()
	state.Snapshot, err2 = snapshot.Marshal()
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	first, _ := g.log.FirstIndex()
	last, _ := g.log.LastIndex()
	state.Entries = nil
	if last < first {
		return nil
	}
	entries, err := g.log.Entries(first, last+1, maxStoredBytes)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		data, err := entry.Marshal()
		if err != nil {
			return err
		}
		state.Entries = append(state.Entries, data)
	}
	return nil
}

// snapshotData is the application data of a raft snapshot. The raft configuration is in the snapshot's
// metadata.
type snapshotData struct {
	Epoch  uint64  `cbor:"Turn"`
	Voters []Voter `cbor:"Seats"`
}

// startNode starts the raft node from the persisted state.
func (c *Core) startNode() error {
	g := &c.raft
	g.log = raft.NewMemoryStorage()
	g.names, g.conf, g.applied = map[uint64]string{}, raftpb.ConfState{}, 0
	var snapshot raftpb.Snapshot
	var hard raftpb.HardState
	err := errors.Join(snapshot.Unmarshal(c.state.Snapshot), hard.Unmarshal(c.state.HardState))
	if err != nil {
		return fmt.Errorf("stored raft state: %w", err)
	}
	if !raft.IsEmptySnap(snapshot) {
		g.log.ApplySnapshot(snapshot)
		if err := c.applySnapshot(snapshot); err != nil {
			return err
		}
	}
	g.log.SetHardState(hard)
	if err := g.loadEntries(c.state.Entries); err != nil {
		return err
	}
	g.node, err = raft.NewRawNode(&raft.Config{
		ID:                c.state.VoterID,
		ElectionTick:      quorumHeartbeats,
		HeartbeatTick:     1,
		Storage:           g.log,
		Applied:           g.applied,
		MaxSizePerMsg:     maxMessageBytes,
		MaxInflightMsgs:   maxInflightMessages,
		CheckQuorum:       true,
		PreVote:           true,
		StepDownOnRemoval: true,
		Logger:            discardLogger,
	})
	if err != nil {
		return err
	}
	c.resetElectionTimer()
	return c.processReady()
}

// applySnapshot adopts the voters and the epoch of a snapshot.
func (c *Core) applySnapshot(s raftpb.Snapshot) error {
	var data snapshotData
	if err := cbor.Unmarshal(s.Data, &data); err != nil {
		return fmt.Errorf("data of a raft snapshot: %w", err)
	}
	c.raft.addNames(data.Voters)
	c.raft.applied, c.raft.conf = s.Metadata.Index, s.Metadata.ConfState
	c.adoptAgreedSet(data.Epoch)
	return nil
}

// adoptAgreedSet adopts the set that results from the applied log, unless it is older than the known set.
func (c *Core) adoptAgreedSet(epoch uint64) {
	c.raft.epoch = epoch
	s := c.raft.set(c.state.GroupID, epoch)
	if s.Supersedes(c.set) {
		c.useSet(s)
		c.emit(ReplicaSetAgreed{s})
	}
}

// processReady handles the pending Ready values of the node. A Ready contains the messages and log changes
// that the raft library has prepared.
func (c *Core) processReady() error {
	g := &c.raft
	for g.node != nil && g.node.HasReady() {
		if err := c.handleReady(g.node.Ready()); err != nil {
			return err
		}
	}
	if g.removed {
		g.node, g.removed = nil, false // the persisted state keeps the votes
	}
	return nil
}

func (c *Core) handleReady(ready raft.Ready) error {
	if err := c.storeReady(ready); err != nil {
		return err
	}
	if err := c.sendRaftMessages(ready.Messages); err != nil {
		return err
	}
	for _, entry := range ready.CommittedEntries {
		if err := c.applyEntry(entry); err != nil {
			return err
		}
	}
	g := &c.raft
	g.node.Advance(ready)
	first, err := g.log.FirstIndex()
	if g.compactionDue || err == nil && g.applied >= first+maxLogEntries {
		return c.compact()
	}
	return nil
}

// storeReady adds the snapshot, hard state and entries of a Ready to the log. If the messages of the Ready
// depend on them, it persists the log before the messages are sent.
func (c *Core) storeReady(ready raft.Ready) error {
	g := &c.raft
	hasSnapshot := !raft.IsEmptySnap(ready.Snapshot)
	if hasSnapshot {
		g.log.ApplySnapshot(ready.Snapshot)
		if err := c.applySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		g.log.SetHardState(ready.HardState)
	}
	g.log.Append(ready.Entries)
	if ready.MustSync || hasSnapshot {
		return c.persist()
	}
	return nil
}

func (c *Core) sendRaftMessages(messages []raftpb.Message) error {
	for _, m := range messages {
		data, err := m.Marshal()
		if err != nil {
			return err
		}
		if m.Type == raftpb.MsgSnap {
			c.raft.snapshotsSentAt[m.To] = c.now
		}
		c.send(c.raft.nameOf(m.To), Message{Kind: RaftMessage, RaftMessage: data})
	}
	return nil
}

// applyEntry applies a committed entry.
func (c *Core) applyEntry(entry raftpb.Entry) error {
	if entry.Type == raftpb.EntryConfChangeV2 {
		if err := c.applyChange(entry); err != nil {
			return err
		}
	}
	c.raft.applied = entry.Index
	return nil
}

func (c *Core) applyChange(entry raftpb.Entry) error {
	var change raftpb.ConfChangeV2
	if err := change.Unmarshal(entry.Data); err != nil {
		return fmt.Errorf("committed configuration change: %w", err)
	}
	var voters []Voter
	if len(change.Context) > 0 {
		if err := cbor.Unmarshal(change.Context, &voters); err != nil {
			return fmt.Errorf("voters of a committed configuration change: %w", err)
		}
	}
	g := &c.raft
	g.addNames(voters)
	wasVoter := g.isVoter(c.state.VoterID)
	g.conf = *g.node.ApplyConfChange(change)
	c.adoptAgreedSet(entry.Index)
	c.answerAgreedChange()
	g.compactionDue = true // a new voter rejects a snapshot in which it is not a voter
	g.removed = wasVoter && !g.isVoter(c.state.VoterID)
	return nil
}

// compact replaces the applied entries by a snapshot that contains the names of the current voters.
func (c *Core) compact() error {
	g := &c.raft
	g.compactionDue = false
	voters := g.voters()
	data, err := cbor.Marshal(snapshotData{g.epoch, voters})
	if err != nil {
		return err
	}
	if _, err := g.log.CreateSnapshot(g.applied, &g.conf, data); err != nil {
		return err
	}
	if err := g.log.Compact(g.applied); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	clear(g.names)
	g.addNames(voters)
	return c.persist()
}

// persist emits an effect that writes the state that must survive a restart.
func (c *Core) persist() error {
	state := c.state
	state.Set = c.set
	if c.raft.log != nil {
		if err := c.raft.save(&state); err != nil {
			return err
		}
	}
	c.state = state
	c.emit(Persist{state})
	return nil
}

// propose proposes a change to the raft group. A proposal can be lost: leaveJoint proposes again, and any
// other change ends at its deadline.
func (c *Core) propose(change raftpb.ConfChangeV2) error {
	c.raft.node.ProposeConfChange(change)
	return c.processReady()
}

// handleRaftMessage passes a message of another voter to the node.
func (c *Core) handleRaftMessage(in MessageReceived) error {
	var m raftpb.Message
	if in.GroupID == 0 || m.Unmarshal(in.RaftMessage) != nil {
		return nil
	}
	if m.To != c.state.VoterID || m.From != in.VoterID {
		return nil
	}
	if c.state.GroupID == 0 {
		c.state.GroupID = in.GroupID // this process missed the announcement of the group
	}
	if in.GroupID != c.state.GroupID {
		return nil
	}
	c.raft.addSender(m.From, in.From)
	if c.raft.node == nil {
		if err := c.startNode(); err != nil || c.raft.node == nil {
			return err
		}
	}
	if !c.admitRaftMessage(&m) {
		return nil
	}
	wasLeader := c.IsLeader()
	c.raft.node.Step(m) // an error means that the message was ignored
	if err := c.processReady(); err != nil {
		return err
	}
	if c.IsLeader() && !wasLeader {
		c.election.nextHeartbeat = c.now
	}
	return nil
}
