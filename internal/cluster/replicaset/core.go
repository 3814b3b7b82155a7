// Package replicaset lets the members agree on which of them are replicas. The replicas form a raft group
// whose log contains only changes of the group's voters. The package is pure: it takes an input with its time
// and returns effects, does no I/O, reads no clock, and draws random numbers only from its seed.
// docs/copies.md gives the reasons for the design.
package replicaset

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/membership"
)

// Time is a time in tenths of a millisecond on a monotonic clock.
type Time = membership.Time

const (
	// seedSalt makes this package's random sequence differ from those of other packages with the same seed.
	seedSalt = 0x6b656570

	// maintenanceInterval is the time between two calls of maintain.
	maintenanceInterval = second
)

// Core is the state machine of one process for the replica set.
type Core struct {
	config  Config
	random  *rand.Rand
	now     Time
	effects []Effect

	serving         bool
	failed          bool // set by a failed write or an error of a step; cleared when the state is reloaded
	state           State
	set             Set // the latest known set, agreed by the group or learned from a member
	raft            raftGroup
	election        electionTimer
	creation        groupCreation
	changes         changes
	presence        map[string]presence // of other members, by name
	nextMaintenance Time
}

// New creates the core of a process. The state is the persisted state. If nothing was persisted, the state
// contains only a newly drawn voter ID. A process with the voter ID 0 takes no part in the group.
func New(config Config, state State, now Time) *Core {
	c := &Core{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, state.VoterID^seedSalt)),
		now:      now,
		state:    state,
		set:      state.Set,
		raft:     newRaftGroup(),
		creation: newGroupCreation(),
		changes:  changes{requests: map[uint64]*pendingRequest{}, lastChange: now},
		presence: map[string]presence{},
	}
	if c.set.GroupID == 0 {
		c.set = ConfiguredSet(config.Replicas)
	}
	c.config.Replicas = slices.Sorted(slices.Values(config.Replicas))
	return c
}

// Set returns the set in force at this process.
func (c *Core) Set() Set { return c.set }

// IsLeader reports whether this process is the leader, which carries out changes.
func (c *Core) IsLeader() bool { return c.raft.isLeader() }

// Status returns the role of this process in the group as shown to operators. Without a path for the store,
// the process has no voter ID and no role. After a failure or the release of the store, it has no role until
// its state is reloaded.
func (c *Core) Status() string {
	switch {
	case c.failed:
		return "none any more"
	case c.state.VoterID == 0:
		return "none, for want of a path"
	case c.IsLeader():
		return "leads"
	case c.raft.node != nil:
		return "follows"
	case c.set.GroupID == 0:
		return "not founded yet"
	}
	return "none"
}

// Step processes an input and returns its effects in the order in which they must be carried out. If now is
// before the time of an earlier step, the earlier step's time is used. After an invalid message or an invalid
// stored state, this process takes no part in the group but continues to run.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now = max(now, c.now)
	c.effects = c.effects[:0:0]
	if err := c.step(in); err != nil {
		c.effects = c.effects[:0:0]
		c.fail(err.Error())
	}
	return c.effects
}

// stepPanicError is a panic during a step. The raft library panics on corrupt input.
type stepPanicError struct{ value any }

func (e *stepPanicError) Error() string { return fmt.Sprint(e.value) }

func (c *Core) step(in Input) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &stepPanicError{value}
		}
	}()
	if err := c.handle(in); err != nil {
		return err
	}
	return c.runTimers()
}

func (c *Core) handle(in Input) error {
	switch in := in.(type) {
	case MessageReceived:
		if c.serving && !c.failed {
			return c.handleMessage(in)
		}
	case Membership:
		c.serving = in.Serving
		return c.resume()
	case PeerStatus:
		c.handlePeerStatus(in)
	case ChangeRequest:
		c.changes.addRequest(in, c.now, c.now+c.config.ChangeTimeout)
	case ReplicaSetLearned:
		return c.handleSetLearned(in.Set)
	case ReplicasReady:
		c.changes.readyEpoch = in.Epoch
	case PersistFailed:
		c.fail("state is not durable")
	case StateReloaded:
		return c.handleStateReloaded(in.State)
	}
	return nil
}

