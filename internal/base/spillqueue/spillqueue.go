// Package spillqueue sends values to a bounded channel without blocking, and without losing or reordering
// them. Values that do not fit in the channel wait in an unbounded list. The package is for small numbers of
// values that must not be lost, such as changes of state. Producers of many values drop some of them instead.
package spillqueue

import "sync"

// Queue sends values to a channel.
type Queue[T any] struct {
	channel chan<- T
	ended   <-chan struct{}

	mu      sync.Mutex
	waiting []T // oldest first; the goroutine of sendWaiting is sending waiting[0]
}

// New returns a queue to a channel. The reader of the channel closes ended when it stops to receive.
func New[T any](channel chan<- T, ended <-chan struct{}) *Queue[T] {
	return &Queue[T]{channel: channel, ended: ended}
}

// Put adds a value. It never blocks.
func (q *Queue[T]) Put(value T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		select {
		case q.channel <- value:
			return
		default:
		}
	}
	q.waiting = append(q.waiting, value)
	if len(q.waiting) == 1 {
		go q.sendWaiting(value)
	}
}

// sendWaiting sends the waiting values, beginning with the first. It returns when no value is left or the
// reader has ended.
func (q *Queue[T]) sendWaiting(first T) {
	for value, more := first, true; more; value, more = q.next() {
		select {
		case q.channel <- value:
		case <-q.ended:
			return
		}
	}
}

// next removes the value that was sent and returns the next value. more is false if there is none.
func (q *Queue[T]) next() (value T, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = q.waiting[1:]
	if len(q.waiting) == 0 {
		q.waiting = nil
		return value, false
	}
	return q.waiting[0], true
}
