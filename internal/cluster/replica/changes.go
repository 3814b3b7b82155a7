package replica

import (
	"time"

	"woaddyke/internal/cluster/replicaset"
)

const (
	maxPendingChanges = 8
	changeTimeout     = 1800 * time.Millisecond // below the 2 s that a console call may take
)

// ChangeReplicas requests that the given replicas replace those of an epoch, and waits for the result.
func (r *Replica) ChangeReplicas(epoch uint64, names []string) replicaset.ChangeResult {
	if !r.config.DynamicReplicas {
		const text = "keepers do not change by agreement here: copies.agreed is not set"
		return replicaset.ChangeResult{Message: text}
	}
	id, err := randomID()
	if err != nil {
		return replicaset.ChangeResult{Message: err.Error()}
	}
	result, ok := r.changes.add(id, maxPendingChanges)
	if !ok {
		return replicaset.ChangeResult{Message: "too many ask at once", Retryable: true}
	}
	defer r.changes.remove(id)
	request := replicaset.ChangeRequest{RequestID: id, Epoch: epoch, Replicas: names}
	r.queue.put(input{replicaSet: request})
	deadline := time.NewTimer(changeTimeout)
	defer deadline.Stop()
	select {
	case decided := <-result:
		return decided
	case <-r.ended:
		return replicaset.ChangeResult{Message: "it ends"}
	case <-deadline.C:
		return replicaset.ChangeResult{Message: "no answer in time", Retryable: true}
	}
}
