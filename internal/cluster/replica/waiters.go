package replica

import "sync"

// waiters holds the callers that wait for results, by request ID.
type waiters[T any] struct {
	mu      sync.Mutex
	results map[uint64]chan T
}

func newWaiters[T any]() *waiters[T] {
	return &waiters[T]{results: map[uint64]chan T{}}
}

// add registers a caller and returns the channel for its result. It returns false if limit callers already
// wait. A limit of 0 means no limit.
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

// remove removes a caller and returns the channel for its result, or nil if no caller waits under the ID.
func (w *waiters[T]) remove(id uint64) chan T {
	w.mu.Lock()
	defer w.mu.Unlock()
	result := w.results[id]
	delete(w.results, id)
	return result
}
