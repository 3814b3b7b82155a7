package replicaset

import "slices"

// presence records whether a member is alive, and since when.
type presence struct {
	alive bool
	since Time
}

func (c *Core) handlePeerStatus(in PeerStatus) {
	known, ok := c.presence[in.Name]
	if ok && known.alive == in.Alive || !ok && len(c.presence) >= maxMembers {
		return
	}
	c.presence[in.Name] = presence{in.Alive, max(c.now, 1)}
}

// replaceDeadReplica replaces a replica that has been dead for ReplaceAfter by a spare. It replaces one
// replica at a time, at least ReplaceAfter after the last change. Failure detection alone cannot change the
// set: a majority of the old and of the new set must agree.
func (c *Core) replaceDeadReplica() {
	after := c.config.ReplaceAfter
	if after == 0 || c.changes.active != nil || c.set.Joint() || c.now-c.changes.lastChange < after {
		return
	}
	for _, replica := range c.set.New {
		known, ok := c.presence[replica]
		if !ok || known.alive || c.now-known.since < after {
			continue
		}
		if spare, found := c.aliveSpare(); found {
			c.replace(replica, spare)
			return
		}
	}
}

// aliveSpare returns the first spare that is alive and not a replica.
func (c *Core) aliveSpare() (name string, found bool) {
	for _, name := range c.config.Spares {
		alive := c.presence[name].alive || name == c.config.Name
		if alive && !slices.Contains(c.set.New, name) {
			return name, true
		}
	}
	return "", false
}

// replace starts a change that replaces a replica by a spare.
func (c *Core) replace(replica, spare string) {
	replicas := slices.Clone(c.set.New)
	replicas[slices.Index(replicas, replica)] = spare
	c.emit(Event{Description: "dead replica is replaced by a spare", Subject: replica + ", " + spare})
	c.changes.lastChange = c.now
	c.beginChange(&activeChange{replicas: replicas, voterIDs: map[string]uint64{}}, c.set.Epoch)
}

// requestReplacement asks the group to replace its old voter ID of this replica by the new one. All replicas
// are asked, because any of them may be the leader.
func (c *Core) requestReplacement() {
	for _, name := range c.set.Members() {
		c.send(name, Message{Kind: VoterIDChanged})
	}
}

// handleReplaceVoter starts a change that replaces the voter ID of a replica. The replica has lost its file
// and drawn a new voter ID.
func (c *Core) handleReplaceVoter(in MessageReceived) {
	if !c.IsLeader() || c.changes.active != nil || c.set.Joint() {
		return
	}
	if in.VoterID == 0 || in.GroupID != 0 && in.GroupID != c.state.GroupID {
		return
	}
	if !slices.Contains(c.set.New, in.From) || slices.Contains(c.raft.conf.Voters, in.VoterID) {
		return
	}
	voterIDs := map[string]uint64{in.From: in.VoterID}
	c.beginChange(&activeChange{replicas: c.set.New, voterIDs: voterIDs}, c.set.Epoch)
}
