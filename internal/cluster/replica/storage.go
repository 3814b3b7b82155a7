package replica

import (
	"maps"
	"slices"

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/cluster/store"
	"woaddyke/internal/lifecycle/boottime"
)

// storage holds the store in which a replica persists its state.
type storage struct {
	store      *store.Store // nil: records are in memory only
	handedOver bool         // the store was closed so that a successor can open it
}

func (s *storage) close() {
	if s.store != nil {
		s.store.Close()
	}
}

// persistedState is the contents of a store when it was opened.
type persistedState struct {
	records    replication.StateReloaded
	setID      uint64           // replica set under which the records were persisted
	replicaSet replicaset.State // zero unless DynamicReplicas is set
}

// recordsFor returns the persisted records and the incarnation under which they are complete. If they were
// persisted under another replica set than the given one, they are incomplete, and the incarnation is zero.
func (p *persistedState) recordsFor(setID uint64) replication.StateReloaded {
	records := p.records
	if p.setID != setID {
		records.Incarnation = replication.Incarnation{}
	}
	return records
}

// openStorage opens the store when the process starts. It retries after a transient failure of the disk. It
// fails if the store can't be read: only an operator may make a replica forget its grants, by removing the
// file.
func (r *Replica) openStorage(name string, seed uint64, now membership.Time) error {
	persisted, err := oserror.RetryTransient(func() (persistedState, error) {
		s, err := store.Open(r.config.Path, r.config.Sync)
		if err != nil {
			return persistedState{}, err
		}
		r.storage.store = s
		return r.readStore(s, true)
	})
	if err != nil {
		return err
	}
	if r.config.DynamicReplicas {
		config := r.config.replicaSetConfig(name, seed)
		r.replicaSet = replicaset.New(config, persisted.replicaSet, now)
		r.core.AdoptStored(r.replicaSet.Set())
	}
	records := persisted.recordsFor(r.core.SetID())
	r.core.Restore(records.Records, records.Incarnation, records.Cursors)
	return nil
}

// readStore reads a store, and closes it if that fails. If newVoter is true, a new store gets a voter ID.
func (r *Replica) readStore(s *store.Store, newVoter bool) (persisted persistedState, err error) {
	if r.config.DynamicReplicas {
		persisted.replicaSet, err = readReplicaSet(s, newVoter)
	}
	if err == nil {
		err = r.readRecords(s, &persisted)
	}
	if err != nil {
		s.Close()
		return persistedState{}, err
	}
	return persisted, nil
}

func readReplicaSet(s *store.Store, newVoter bool) (replicaset.State, error) {
	state, known, err := s.ReplicaSetState()
	if err != nil || known || !newVoter {
		return state, err
	}
	if state.VoterID, err = randomID(); err != nil {
		return state, err
	}
	return state, s.SaveReplicaSetState(state)
}

func (r *Replica) readRecords(s *store.Store, persisted *persistedState) error {
	contents, err := s.Load(boottime.Now())
	if err != nil {
		return err
	}
	cursors, err := s.Cursors()
	if err != nil {
		return err
	}
	persisted.setID = contents.SetID
	persisted.records = replication.StateReloaded{
		Records:     contents.Records,
		Incarnation: contents.Incarnation,
		Cursors:     cursors,
	}
	r.log.Info().
		Int("records", len(contents.Records)).
		Bool("complete", contents.Complete).
		Str("path", r.config.Path).
		Msg("replication store opened")
	return nil
}

// reopenStorage reopens the store that was closed for a successor, after this successor has ended.
func (r *Replica) reopenStorage() error {
	handedOver := false
	r.callInLoop(func() { handedOver = r.storage.handedOver })
	if !handedOver {
		return nil
	}
	s, err := oserror.RetryTransient(func() (*store.Store, error) {
		return store.Open(r.config.Path, r.config.Sync)
	})
	if err != nil {
		return err
	}
	persisted, err := r.readStore(s, false)
	if err != nil {
		return err
	}
	resumed := false
	r.callInLoop(func() {
		resumed = true
		r.resumeWith(s, persisted)
	})
	if !resumed {
		s.Close() // the loop has ended
	}
	return nil
}

