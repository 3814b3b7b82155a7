package replica

import (
	"sync/atomic"

	"woaddyke/internal/base/spillqueue"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// maxQueuedInputs is how many inputs may wait for the loop. Messages beyond them are lost, as datagrams are.
const maxQueuedInputs = 4096

// input is one for either of the two cores.
type input struct {
	replication replication.Input
	replicaSet  replicaset.Input
}

// inputQueue is what waits for the loop.
type inputQueue struct {
	inputs       chan input
	stateChanges *spillqueue.Queue[input] // into inputs, for what must not be lost and is not waited for
	ended        <-chan struct{}          // closed when the loop has ended
	dropped      atomic.Uint64
}

func newInputQueue(ended <-chan struct{}) *inputQueue {
	inputs := make(chan input, maxQueuedInputs)
	return &inputQueue{inputs: inputs, stateChanges: spillqueue.New(inputs, ended), ended: ended}
}

// offer queues an input without waiting; false where the queue is full and the input is dropped.
func (q *inputQueue) offer(in input) bool {
	select {
	case q.inputs <- in:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// put queues an input, and waits while the queue is full.
func (q *inputQueue) put(in input) {
	select {
	case q.inputs <- in:
	case <-q.ended:
	}
}
