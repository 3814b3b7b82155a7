package replication

import (
	"slices"

	"woaddyke/internal/cluster/replicaset"
)

// registration is as which process this replica votes, and which processes vote for the others.
type registration struct {
	serving             bool // this process is a member
	incarnation         Incarnation
	voting              bool
	votingSinceAdoption bool // it had its vote when the set came into force, and has not lost it since
	ready               bool // while the set is joint: it knows what the replicas of the old part knew
	registeredSince     Time // when enough replicas knew this incarnation; 0: not yet
	voters              map[string]Incarnation
	formerVoters        map[string]Incarnation // the incarnation before the present one of each voter
}

func newRegistration() registration {
	return registration{voters: map[string]Incarnation{}, formerVoters: map[string]Incarnation{}}
}

// restart begins a new incarnation without a vote.
func (r *registration) restart(as Incarnation) {
	r.incarnation = as
	r.registeredSince = 0
	r.loseVote()
}

func (r *registration) loseVote() {
	r.voting, r.votingSinceAdoption, r.ready = false, false, false
}

// setVoter records the incarnation that votes under a name; false where it is older than the known one.
func (r *registration) setVoter(name string, as Incarnation) bool {
	known, ok := r.voters[name]
	if as.compare(known) < 0 {
		return false
	}
	if ok && known != as {
		r.formerVoters[name] = known
	}
	r.voters[name] = as
	return true
}

// learnVoters takes newer incarnations of other voters from a replica's view.
func (r *registration) learnVoters(voters []Voter, self string) {
	for _, v := range voters {
		if v.Name != self && v.Incarnation.compare(r.voters[v.Name]) > 0 {
			r.voters[v.Name] = v.Incarnation
		}
	}
}

// knownVoters are the registered voters among some members.
func (r *registration) knownVoters(members []string) (voters []Voter) {
	for _, name := range members {
		if incarnation, ok := r.voters[name]; ok {
			voters = append(voters, Voter{name, incarnation})
		}
	}
	return voters
}

// handleMembership begins or ends a time as a member. A process that is none has no vote; one that is back
// as the same incarnation has kept its memory.
func (c *Core) handleMembership(in Membership) {
	c.registration.serving = in.Serving
	if !in.Serving {
		return
	}
	incarnation := Incarnation{in.Generation, in.Nonce}
	if in.Nonce == 0 {
		incarnation.Nonce = c.config.Nonce
	}
	if incarnation == c.registration.incarnation {
		return
	}
	c.registration.restart(incarnation)
	c.members.learnProcess(c.config.Name, incarnation)
	c.resetPeers()
	if c.active.isReplica {
		c.registration.voters[c.config.Name] = incarnation
		c.emit(Event{Description: "no vote until caught up"})
	}
}

// handleRegister records the process that votes under a replica's name.
func (c *Core) handleRegister(in MessageReceived) {
	if !slices.Contains(c.active.members, in.From) {
		return
	}
	r := &c.registration
	if !r.setVoter(in.From, in.Incarnation) {
		c.count(countStaleRegistration)
		return
	}
	c.send(in.From, Message{
		Kind:              Registered,
		Incarnation:       r.incarnation,
		LogIncarnation:    in.Incarnation,
		Voting:            r.voting,
		Ready:             r.ready,
		FormerIncarnation: r.formerVoters[in.From],
		Voters:            r.knownVoters(c.active.members),
		Next:              c.records.position,
	})
}

// handleRegistered records that another replica knows this incarnation as the voter.
func (c *Core) handleRegistered(in MessageReceived) {
	peer := c.catchUp.peers[in.From]
	if peer == nil || in.LogIncarnation != c.registration.incarnation {
		return
	}
	c.registration.learnVoters(in.Voters, c.config.Name)
	persisted := c.durability.persistedIncarnation
	if persisted != (Incarnation{}) && in.FormerIncarnation.compare(persisted) > 0 {
		c.discardPersistedIncarnation()
	}
	if peer.registeredAs != c.registration.incarnation {
		peer.registered(c.registration.incarnation, in.Message)
	}
	peer.nextSend = c.now
}

