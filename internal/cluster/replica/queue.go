package replica

import (
	"sync/atomic"

	"woaddyke/internal/base/spillqueue"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// maxQueuedInputs limits the inputs that wait for the loop. Messages beyond the limit
// are dropped, like datagrams that the network loses.
const maxQueuedInputs = 4096

// input is an input for the replication core or for the replica set core. Exactly one field is set.
type input struct {
	replication replication.Input
	replicaSet  replicaset.Input
}

// inputQueue holds the inputs that wait for the loop.
type inputQueue struct {
	inputs       chan input
	stateChanges *spillqueue.Queue[input] // feeds inputs; its Put loses nothing and does not wait
	ended        <-chan struct{}          // closed when the loop has ended
	dropped      atomic.Uint64
}

func newInputQueue(ended <-chan struct{}) *inputQueue {
	inputs := make(chan input, maxQueuedInputs)
	return &inputQueue{inputs: inputs, stateChanges: spillqueue.New(inputs, ended), ended: ended}
}

// offer queues an input without waiting. It returns false if the queue is full and the input is dropped.
func (q *inputQueue) offer(in input) bool {
	select {
	case q.inputs <- in:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// put queues an input. It waits while the queue is full, until the loop has ended.
func (q *inputQueue) put(in input) {
	select {
	case q.inputs <- in:
	case <-q.ended:
	}
}