func (c *Core) handleMessage(in MessageReceived) error {
	switch in.Kind {
	case VoterQuery:
		c.send(in.From, Message{Kind: VoterReply})
	case VoterReply:
		c.handleVoterReply(in)
	case GroupCreated:
		return c.handleGroupFounded(in)
	case GroupAcknowledged:
		if in.GroupID == c.state.GroupID {
			c.creation.accepted[in.VoterID] = true
		}
	case RaftMessage:
		return c.handleRaftMessage(in)
	case VoterIDChanged:
		c.handleReplaceVoter(in)
	case ChangeRequested:
		c.handleChangeRequested(in)
	case ChangeAnswered:
		c.handleChangeAnswered(in)
	}
	return nil
}

// handleSetLearned adopts a set that another member announced. A process that was removed from the set may
// never receive this change through the group.
func (c *Core) handleSetLearned(s Set) error {
	if !s.Supersedes(c.set) || c.state.GroupID != 0 && s.GroupID != c.state.GroupID {
		return nil
	}
	c.useSet(s)
	if s.Epoch > c.raft.epoch && !s.contains(c.config.Name) {
		c.raft.node = nil
	}
	if c.state.VoterID == 0 {
		return nil
	}
	return c.persist()
}

// handleStateReloaded clears a failure and continues with the reloaded state, which is durable.
func (c *Core) handleStateReloaded(state State) error {
	c.failed = false
	c.state = state
	if state.Set.Supersedes(c.set) {
		c.useSet(state.Set)
	}
	return c.resume()
}

// resume starts the raft node if this process should run a node but has none. It also resets the election
// timer.
func (c *Core) resume() error {
	isMember := c.state.GroupID != 0 && c.set.contains(c.config.Name)
	if c.serving && !c.failed && c.raft.node == nil && isMember {
		if err := c.startNode(); err != nil {
			return err
		}
	}
	c.resetElectionTimer()
	return nil
}

// fail stops the raft node until the state is reloaded, and reports the reason.
func (c *Core) fail(reason string) {
	c.failed = true
	c.raft.node = nil
	c.emit(Event{Description: LeftGroup, Subject: reason, Warning: true})
}

func (c *Core) useSet(s Set) {
	c.set = s
	c.changes.lastChange = c.now
}

// NextTick returns the time when a Tick is due.
func (c *Core) NextTick() Time {
	at := c.nextMaintenance
	switch {
	case c.raft.node == nil || !c.serving:
	case c.IsLeader():
		at = min(at, c.election.nextHeartbeat)
	default:
		at = min(at, c.election.campaignAt)
	}
	return max(c.changes.nextDue(at), c.now+1)
}

// runTimers performs all actions that are due.
func (c *Core) runTimers() error {
	if err := c.runElectionTimer(); err != nil {
		return err
	}
	if c.now >= c.nextMaintenance {
		c.nextMaintenance = c.now + maintenanceInterval
		if err := c.maintain(); err != nil {
			return err
		}
	}
	c.retryRequests()
	return c.advanceChange()
}

// maintain does the work that no message triggers. It creates and announces the group, requests a new voter
// ID in the group after this process lost its file, and replaces a dead replica.
func (c *Core) maintain() error {
	if !c.serving || c.failed || c.state.VoterID == 0 {
		return nil
	}
	switch {
	case c.set.GroupID == 0 && c.state.GroupID == 0:
		if err := c.createGroup(); err != nil {
			return err
		}
	case c.raft.node == nil && slices.Contains(c.set.New, c.config.Name):
		c.requestReplacement()
	case c.state.GroupID != 0 && c.isGroupCreator():
		c.announceGroup()
	}
	if c.IsLeader() {
		c.replaceDeadReplica()
	}
	return nil
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) send(to string, m Message) {
	if to == "" || to == c.config.Name {
		return
	}
	m.GroupID, m.VoterID = c.state.GroupID, c.state.VoterID
	c.emit(Send{to, m})
}

func sortedKeys[T any](m map[uint64]T) []uint64 { return slices.Sorted(maps.Keys(m)) }
