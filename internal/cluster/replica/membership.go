package replica

import (
	"sync"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// generationShift leaves the low bits of a generation to the successions within one incarnation.
const generationShift = 16

// identity is as whom this process registers with the other replicas.
type identity struct {
	mu          sync.Mutex
	successions uint64 // hot restarts before this process, and those that were called off
	incarnation membership.Incarnation
	serving     bool
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
	return replication.Membership{
		Serving:    serving,
		Generation: i.incarnation.Generation<<generationShift + i.successions,
		Nonce:      i.incarnation.Nonce,
	}
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
	r.SetMembership(r.identity.resume())
}

// Successions is the number of hot restarts before the next process.
func (r *Replica) Successions() uint64 {
	r.identity.mu.Lock()
	defer r.identity.mu.Unlock()
	return r.identity.successions + 1
}

// SetPeerDead says whether another member is dead.
func (r *Replica) SetPeerDead(name string, dead bool) {
	r.queue.stateChanges.Put(input{replication: replication.PeerStatus{Name: name, Dead: dead}})
	r.queue.stateChanges.Put(input{replicaSet: replicaset.PeerStatus{Name: name, Alive: !dead}})
}
