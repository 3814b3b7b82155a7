// Package replication decides which scheduler may run an op that must not run twice. A claim needs grants
// from a majority of a few replicas, and the replicas record its outcome. The package is deterministic: it
// takes an input with its time and returns messages and decisions. It does no I/O, reads no clock, and takes
// random numbers only from its seed. docs/copies.md states its guarantees, and under which faults they hold.
package replication

import (
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/replicaset"
)

// seedSalt makes the random sequence of this package differ from others with the same seed.
const seedSalt = 0x636f70696573

// Core is the replication state of one process. It claims ops for its scheduler. If the process is a
// replica, it also grants claims and stores records.
type Core struct {
	config  Config
	random  *rand.Rand
	now     Time
	effects []Effect
	counts  map[string]uint64

	active       activeSet
	registration registration
	durability   durability
	catchUp      catchUp
	records      recordLog
	claims       claimTable
	members      memberView
}

// New makes a core without records. The configuration must be valid.
func New(config Config, now Time) *Core {
	c := &Core{
		config:       config,
		random:       rand.New(rand.NewPCG(config.Seed, config.Nonce^seedSalt)),
		now:          now,
		counts:       map[string]uint64{},
		registration: newRegistration(),
		catchUp:      newCatchUp(),
		records:      newRecordLog(config.MaxRecords, config.MaxBytes, now),
		claims:       newClaimTable(),
		members:      newMemberView(),
	}
	c.useSet(replicaset.ConfiguredSet(config.Replicas))
	return c
}

// Step handles an input and returns its effects, in the order in which they must be carried out. If now is
// before the time of the previous step, that time applies.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now = max(now, c.now)
	c.effects = c.effects[:0:0]
	c.handle(in)
	c.runTimers()
	return c.effects
}

func (c *Core) handle(in Input) {
	switch in := in.(type) {
	case MessageReceived:
		if in.From != c.config.Name {
			c.handleMessage(in)
		}
	case ClaimRequest:
		c.handleClaimRequest(in)
	case OpEnded:
		c.handleOpEnded(in)
	case MayHaveRun:
		c.handleMayHaveRun(in)
	case Membership:
		c.handleMembership(in)
	case AdoptSet:
		c.adoptSet(in.Set)
	case PersistFailed:
		c.handlePersistFailed(in)
	case StateReloaded:
		c.handleStateReloaded(in)
	case PeerStatus:
		c.handlePeerStatus(in)
	case PeerProcess:
		c.members.learnProcess(in.Name, in.Process)
	case ProcessEnded:
		c.handleProcessEnded(in)
	}
}

// handleMessage dispatches a message. A claim or catch-up message must name the replica set in force here.
func (c *Core) handleMessage(in MessageReceived) {
	switch in.Kind {
	case SetInForce:
		c.handleSetInForce(in)
		return
	case ProcessEndReported:
		c.members.markProcessEnded(in.From, in.Incarnation)
		return
	}
	if in.SetID != c.active.id {
		c.handleOtherSet(in)
		return
	}
	switch in.Kind {
	case ClaimRequested, OutcomeReported, Register, Pull, Fetch:
		if !c.active.isReplica || !c.registration.serving {
			c.count(countNotReplica)
			return
		}
		c.handleReplicaRequest(in)
	case ClaimGranted, ClaimRefused, OutcomeKnown, Registered, DigestPage, Fetched:
		if !slices.Contains(c.active.members, in.From) {
			c.count(countNotFromReplica)
			return
		}
		c.handleReplicaAnswer(in)
	}
}

// handleReplicaRequest dispatches a request to this replica.
func (c *Core) handleReplicaRequest(in MessageReceived) {
	switch in.Kind {
	case ClaimRequested:
		c.handleClaimRequested(in)
	case OutcomeReported:
		c.handleOutcomeReported(in)
	case Register:
		c.handleRegister(in)
	case Pull:
		c.handlePull(in)
	case Fetch:
		c.handleFetch(in)
	}
}

// handleReplicaAnswer dispatches the answer of a replica.
func (c *Core) handleReplicaAnswer(in MessageReceived) {
	switch in.Kind {
	case ClaimGranted, ClaimRefused:
		c.handleClaimAnswer(in)
	case OutcomeKnown:
		c.handleOutcomeKnown(in)
	case Registered:
		c.handleRegistered(in)
	case DigestPage:
		c.handleDigestPage(in)
	case Fetched:
		c.handleFetched(in)
	}
}

// NextTick returns the time at which the next Tick is due.
func (c *Core) NextTick() Time {
	at := c.claims.nextDue(c.now + second)
	if c.active.isReplica && c.registration.serving {
		for _, peer := range c.catchUp.peers {
			at = min(at, peer.nextSend)
		}
	}
	return max(at, c.now+1)
}

// runTimers does the periodic work that is due.
func (c *Core) runTimers() {
	c.retryClaims()
	c.retryReports()
	c.replicate()
	c.gossipSet()
	c.gossipEndedProcesses()
	c.expireRecords()
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) count(name string) { c.counts[name]++ }

// send sends a message under the replica set in force. A message to this process itself is handled directly.
func (c *Core) send(to string, m Message) {
	m.SetID = c.active.id
	if to == c.config.Name {
		c.handleMessage(MessageReceived{to, m})
		return
	}
	c.emit(Send{to, m})
}

// dueIDs returns the request IDs of the entries that are due, in ascending order.
func dueIDs[T any](entries map[uint64]T, isDue func(T) bool) (ids []uint64) {
	for id, entry := range entries {
		if isDue(entry) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
