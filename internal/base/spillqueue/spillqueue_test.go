package spillqueue

import (
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// Writers that run in parallel never block, even if nothing is read. All values arrive, those of each writer
// in their order.
func TestValuesOfEachWriterArriveInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	const writers, each = 8, 500
	channel := make(chan [2]int, 4)
	q := New(channel, nil)
	var writing sync.WaitGroup
	for w := range writers {
		writing.Go(func() {
			for k := range each {
				q.Put([2]int{w, k})
			}
		})
	}
	writing.Wait() // before anything is read
	var next [writers]int
	for range writers * each {
		value := <-channel
		if next[value[0]] != value[1] {
			t.Fatalf("writer %d: got value %d, want %d", value[0], value[1], next[value[0]])
		}
		next[value[0]]++
	}
}

// After the reader has ended, Put does not block and the goroutine of the queue ends.
func TestAQueueStopsWhenItsReaderHasEnded(t *testing.T) {
	defer goleak.VerifyNone(t)
	ended := make(chan struct{})
	q := New(make(chan int), ended)
	for k := range 9 {
		q.Put(k)
	}
	close(ended)
	q.Put(9)
}
