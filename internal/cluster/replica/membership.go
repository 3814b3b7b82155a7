package replica

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// generationShift leaves the low bits of a generation to the successions within one incarnation.
const generationShift = 16

// maxEndedProcesses is how many processes that have ended are handed to a successor.
const maxEndedProcesses = 16

// identity is as whom this process registers with the other replicas.
type identity struct {
	mu          sync.Mutex
	successions uint64 // hot restarts before this process, and those that were called off
	incarnation membership.Incarnation
	serving     bool
	ended       []replication.Incarnation // other processes of this scheduler that have ended
}

// processOf is the process of an incarnation that came after a number of hot restarts.
func processOf(incarnation membership.Incarnation, successions uint64) replication.Incarnation {
	return replication.Incarnation{
		Generation: incarnation.Generation<<generationShift + successions,
		Nonce:      incarnation.Nonce,
	}
}

// markEnded records that another process of this scheduler has ended.
func (i *identity) markEnded(process replication.Incarnation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = append(i.ended, process)
	i.ended = slices.Clone(i.ended[max(0, len(i.ended)-maxEndedProcesses):])
}

// predecessor is the process before this one in a hot restart.
func (i *identity) predecessor() replication.Incarnation {
	i.mu.Lock()
	defer i.mu.Unlock()
	return processOf(i.incarnation, i.successions-1)
}

// update records a change of membership and returns it as the replication core takes it. A successor, and a
// process whose successor has ended, is another voter than the one before: it does not know what that one
// granted. The members' own nonce tells two processes of one incarnation apart.
func (i *identity) update(serving bool, incarnation membership.Incarnation) replication.Membership {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serving = serving
	if serving {
		i.incarnation = incarnation
	}
	own := processOf(i.incarnation, i.successions)
	return replication.Membership{Serving: serving, Generation: own.Generation, Nonce: own.Nonce}
}

// successor is the process after this one in a hot restart.
func (i *identity) successor() replication.Incarnation {
	i.mu.Lock()
	defer i.mu.Unlock()
	return processOf(i.incarnation, i.successions+1)
}

// resume counts the successor that has ended and this process as further successions, and returns the
// membership to state again.
func (i *identity) resume() (serving bool, incarnation membership.Incarnation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.successions += 2
	return i.serving, i.incarnation
}

// Receive takes a replication message of another member. It does not wait.
func (r *Replica) Receive(from string, x replication.Message) {
	r.queue.offer(input{replication: replication.MessageReceived{From: from, Message: x}})
}

// ReceiveReplicaSet takes a replica set message of another member. It does not wait.
func (r *Replica) ReceiveReplicaSet(from string, x replicaset.Message) {
	r.queue.offer(input{replicaSet: replicaset.MessageReceived{From: from, Message: x}})
}

// SetMembership says whether this process is a member, and as which incarnation.
func (r *Replica) SetMembership(serving bool, incarnation membership.Incarnation) {
	state := r.identity.update(serving, incarnation)
	r.queue.stateChanges.Put(input{replication: state})
	r.queue.stateChanges.Put(input{replicaSet: replicaset.Membership{Serving: serving}})
}

// ResumeAfterSuccessor says that the successor has ended and this process goes on.
func (r *Replica) ResumeAfterSuccessor() {
	if err := r.reopenStorage(); err != nil {
		r.log.Error().Err(err).Msg("reopening the replication store failed")
	}
	successor := r.identity.successor()
	r.SetMembership(r.identity.resume())
	r.processEnded(successor)
}

// HandOverProcesses returns, for RestoreProcesses of a successor, which other processes of this scheduler have
// ended.
func (r *Replica) HandOverProcesses() ([]byte, error) {
	r.identity.mu.Lock()
	defer r.identity.mu.Unlock()
	if len(r.identity.ended) == 0 {
		return nil, nil
	}
	return json.Marshal(r.identity.ended)
}

// RestoreProcesses takes what a predecessor handed over. It is called before Start.
func (r *Replica) RestoreProcesses(state []byte) error {
	if len(state) == 0 {
		return nil
	}
	var ended []replication.Incarnation
	if err := json.Unmarshal(state, &ended); err != nil {
		return fmt.Errorf("copies: processes that have ended: %w", err)
	}
	for _, process := range ended[max(0, len(ended)-maxEndedProcesses):] {
		r.processEnded(process)
	}
	return nil
}

// PredecessorEnded says that the process before this one in a hot restart has ended.
func (r *Replica) PredecessorEnded() { r.processEnded(r.identity.predecessor()) }

func (r *Replica) processEnded(process replication.Incarnation) {
	r.identity.markEnded(process)
	r.queue.stateChanges.Put(input{replication: replication.ProcessEnded{Process: process}})
}

// Successions is the number of hot restarts before the next process.
func (r *Replica) Successions() uint64 {
	r.identity.mu.Lock()
	defer r.identity.mu.Unlock()
	return r.identity.successions + 1
}

// SetPeerIncarnation says as which incarnation the members know another one.
func (r *Replica) SetPeerIncarnation(name string, incarnation membership.Incarnation) {
	known := replication.PeerProcess{Name: name, Process: processOf(incarnation, 0)}
	r.queue.stateChanges.Put(input{replication: known})
}

// SetPeerDead says whether another member is dead.
func (r *Replica) SetPeerDead(name string, dead bool) {
	r.queue.stateChanges.Put(input{replication: replication.PeerStatus{Name: name, Dead: dead}})
	r.queue.stateChanges.Put(input{replicaSet: replicaset.PeerStatus{Name: name, Alive: !dead}})
}
