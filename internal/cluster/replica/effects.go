package replica

import (
	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// stepReplication passes an input to the replication core and applies its effects.
func (r *Replica) stepReplication(in replication.Input) {
	r.applyEffects(r.core.Step(r.transport.Now(), in))
}

// applyEffects applies the effects of the replication core. It persists records before it sends messages. It
// also persists an adopted set first, since a message lets another member conclude that this replica refuses
// claims under the previous set. The inputs that applying the effects creates bypass the queue, because the
// queue may be full and none of these inputs may be lost.
func (r *Replica) applyEffects(effects []replication.Effect) {
	persisted := r.persist(effects)
	var followUps []replication.Input
	if !persisted {
		followUps = append(followUps, replication.PersistFailed{Keys: replication.PersistedKeys(effects)})
	}
	persisted = r.persistAdoptedSets(effects) && persisted
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Send:
			r.sendIfDurable(e, persisted)
		case replication.ReplicasReady:
			if persisted {
				r.stepReplicaSet(replicaset.ReplicasReady{Epoch: e.Epoch})
			}
		case replication.ClaimDecided:
			if used := r.deliverClaim(e, persisted); !used && e.Result == replication.Granted {
				followUps = append(followUps, replication.OpEnded{RequestID: e.RequestID, NeverRan: true})
			}
		case replication.Event:
			line := r.logEvent(e.Warning).Str("event", e.Description).Str("subject", e.Subject)
			line.Msg("replication event")
		}
	}
	for _, in := range followUps {
		r.stepReplication(in)
	}
}

// persistAdoptedSets makes the replica set core persist the adopted sets. It returns false if that fails.
func (r *Replica) persistAdoptedSets(effects []replication.Effect) (ok bool) {
	ok = true
	for _, e := range effects {
		if adopted, is := e.(replication.SetAdopted); is {
			ok = r.stepReplicaSet(replicaset.ReplicaSetLearned{Set: adopted.Set}) && ok
		}
	}
	return ok
}

// sendIfDurable sends a message, unless the message requires a state on disk that was not persisted.
func (r *Replica) sendIfDurable(e replication.Send, persisted bool) {
	if persisted || !e.RequiresDurability() {
		r.transport.SendReplication(e.To, e.Message)
	}
}

// deliverClaim delivers a decision to the caller that waits for it, and reports whether the caller got the
// decision. It returns false if no caller waits. It also returns false for a grant in a round that was not
// persisted, because the grant may count this replica's own vote. The caller then gets NoQuorum.
func (r *Replica) deliverClaim(e replication.ClaimDecided, persisted bool) bool {
	result := r.claims.remove(e.RequestID)
	if result == nil {
		return false
	}
	if !persisted && e.Result == replication.Granted {
		result <- replication.ClaimDecided{RequestID: e.RequestID, Result: replication.NoQuorum}
		return false
	}
	result <- e
	return true
}

// stepReplicaSet passes an input to the replica set core, persists the state of the core and then applies its
// effects. It returns false if the state could not be persisted.
func (r *Replica) stepReplicaSet(in replicaset.Input) bool {
	if r.replicaSet == nil {
		return true
	}
	effects := r.replicaSet.Step(r.transport.Now(), in)
	if !r.persistReplicaSet(effects) {
		return false
	}
	for _, e := range effects {
		switch e := e.(type) {
		case replicaset.Send:
			r.transport.SendReplicaSet(e.To, e.Message)
		case replicaset.ReplicaSetAgreed:
			r.stepReplication(replication.AdoptSet{Set: e.Set})
		case replicaset.ChangeResult:
			if result := r.changes.remove(e.RequestID); result != nil {
				result <- e
			}
		case replicaset.Event:
			line := r.logEvent(e.Warning).Str("event", e.Description).Str("subject", e.Subject)
			line.Msg("replica set event")
		}
	}
	return true
}

// logEvent starts a log line for an event.
func (r *Replica) logEvent(warning bool) *zerolog.Event {
	if warning {
		return r.log.Warn()
	}
	return r.log.Info()
}
