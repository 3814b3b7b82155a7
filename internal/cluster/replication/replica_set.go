package replication

import (
	"maps"
	"slices"
	"strings"

	"woaddyke/internal/cluster/replicaset"
)

// gossipInterval is the time between two gossip messages of one kind. Each goes to a random member, in case
// that member missed the information.
const gossipInterval = second

// activeSet is the replica set in force at this process, with values derived from it.
type activeSet struct {
	set       replicaset.Set
	members   []string // the replicas of both parts of the set, without duplicates
	id        uint64
	isReplica bool // this process is a member of the set
}

// memberView is the status of the other schedulers, and the known processes of all schedulers.
type memberView struct {
	dead              map[string]bool
	holdsOpsUntil     map[string]Time // of members that have left
	alive             []string        // sorted
	processes         map[string]*schedulerProcesses
	nextSetGossip     Time
	nextProcessGossip Time
}

func newMemberView() memberView {
	return memberView{
		dead:          map[string]bool{},
		holdsOpsUntil: map[string]Time{},
		processes:     map[string]*schedulerProcesses{},
	}
}

// update records the status of a member. One that has left holds its ops until a time.
func (v *memberView) update(in PeerStatus, leftHoldsUntil Time) {
	i, known := slices.BinarySearch(v.alive, in.Name)
	if in.Dead {
		if !in.Leaving {
			v.dead[in.Name] = true
		} else if _, leaves := v.holdsOpsUntil[in.Name]; !leaves {
			v.holdsOpsUntil[in.Name] = leftHoldsUntil
		}
		if known {
			v.alive = slices.Delete(v.alive, i, i+1)
		}
		return
	}
	delete(v.dead, in.Name)
	delete(v.holdsOpsUntil, in.Name)
	if !known && len(v.alive) < maxAliveMembers {
		v.alive = slices.Insert(v.alive, i, in.Name)
	}
}

// SetID returns the ID of the replica set in force.
func (c *Core) SetID() uint64 { return c.active.id }

// Set returns the replica set in force.
func (c *Core) Set() replicaset.Set { return c.active.set }

func (c *Core) useSet(s replicaset.Set) {
	members := s.Members()
	c.active = activeSet{
		set:       s,
		members:   members,
		id:        s.ID(),
		isReplica: slices.Contains(members, c.config.Name),
	}
}

// AdoptStored adopts a persisted set if it supersedes the configured one. Call AdoptStored before Restore and
// the first input.
func (c *Core) AdoptStored(s replicaset.Set) {
	if s.Supersedes(c.active.set) {
		c.useSet(s)
	}
}

// handlePeerStatus records whether a member is alive. A member that returns may use its configured set, so it
// is sent the set in force.
func (c *Core) handlePeerStatus(in PeerStatus) {
	c.members.update(in, c.now+c.config.LeaveTime)
	if in.Dead {
		return
	}
	c.reportEndedProcesses(in.Name)
	if c.active.set.GroupID != 0 {
		c.sendSetInForce(in.Name)
	}
}

// gossipSet periodically sends the set in force to a random member. A member that missed the change would
// otherwise use its configured set forever.
func (c *Core) gossipSet() {
	if c.active.set.GroupID == 0 || !c.active.isReplica || c.now < c.members.nextSetGossip {
		return
	}
	if len(c.members.alive) == 0 {
		return
	}
	c.members.nextSetGossip = c.now + gossipInterval
	c.sendSetInForce(c.members.alive[c.random.IntN(len(c.members.alive))])
}

// handleOtherSet answers a message that names another set with the set in force, so that the side with the
// earlier set learns of the later one.
func (c *Core) handleOtherSet(in MessageReceived) {
	c.count(countOtherSet)
	switch in.Kind {
	case ClaimRequested:
		refusal := Message{Kind: ClaimRefused, SetID: in.SetID, RequestID: in.RequestID, Reason: WrongSet}
		c.emit(Send{in.From, refusal})
		c.sendSetInForce(in.From)
	case OutcomeReported, Register, Pull, Fetch:
		c.sendSetInForce(in.From)
	}
}

func (c *Core) sendSetInForce(to string) {
	if c.config.DynamicReplicas && c.registration.serving && to != c.config.Name {
		c.send(to, Message{Kind: SetInForce, Set: c.active.set})
	}
}

// handleSetInForce adopts the set of another member if that set is later. If the set in force here is later,
// it is sent to that member.
func (c *Core) handleSetInForce(in MessageReceived) {
	own := c.active.set
	switch {
	case !c.config.DynamicReplicas:
		c.count(countStaticSet)
	case in.Set.Supersedes(own) && in.Set.Valid():
		c.adoptSet(in.Set)
	case own.Supersedes(in.Set):
		c.sendSetInForce(in.From)
	case in.Set.GroupID != 0 && own.GroupID != 0 && in.Set.GroupID != own.GroupID:
		c.count(countOtherGroup)
	}
}

// adoptSet adopts a later set. A process that stays a replica also retains its vote, since it knows all its
// grants. Pending claims restart, since grants under another set do not count.
func (c *Core) adoptSet(s replicaset.Set) {
	if !s.Supersedes(c.active.set) {
		return
	}
	wasReplica := c.active.isReplica
	c.useSet(s)
	c.updateVoteForSet(wasReplica)
	c.updatePeersForSet()
	c.emit(SetAdopted{s})
	c.emit(Event{
		Description: "replica set in force: " + strings.Join(s.New, ", "),
		Subject:     strings.Join(s.Old, ", "),
	})
	c.restartPendingClaims()
	if c.registration.serving {
		c.startVoting()
	}
	if c.active.isReplica {
		for _, name := range c.members.alive {
			c.sendSetInForce(name)
		}
	}
}

// updateVoteForSet drops or retains the vote of this process after a change of the set.
func (c *Core) updateVoteForSet(wasReplica bool) {
	r := &c.registration
	r.ready = false
	r.votingSinceAdoption = wasReplica && r.voting
	switch {
	case !c.active.isReplica:
		r.loseVote()
		c.durability.persistedIncarnation = Incarnation{}
		c.persistIncarnation(Incarnation{})
	case !wasReplica:
		c.durability.persistedIncarnation = Incarnation{}
	case r.voting:
		c.persistIncarnation(r.incarnation) // the stored incarnation is valid for one set only
	}
}

// updatePeersForSet removes the peers that are no longer replicas, and registers again with the others.
func (c *Core) updatePeersForSet() {
	maps.DeleteFunc(c.catchUp.peers, func(name string, _ *peerState) bool {
		return !slices.Contains(c.active.members, name)
	})
	if !c.active.isReplica || !c.registration.serving {
		return
	}
	c.registration.voters[c.config.Name] = c.registration.incarnation
	for _, name := range c.active.members {
		if name == c.config.Name {
			continue
		}
		if c.catchUp.peers[name] == nil {
			c.catchUp.peers[name] = &peerState{}
		}
		c.catchUp.peers[name].registerAgain(c.now)
	}
}
