package simulation

import (
	"maps"
	"slices"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// disk is the state of a node that persists when its process ends.
type disk struct {
	state       replicaset.State
	records     map[string]replication.Record
	firstSeen   map[string]Time // by key of the record
	cursors     map[string]replication.ReplicationCursor
	incarnation replication.Incarnation
	setID       uint64
}

// diskFault is the fault state of a node's disk.
type diskFault struct {
	diskFailing bool // writes fail now
	diskFailed  bool // a write has failed since the process started
}

func newDisk(voterID uint64) *disk {
	return &disk{
		state:     replicaset.State{VoterID: voterID},
		records:   map[string]replication.Record{},
		firstSeen: map[string]Time{},
		cursors:   map[string]replication.ReplicationCursor{},
	}
}

// load returns the state that a replication core restores under a replica set.
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

// apply applies an effect that is a write to the disk.
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

// LoseDisk removes the disk of a node whose process has ended. The next process gets an empty disk.
func (c *Cluster) LoseDisk(i int) { c.nodes[i].disk = nil }

// FailDisk sets whether writes to the disk of a node fail.
func (c *Cluster) FailDisk(i int, failing bool) { c.nodes[i].diskFailing = failing }

// DiskFailed reports whether a write to the disk of a node has failed since its process started.
func (c *Cluster) DiskFailed(i int) bool { return c.nodes[i].diskFailed }

// diskWrite reports whether a write fails, and whether the data was written. Data may have been written even
// if the disk failed to sync it.
func (c *Cluster) diskWrite(n *node) (failed, written bool) {
	if !n.diskFailing {
		return false, true
	}
	n.diskFailed = true
	c.DiskFailures++
	return true, c.Rand.IntN(2) == 0
}
