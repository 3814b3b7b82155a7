// Package stats has statistics of small samples and random choices: the most recent values of a measurement,
// an ordered pool with a median, a random number generator, and rendezvous hashing.
package stats

import (
	"cmp"
	"math"
	"slices"
)

// MaxRecent is the maximum number of recent values of a measurement.
const MaxRecent = 32

// AppendRecent appends a value to the recent values and drops the oldest if there are more than MaxRecent.
func AppendRecent[T any](recent []T, v T) []T {
	recent = append(recent, v)
	if len(recent) > MaxRecent {
		recent = recent[1:]
	}
	return recent
}

// Quantile returns the q-quantile of the values. There must be at least one value and at most MaxRecent.
func Quantile[T cmp.Ordered](recent []T, q float64) T {
	var buffer [MaxRecent]T
	sorted := append(buffer[:0], recent...)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// Mean returns the mean of integers, rounded towards 0. The mean of no values is 0.
func Mean[T ~int64](recent []T) T {
	var sum T
	for _, t := range recent {
		sum += t
	}
	return sum / T(max(len(recent), 1))
}

// Entropy returns the entropy of an event with this probability, in nats. It is 0 if the event is impossible
// or certain, or if the probability is NaN, such as that of an empty sample.
func Entropy(probability float64) float64 {
	s := 0.0
	for _, p := range [2]float64{probability, 1 - probability} {
		if p > 0 { // 0 ln 0 counts as 0; comparisons with NaN are false
			s -= p * math.Log(p)
		}
	}
	return s
}

// BoolToInt returns 1 for true and 0 for false.
func BoolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Pool holds values in ascending order.
type Pool []float64

// Add inserts a value.
func (p *Pool) Add(x float64) {
	k, _ := slices.BinarySearch(*p, x)
	*p = slices.Insert(*p, k, x)
}

// Remove removes a value, which must be in the pool.
func (p *Pool) Remove(x float64) {
	k, _ := slices.BinarySearch(*p, x)
	*p = slices.Delete(*p, k, k+1)
}

// poolMedianWeight is how many times the pool's median is added to a member's values.
const poolMedianWeight = 3

// Median returns the upper median of a member's values and poolMedianWeight copies of the pool's median. It
// returns 1 if the pool is empty.
func (p Pool) Median(values []float64) float64 {
	if len(p) == 0 {
		return 1
	}
	poolMedian := p[len(p)/2]
	sorted := make([]float64, 0, poolMedianWeight+len(values))
	for range poolMedianWeight {
		sorted = append(sorted, poolMedian)
	}
	sorted = append(sorted, values...)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// Recent holds the most recent values of a member of a pool. The pool also holds these values.
type Recent []float64

// Add appends a value and adds it to the pool. It removes the oldest of MaxRecent values from both.
func (r *Recent) Add(pool *Pool, x float64) {
	if len(*r) == MaxRecent {
		pool.Remove((*r)[0])
		*r = (*r)[1:]
	}
	*r = append(*r, x)
	pool.Add(x)
}

// RemoveFrom removes all values of the member from the pool and clears them.
func (r *Recent) RemoveFrom(pool *Pool) {
	for _, x := range *r {
		pool.Remove(x)
	}
	*r = nil
}

// Random is a multiply-with-carry random number generator. Its state can be copied, so that a choice can be
// repeated.
type Random uint64

// NewRandom returns a generator with a seed.
func NewRandom(seed uint64) Random { return Random(seed&0xffffffff | 1<<32) }

// IntN returns a number in [0, n).
func (r *Random) IntN(n int) int {
	*r = 4294957665*(*r&0xffffffff) + *r>>32
	return int(*r & 0xffffffff * Random(n) >> 32)
}

// Float64 returns a number in [0, 1).
func (r *Random) Float64() float64 { return float64(r.IntN(1<<30)) / (1 << 30) }

// RendezvousOrder sorts items by a hash of a key and the item's identity. The order for a key is the same in
// every process that knows the identities. Adding or removing an item does not change the order of the
// others.
func RendezvousOrder(key uint64, items []int, identity func(item int) uint64) {
	type rankedItem struct {
		rank uint64
		item int
	}
	ranked := make([]rankedItem, len(items)) // each item is hashed once, not at each comparison
	for k, item := range items {
		h := (key ^ identity(item)) * 0x9e3779b97f4a7c15
		h = (h ^ h>>32) * 0xd6e8feb86659fd93
		ranked[k] = rankedItem{h ^ h>>32, item}
	}
	slices.SortFunc(ranked, func(a, b rankedItem) int { return cmp.Compare(a.rank, b.rank) })
	for k := range ranked {
		items[k] = ranked[k].item
	}
}
