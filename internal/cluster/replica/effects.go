package replica

import (
	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// step feeds the replication core and carries out its effects.
func (r *Replica) step(in replication.Input) {
	r.carryOut(r.core.Step(r.transport.Now(), in))
}

// carryOut carries out the effects of the replication core. What must be persisted is, before anything is
// sent; an adopted set is, before another member can conclude that this replica refuses claims under the
// set before. Inputs that follow are fed at once: the queue may be full, and none of them may be lost.
func (r *Replica) carryOut(effects []replication.Effect) {
	persisted := r.persist(effects)
	var followUps []replication.Input
	if !persisted {
		followUps = append(followUps, replication.PersistFailed{Keys: replication.PersistedKeys(effects)})
	}
	persisted = r.persistAdoptedSets(effects) && persisted
	for _, e := range effects {
		switch e := e.(type) {
		case replication.Send:
			r.send(e, persisted)
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
		r.step(in)
	}
}

// persistAdoptedSets has the replica set core persist the sets that were adopted; false where that failed.
func (r *Replica) persistAdoptedSets(effects []replication.Effect) (ok bool) {
	ok = true
	for _, e := range effects {
		if adopted, is := e.(replication.SetAdopted); is {
			ok = r.stepReplicaSet(replicaset.SetLearned{Set: adopted.Set}) && ok
		}
	}
	return ok
}

// send sends a message, unless it states what should have been persisted and was not.
func (r *Replica) send(e replication.Send, persisted bool) {
	if persisted || !e.RequiresDurability() {
		r.transport.SendReplication(e.To, e.Message)
	}
}

// deliverClaim gives a decision to the caller that waits for it. It reports whether a caller got it: not
// where nobody waits any more, nor a grant in a round that was not persisted, since this replica's own
// vote may be part of it.
func (r *Replica) deliverClaim(e replication.ClaimDecided, persisted bool) bool {
	result := r.claims.take(e.RequestID)
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

// stepReplicaSet feeds the replica set core and carries out its effects, once its state is persisted; false
// where that failed.
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
		case replicaset.SetAgreed:
			r.step(replication.AdoptSet{Set: e.Set})
		case replicaset.ChangeResult:
			if result := r.changes.take(e.RequestID); result != nil {
				result <- e
			}
		case replicaset.Event:
			line := r.logEvent(e.Warning).Str("event", e.Description).Str("subject", e.Subject)
			line.Msg("replica set event")
		}
	}
	return true
}

// logEvent begins a log line for an event.
func (r *Replica) logEvent(warning bool) *zerolog.Event {
	if warning {
		return r.log.Warn()
	}
	return r.log.Info()
}
