package replication

import (
	"maps"
	"slices"
	"strings"

	"woaddyke/internal/cluster/replicaset"
)

// gossipInterval is the time between two random members that are sent what they may have missed.
const gossipInterval = second

// activeSet is the replica set in force at this process, and what follows from it.
type activeSet struct {
	set       replicaset.Set
	members   []string // of both parts of the set, once each
	id        uint64
	isReplica bool // this process is one of them
}

// memberView is which other schedulers are alive and which are dead, and what is known of the processes of
// all schedulers.
type memberView struct {
	dead              map[string]bool
	alive             []string // in order
	processes         map[string]*processes
	nextSetGossip     Time
	nextProcessGossip Time
}

func newMemberView() memberView {
	return memberView{dead: map[string]bool{}, processes: map[string]*processes{}}
}

// update records the status of a member.
func (v *memberView) update(in PeerStatus) {
	at, known := slices.BinarySearch(v.alive, in.Name)
	if in.Dead {
		v.dead[in.Name] = true
		if known {
			v.alive = slices.Delete(v.alive, at, at+1)
		}
		return
	}
	delete(v.dead, in.Name)
	if !known && len(v.alive) < maxAliveMembers {
		v.alive = slices.Insert(v.alive, at, in.Name)
	}
}

// SetID identifies the replica set in force.
func (c *Core) SetID() uint64 { return c.active.id }

// Set is the replica set in force.
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

// AdoptStored uses a set that was persisted. It is called before Restore and the first input.
func (c *Core) AdoptStored(s replicaset.Set) {
	if s.Supersedes(c.active.set) {
		c.useSet(s)
	}
}

// handlePeerStatus records whether a member is alive. One that is back may use its configured set.
func (c *Core) handlePeerStatus(in PeerStatus) {
	c.members.update(in)
	if in.Dead {
		return
	}
	c.reportEndedProcesses(in.Name)
	if c.active.set.GroupID != 0 {
		c.sendSetInForce(in.Name)
	}
}

// gossipSet tells a random member which set is in force: one that missed the change would use its configured
// set without end.
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

// handleOtherSet answers a message under another set, so that whichever side is behind learns of the later
// one.
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

// handleSetInForce adopts a later set of another member, or tells it of a later one.
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

// adoptSet uses another set from now on. A replica that stays one keeps its vote, since it knows what it
// granted. Pending claims start again: grants under another set do not count.
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

// updateVoteForSet drops or keeps this replica's vote as the set has changed.
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
		r.registeredSince = 0
		c.durability.persistedIncarnation = Incarnation{}
	case r.voting:
		c.persistIncarnation(r.incarnation) // for this set
	}
}

// updatePeersForSet drops the peers that are no replicas any more, and registers with all others anew.
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
