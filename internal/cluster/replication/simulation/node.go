package simulation

import (
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// node is where processes of one name run. A replaced process goes on in a node of its own.
type node struct {
	name        string
	core        *replication.Core
	running     bool
	paused      bool
	deferred    []func()
	handedOver  bool // a successor is the member
	generation  uint64
	nonce       uint64
	successions uint64                    // hot restarts within the generation
	ended       []replication.Incarnation // processes of its scheduler that it knows to have ended
	learned     []replication.Input       // since the latest tick
	replicaSet  *replicaset.Core          // nil where the set does not change
	disk        *disk                     // nil: memory alone
	diskFault
}

// process is the process that runs at a node.
func (n *node) process() replication.Incarnation {
	return replication.Incarnation{Generation: n.generation<<generationShift + n.successions, Nonce: n.nonce}
}

// memberProcess is the process as the members know it: they do not see hot restarts.
func (n *node) memberProcess() replication.Incarnation {
	return replication.Incarnation{Generation: n.generation << generationShift, Nonce: n.nonce}
}

// learn has a process learn at its next tick that another scheduler is alive, and as which process.
func (c *Cluster) learn(n, of *node) {
	n.learned = append(n.learned, replication.PeerProcess{Name: of.name, Process: of.memberProcess()})
	if !c.DynamicReplicas { // else introduce has it see the others as alive
		n.learned = append(n.learned, replication.PeerStatus{Name: of.name})
	}
}

// takeLearned returns what the process learns now: nothing while it is paused.
func (n *node) takeLearned() []replication.Input {
	if n.paused {
		return nil
	}
	learned := n.learned
	n.learned = nil
	return learned
}

// ready reports whether a process takes an input now. A paused one takes it when it goes on.
func (n *node) ready(core *replication.Core, later func()) bool {
	if !n.running || n.core != core {
		return false
	}
	if n.paused && len(n.deferred) < maxDeferred {
		n.deferred = append(n.deferred, later)
	}
	return !n.paused
}

// step feeds a replication core and carries out its effects as package replica does: what must be persisted
// is before anything is sent.
func (c *Cluster) step(n *node, core *replication.Core, in replication.Input) {
	if !n.ready(core, func() { c.step(n, core, in) }) {
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
		if c.mayCrash(n, core) {
			return
		}
		switch e := e.(type) {
		case replication.ClaimDecided:
			if !persisted && e.Result == replication.Granted { // its own vote may be part of it
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

// persistAdoptedSets has the replica set core persist the sets that were adopted; false where that failed.
func (c *Cluster) persistAdoptedSets(n *node, core *replication.Core, effects []replication.Effect) bool {
	ok := true
	for _, e := range effects {
		if adopted, is := e.(replication.SetAdopted); is {
			c.Epochs[adopted.Epoch]++
			ok = c.stepReplicaSet(n, core, replicaset.SetLearned{Set: adopted.Set}) && ok
		}
	}
	return ok
}

// stepReplicaSet feeds a replica set core and carries out its effects; false where its state could not be
// persisted.
func (c *Cluster) stepReplicaSet(n *node, core *replication.Core, in replicaset.Input) bool {
	if !n.ready(core, func() { c.stepReplicaSet(n, core, in) }) {
		return true
	}
	effects := n.replicaSet.Step(c.Now(), in)
	if !c.persistReplicaSet(n, core, effects) {
		return false
	}
	for _, e := range effects {
		if c.mayCrash(n, core) {
			return true
		}
		switch e := e.(type) {
		case replicaset.Send:
			c.sendReplicaSet(n, e)
		case replicaset.SetAgreed:
			c.step(n, core, replication.AdoptSet{Set: e.Set})
		case replicaset.ChangeResult:
			c.Answers[e.RequestID] = ChangeAnswer{e.OK, e.Message}
		case replicaset.Event:
			if e.Description == replicaset.LeftGroup {
				c.violation("%s: %s", n.name, e.Subject)
			}
		}
	}
	return true
}

// persistReplicaSet writes the states of a round; false where that failed.
func (c *Cluster) persistReplicaSet(n *node, core *replication.Core, effects []replicaset.Effect) bool {
	for _, e := range effects {
		persist, is := e.(replicaset.Persist)
		if !is {
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

// persist writes what a round of effects asks for; false where that failed.
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
