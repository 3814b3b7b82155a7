// Package deadlines holds many items with one deadline each, and finds the next deadline without a scan of
// all items. The deadline of an item is the item's base plus a span that all items share. A base only grows;
// the span may grow and shrink. Callers do not remove items or report changes, so that a change of an item
// costs nothing. Instead the queue asks for the state of an item when the item reaches the top of a heap.
package deadlines

// minSweepSize is the number of items below which items that no longer count are not freed early.
const minSweepSize = 64

// StateFunc returns the state of an item: its base, its limit and whether it counts. Next ignores a deadline
// that is not before the limit. A limit only shrinks. An item that does not count never counts again.
type StateFunc[T any, M ~int64] func(T) (base, limit M, counts bool)

// Queue holds the items that share a span. An item that is added twice is found twice.
type Queue[T any, M ~int64] struct {
	state     StateFunc[T, M]
	byBase    heap[T] // all items, for Overdue
	pending   heap[T] // items with deadlines before their limits, by base, for Next
	postponed heap[T] // items with deadlines not before their limits, by base minus limit
	sweepAt   int     // number of items in byBase that starts a sweep
}

// New returns an empty queue.
func New[T any, M ~int64](state StateFunc[T, M]) *Queue[T, M] { return &Queue[T, M]{state: state} }

// Add adds an item if it counts.
func (q *Queue[T, M]) Add(item T) {
	base, _, counts := q.state(item)
	if !counts {
		return
	}
	if len(q.byBase) >= max(q.sweepAt, minSweepSize) {
		q.sweep()
	}
	q.byBase.push(int64(base), item)
	q.pending.push(int64(base), item)
}

// sweep removes the items that no longer count, and schedules the next sweep for twice the number that remains.
// With a long span such items would stay until their deadlines, and with an unlimited one for good.
func (q *Queue[T, M]) sweep() {
	q.byBase = sweepHeap(q, q.byBase)
	q.pending = sweepHeap(q, q.pending)
	q.postponed = sweepHeap(q, q.postponed)
	q.sweepAt = 2 * len(q.byBase)
}

// sweepHeap returns a heap of the items that still count.
func sweepHeap[T any, M ~int64](q *Queue[T, M], all heap[T]) heap[T] {
	var counting heap[T]
	for _, e := range all {
		if _, _, counts := q.state(e.item); counts {
			counting.push(e.key, e.item)
		}
	}
	return counting
}

// Overdue removes and returns the items whose deadline has passed, in no particular order.
func (q *Queue[T, M]) Overdue(now, span M) (overdue []T) {
	for len(q.byBase) > 0 && M(q.byBase[0].key)+span <= now {
		item := q.byBase.pop()
		switch base, _, counts := q.state(item); {
		case !counts:
		case base+span <= now:
			overdue = append(overdue, item)
		default:
			q.byBase.push(int64(base), item)
		}
	}
	return overdue
}

// Next returns the earliest of the deadlines that are before the limits of their items.
func (q *Queue[T, M]) Next(span M) (deadline M, ok bool) {
	q.resumePostponed(span)
	for len(q.pending) > 0 {
		top := q.pending[0]
		base, limit, counts := q.state(top.item)
		switch {
		case !counts:
			q.pending.pop()
		case base+span >= limit:
			q.pending.pop()
			q.postponed.push(int64(base-limit), top.item)
		case int64(base) > top.key:
			q.pending.pop()
			q.pending.push(int64(base), top.item)
		default:
			return base + span, true
		}
	}
	return 0, false
}

// resumePostponed moves items from postponed back to pending if, with this span, their deadlines are before
// their limits.
func (q *Queue[T, M]) resumePostponed(span M) {
	for len(q.postponed) > 0 && int64(span) < -q.postponed[0].key {
		item := q.postponed.pop()
		switch base, limit, counts := q.state(item); {
		case !counts:
		case base+span < limit:
			q.pending.push(int64(base), item)
		default:
			q.postponed.push(int64(base-limit), item)
		}
	}
}

type entry[T any] struct {
	key  int64
	item T
}

// heap is a binary heap with the smallest key at the top.
type heap[T any] []entry[T]

func (h *heap[T]) push(key int64, item T) {
	*h = append(*h, entry[T]{key, item})
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if s[parent].key <= s[i].key {
			return
		}
		s[parent], s[i] = s[i], s[parent]
		i = parent
	}
}

func (h *heap[T]) pop() T {
	s := *h
	top, last := s[0].item, len(s)-1
	s[0] = s[last]
	s[last] = entry[T]{} // lets the garbage collector free the item
	s = s[:last]
	*h = s
	for i := 0; ; {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(s) && s[child].key < s[smallest].key {
				smallest = child
			}
		}
		if smallest == i {
			return top
		}
		s[i], s[smallest] = s[smallest], s[i]
		i = smallest
	}
}
