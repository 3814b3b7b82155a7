package replica

import "sync"

// waiters are the callers that wait for results, by request ID.
type waiters[T any] struct {
	mu      sync.Mutex
	results map[uint64]chan T
}

func newWaiters[T any]() *waiters[T] {
	return &waiters[T]{results: map[uint64]chan T{}}
}

// add registers a caller and returns where its result will be; false where limit callers wait already; a
// limit of 0 is none.
func (w *waiters[T]) add(id uint64, limit int) (result chan T, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit > 0 && len(w.results) >= limit {
		return nil, false
	}
	result = make(chan T, 1)
	w.results[id] = result
	return result, true
}

// take removes a waiter, and returns where its result is to be put; nil where nobody waits.
func (w *waiters[T]) take(id uint64) chan T {
	w.mu.Lock()
	defer w.mu.Unlock()
	result := w.results[id]
	delete(w.results, id)
	return result
}
