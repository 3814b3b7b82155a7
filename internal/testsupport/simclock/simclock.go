// Package simclock is time that a play makes up: what is planned for a moment happens when the play has come to it, in one order.
package simclock

import "container/heap"

// Time counts moments in whatever unit its user has.
type Time interface{ ~int64 }

type event[T Time] struct {
	at       T
	sequence uint64
	run      func()
}

type queue[T Time] []event[T]

func (q queue[T]) Len() int { return len(q) }
func (q queue[T]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue[T]) Push(x any)   { *q = append(*q, x.(event[T])) }
func (q *queue[T]) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event[T]{}
	*q = old[:len(old)-1]
	return x
}

// Clock is one play's time. The zero value is at its beginning.
type Clock[T Time] struct {
	now      T
	sequence uint64
	events   queue[T]
}

// Now is the moment that the play has come to.
func (c *Clock[T]) Now() T { return c.now }

// At plans something for a moment; what is planned for the past happens next.
func (c *Clock[T]) At(at T, do func()) {
	c.sequence++
	heap.Push(&c.events, event[T]{max(at, c.now), c.sequence, do})
}

// Run plays on until a moment.
func (c *Clock[T]) Run(until T) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event[T])
		c.now = e.at
		e.run()
	}
	c.now = until
}
