// Package spillqueue hands values to a bounded channel without ever waiting, losing one or changing their order: what finds no room waits
// beside it. It is for few values that must not be missed, such as changes of state; many that may be lost are dropped by whoever has them.
package spillqueue

import "sync"

// Queue hands on to one channel.
type Queue[T any] struct {
	to    chan<- T
	ended <-chan struct{}

	mu      sync.Mutex
	waiting []T
}

// New makes a queue to a channel, whose reader says by closing ended that it takes nothing more.
func New[T any](to chan<- T, ended <-chan struct{}) *Queue[T] {
	return &Queue[T]{to: to, ended: ended}
}

// Put hands a value on. It returns at once.
func (q *Queue[T]) Put(x T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		select {
		case q.to <- x:
			return
		default:
		}
	}
	if q.waiting = append(q.waiting, x); len(q.waiting) == 1 {
		go q.drain(x)
	}
}

// drain hands on what waits, from the first value on.
func (q *Queue[T]) drain(first T) {
	for x, more := first, true; more; x, more = q.next() {
		select {
		case q.to <- x:
		case <-q.ended:
			return
		}
	}
}

// next lets go of the value that was handed on, and is the one behind it; false where none is.
func (q *Queue[T]) next() (x T, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting = q.waiting[1:]; len(q.waiting) == 0 {
		q.waiting = nil
		return x, false
	}
	return q.waiting[0], true
}
