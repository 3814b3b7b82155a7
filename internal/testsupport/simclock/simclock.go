// Package simclock is a clock of virtual time for simulations: calls that are planned for a moment run when
// the simulation reaches it, in one reproducible order.
package simclock

import "container/heap"

// Time is a moment in the unit of its user.
type Time interface{ ~int64 }

// event is a planned call. The sequence number orders those of one moment as they were planned.
type event[T Time] struct {
	at       T
	sequence uint64
	run      func()
}

// queue is a heap of events, by time.
type queue[T Time] []event[T]

func (q queue[T]) Len() int { return len(q) }

func (q queue[T]) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q queue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue[T]) Push(x any) { *q = append(*q, x.(event[T])) }

func (q *queue[T]) Pop() any {
	events := *q
	last := len(events) - 1
	popped := events[last]
	events[last] = event[T]{} // so that its function can be collected
	*q = events[:last]
	return popped
}

// Clock is the time of one simulation. The zero value is at its beginning.
type Clock[T Time] struct {
	now      T
	sequence uint64
	events   queue[T]
}

// Now returns the moment that the simulation has reached.
func (c *Clock[T]) Now() T { return c.now }

// At plans a call for a moment. One that is planned for the past runs next.
func (c *Clock[T]) At(at T, run func()) {
	c.sequence++
	heap.Push(&c.events, event[T]{at: max(at, c.now), sequence: c.sequence, run: run})
}

// Run runs the calls that are planned up to a moment, and those that they plan.
func (c *Clock[T]) Run(until T) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event[T])
		c.now = next.at
		next.run()
	}
	c.now = until
}
