// Package simulation runs a cluster of schedulers and replicas in virtual time, with all randomness from one
// seed. It simulates crashes, pauses, cut links, lost memory, failing disks, and lost, duplicated and late
// messages. It checks the behavior of the cluster by the answers that schedulers get.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/testsupport/simclock"
)

// Time is the time of the replication cores, in tenths of a millisecond.
type Time = replication.Time

// One millisecond and one second in the unit of Time.
const (
	Millisecond Time = 10
	Second      Time = 10_000
)

const (
	// seedSalt makes the random sequence of this package differ from others with the same seed.
	seedSalt = 0x706c6179

	tickInterval           = 5 * Millisecond
	maxDeferred            = 500 // maximum number of inputs that wait for a paused process; others are lost
	defaultMeanDelay       = Time(5)
	maxCrashDowntime       = 20_000      // limit of the downtime after a random crash, in the unit of Time
	replacementNoticeDelay = 2 * Second  // time until a resumed process learns that it was replaced
	amnesiaHoldOff         = 5 * Second  // shorter than by default, for shorter runs
	maxLateDelay           = 30 * Second // limit of the additional delay of a late message

	announceInterval = 50 * Millisecond // time between two members that learn of a new process
	generationShift  = 16               // number of low bits, which count hot restarts as in package replica
)

// Cluster is one simulated cluster.
type Cluster struct {
	simclock.Clock[Time]
	Rand             *rand.Rand
	Config           replication.Config
	DynamicReplicas  bool // replicas have disks, and the set changes by agreement
	ReplicaSetConfig replicaset.Config
	CrashProbability float64                 // probability of a crash before an effect
	Answers          map[uint64]ChangeAnswer // answers to RequestChange, by request ID
	Epochs           map[uint64]int          // by adopted epoch: the number of adoptions
	DiskFailures     int                     // number of failed writes

	network
	checker

	nodes       []*node
	byName      map[string]*node
	lastRequest uint64
}

// ChangeAnswer is the answer to an operator's request to change the set.
type ChangeAnswer struct {
	OK   bool
	Text string
}

// New returns a cluster of n schedulers. The first ones are the replicas.
func New(n, replicas int, seed uint64) *Cluster {
	c := &Cluster{
		Rand:             rand.New(rand.NewPCG(seed, seedSalt)),
		Config:           replication.Defaults(),
		ReplicaSetConfig: replicaset.Defaults(),
		Answers:          map[uint64]ChangeAnswer{},
		Epochs:           map[uint64]int{},
		network:          newNetwork(),
		checker:          newChecker(),
		byName:           map[string]*node{},
	}
	c.Config.AmnesiaHoldOff, c.Config.Retention = amnesiaHoldOff, 600*Second
	for i := range replicas {
		c.Config.Replicas = append(c.Config.Replicas, fmt.Sprint("n", i))
	}
	for i := range n {
		n := &node{name: fmt.Sprint("n", i)}
		c.nodes = append(c.nodes, n)
		c.byName[n.name] = n
	}
	return c
}

// Core returns the core that runs at a node, or nil if none runs.
func (c *Cluster) Core(i int) *replication.Core {
	if n := c.nodes[i]; n.running {
		return n.core
	}
	return nil
}

// Start starts a process at a node. The process knows only the contents of the disk.
func (c *Cluster) Start(i int) {
	n := c.nodes[i]
	config := c.Config
	config.Name = n.name
	config.Seed, config.Nonce = c.Rand.Uint64(), c.Rand.Uint64()
	config.DynamicReplicas = c.DynamicReplicas
	n.generation++
	n.nonce, n.hotRestarts, n.ended, n.queuedInputs = config.Nonce, 0, nil, nil
	n.core = replication.New(config, c.Now())
	n.running, n.paused, n.deferred, n.diskFailed = true, false, nil, false
	if c.DynamicReplicas {
		c.startReplicaSet(n)
	}
	c.becomeMember(n)
	if c.DynamicReplicas {
		c.announceAlive(n)
	}
	c.announceProcess(n, n.core)
	c.scheduleTick(n, n.core)
}

// becomeMember makes a process serve as a member.
func (c *Cluster) becomeMember(n *node) {
	own := n.process()
	c.step(n, n.core, replication.Membership{Serving: true, Generation: own.Generation, Nonce: own.Nonce})
}

// announceProcess makes a new process and all others learn of each other's processes after a while, as
// membership does. They learn this just before a tick, so that the timers of the cores run at the same times
// as without the announcement.
func (c *Cluster) announceProcess(n *node, core *replication.Core) {
	for i, other := range c.nodes {
		if other == n || other.handedOver {
			continue
		}
		c.At(c.Now()+announceInterval*Time(i+1), func() {
			if other.core == nil || n.core != core {
				return
			}
			c.queueProcess(other, n)
			c.queueProcess(n, other)
		})
	}
}

