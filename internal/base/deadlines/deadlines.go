// Package deadlines holds many items that each become late at some moment, and finds the next one without a walk over
// all. An item's moment is a base of its own and a span that is the same for all; a base only ever grows, and the
// span may grow and shrink. Items are not taken out: each is asked, when it comes to the top, whether it still
// counts, so an input costs nothing here.
package deadlines

// State is what an item is asked for: its base, the limit before which its moment must lie to be waited for, and
// whether it counts at all. A limit only ever shrinks; an item that does not count never does again.
type State[T any, M ~int64] func(T) (base, limit M, counts bool)

// Queue is the items of one kind. An item may be added twice; it is then found twice.
type Queue[T any, M ~int64] struct {
	state     State[T, M]
	byBase    heap[T] // by base, for Late
	pending   heap[T] // by base, for Next
	postponed heap[T] // out of next: their moments lay beyond their limits; by how much the span must shrink
}

// New makes a queue.
func New[T any, M ~int64](state State[T, M]) *Queue[T, M] { return &Queue[T, M]{state: state} }

// Add puts an item in.
func (a *Queue[T, M]) Add(item T) {
	base, _, counts := a.state(item)
	if !counts {
		return
	}
	a.byBase.push(int64(base), item)
	a.pending.push(int64(base), item)
}

// Overdue takes out the items whose moment has come, in no order.
func (a *Queue[T, M]) Overdue(now, span M) (late []T) {
	for len(a.byBase) > 0 && M(a.byBase[0].key)+span <= now {
		item := a.byBase.pop()
		switch base, _, counts := a.state(item); {
		case !counts:
		case base+span <= now:
			late = append(late, item)
		default:
			a.byBase.push(int64(base), item)
		}
	}
	return late
}

// Next is the first moment that lies before its item's limit.
func (a *Queue[T, M]) Next(span M) (at M, ok bool) {
	for len(a.postponed) > 0 && int64(span) < -a.postponed[0].key {
		item := a.postponed.pop()
		switch base, limit, counts := a.state(item); {
		case !counts:
		case base+span < limit:
			a.pending.push(int64(base), item)
		default:
			a.postponed.push(int64(base-limit), item)
		}
	}
	for len(a.pending) > 0 {
		top := a.pending[0]
		base, limit, counts := a.state(top.item)
		switch {
		case !counts:
			a.pending.pop()
		case base+span >= limit:
			a.pending.pop()
			a.postponed.push(int64(base-limit), top.item)
		case int64(base) > top.key:
			a.pending.pop()
			a.pending.push(int64(base), top.item)
		default:
			return base + span, true
		}
	}
	return 0, false
}

type entry[T any] struct {
	key  int64
	item T
}

// heap is a binary heap, the least key first.
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
	s[last] = entry[T]{} // what is out must not be kept from the collector
	s = s[:last]
	*h = s
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < len(s) && s[down].key < s[least].key {
				least = down
			}
		}
		if least == i {
			return top
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
}
