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

// generationShift reserves the low bits of a replication generation for the number of successions within one
// incarnation of the member.
const generationShift = 16

// maxEndedProcesses limits the ended processes that are handed over to a successor.
const maxEndedProcesses = 16

// identity identifies this process to the other replicas.
type identity struct {
	mu             sync.Mutex
	successions    uint64 // hot restarts before this process, plus two for each successor that ended early
	incarnation    membership.Incarnation
	serving        bool
	endedProcesses []replication.Incarnation // other processes of this scheduler that have ended
}

// processIncarnation returns the replication incarnation of a process. It combines the member's incarnation
// with the number of successions before the process.
func processIncarnation(incarnation membership.Incarnation, successions uint64) replication.Incarnation {
	return replication.Incarnation{
		Generation: incarnation.Generation<<generationShift + successions,
		Nonce:      incarnation.Nonce,
	}
}

// markEnded adds a process of this scheduler to the ended ones and retains the last maxEndedProcesses.
func (i *identity) markEnded(process replication.Incarnation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endedProcesses = append(i.endedProcesses, process)
	i.endedProcesses = slices.Clone(i.endedProcesses[max(0, len(i.endedProcesses)-maxEndedProcesses):])
}

// predecessor returns the incarnation of the previous process in a hot restart.
func (i *identity) predecessor() replication.Incarnation {
	i.mu.Lock()
	defer i.mu.Unlock()
	return processIncarnation(i.incarnation, i.successions-1)
}

// update records a change of membership and returns it as an input for the replication core. A successor is a
// different voter from its predecessor, because it does not know what the predecessor granted. The same holds
// for a process that resumes after its successor has ended. The member's nonce distinguishes two processes of
// one generation.
func (i *identity) update(serving bool, incarnation membership.Incarnation) replication.Membership {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serving = serving
	if serving {
		i.incarnation = incarnation
	}
	own := processIncarnation(i.incarnation, i.successions)
	return replication.Membership{Serving: serving, Generation: own.Generation, Nonce: own.Nonce}
}

// successor returns the incarnation of the next process in a hot restart.
func (i *identity) successor() replication.Incarnation {
	i.mu.Lock()
	defer i.mu.Unlock()
	return processIncarnation(i.incarnation, i.successions+1)
}

// resume adds two successions: one for the successor that has ended, and one for this process, which resumes.
// It returns the unchanged serving state and incarnation, which the caller passes to SetMembership.
func (i *identity) resume() (serving bool, incarnation membership.Incarnation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.successions += 2
	return i.serving, i.incarnation
}

// Receive queues a replication message of another member. It does not wait.
func (r *Replica) Receive(from string, message replication.Message) {
	r.queue.offer(input{replication: replication.MessageReceived{From: from, Message: message}})
}

// ReceiveReplicaSet queues a replica set message of another member. It does not wait.
func (r *Replica) ReceiveReplicaSet(from string, message replicaset.Message) {
	r.queue.offer(input{replicaSet: replicaset.MessageReceived{From: from, Message: message}})
}

// SetMembership sets whether this process serves as a member, and its incarnation.
func (r *Replica) SetMembership(serving bool, incarnation membership.Incarnation) {
	state := r.identity.update(serving, incarnation)
	r.queue.stateChanges.Put(input{replication: state})
	r.queue.stateChanges.Put(input{replicaSet: replicaset.Membership{Serving: serving}})
}

// ResumeAfterSuccessor resumes this process after its successor has ended.
func (r *Replica) ResumeAfterSuccessor() {
	if err := r.reopenStorage(); err != nil {
		r.log.Error().Err(err).Msg("reopening the replication store failed")
	}
	successor := r.identity.successor()
	r.SetMembership(r.identity.resume())
	r.processEnded(successor)
}

// EndedProcesses encodes the other processes of this scheduler that have ended, for the successor of this
// process.
func (r *Replica) EndedProcesses() ([]byte, error) {
	r.identity.mu.Lock()
	defer r.identity.mu.Unlock()
	if len(r.identity.endedProcesses) == 0 {
		return nil, nil
	}
	return json.Marshal(r.identity.endedProcesses)
}

// RestoreEndedProcesses restores the ended processes that a predecessor handed over. It is called before Start.
func (r *Replica) RestoreEndedProcesses(state []byte) error {
	if len(state) == 0 {
		return nil
	}
	var ended []replication.Incarnation
	if err := json.Unmarshal(state, &ended); err != nil {
		return fmt.Errorf("copies: decoding the ended processes handed over by the predecessor: %w", err)
	}
	for _, process := range ended[max(0, len(ended)-maxEndedProcesses):] {
		r.processEnded(process)
	}
	return nil
}

// PredecessorEnded records that the predecessor of this process has ended.
func (r *Replica) PredecessorEnded() { r.processEnded(r.identity.predecessor()) }

func (r *Replica) processEnded(process replication.Incarnation) {
	r.identity.markEnded(process)
	r.queue.stateChanges.Put(input{replication: replication.ProcessEnded{Process: process}})
}

// NextSuccessions returns the number of successions that a successor passes to New.
func (r *Replica) NextSuccessions() uint64 {
	r.identity.mu.Lock()
	defer r.identity.mu.Unlock()
	return r.identity.successions + 1
}

// SetPeerIncarnation sets the incarnation under which another member is known.
func (r *Replica) SetPeerIncarnation(name string, incarnation membership.Incarnation) {
	known := replication.PeerProcess{Name: name, Process: processIncarnation(incarnation, 0)}
	r.queue.stateChanges.Put(input{replication: known})
}

// SetPeerLeft records that another member has left the cluster by itself. It may still hold ops: see
// Config.SetLeaveTime.
func (r *Replica) SetPeerLeft(name string) {
	r.queue.stateChanges.Put(input{replication: replication.PeerStatus{Name: name, Dead: true, Leaving: true}})
	r.queue.stateChanges.Put(input{replicaSet: replicaset.PeerStatus{Name: name}})
}

// SetPeerDead sets whether another member is dead.
func (r *Replica) SetPeerDead(name string, dead bool) {
	r.queue.stateChanges.Put(input{replication: replication.PeerStatus{Name: name, Dead: dead}})
	r.queue.stateChanges.Put(input{replicaSet: replicaset.PeerStatus{Name: name, Alive: !dead}})
}
