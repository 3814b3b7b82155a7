package simulation

import (
	"maps"
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// disk is what a node keeps when its process ends.
type disk struct {
	state       replicaset.State
	records     map[string]replication.Record
	firstSeen   map[string]Time // of each record
	cursors     map[string]replication.ReplicationCursor
	incarnation replication.Incarnation
	setID       uint64
}

// diskFault is the state of a node's disk.
type diskFault struct {
	diskFailing bool // it takes nothing now
	diskFailed  bool // it has failed since the process started
}

func newDisk(voterID uint64) *disk {
	return &disk{
		state:     replicaset.State{VoterID: voterID},
		records:   map[string]replication.Record{},
		firstSeen: map[string]Time{},
		cursors:   map[string]replication.ReplicationCursor{},
	}
}

// load returns what a replication core restores under a set.
func (d *disk) load(now Time, setID uint64) (
	records []replication.Record,
	incarnation replication.Incarnation,
	cursors []replication.ReplicationCursor,
) {
	for _, key := range slices.Sorted(maps.Keys(d.records)) {
		r := d.records[key]
		r.Age = uint64((now - d.firstSeen[key]) / Second)
		records = append(records, r)
	}
	for _, name := range slices.Sorted(maps.Keys(d.cursors)) {
		cursors = append(cursors, d.cursors[name])
	}
	if d.setID == setID {
		incarnation = d.incarnation
	}
	return records, incarnation, cursors
}

func isWrite(e replication.Effect) bool {
	switch e.(type) {
	case replication.Persist, replication.Delete:
		return true
	case replication.ReplicationCursor, replication.IncarnationPersisted:
		return true
	}
	return false
}

// apply carries out an effect that is a write.
func (d *disk) apply(e replication.Effect, now Time, setID uint64) {
	switch e := e.(type) {
	case replication.Persist:
		d.records[e.Key], d.firstSeen[e.Key] = e.Record, now-Time(e.Age)*Second
	case replication.Delete:
		delete(d.records, e.Key)
	case replication.ReplicationCursor:
		d.cursors[e.Replica] = e
	case replication.IncarnationPersisted:
		d.incarnation, d.setID = e.Incarnation, setID
	}
}

// LoseDisk empties the disk of a node whose process has ended.
func (c *Cluster) LoseDisk(i int) { c.nodes[i].disk = nil }

// FailDisk has the disk of a node take nothing from now on, or work again.
func (c *Cluster) FailDisk(i int, failing bool) { c.nodes[i].diskFailing = failing }

// DiskFailed reports whether the disk of a node has failed since its process started.
func (c *Cluster) DiskFailed(i int) bool { return c.nodes[i].diskFailed }

// diskWrite reports whether a round's write fails, and whether it was written: what a disk fails to sync
// may be written all the same.
func (c *Cluster) diskWrite(n *node) (failed, written bool) {
	if !n.diskFailing {
		return false, true
	}
	n.diskFailed = true
	c.DiskFailures++
	return true, c.Rand.IntN(2) == 0
}
