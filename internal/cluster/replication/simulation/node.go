package simulation

import (
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// node runs the processes of one scheduler name. A replaced process and a predecessor in a hot restart move
// to separate nodes.
type node struct {
	name         string
	core         *replication.Core
	running      bool
	paused       bool
	deferred     []func()
	handedOver   bool // the process is a predecessor, and its successor is the member
	generation   uint64
	nonce        uint64
	hotRestarts  uint64                    // number of hot restarts in the generation
	ended        []replication.Incarnation // ended processes of its scheduler
	queuedInputs []replication.Input       // inputs for the next tick
	replicaSet   *replicaset.Core          // nil if the set does not change
	disk         *disk                     // nil: records are not persisted
	diskFault
}

// process returns the process that runs at a node.
func (n *node) process() replication.Incarnation {
	return replication.Incarnation{Generation: n.generation<<generationShift + n.hotRestarts, Nonce: n.nonce}
}

// memberProcess returns the process as the members know it. The members do not see hot restarts.
func (n *node) memberProcess() replication.Incarnation {
	return replication.Incarnation{Generation: n.generation << generationShift, Nonce: n.nonce}
}

// queueProcess queues inputs for the next tick: the process of another scheduler, and that this scheduler is
// alive.
func (c *Cluster) queueProcess(n, of *node) {
	n.queuedInputs = append(n.queuedInputs, replication.PeerProcess{
		Name:    of.name,
		Process: of.memberProcess(),
	})
	if !c.DynamicReplicas { // otherwise announceAlive has made the process see the others as alive
		n.queuedInputs = append(n.queuedInputs, replication.PeerStatus{Name: of.name})
	}
}

// takeQueuedInputs removes and returns the queued inputs. It returns none while the process is paused.
func (n *node) takeQueuedInputs() []replication.Input {
	if n.paused {
		return nil
	}
	inputs := n.queuedInputs
	n.queuedInputs = nil
	return inputs
}

// acceptsInput reports whether a process accepts an input now. If the process is paused, the input is
// deferred until it resumes.
func (n *node) acceptsInput(core *replication.Core, later func()) bool {
	if !n.running || n.core != core {
		return false
	}
	if n.paused && len(n.deferred) < maxDeferred {
		n.deferred = append(n.deferred, later)
	}
	return !n.paused
}

// step passes an input to a replication core and carries out its effects. As in package replica, the effects
// are persisted before messages are sent.
func (c *Cluster) step(n *node, core *replication.Core, in replication.Input) {
	if !n.acceptsInput(core, func() { c.step(n, core, in) }) {
		return
	}
	effects := core.Step(c.Now(), in)
	persisted := c.persist(n, core, effects)
	var followUps []replication.Input
	if !persisted {
		followUps = append(followUps, replication.PersistFailed{Keys: replication.PersistedKeys(effects)})
	}
	persisted = c.persistAdoptedSets(n, core, effects) && persisted
	for _, e := range effects {
		if c.crashAtRandom(n, core) {
			return
		}
		switch e := e.(type) {
		case replication.ClaimDecided:
			if !persisted && e.Result == replication.Granted { // the majority may need this process's vote
				e = replication.ClaimDecided{RequestID: e.RequestID, Result: replication.NoQuorum}
				followUps = append(followUps, replication.OpEnded{RequestID: e.RequestID, NeverRan: true})
			}
			c.checkDecision(e)
		case replication.ReplicasReady:
			if persisted {
				c.stepReplicaSet(n, core, replicaset.ReplicasReady{Epoch: e.Epoch})
			}
		case replication.Send:
			if persisted || !e.RequiresDurability() {
				c.sendReplication(n, e)
			}
		}
	}
	for _, in := range followUps {
		c.step(n, core, in)
	}
}

// persistAdoptedSets makes the replica set core persist the adopted sets, and reports whether that succeeded.
func (c *Cluster) persistAdoptedSets(n *node, core *replication.Core, effects []replication.Effect) bool {
	ok := true
	for _, e := range effects {
		if adopted, isAdopted := e.(replication.SetAdopted); isAdopted {
			c.Epochs[adopted.Epoch]++
			ok = c.stepReplicaSet(n, core, replicaset.ReplicaSetLearned{Set: adopted.Set}) && ok
		}
	}
	return ok
}

// stepReplicaSet passes an input to a replica set core and carries out its effects. It returns false if the
// state could not be persisted.
func (c *Cluster) stepReplicaSet(n *node, core *replication.Core, in replicaset.Input) bool {
	if !n.acceptsInput(core, func() { c.stepReplicaSet(n, core, in) }) {
		return true
	}
	effects := n.replicaSet.Step(c.Now(), in)
	if !c.persistReplicaSet(n, core, effects) {
		return false
	}
	for _, e := range effects {
		if c.crashAtRandom(n, core) {
			return true
		}
		switch e := e.(type) {
		case replicaset.Send:
			c.sendReplicaSet(n, e)
		case replicaset.ReplicaSetAgreed:
			c.step(n, core, replication.AdoptSet{Set: e.Set})
		case replicaset.ChangeResult:
			c.Answers[e.RequestID] = ChangeAnswer{e.OK, e.Message}
		case replicaset.Event:
			if e.Description == replicaset.LeftGroup {
				c.addViolation("%s: %s", n.name, e.Subject)
			}
		}
	}
	return true
}

// persistReplicaSet writes the states that the effects of a step persist, and reports whether that succeeded.
func (c *Cluster) persistReplicaSet(n *node, core *replication.Core, effects []replicaset.Effect) bool {
	for _, e := range effects {
		persist, isPersist := e.(replicaset.Persist)
		if !isPersist {
			continue
		}
		failed, written := c.diskWrite(n)
		if written {
			n.disk.state = persist.State
		}
		if failed {
			n.replicaSet.Step(c.Now(), replicaset.PersistFailed{})
			c.step(n, core, replication.PersistFailed{})
			return false
		}
	}
	return true
}

// persist writes the effects of a step to the disk, and reports whether that succeeded.
func (c *Cluster) persist(n *node, core *replication.Core, effects []replication.Effect) bool {
	if n.disk == nil || !slices.ContainsFunc(effects, isWrite) {
		return true
	}
	failed, written := c.diskWrite(n)
	if !written {
		return false
	}
	for _, e := range effects {
		n.disk.apply(e, c.Now(), core.SetID())
	}
	return !failed
}