// discardPersistedIncarnation has this replica catch up as one without memory: a later process voted after
// its records were persisted.
func (c *Core) discardPersistedIncarnation() {
	c.durability.persistedIncarnation = Incarnation{}
	c.catchUp.restartAll()
	c.emit(Event{
		Description: "stored records are outdated: catching up as if without memory",
		Warning:     true,
	})
	c.persistIncarnation(Incarnation{})
}

// quorumProgress is how far this replica is with the others of the part that decides on its vote.
type quorumProgress struct {
	part       []string
	others     int // replicas of the part beside this one
	enough     int // of the others: as many as meet each majority of the part
	registered int // of the others: those that know this incarnation
	caughtUp   int // of the others: voters whose changes before the registration are known here
}

// progress measures it for the old part while the set is joint: nothing is granted without its majority.
func (c *Core) progress() (p quorumProgress) {
	p.part = c.active.set.Quorums()[0]
	p.others = replicaset.Count(p.part, func(name string) bool { return name != c.config.Name })
	p.enough = min(replicaset.ReadQuorum(len(p.part)), p.others)
	for _, name := range p.part {
		if peer := c.catchUp.peers[name]; peer != nil && peer.registeredAs == c.registration.incarnation {
			p.registered++
			if peer.voting && peer.caughtUp {
				p.caughtUp++
			}
		}
	}
	return p
}

// startVoting gives this replica its vote once that is safe. Whatever an earlier incarnation granted is
// known to one of any "enough" other voters, and these knew the present incarnation before they were
// pulled from: so nothing that counts is missed, and no vote of an earlier incarnation counts beside this
// one's. Where too few others vote, it waits until every earlier grant has expired.
func (c *Core) startVoting() {
	settled := c.registration.voting || c.durability.failed
	if !c.active.isReplica || settled && !c.active.set.Joint() {
		return // the common case, on the way of every message
	}
	p := c.progress()
	if settled {
		c.updateReadiness(p)
		return
	}
	if p.registered >= p.enough && c.registration.registeredSince == 0 {
		c.registration.registeredSince = max(c.now, 1)
	}
	if c.durability.persistedIncarnation != (Incarnation{}) && p.registered >= min(1, p.others) {
		c.voteFromOwnRecords()
		return
	}
	if c.records.full() || p.caughtUp < p.enough && !c.holdOffElapsed(p) {
		return
	}
	c.registration.voting = true
	c.persistIncarnation(c.registration.incarnation)
	c.emit(Event{Description: "votes"})
	c.updateReadiness(p)
}

// voteFromOwnRecords gives this replica its vote on its persisted records. They hold all that it ever
// granted, and no earlier process can be left, since one process alone holds the store.
func (c *Core) voteFromOwnRecords() {
	c.registration.voting, c.registration.votingSinceAdoption = true, true
	c.durability.persistedIncarnation = Incarnation{}
	c.persistIncarnation(c.registration.incarnation)
	c.emit(Event{Description: "votes", Subject: "on its stored records"})
}

// holdOffElapsed reports whether this incarnation has been known to enough replicas for AmnesiaHoldOff.
func (c *Core) holdOffElapsed(p quorumProgress) bool {
	return p.registered >= p.enough && c.now-c.registration.registeredSince >= c.config.AmnesiaHoldOff
}

// updateReadiness records, while the set is joint, that this replica knows what a read quorum of the old
// part knew after these had begun to refuse the old part alone. It counts itself where it was one of them
// and kept its vote.
func (c *Core) updateReadiness(p quorumProgress) {
	r := &c.registration
	if !c.active.set.Joint() || !r.voting {
		return
	}
	caughtUp := p.caughtUp
	if r.votingSinceAdoption && slices.Contains(p.part, c.config.Name) {
		caughtUp++
	}
	if !r.ready && caughtUp >= replicaset.ReadQuorum(len(p.part)) {
		r.ready = true
		c.emit(Event{Description: "ready: knows what the previous replicas knew"})
	}
	newPart := c.active.set.New
	if replicaset.Count(newPart, c.replicaReady) >= replicaset.Majority(len(newPart)) {
		c.emit(ReplicasReady{c.active.set.Epoch})
	}
}

// replicaReady reports whether a replica has stated that it is ready, to this incarnation.
func (c *Core) replicaReady(name string) bool {
	if name == c.config.Name && c.registration.ready {
		return true
	}
	peer := c.catchUp.peers[name]
	return peer != nil && peer.registeredAs == c.registration.incarnation && peer.ready
}
