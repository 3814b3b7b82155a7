// Package spillqueue puts values into a bounded channel without waiting, losing one or changing their order:
// values that find the channel full wait in an unbounded list. It is for few values that must not be lost,
// such as changes of state; a producer of many values drops some of them instead.
package spillqueue

import "sync"

// Queue puts values into one channel.
type Queue[T any] struct {
	channel chan<- T
	ended   <-chan struct{}

	mu      sync.Mutex
	waiting []T // the first of them is being sent by drain
}

// New makes a queue to a channel. Its reader closes ended once it takes nothing more.
func New[T any](channel chan<- T, ended <-chan struct{}) *Queue[T] {
	return &Queue[T]{channel: channel, ended: ended}
}

// Put adds a value. It returns at once.
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
		go q.drain(value)
	}
}

// drain sends the waiting values, beginning with the first. It ends when none is left, or with the reader.
func (q *Queue[T]) drain(first T) {
	for value, more := first, true; more; value, more = q.next() {
		select {
		case q.channel <- value:
		case <-q.ended:
			return
		}
	}
}

// next removes the value that was sent and returns the one behind it; false where there is none.
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
