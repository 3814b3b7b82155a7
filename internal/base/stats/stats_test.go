package stats

import (
	"slices"
	"testing"
)

// A pool that is out of order would return a wrong median and remove the wrong value.
func TestPoolStaysInOrder(t *testing.T) {
	var p Pool
	for _, x := range []float64{5, 1, 3, 3, 2} {
		p.Add(x)
	}
	p.Remove(3)
	if !slices.Equal(p, Pool{1, 2, 3, 5}) || p.Median(nil) != 3 || p.Median([]float64{9, 9, 9, 9}) != 9 {
		t.Errorf("%v, median %g, with four nines %g", p, p.Median(nil), p.Median([]float64{9, 9, 9, 9}))
	}
}

// A worker that leaves must not change the order of the others. Otherwise each change of the endpoint list
// would move keys between workers that stay, and these workers would fetch the data of the keys again.
func TestRendezvousOrderOfOthersStaysWhenAnItemLeaves(t *testing.T) {
	identity := func(i int) uint64 { return uint64(i+1) * 0x51ed2701_9b3c1d77 }
	firsts := map[int]int{}
	for key := range uint64(400) {
		items := []int{0, 1, 2, 3, 4, 5, 6, 7}
		RendezvousOrder(key+1, items, identity)
		firsts[items[0]]++
		remaining := []int{7, 6, 5, 4, 2, 1, 0}
		RendezvousOrder(key+1, remaining, identity)
		if want := slices.DeleteFunc(items, func(i int) bool { return i == 3 }); !slices.Equal(remaining, want) {
			t.Fatalf("key %d: %v without worker 3, want %v", key, remaining, want)
		}
	}
	for i := range 8 {
		if firsts[i] < 25 || firsts[i] > 85 {
			t.Errorf("worker %d is first for %d of 400 keys, want 25 to 85", i, firsts[i])
		}
	}
}

// The samples of a worker that has left must not stay in the pool, where they would count forever.
func TestRecentIsRemovedFromThePool(t *testing.T) {
	var pool Pool
	var leaving, staying Recent
	staying.Add(&pool, 7)
	for i := range 2 * MaxRecent {
		leaving.Add(&pool, float64(i))
	}
	if len(leaving) != MaxRecent || len(pool) != MaxRecent+1 || leaving[0] != MaxRecent {
		t.Errorf("%d recent values from %g, %d in the pool", len(leaving), leaving[0], len(pool))
	}
	leaving.RemoveFrom(&pool)
	if len(pool) != 1 || pool[0] != 7 {
		t.Errorf("pool after the removal: %v", pool)
	}
}
