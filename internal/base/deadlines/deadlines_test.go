package deadlines

import (
	"math/rand/v2"
	"slices"
	"testing"
)

type item struct {
	base, limit int64
	removed     bool
}

// The queue must agree with a scan of all items, which is slow but simple, for random changes of the bases,
// the limits and the span.
func TestQueueAgreesWithALinearScan(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		queue := New(func(i *item) (int64, int64, bool) { return i.base, i.limit, !i.removed })
		var all []*item
		span, now := int64(50), int64(0)
		for range 400 {
			now += r.Int64N(5)
			switch r.IntN(6) {
			case 0, 1:
				i := &item{base: now + r.Int64N(60), limit: now + r.Int64N(300)}
				all = append(all, i)
				queue.Add(i)
			case 2:
				span = max(0, span+r.Int64N(41)-20)
			}
			if len(all) > 0 {
				switch i := all[r.IntN(len(all))]; r.IntN(4) {
				case 0:
					i.removed = true
				case 1:
					i.base += r.Int64N(30)
				case 2:
					i.limit -= r.Int64N(20)
				}
			}
			var want []*item
			next, ok := int64(0), false
			for _, i := range all {
				if !i.removed && i.base+span <= now {
					want = append(want, i)
				}
			}
			got := queue.Overdue(now, span)
			if len(got) != len(want) || slices.ContainsFunc(want, func(i *item) bool { return !slices.Contains(got, i) }) {
				t.Fatalf("seed %d: %d overdue, want %d", seed, len(got), len(want))
			}
			for _, i := range got {
				i.removed = true
			}
			for _, i := range all {
				if !i.removed && i.base+span < i.limit && (!ok || i.base+span < next) {
					next, ok = i.base+span, true
				}
			}
			if deadline, found := queue.Next(span); found != ok || deadline != next {
				t.Fatalf("seed %d: next %d %v, want %d %v", seed, deadline, found, next, ok)
			}
		}
	}
}

// Items that no longer count must be freed, whatever the span is. With an unlimited span, each item was once kept for
// good, so that a process held every op that it had ever served.
func TestItemsThatNoLongerCountAreFreed(t *testing.T) {
	const unlimited, added, counting = int64(1) << 60, 100_000, 40
	queue := New(func(i *item) (int64, int64, bool) { return i.base, i.limit, !i.removed })
	var all []*item
	for n := range int64(added) {
		i := &item{base: n, limit: n + 50}
		queue.Add(i)
		if all = append(all, i); len(all) > counting {
			all[0].removed = true
			all = all[1:]
		}
		queue.Overdue(n, unlimited)
		queue.Next(unlimited)
		if held := len(queue.byBase) + len(queue.pending) + len(queue.postponed); held > 3*2*max(counting, minSweepSize) {
			t.Fatalf("%d entries are held after %d items, of which %d count", held, n+1, counting)
		}
	}
	if found := queue.Overdue(added, 0); len(found) != counting {
		t.Errorf("%d items are overdue, want %d", len(found), counting)
	}
}
