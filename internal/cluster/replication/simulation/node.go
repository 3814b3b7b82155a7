package simulation

import (
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// node is where processes of one name run. A replaced process goes on in a node of its own.
type node struct {
	name       string
	core       *replication.Core
	running    bool
	paused     bool
	deferred   []func()
	generation uint64
	replicaSet *replicaset.Core // nil where the set does not change
	disk       *disk            // nil: memory alone
	diskFault
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
