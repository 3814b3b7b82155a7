// Package replica runs the replication of outcomes on real time: it feeds the cores of
// internal/cluster/replication and internal/cluster/replicaset, carries out their effects over the mesh and
// on the disk, and answers the frontend's claims. It decides nothing.
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

// maxInputsPerRound is how many inputs beside the first share one write to the disk.
const maxInputsPerRound = 64

// Transport sends a message to a member.
type Transport interface {
	SendReplication(to string, x replication.Message)
	SendReplicaSet(to string, x replicaset.Message)
	Now() membership.Time
}

// Replica is the part of one process.
type Replica struct {
	config    *Config
	log       zerolog.Logger
	transport Transport

	// Of the loop, once it runs.
	core       *replication.Core
	replicaSet *replicaset.Core // nil where the set does not change by agreement
	storage    storage

	queue    *inputQueue
	calls    chan func() // run by the loop
	quit     chan struct{}
	ended    chan struct{}
	quitOnce sync.Once

	claims   pendingClaims
	changes  *waiters[replicaset.ChangeResult]
	identity identity
}

// New makes a process's part at a moment of the transport's clock; it does nothing before Start. Successions
// is the number of hot restarts before this process, as its predecessor's Successions returned it.
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
	r.claims.numberFrom(firstClaim)
	isReplica := slices.Contains(config.Replicas, name)
	if config.DynamicReplicas && isReplica && config.Path == "" {
		return nil, errors.New("copies: agreed: a keeper has to have a path for what must last")
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

// randomID draws a number that no other process draws, independent of the seed. It is odd and below 1<<63:
// 0 and the numbers that the raft library reserves do not occur.
func randomID() (uint64, error) {
	var buffer [8]byte
	if _, err := crand.Read(buffer[:]); err != nil {
		return 0, fmt.Errorf("copies: %w", err)
	}
	return binary.BigEndian.Uint64(buffer[:])>>1 | 1, nil
}

// Start runs the replica over a transport.
func (r *Replica) Start(transport Transport) {
	r.transport = transport
	go r.loop()
}

// Close ends the loop and closes the store.
func (r *Replica) Close() {
	r.quitOnce.Do(func() { close(r.quit) })
	<-r.ended
}

func (r *Replica) loop() {
	defer close(r.ended)
	defer r.storage.close()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-r.quit:
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

// call runs a function in the loop and waits for it; not at all where the loop has ended.
func (r *Replica) call(do func()) {
	done := make(chan struct{})
	select {
	case r.calls <- func() { do(); close(done) }:
		<-done
	case <-r.ended:
	}
}

func (r *Replica) tick() {
	r.step(replication.Tick{})
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

// handleInputs handles an input, and those that wait already behind it in the same round: their records
// share one write to the disk. An input is taken from the queue only where the round has space for it.
func (r *Replica) handleInputs(in input) {
	effects := r.handleInput(in, nil)
	for range maxInputsPerRound {
		select {
		case in := <-r.queue.inputs:
			effects = r.handleInput(in, effects)
		default:
			r.carryOut(effects)
			return
		}
	}
	r.carryOut(effects)
}

// handleInput feeds an input, and returns the effects of the round that are still to be carried out.
func (r *Replica) handleInput(in input, effects []replication.Effect) []replication.Effect {
	if in.replicaSet != nil {
		r.carryOut(effects)
		r.stepReplicaSet(in.replicaSet)
		return nil
	}
	return append(effects, r.core.Step(r.transport.Now(), in.replication)...)
}