// resumeWith passes the contents of a reopened store to both cores.
func (r *Replica) resumeWith(s *store.Store, persisted persistedState) {
	r.storage = storage{store: s}
	if r.replicaSet != nil {
		r.stepReplicaSet(replicaset.StateReloaded{State: persisted.replicaSet})
		r.stepReplication(replication.AdoptSet{Set: r.replicaSet.Set()})
	}
	r.stepReplication(persisted.recordsFor(r.core.SetID()))
}

// ReleaseStore closes the store so that a successor can open it. From then on, this process has no vote.
func (r *Replica) ReleaseStore() {
	r.callInLoop(func() {
		if r.storage.store == nil {
			return
		}
		r.storage.close()
		r.storage = storage{handedOver: true}
		r.core.Step(r.transport.Now(), replication.PersistFailed{})
		if r.replicaSet != nil {
			r.replicaSet.Step(r.transport.Now(), replicaset.PersistFailed{})
		}
	})
}

// persist writes the records, incarnations and cursors of a round of effects. It returns false if that fails.
// Incarnations and cursors are written after the records that they cover.
func (r *Replica) persist(effects []replication.Effect) bool {
	if r.storage.store == nil {
		return true
	}
	err := r.writeRecords(effects)
	if err == nil {
		err = r.writeIncarnations(effects)
	}
	if err == nil {
		err = r.writeCursors(effects)
	}
	if err != nil {
		r.log.Error().Err(err).Msg("persisting records failed")
	}
	return err == nil
}

// writeRecords writes the last change of each key in a round. A key may expire and be claimed again in one round.
func (r *Replica) writeRecords(effects []replication.Effect) error {
	put, deleted := map[string]replication.Record{}, map[string]bool{}
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Persist:
			put[e.Key] = e.Record
			delete(deleted, e.Key)
		case replication.Delete:
			delete(put, e.Key)
			deleted[e.Key] = true
		}
	}
	if len(put)+len(deleted) == 0 {
		return nil
	}
	records, keys := slices.Collect(maps.Values(put)), slices.Collect(maps.Keys(deleted))
	return r.storage.store.Write(boottime.Now(), records, keys)
}

func (r *Replica) writeIncarnations(effects []replication.Effect) error {
	for _, e := range effects {
		persisted, is := e.(replication.IncarnationPersisted)
		if !is {
			continue
		}
		if err := r.storage.store.SetIncarnation(persisted.Incarnation, r.core.SetID()); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) writeCursors(effects []replication.Effect) error {
	var cursors []replication.ReplicationCursor
	for _, e := range effects {
		if cursor, is := e.(replication.ReplicationCursor); is {
			cursors = append(cursors, cursor)
		}
	}
	if len(cursors) == 0 {
		return nil
	}
	return r.storage.store.SaveCursors(cursors)
}

// persistReplicaSet writes the latest state of the replica set core, which includes the earlier states. If
// that fails, it returns false and neither core has a vote.
func (r *Replica) persistReplicaSet(effects []replicaset.Effect) bool {
	state, changed := latestState(effects)
	if !changed || r.storage.store == nil {
		return true
	}
	err := r.storage.store.SaveReplicaSetState(state)
	if err == nil {
		return true
	}
	r.log.Error().Err(err).Msg("persisting the replica set state failed")
	r.replicaSet.Step(r.transport.Now(), replicaset.PersistFailed{})
	r.core.Step(r.transport.Now(), replication.PersistFailed{})
	return false
}

func latestState(effects []replicaset.Effect) (state replicaset.State, found bool) {
	for _, e := range slices.Backward(effects) {
		if persist, is := e.(replicaset.Persist); is {
			return persist.State, true
		}
	}
	return replicaset.State{}, false
}
