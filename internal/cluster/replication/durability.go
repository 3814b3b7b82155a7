package replication

import (
	"maps"
	"slices"
)

// durability is what is known of the place where this replica's records are persisted.
type durability struct {
	enabled bool // Persist and Delete are emitted
	failed  bool // a write has failed since

	// The incarnation under which the restored records were complete, until its vote has started; zero for a
	// new store, or one whose records are not complete.
	persistedIncarnation Incarnation
	persistedCursors     []ReplicationCursor
}

// Restore says that records are durable from now on, and brings those that were persisted, under an
// incarnation of this replica; a zero one for a new store. It is called before the first input.
func (c *Core) Restore(records []Record, persisted Incarnation, cursors []ReplicationCursor) {
	c.durability.persistedIncarnation = persisted
	if persisted != (Incarnation{}) {
		c.durability.persistedCursors = cursors
	}
	c.durability.enabled = false // they are persisted already
	for _, r := range records {
		if c.valid(r) && Time(r.Age) < c.config.Retention/second {
			c.mergeRecord(r, max(c.now, 1))
		}
	}
	c.durability.enabled = true
}

// handlePersistFailed gives up this replica's vote. A grant to its own claim that was not persisted does not
// count: it would be forgotten.
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

// handleStateReloaded goes on with a durable store after a time without one, and persists what came to be
// known meanwhile.
func (c *Core) handleStateReloaded(in StateReloaded) {
	c.durability.failed = false
	c.Restore(in.Records, in.Incarnation, in.Cursors)
	for _, key := range slices.Sorted(maps.Keys(c.records.byKey)) {
		c.emit(Persist{c.withAges(c.records.byKey[key])})
	}
}

// persistIncarnation states the incarnation under which the persisted records are complete; a zero one while
// they are not.
func (c *Core) persistIncarnation(as Incarnation) {
	if c.durability.enabled {
		c.emit(IncarnationPersisted{as})
	}
}
