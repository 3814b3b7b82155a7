// Package deadlines holds many items with a deadline each, and finds the next one without a walk over
// all. An item's deadline is a base of its own plus a span that all share. A base only ever grows; the
// span may grow and shrink. Items are not taken out: each is asked, when it comes to the top of a heap,
// whether it still counts, so that an input costs nothing here.
package deadlines

// State is what an item is asked for: its base, the limit before which its deadline must lie to be waited
// for, and whether it counts at all. A limit only ever shrinks; an item that does not count never does
// again.
type State[T any, M ~int64] func(T) (base, limit M, counts bool)

// Queue holds the items that share a span. An item may be added twice; it is then found twice.
type Queue[T any, M ~int64] struct {
	state     State[T, M]
	byBase    heap[T] // for Overdue
	pending   heap[T] // by base, for Next
	postponed heap[T] // with deadlines beyond their limits; by base minus limit, for resumePostponed
}

// New makes a queue.
func New[T any, M ~int64](state State[T, M]) *Queue[T, M] { return &Queue[T, M]{state: state} }

// Add puts an item in.
func (q *Queue[T, M]) Add(item T) {
	base, _, counts := q.state(item)
	if !counts {
		return
	}
	q.byBase.push(int64(base), item)
	q.pending.push(int64(base), item)
}

// Overdue takes out the items whose deadline has come, in no order.
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

// Next returns the first deadline that lies before its item's limit.
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

// resumePostponed moves items back to pending whose deadlines, by this span, lie before their limits.
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

// heap is a binary heap with the smallest key first.
type heap[T any] []entry[T]

func (h *heap[T]) push(key int64, item T) {
	*h = append(*h, entry[T]{key, item})
	s := *h
	for i := len(s) - 1; i > 0; {
		up := (i - 1) / 2
		if s[up].key <= s[i].key {
			return
		}
		s[up], s[i] = s[i], s[up]
		i = up
	}
}

func (h *heap[T]) pop() T {
	s := *h
	top, last := s[0].item, len(s)-1
	s[0] = s[last]
	s[last] = entry[T]{} // lets the collector free what is taken out
	s = s[:last]
	*h = s
	for i := 0; ; {
		smallest := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < len(s) && s[down].key < s[smallest].key {
				smallest = down
			}
		}
		if smallest == i {
			return top
		}
		s[i], s[smallest] = s[smallest], s[i]
		i = smallest
	}
}
