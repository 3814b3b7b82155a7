package replication

import (
	"maps"
	"slices"
)

// durability is the state of the store of this replica's records.
type durability struct {
	enabled bool // records are persisted
	failed  bool // a write has failed, and the state has not been reloaded since

	// The incarnation under which the restored records were complete. It is cleared when this replica starts
	// voting, and zero if the store is new or its records are incomplete.
	persistedIncarnation Incarnation
	persistedCursors     []ReplicationCursor
}

// Restore adds the persisted records and makes records durable from now on. The persisted incarnation is the
// one under which the records are complete, and zero for a new store. Call Restore before the first input.
func (c *Core) Restore(records []Record, persisted Incarnation, cursors []ReplicationCursor) {
	c.durability.persistedIncarnation = persisted
	if persisted != (Incarnation{}) {
		c.durability.persistedCursors = cursors
	}
	c.durability.enabled = false // the records are already persisted
	for _, r := range records {
		if c.valid(r) && Time(r.Age) < c.config.Retention/second {
			c.mergeRecord(r, max(c.now, 1))
		}
	}
	c.durability.enabled = true
}

// handlePersistFailed gives up the vote of this replica. A grant to its own claim does not count if the grant
// was not persisted, since the replica could forget the grant.
func (c *Core) handlePersistFailed(in PersistFailed) {
	c.registration.loseVote()
	c.durability.failed = true
	for _, claim := range c.claims.pending {
		if slices.Contains(in.Keys, claim.Key) {
			delete(claim.answers, c.config.Name)
		}
	}
	c.emit(Event{Description: "no vote: records are not durable", Warning: true})
}

// handleStateReloaded resumes persisting after a failure of the store, and persists all records, including
// those that were added meanwhile.
func (c *Core) handleStateReloaded(in StateReloaded) {
	c.durability.failed = false
	c.Restore(in.Records, in.Incarnation, in.Cursors)
	for _, key := range slices.Sorted(maps.Keys(c.records.byKey)) {
		c.emit(Persist{c.withAges(c.records.byKey[key])})
	}
}

// persistIncarnation persists the incarnation under which the persisted records are complete. A zero
// incarnation marks them as incomplete.
func (c *Core) persistIncarnation(as Incarnation) {
	if c.durability.enabled {
		c.emit(IncarnationPersisted{as})
	}
}