// HotRestart starts a successor of a process. The predecessor continues its ops and sends only outcome
// reports. The predecessor ends after the given time, and the successor learns that it has ended.
func (c *Cluster) HotRestart(i int, endsAfter Time) {
	n := c.nodes[i]
	predecessor := &node{
		name:        n.name,
		core:        n.core,
		running:     n.running,
		handedOver:  true,
		generation:  n.generation,
		hotRestarts: n.hotRestarts,
		nonce:       n.nonce,
		ended:       n.ended,
	}
	c.nodes = append(c.nodes, predecessor)
	c.moveClaims(n, predecessor)
	config := c.Config
	config.Name = n.name
	config.Seed, config.Nonce = c.Rand.Uint64(), c.Rand.Uint64()
	n.core = replication.New(config, c.Now())
	n.hotRestarts++
	c.becomeMember(n)
	for _, process := range n.ended {
		c.step(n, n.core, replication.ProcessEnded{Process: process})
	}
	c.announceProcess(n, n.core)
	c.scheduleTick(n, n.core)
	c.scheduleTick(predecessor, predecessor.core)
	successor := n.core
	c.At(c.Now()+endsAfter, func() {
		predecessor.running = false
		if n.core != successor {
			return
		}
		n.ended = append(slices.Clone(n.ended), predecessor.process())
		c.step(n, successor, replication.ProcessEnded{Process: predecessor.process()})
	})
}

// startReplicaSet loads the state from the disk of a node, and starts its replica set core.
func (c *Cluster) startReplicaSet(n *node) {
	if n.disk == nil {
		n.disk = newDisk(c.Rand.Uint64()>>1 | 1)
	}
	config := c.ReplicaSetConfig
	config.Name, config.Replicas, config.Seed = n.name, c.Config.Replicas, c.Rand.Uint64()
	n.replicaSet = replicaset.New(config, n.disk.state, c.Now())
	n.core.AdoptStored(n.replicaSet.Set())
	n.core.Restore(n.disk.load(c.Now(), n.core.SetID()))
	c.stepReplicaSet(n, n.core, replicaset.Membership{Serving: true})
}

// announceAlive makes a new process and all others see each other as alive.
func (c *Cluster) announceAlive(n *node) {
	for _, other := range c.nodes {
		if other != n && other.running {
			c.step(other, other.core, replication.PeerStatus{Name: n.name})
			c.step(n, n.core, replication.PeerStatus{Name: other.name})
		}
	}
}

func (c *Cluster) scheduleTick(n *node, core *replication.Core) {
	c.At(c.Now()+tickInterval, func() {
		if n.core != core || !n.running {
			return
		}
		for _, in := range n.takeQueuedInputs() {
			c.step(n, core, in)
		}
		c.step(n, core, replication.Tick{})
		if n.replicaSet != nil && n.replicaSet.NextTick() <= c.Now() {
			c.stepReplicaSet(n, core, replicaset.Tick{})
		}
		c.scheduleTick(n, core)
	})
}

// Kill ends a process immediately.
func (c *Cluster) Kill(i int) { c.nodes[i].running, c.nodes[i].deferred = false, nil }

// Pause pauses a process. Its inputs are deferred until it is resumed.
func (c *Cluster) Pause(i int) { c.nodes[i].paused = true }

// Resume resumes a paused process and runs its deferred inputs.
func (c *Cluster) Resume(i int) {
	n := c.nodes[i]
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// Replace starts another process under the name of a paused one. The paused process resumes after the given
// time. It sends its remaining messages before it learns that it was replaced.
func (c *Cluster) Replace(i int, after Time) {
	n := c.nodes[i]
	old := &node{
		name:       n.name,
		core:       n.core,
		running:    n.running,
		paused:     true,
		generation: n.generation,
		replicaSet: n.replicaSet,
		disk:       n.disk,
	}
	n.disk = nil // the new process runs on another machine
	c.nodes = append(c.nodes, old)
	oldIndex := len(c.nodes) - 1
	c.Start(i)
	c.At(c.Now()+after, func() {
		c.Resume(oldIndex)
		c.scheduleTick(old, old.core)
	})
	c.At(c.Now()+after+replacementNoticeDelay, func() { old.running = false })
}

// SetAlive sets whether the replica set cores of all other processes see a member as alive.
func (c *Cluster) SetAlive(i int, alive bool) {
	for _, n := range c.nodes {
		if n.running && n.replicaSet != nil && n != c.nodes[i] {
			c.stepReplicaSet(n, n.core, replicaset.PeerStatus{Name: c.nodes[i].name, Alive: alive})
		}
	}
}

// SetDead sets whether the replication cores of all other processes see a member as dead.
func (c *Cluster) SetDead(i int, dead bool) {
	for _, n := range c.nodes {
		if n.running && n != c.nodes[i] {
			c.step(n, n.core, replication.PeerStatus{Name: c.nodes[i].name, Dead: dead})
		}
	}
}

// RequestChange requests a change of the replicas at a scheduler, as an operator does. It returns the request
// ID under which Answers will contain the answer.
func (c *Cluster) RequestChange(i int, replicas ...int) uint64 {
	n := c.nodes[i]
	c.lastRequest++
	id := c.lastRequest
	if !n.running || n.replicaSet == nil {
		return id
	}
	var names []string
	for _, k := range replicas {
		names = append(names, c.nodes[k].name)
	}
	c.stepReplicaSet(n, n.core, replicaset.ChangeRequest{
		RequestID: id,
		Epoch:     n.replicaSet.Set().Epoch,
		Replicas:  names,
	})
	return id
}

// crashAtRandom ends a process with CrashProbability and starts it again later. The function is called before
// each effect. It reports whether the process has ended.
func (c *Cluster) crashAtRandom(n *node, core *replication.Core) bool {
	if n.core != core || !n.running {
		return true
	}
	i := slices.Index(c.nodes, n)
	replaced := i >= len(c.byName)
	if c.CrashProbability == 0 || replaced || c.Rand.Float64() >= c.CrashProbability {
		return false
	}
	c.Kill(i)
	c.At(c.Now()+Time(c.Rand.IntN(maxCrashDowntime)), func() {
		if !n.running {
			c.Start(i)
		}
	})
	return true
}
