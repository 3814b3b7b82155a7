package replication

import (
	"slices"

	"woaddyke/internal/cluster/replicaset"
)

// registration is the voting state of this process, and the known incarnations of all voters.
type registration struct {
	serving             bool // this process is a member
	incarnation         Incarnation
	voting              bool
	votingSinceAdoption bool // this process had a vote when the set came into force and has not lost the vote
	ready               bool // in a joint set: this process knows what a read quorum of the old part knew
	registeredSince     Time // when enough replicas first knew this incarnation; 0: not enough yet
	voters              map[string]Incarnation
	formerVoters        map[string]Incarnation // the incarnation before the current one of each voter
}

func newRegistration() registration {
	return registration{voters: map[string]Incarnation{}, formerVoters: map[string]Incarnation{}}
}

// restart starts a new incarnation without a vote.
func (r *registration) restart(as Incarnation) {
	r.incarnation = as
	r.loseVote()
}

// loseVote takes the vote from this process. A hold-off starts anew.
func (r *registration) loseVote() {
	r.voting, r.votingSinceAdoption, r.ready = false, false, false
	r.registeredSince = 0
}

// setVoter records the incarnation that votes under a name. It returns false for an incarnation older than
// the known one.
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

// learnVoters records newer incarnations of other voters that another replica knows.
func (r *registration) learnVoters(voters []Voter, self string) {
	for _, v := range voters {
		if v.Name != self && v.Incarnation.compare(r.voters[v.Name]) > 0 {
			r.voters[v.Name] = v.Incarnation
		}
	}
}

// knownVoters returns the voters among the members whose incarnations are known.
func (r *registration) knownVoters(members []string) (voters []Voter) {
	for _, name := range members {
		if incarnation, ok := r.voters[name]; ok {
			voters = append(voters, Voter{name, incarnation})
		}
	}
	return voters
}

// handleMembership starts or ends serving as a member. A process that is not a member does not vote. If the
// process returns as the same incarnation, it still has its records and any vote.
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

// handleRegister records the process that casts the vote of another replica.
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

// handleRegistered records that another replica has registered this incarnation as the one that votes under
// this replica's name. It also learns the voters that the other replica knows. It discards the persisted
// incarnation if the other replica's former registration of this name is of a later incarnation.
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
		peer.markRegistered(c.registration.incarnation, in.Message)
	}
	peer.nextSend = c.now
}

// discardPersistedIncarnation makes this replica catch up as if it had no stored records, since a later
// process voted after the records were persisted.
func (c *Core) discardPersistedIncarnation() {
	c.durability.persistedIncarnation = Incarnation{}
	c.catchUp.restartAll()
	c.emit(Event{
		Description: "stored records are outdated: catching up as if without memory",
		Warning:     true,
	})
	c.persistIncarnation(Incarnation{})
}

// quorumProgress is the progress of this replica towards its vote, in the part of the set that decides on the
// vote.
type quorumProgress struct {
	part       []string
	others     int // number of other replicas in the part
	required   int // number of other replicas that always includes one of each majority of the part
	registered int // number of other replicas that know this incarnation
	voting     int // number of them that vote
	known      int // number of them whose changes before the registration are known here
	caughtUp   int // number of them that vote and whose changes before the registration are known here
}

// progress returns the progress towards the vote. In a joint set, the old part decides, since no claim is
// granted without its majority.
func (c *Core) progress() (p quorumProgress) {
	p.part = c.active.set.Parts()[0]
	p.others = replicaset.Count(p.part, func(name string) bool { return name != c.config.Name })
	p.required = min(replicaset.ReadQuorum(len(p.part)), p.others)
	for _, name := range p.part {
		if peer := c.catchUp.peers[name]; peer != nil && peer.registeredAs == c.registration.incarnation {
			p.add(peer)
		}
	}
	return p
}

// add counts another replica that knows this incarnation.
func (p *quorumProgress) add(peer *peerState) {
	p.registered++
	if peer.voting {
		p.voting++
	}
	if peer.recordsKnown {
		p.known++
	}
	if peer.voting && peer.caughtUp {
		p.caughtUp++
	}
}

// startVoting gives this replica its vote once that is safe. A grant of an earlier incarnation counts only
// as part of a majority. Any quorumProgress.required other voters include one that knows this grant. These
// voters knew the current incarnation before it pulled from them. Therefore no grant that counts is missed,
// and no grant of an earlier incarnation counts together with one of this incarnation. If too few others
// vote, see mayVoteWithoutQuorum.
func (c *Core) startVoting() {
	settled := c.registration.voting || c.durability.failed
	if !c.active.isReplica || settled && !c.active.set.Joint() {
		return // the common case, which is checked for every message
	}
	p := c.progress()
	if settled {
		c.updateReadiness(p)
		return
	}
	if p.registered >= p.required && c.registration.registeredSince == 0 {
		c.registration.registeredSince = max(c.now, 1)
	}
	if c.durability.persistedIncarnation != (Incarnation{}) && p.registered >= min(1, p.others) {
		c.voteFromStoredRecords()
		return
	}
	if c.records.full() {
		return
	}
	switch {
	case p.caughtUp >= p.required:
		c.vote("caught up with the replicas that vote")
	case c.mayVoteWithoutQuorum(p):
		c.vote("after the hold-off, as too few others vote")
	default:
		return
	}
	c.updateReadiness(p)
}

// vote gives this replica its vote, for a reason that operators see.
func (c *Core) vote(reason string) {
	c.registration.voting = true
	c.persistIncarnation(c.registration.incarnation)
	c.emit(Event{Description: "votes", Subject: reason})
}

// voteFromStoredRecords gives this replica its vote based on its persisted records. The records contain all
// its grants. No earlier process can still run, since only one process at a time has the store open.
func (c *Core) voteFromStoredRecords() {
	c.registration.votingSinceAdoption = true
	c.durability.persistedIncarnation = Incarnation{}
	c.vote("on its stored records")
}

// mayVoteWithoutQuorum reports whether this replica may vote although too few others do, because too many have
// lost their records. Enough others must have known this incarnation for AmnesiaHoldOff, until no op of an
// earlier grant runs any more. The records that the others still have must be known here: elapsed time does not
// replace them, since an op that has run may be claimed again for as long as records are retained.
func (c *Core) mayVoteWithoutQuorum(p quorumProgress) bool {
	if p.voting >= p.required || p.registered < p.required {
		return false
	}
	if p.known < p.required || p.caughtUp < p.voting {
		return false
	}
	return c.now-c.registration.registeredSince >= c.config.AmnesiaHoldOff
}

// updateReadiness records, in a joint set, that this replica is ready. It is ready once it knows what a read
// quorum of the old part knew after those replicas had adopted the joint set, and so refused claims under the
// old set. This replica counts towards the quorum if it is in the old part and has not lost its vote since.
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

// replicaReady reports whether a replica is ready, see registration.ready. Another replica counts as ready
// once it has reported that to this incarnation.
func (c *Core) replicaReady(name string) bool {
	if name == c.config.Name && c.registration.ready {
		return true
	}
	peer := c.catchUp.peers[name]
	return peer != nil && peer.registeredAs == c.registration.incarnation && peer.ready
}
