// Package drainstate shares among the members which workers are draining or were removed. A report of one
// member's discovery applies to every member that receives the report, until the discovery of the receiving
// member reaches the same revision. The package is pure: it takes an input with its time and returns effects,
// does no I/O and reads no clock.
package drainstate

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"woaddyke/internal/cluster/membership"
)

// Time is a time in tenths of a millisecond on a monotonic clock.
type Time = membership.Time

// DrainRecord states that a worker takes no new ops, as a member's discovery reported. A worker that restarts
// has a new boot ID and counts as another worker.
type DrainRecord struct {
	Worker   string `cbor:"Worker"`
	BootID   int64  `cbor:"Boot"` // start time of the worker's process in tenths of a ms; 0: unknown
	Removed  bool   `cbor:"Gone"` // true: removed from the endpoint list; false: draining
	Revision int64  `cbor:"Rev"`  // revision of the endpoint list
}

// Merge chooses between two records of the same worker. It returns the record of the later boot, else the
// record of the later revision, else the record with Removed set. Merge is commutative, associative and
// idempotent.
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
	maxRecordsPerMessage = 24  // fit into one message of the mesh even with the longest names
	maxWorkerNameBytes   = 255 // records of workers with longer names are ignored

	gossipFanout   = 3 // members to which a record is sent in one round
	gossipRounds   = 4 // rounds in which a record is sent; a round starts every 100 ms
	gossipInterval = Time(1_000)
	retention      = Time(600_000) // 60 s: by then discovery has notified all members or none of them

	// seedSalt makes this package's random sequence differ from those of other packages with the same seed.
	seedSalt = 0x6c69737473
)

// storedRecord is a known record and the progress of its gossip.
type storedRecord struct {
	DrainRecord
	learnedAt  Time
	roundsSent int // gossip rounds in which the record was sent
}

func (r *storedRecord) needsGossip() bool { return r.roundsSent < gossipRounds }

// Core is the drain state of one scheduler.
type Core struct {
	random     *rand.Rand
	revision   int64               // latest revision from this scheduler's discovery
	listed     map[string]Endpoint // endpoints in this scheduler's discovery, by worker
	records    map[string]*storedRecord
	peers      []string
	nextGossip Time
	now        Time
	effects    []Effect
}

// New returns a core without records.
func New(seed uint64) *Core {
	return &Core{
		random:  rand.New(rand.NewPCG(seed, seedSalt)),
		listed:  map[string]Endpoint{},
		records: map[string]*storedRecord{},
	}
}

// Step processes an input and returns its effects.
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

// NextTick returns the time when a Tick is due.
func (c *Core) NextTick() Time { return c.nextGossip }

// handleEndpoints records the workers that this scheduler's discovery reports as draining or removed.
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

// handleEndpoint processes one endpoint. before is the endpoint that was listed for the same worker, if any.
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
		bootID = before.BootID // an endpoint without a boot ID refers to the listed process
	}
	c.learn(DrainRecord{Worker: e.Worker, BootID: bootID, Removed: e.Removed, Revision: c.revision})
}

// learnUnlisted records as removed the workers that a snapshot no longer lists.
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

// learn stores a record if it takes precedence over the known record of the worker. The next gossip rounds
// send the new record.
func (c *Core) learn(r DrainRecord) {
	if r.Worker == "" || len(r.Worker) > maxWorkerNameBytes {
		return
	}
	known := c.records[r.Worker]
	switch {
	case known == nil && len(c.records) >= maxRecords:
		return // no space: this scheduler learns of the worker from its own discovery only
	case known != nil && compare(r, known.DrainRecord) <= 0:
		return
	}
	c.records[r.Worker] = &storedRecord{DrainRecord: r, learnedAt: c.now}
	if c.Excluded(r.Worker) {
		c.effects = append(c.effects, WorkerExcluded{r.Worker})
	}
}

// Excluded reports whether a worker takes no new ops although this scheduler's discovery lists it as ready.
// A worker is excluded if another member reported the same or a later boot of the worker as draining or
// removed, at a revision that this scheduler's discovery has not reached.
func (c *Core) Excluded(worker string) bool {
	endpoint, listed := c.listed[worker]
	r := c.records[worker]
	if !listed || !endpoint.Ready || r == nil {
		return false
	}
	return r.BootID >= endpoint.BootID && r.Revision > c.revision && c.now-r.learnedAt < retention
}

// handlePeers updates the list of members that are alive. It sends all records to new members.
func (c *Core) handlePeers(names []string) {
	all := func(*storedRecord) bool { return true }
	for _, name := range names {
		if !slices.Contains(c.peers, name) {
			c.sendRecords(name, all)
		}
	}
	c.peers = names
}

// sendRecords sends a member the records for which included returns true, in messages of bounded size.
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

// gossip runs one round: it sends the records that were sent in fewer than gossipRounds rounds to
// gossipFanout random members. A receiver gossips the records that are new to it.
func (c *Core) gossip() {
	if len(c.peers) == 0 || !c.hasRecordsToGossip() {
		return
	}
	fanout := min(gossipFanout, len(c.peers))
	for _, i := range c.random.Perm(len(c.peers))[:fanout] {
		c.sendRecords(c.peers[i], (*storedRecord).needsGossip)
	}
	for _, r := range c.records {
		r.roundsSent++
	}
}

func (c *Core) hasRecordsToGossip() bool {
	for _, r := range c.records {
		if r.needsGossip() {
			return true
		}
	}
	return false
}
