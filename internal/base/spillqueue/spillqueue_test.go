package spillqueue

import (
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// Many hand on at once to a reader that is slow at times: all comes, each one's in its order, and nobody
// waits.
func TestAllComesInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	const writers, each = 8, 500
	to := make(chan [2]int, 4)
	q := New(to, nil)
	var all sync.WaitGroup
	for w := range writers {
		all.Go(func() {
			for k := range each {
				q.Put([2]int{w, k})
			}
		})
	}
	all.Wait() // before anything is read
	var next [writers]int
	for range writers * each {
		x := <-to
		if next[x[0]] != x[1] {
			t.Fatalf("of writer %d value %d comes, not %d", x[0], x[1], next[x[0]])
		}
		next[x[0]]++
	}
}

// A reader that has ended is waited for by nobody.
func TestAReaderThatHasEndedIsNotWaitedFor(t *testing.T) {
	defer goleak.VerifyNone(t)
	ended := make(chan struct{})
	q := New(make(chan int), ended)
	for k := range 9 {
		q.Put(k)
	}
	close(ended)
	q.Put(9)
}
