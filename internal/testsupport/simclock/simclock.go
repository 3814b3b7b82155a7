// Package simclock has a clock of virtual time for simulations. Calls are scheduled for a time and run when
// the simulation reaches it, in a reproducible order.
package simclock

import "container/heap"

// Time is a point in time, in a unit that the caller chooses.
type Time interface{ ~int64 }

// event is a scheduled call. Events with the same time run in the order of their sequence numbers.
type event[T Time] struct {
	at       T
	sequence uint64
	run      func()
}

// queue is a heap of events, ordered by time.
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
	events[last] = event[T]{} // lets the garbage collector free the function
	*q = events[:last]
	return popped
}

// Clock is the clock of a simulation. The zero value is at time 0.
type Clock[T Time] struct {
	now      T
	sequence uint64
	events   queue[T]
}

// Now returns the current time of the simulation.
func (c *Clock[T]) Now() T { return c.now }

// At schedules a call for a time. A call for a time in the past is scheduled for the current time.
func (c *Clock[T]) At(at T, run func()) {
	c.sequence++
	heap.Push(&c.events, event[T]{at: max(at, c.now), sequence: c.sequence, run: run})
}

// Run advances the clock to a time and runs the calls up to that time, including those scheduled meanwhile.
func (c *Clock[T]) Run(until T) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event[T])
		c.now = next.at
		next.run()
	}
	c.now = until
}
