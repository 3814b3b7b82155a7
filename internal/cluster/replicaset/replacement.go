package replicaset

import "slices"

// presence is whether a member is alive, and since when.
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

// replaceDeadReplica replaces a replica that has been dead for ReplaceAfter by a spare: one at a time, and
// not before the last change is as old. Failure detection alone decides nothing: a majority of the old and
// of the new set has to agree.
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

// aliveSpare is the first spare that is alive and no replica.
func (c *Core) aliveSpare() (name string, found bool) {
	for _, name := range c.config.Spares {
		alive := c.presence[name].alive || name == c.config.Name
		if alive && !slices.Contains(c.set.New, name) {
			return name, true
		}
	}
	return "", false
}

// replace begins the change of one replica for a spare.
func (c *Core) replace(replica, spare string) {
	replicas := slices.Clone(c.set.New)
	replicas[slices.Index(replicas, replica)] = spare
	c.emit(Event{Description: "dead replica is replaced by a spare", Subject: replica + ", " + spare})
	c.changes.lastChange = c.now
	c.beginChange(&activeChange{replicas: replicas, voterIDs: map[string]uint64{}}, c.set.Epoch)
}

// requestReplacement tells the group that this replica has another voter ID than the one in the group.
func (c *Core) requestReplacement() {
	for _, name := range c.set.Members() {
		c.send(name, Message{Kind: ReplaceVoter})
	}
}

// handleReplaceVoter gives a replica that lost its file a new voter ID in the group.
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
