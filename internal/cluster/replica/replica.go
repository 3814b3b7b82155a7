// Package replica runs the replication of outcomes in real time. It passes inputs to the cores of
// internal/cluster/replication and internal/cluster/replicaset, applies their effects to the mesh and to the
// disk, and answers the frontend's claims. All decisions are made by the cores.
package replica

import (
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// maxExtraInputsPerRound limits the inputs that a round handles after its first input. The inputs of a round
// share one write to the disk.
const maxExtraInputsPerRound = 64

// Transport sends messages to members and provides the clock.
type Transport interface {
	SendReplication(to string, message replication.Message)
	SendReplicaSet(to string, message replicaset.Message)
	Now() membership.Time
}

// Replica runs the replication of one process. It votes only if the process is in the replica set.
type Replica struct {
	config    *Config
	log       zerolog.Logger
	transport Transport

	// Only the loop uses these fields once it runs.
	core       *replication.Core
	replicaSet *replicaset.Core // nil unless config.DynamicReplicas is set
	storage    storage

	queue    *inputQueue
	calls    chan func() // functions that the loop runs
	quit     chan struct{}
	ended    chan struct{}
	quitOnce sync.Once

	claims   pendingClaims
	changes  *waiters[replicaset.ChangeResult]
	identity identity
}

// New creates a replica, which is inactive until Start. The parameter now is a time of the transport's clock.
// The parameter successions is the number of hot restarts before this process, as its predecessor handed it
// over.
func New(
	config *Config, name string, seed, successions uint64, now membership.Time, log zerolog.Logger,
) (*Replica, error) {
	nonce, err := randomID()
	if err != nil {
		return nil, err
	}
	firstClaim, err := randomID()
	if err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	r := &Replica{
		config:   config,
		log:      log,
		core:     replication.New(config.replicationConfig(name, seed, nonce), now),
		queue:    newInputQueue(ended),
		calls:    make(chan func()),
		quit:     make(chan struct{}),
		ended:    ended,
		claims:   newPendingClaims(),
		changes:  newWaiters[replicaset.ChangeResult](),
		identity: identity{successions: successions},
	}
	r.claims.startIDsAt(firstClaim)
	isReplica := slices.Contains(config.Replicas, name)
	if config.DynamicReplicas && isReplica && config.Path == "" {
		return nil, errors.New("copies: path: must be set for a replica if copies.agreed is true")
	}
	if config.Path != "" && (isReplica || config.DynamicReplicas) {
		if err := r.openStorage(name, seed, now); err != nil {
			return nil, err
		}
		return r, nil
	}
	if config.DynamicReplicas {
		r.replicaSet = replicaset.New(config.replicaSetConfig(name, seed), replicaset.State{}, now)
	}
	return r, nil
}

// randomID returns a random number that does not depend on the seed, so that two processes practically never
// get the same number. It is odd and below 1<<63, which excludes 0 and the numbers that the raft library
// reserves.
func randomID() (uint64, error) {
	var buffer [8]byte
	if _, err := crand.Read(buffer[:]); err != nil {
		return 0, fmt.Errorf("copies: drawing a random ID: %w", err)
	}
	return binary.BigEndian.Uint64(buffer[:])>>1 | 1, nil
}

// Start starts the loop, which uses the transport.
func (r *Replica) Start(transport Transport) {
	r.transport = transport
	go r.loop()
}

// Close ends the loop and closes the store.
func (r *Replica) Close() {
	r.quitOnce.Do(func() { close(r.quit) })
	<-r.ended
}

// handleLastInputs handles what is queued at the end, so that the outcomes of the last ops are sent.
func (r *Replica) handleLastInputs() {
	for range maxQueuedInputs {
		select {
		case in := <-r.queue.inputs:
			r.handleInputs(in)
		default:
			return
		}
	}
}

func (r *Replica) loop() {
	defer close(r.ended)
	defer r.storage.close()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-r.quit:
			r.handleLastInputs()
			return
		case call := <-r.calls:
			call()
			continue
		case in := <-r.queue.inputs:
			r.handleInputs(in)
		case <-tick.C:
			r.tick()
		}
		tick.Reset(r.untilNextTick())
	}
}

// callInLoop runs a function in the loop and waits for it. It does nothing once the loop has ended.
func (r *Replica) callInLoop(f func()) {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(done) }:
		<-done
	case <-r.ended:
	}
}

func (r *Replica) tick() {
	r.stepReplication(replication.Tick{})
	if r.replicaSet != nil && r.replicaSet.NextTick() <= r.transport.Now() {
		r.stepReplicaSet(replicaset.Tick{})
	}
}

func (r *Replica) untilNextTick() time.Duration {
	next := r.core.NextTick()
	if r.replicaSet != nil {
		next = min(next, r.replicaSet.NextTick())
	}
	return max(time.Duration(next-r.transport.Now())*membership.Tenth, 0)
}

// handleInputs handles an input and, in the same round, the inputs that already wait behind it. Their records
// share one write to the disk. It reads an input from the queue only if the round has space for it.
func (r *Replica) handleInputs(in input) {
	effects := r.handleInput(in, nil)
	for range maxExtraInputsPerRound {
		select {
		case in := <-r.queue.inputs:
			effects = r.handleInput(in, effects)
		default:
			r.applyEffects(effects)
			return
		}
	}
	r.applyEffects(effects)
}

// handleInput passes an input to its core and returns the effects of the round that are not applied yet.
func (r *Replica) handleInput(in input, effects []replication.Effect) []replication.Effect {
	if in.replicaSet != nil {
		r.applyEffects(effects)
		r.stepReplicaSet(in.replicaSet)
		return nil
	}
	return append(effects, r.core.Step(r.transport.Now(), in.replication)...)
}
