package stats

import (
	"slices"
	"testing"
)

// A pool out of order gives a middle that is none, and drops the wrong value.
func TestPoolStaysInOrder(t *testing.T) {
	var p Pool
	for _, x := range []float64{5, 1, 3, 3, 2} {
		p.Add(x)
	}
	p.Remove(3)
	if !slices.Equal(p, Pool{1, 2, 3, 5}) || p.Median(nil) != 3 || p.Median([]float64{9, 9, 9, 9}) != 9 {
		t.Errorf("%v, middle %g, with four nines %g", p, p.Median(nil), p.Median([]float64{9, 9, 9, 9}))
	}
}

// A worker that leaves must not move the keys of others: with each change of the list all would be fetched
// anew.
func TestRendezvousOrderKeepsTheOthersPlaces(t *testing.T) {
	mark := func(i int) uint64 { return uint64(i+1) * 0x51ed2701_9b3c1d77 }
	firsts := map[int]int{}
	for key := range uint64(400) {
		all := []int{0, 1, 2, 3, 4, 5, 6, 7}
		RendezvousOrder(key+1, all, mark)
		firsts[all[0]]++
		some := []int{7, 6, 5, 4, 2, 1, 0}
		RendezvousOrder(key+1, some, mark)
		if want := slices.DeleteFunc(all, func(i int) bool { return i == 3 }); !slices.Equal(some, want) {
			t.Fatalf("key %d: %v without worker 3, want %v", key, some, want)
		}
	}
	for i := range 8 {
		if firsts[i] < 25 || firsts[i] > 85 {
			t.Errorf("worker %d is first of %d keys in 400", i, firsts[i])
		}
	}
}

// Samples of a worker that has left stayed in the pool and counted for good.
func TestRecentIsRemovedFromThePool(t *testing.T) {
	var pool Pool
	var one, other Recent
	other.Add(&pool, 7)
	for i := range 2 * MaxRecent {
		one.Add(&pool, float64(i))
	}
	if len(one) != MaxRecent || len(pool) != MaxRecent+1 || one[0] != MaxRecent {
		t.Errorf("%d kept from %g, %d in the pool", len(one), one[0], len(pool))
	}
	one.RemoveFrom(&pool)
	if len(pool) != 1 || pool[0] != 7 {
		t.Errorf("left behind: %v", pool)
	}
}
