package replicaset

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// electionTimer replaces the timers of the raft library. Only the leader ticks the library. The start times
// of campaigns come from the core's random numbers, so that a seed reproduces them.
type electionTimer struct {
	nextHeartbeat Time // used by the leader
	campaignAt    Time // used by the other voters
	leaderHeardAt Time // 0: never
}

// campaignTransfer is the value of the Context field of a vote request that makes the raft library ignore its
// own leader lease. admitRaftMessage sets it, because leaseValid replaces that lease.
const campaignTransfer = "CampaignTransfer"

// resetElectionTimer schedules a campaign at a random time, one to two election timeouts from now.
func (c *Core) resetElectionTimer() {
	jitter := Time(c.random.Int64N(int64(c.config.ElectionTimeout)))
	c.election.campaignAt = c.now + c.config.ElectionTimeout + jitter
}

// runElectionTimer sends a heartbeat if this process is the leader and a heartbeat is due. Otherwise it
// starts a campaign if one is due.
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

// reportLostSnapshots reports unanswered snapshots as failed, so that the library sends them again. Without
// the report the library would wait for an answer forever.
func (c *Core) reportLostSnapshots() {
	sentAt := c.raft.snapshotsSentAt
	for _, voter := range sortedKeys(sentAt) {
		if c.now-sentAt[voter] >= snapshotHeartbeats*c.config.HeartbeatInterval {
			delete(sentAt, voter)
			c.raft.node.ReportSnapshot(voter, raft.SnapshotFailure)
		}
	}
}

// admitRaftMessage reports whether a message may reach the node. It records when the leader was last heard,
// and rejects vote requests while the leader's lease is valid.
func (c *Core) admitRaftMessage(m *raftpb.Message) bool {
	switch m.Type {
	case raftpb.MsgPreVote, raftpb.MsgVote:
		if c.IsLeader() {
			return true
		}
		if c.leaseValid() {
			return false
		}
		// The library measures its lease in ticks, but only the leader ticks the library. leaseValid replaces
		// that lease, and this context makes the library ignore it.
		m.Context = []byte(campaignTransfer)
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= c.raft.node.BasicStatus().Term {
			c.election.leaderHeardAt = c.now
			c.resetElectionTimer()
		}
	case raftpb.MsgProp, raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgUnreachable, raftpb.MsgSnapStatus,
		raftpb.MsgCheckQuorum, raftpb.MsgTransferLeader, raftpb.MsgTimeoutNow, raftpb.MsgReadIndex,
		raftpb.MsgReadIndexResp, raftpb.MsgForgetLeader:
		return false // voters never send these to each other
	}
	return true
}

// leaseValid reports whether the leader sent a message within the last election timeout.
func (c *Core) leaseValid() bool {
	heardAt := c.election.leaderHeardAt
	return heardAt != 0 && c.now-heardAt < c.config.ElectionTimeout
}
