// Package stats holds the arithmetic of small samples and of random choices: the most recent values of a
// measurement, an ordered pool with its median, a random number generator, and rendezvous hashing.
package stats

import (
	"cmp"
	"math"
	"slices"
)

// MaxRecent is how many values of a measurement are kept.
const MaxRecent = 32

// AppendRecent adds a value to the most recent ones.
func AppendRecent[T any](recent []T, v T) []T {
	recent = append(recent, v)
	if len(recent) > MaxRecent {
		recent = recent[1:]
	}
	return recent
}

// Quantile is the q-quantile of at most MaxRecent values and at least one.
func Quantile[T cmp.Ordered](recent []T, q float64) T {
	var buffer [MaxRecent]T
	sorted := append(buffer[:0], recent...)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// Mean of integers rounds towards 0; of none it is 0.
func Mean[T ~int64](recent []T) T {
	var sum T
	for _, t := range recent {
		sum += t
	}
	return sum / T(max(len(recent), 1))
}

// Entropy is that of an event of this probability, in nats. It is 0 where the event is impossible or
// certain, or where the probability is no number, as that of an empty sample.
func Entropy(probability float64) float64 {
	s := 0.0
	for _, p := range [2]float64{probability, 1 - probability} {
		if p > 0 { // 0 ln 0 is 0, and no comparison with NaN holds
			s -= p * math.Log(p)
		}
	}
	return s
}

// Bit is 1 for true, to count with.
func Bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Pool is values in ascending order.
type Pool []float64

// Add inserts a value.
func (p *Pool) Add(x float64) {
	k, _ := slices.BinarySearch(*p, x)
	*p = slices.Insert(*p, k, x)
}

// Remove takes out one value, which must be in it.
func (p *Pool) Remove(x float64) {
	k, _ := slices.BinarySearch(*p, x)
	*p = slices.Delete(*p, k, k+1)
}

// poolMedianWeight is how often the pool's median counts beside a member's own values.
const poolMedianWeight = 3

// Median is the upper median of a member's own values and poolMedianWeight times the pool's; 1 where the
// pool is empty.
func (p Pool) Median(own []float64) float64 {
	if len(p) == 0 {
		return 1
	}
	all := p[len(p)/2]
	sorted := make([]float64, 0, poolMedianWeight+len(own))
	for range poolMedianWeight {
		sorted = append(sorted, all)
	}
	sorted = append(sorted, own...)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// Recent is a member's most recent values, which are in a pool too.
type Recent []float64

// Add adds a value here and to the pool.
func (r *Recent) Add(pool *Pool, x float64) {
	if len(*r) == MaxRecent {
		pool.Remove((*r)[0])
		*r = (*r)[1:]
	}
	*r = append(*r, x)
	pool.Add(x)
}

// RemoveFrom takes all of the values out of the pool, and drops them here.
func (r *Recent) RemoveFrom(pool *Pool) {
	for _, x := range *r {
		pool.Remove(x)
	}
	*r = nil
}

// Random is a multiply-with-carry generator. Its state is a value, so that a choice can be repeated.
type Random uint64

// NewRandom starts a generator from a seed.
func NewRandom(seed uint64) Random { return Random(seed&0xffffffff | 1<<32) }

// IntN returns a number from 0 to under n.
func (r *Random) IntN(n int) int {
	*r = 4294957665*(*r&0xffffffff) + *r>>32
	return int(*r & 0xffffffff * Random(n) >> 32)
}

// Float64 returns a number from 0 to under 1.
func (r *Random) Float64() float64 { return float64(r.IntN(1<<30)) / (1 << 30) }

// RendezvousOrder sorts items by a hash of a key and their identities. Whoever knows the identities works
// out the same order for the key, and an item that comes or goes moves no other one.
func RendezvousOrder(key uint64, items []int, identity func(item int) uint64) {
	type rankedItem struct {
		rank uint64
		item int
	}
	ranked := make([]rankedItem, len(items)) // hashed once each and not at each comparison
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
