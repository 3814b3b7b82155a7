// Package drainstate spreads which workers are draining or were removed: what discovery reported to one
// member binds every member that receives it, until its own discovery has come as far. The package is
// pure: it takes an input with its time and returns effects, does no I/O and reads no clock.
package drainstate

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/membership"
)

// Time is a moment in tenths of a millisecond on a clock that only goes forward.
type Time = membership.Time

// DrainRecord says that a worker takes nothing new, as discovery reported to a member. A worker that
// starts again has another boot ID and is another worker.
type DrainRecord struct {
	Worker   string `cbor:"Worker"`
	BootID   int64  `cbor:"Boot"` // ms, as discovery tells it
	Removed  bool   `cbor:"Gone"` // from the endpoint list; false: it is draining
	Revision int64  `cbor:"Rev"`  // discovery's own
}

// Merge returns which of two records of one worker counts: that of the later boot, else of the later
// revision, else the one that says removed. It is commutative, associative and idempotent.
func Merge(a, b DrainRecord) DrainRecord {
	if compare(a, b) < 0 {
		return b
	}
	return a
}

func compare(a, b DrainRecord) int {
	return cmp.Or(
		cmp.Compare(a.BootID, b.BootID),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(severity(a), severity(b)),
	)
}

func severity(r DrainRecord) int {
	if r.Removed {
		return 1
	}
	return 0
}

const (
	maxRecords           = 4096
	maxRecordsPerMessage = 24  // with the longest names they fit a message of the mesh
	maxWorkerNameBytes   = 255 // nothing is spread of a worker with a longer name

	gossipFanout   = 3 // members that a record is sent to in one round
	gossipRounds   = 4 // in which a record is sent
	gossipInterval = Time(1_000)
	retention      = Time(600_000) // 60 s: by then discovery has notified every member, or none

	// seedSalt tells this package's random sequence from others with the same seed.
	seedSalt = 0x6c69737473
)

// storedRecord is a record that is being spread.
type storedRecord struct {
	DrainRecord
	learnedAt Time
	rounds    int // of gossip in which it was sent
}

func (r *storedRecord) needsGossip() bool { return r.rounds < gossipRounds }

// Core is the part of one scheduler.
type Core struct {
	random     *rand.Rand
	revision   int64               // of the own discovery
	listed     map[string]Endpoint // by the own discovery
	records    map[string]*storedRecord
	peers      []string
	nextGossip Time
	now        Time
	effects    []Effect
}

// New makes a core without records.
func New(seed uint64) *Core {
	return &Core{
		random:  rand.New(rand.NewPCG(seed, seedSalt)),
		listed:  map[string]Endpoint{},
		records: map[string]*storedRecord{},
	}
}

// Step takes an input and returns its effects.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now, c.effects = max(now, c.now), nil
	switch in := in.(type) {
	case EndpointsChanged:
		c.handleEndpoints(in)
	case RecordsReceived:
		for _, r := range in.Records {
			c.learn(r)
		}
	case PeersChanged:
		c.handlePeers(in.Names)
	}
	if c.now >= c.nextGossip {
		c.nextGossip = c.now + gossipInterval
		c.expireRecords()
		c.gossip()
	}
	return c.effects
}

// NextTick is when a Tick is due.
func (c *Core) NextTick() Time { return c.nextGossip }

// handleEndpoints learns of the workers that a list of the own discovery says are draining or removed.
func (c *Core) handleEndpoints(in EndpointsChanged) {
	c.revision = in.Revision
	before := c.listed
	if in.Snapshot {
		c.listed = map[string]Endpoint{}
	}
	for _, e := range in.Endpoints {
		c.handleEndpoint(e, before[e.Worker])
	}
	if in.Snapshot {
		c.learnUnlisted(before)
	}
}

// handleEndpoint takes one endpoint, and the one that was listed before under its name, if any.
func (c *Core) handleEndpoint(e, before Endpoint) {
	if e.Removed {
		delete(c.listed, e.Worker)
	} else {
		c.listed[e.Worker] = e
	}
	if e.Ready && !e.Removed {
		return
	}
	bootID := e.BootID
	if bootID == 0 {
		bootID = before.BootID // it is the process that was listed
	}
	c.learn(DrainRecord{Worker: e.Worker, BootID: bootID, Removed: e.Removed, Revision: c.revision})
}

// learnUnlisted learns that the workers were removed which a snapshot does not list any more.
func (c *Core) learnUnlisted(before map[string]Endpoint) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, listed := c.listed[name]; !listed {
			c.learn(DrainRecord{
				Worker:   name,
				BootID:   before[name].BootID,
				Removed:  true,
				Revision: c.revision,
			})
		}
	}
}

// learn stores a record that counts more than the known one, for the next rounds of gossip.
func (c *Core) learn(r DrainRecord) {
	if r.Worker == "" || len(r.Worker) > maxWorkerNameBytes {
		return
	}
	known := c.records[r.Worker]
	switch {
	case known == nil && len(c.records) >= maxRecords:
		return // the own discovery will tell
	case known != nil && compare(r, known.DrainRecord) <= 0:
		return
	}
	c.records[r.Worker] = &storedRecord{DrainRecord: r, learnedAt: c.now}
	if c.Excluded(r.Worker) {
		c.effects = append(c.effects, WorkerExcluded{r.Worker})
	}
}

// Excluded reports whether a worker takes nothing new though the own discovery lists it as ready: another
// member has another report of this very boot of it, or a later one, at a revision that has not come here.
func (c *Core) Excluded(worker string) bool {
	endpoint, listed := c.listed[worker]
	r := c.records[worker]
	if !listed || !endpoint.Ready || r == nil {
		return false
	}
	return r.BootID >= endpoint.BootID && r.Revision > c.revision && c.now-r.learnedAt < retention
}

// handlePeers takes the members that are alive; those that are new are sent all records.
func (c *Core) handlePeers(names []string) {
	all := func(*storedRecord) bool { return true }
	for _, name := range names {
		if !slices.Contains(c.peers, name) {
			c.sendRecords(name, all)
		}
	}
	c.peers = names
}

// sendRecords sends some of the records to a member, in messages of bounded size.
func (c *Core) sendRecords(to string, included func(*storedRecord) bool) {
	var records []DrainRecord
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		if r := c.records[name]; included(r) {
			records = append(records, r.DrainRecord)
		}
	}
	for chunk := range slices.Chunk(records, maxRecordsPerMessage) {
		c.effects = append(c.effects, SendRecords{to, chunk})
	}
}

func (c *Core) expireRecords() {
	maps.DeleteFunc(c.records, func(_ string, r *storedRecord) bool {
		return c.now-r.learnedAt >= retention
	})
}

// gossip sends the records that are new to a few random members, in a few rounds: each passes them on.
func (c *Core) gossip() {
	if len(c.peers) == 0 || !c.hasNews() {
		return
	}
	fanout := min(gossipFanout, len(c.peers))
	for _, i := range c.random.Perm(len(c.peers))[:fanout] {
		c.sendRecords(c.peers[i], (*storedRecord).needsGossip)
	}
	for _, r := range c.records {
		r.rounds++
	}
}

func (c *Core) hasNews() bool {
	for _, r := range c.records {
		if r.needsGossip() {
			return true
		}
	}
	return false
}
