package replicaset

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// electionTimer takes the place of the library's own timers: the library is ticked at the leader alone, and
// campaigns are started by this core's random numbers, so that a seed repeats them.
type electionTimer struct {
	nextHeartbeat Time // at the leader
	campaignAt    Time // elsewhere
	leaderHeardAt Time // 0: never
}

// campaignTransfer is the library's context of a vote request that ignores its leader lease.
const campaignTransfer = "CampaignTransfer"

// resetElectionTimer waits for the leader between one and two election timeouts.
func (c *Core) resetElectionTimer() {
	jitter := Time(c.random.Int64N(int64(c.config.ElectionTimeout)))
	c.election.campaignAt = c.now + c.config.ElectionTimeout + jitter
}

// runElectionTimer sends heartbeats as the leader, and campaigns elsewhere.
func (c *Core) runElectionTimer() error {
	switch {
	case !c.serving || c.raft.node == nil:
		return nil
	case c.IsLeader() && c.now >= c.election.nextHeartbeat:
		c.election.nextHeartbeat = c.now + c.config.HeartbeatInterval
		c.reportLostSnapshots()
		c.raft.node.Tick()
		return c.processReady()
	case !c.IsLeader() && c.now >= c.election.campaignAt:
		c.resetElectionTimer()
		c.raft.node.Campaign() // an error means that this voter may not campaign now
		return c.processReady()
	}
	return nil
}

// reportLostSnapshots has snapshots without an answer sent again. The library would wait for the answer
// without end.
func (c *Core) reportLostSnapshots() {
	sentAt := c.raft.snapshotsSentAt
	for _, voter := range sortedKeys(sentAt) {
		if c.now-sentAt[voter] >= snapshotHeartbeats*c.config.HeartbeatInterval {
			delete(sentAt, voter)
			c.raft.node.ReportSnapshot(voter, raft.SnapshotFailure)
		}
	}
}

// admitRaftMessage reports whether a message may reach the node. It records the leader's messages, and keeps
// vote requests away while the leader's lease lasts.
func (c *Core) admitRaftMessage(m *raftpb.Message) bool {
	switch m.Type {
	case raftpb.MsgPreVote, raftpb.MsgVote:
		if c.IsLeader() {
			return true
		}
		if c.leaseValid() {
			return false
		}
		// The library counts its own lease by ticks, which only the leader gets.
		m.Context = []byte(campaignTransfer)
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= c.raft.node.BasicStatus().Term {
			c.election.leaderHeardAt = c.now
			c.resetElectionTimer()
		}
	case raftpb.MsgProp, raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgUnreachable, raftpb.MsgSnapStatus,
		raftpb.MsgCheckQuorum, raftpb.MsgTransferLeader, raftpb.MsgTimeoutNow, raftpb.MsgReadIndex,
		raftpb.MsgReadIndexResp, raftpb.MsgForgetLeader:
		return false // no voter of this program sends these
	}
	return true
}

// leaseValid reports whether the leader was heard within the election timeout.
func (c *Core) leaseValid() bool {
	heardAt := c.election.leaderHeardAt
	return heardAt != 0 && c.now-heardAt < c.config.ElectionTimeout
}
