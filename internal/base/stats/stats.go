// Package stats holds the plain arithmetic of small samples and of chance: the last few of a measurement, a pool in
// order with its middle, a generator, and an order of things that everybody works out alike.
package stats

import (
	"cmp"
	"math"
	"slices"
)

// MaxRecent is how many of a measurement are kept.
const MaxRecent = 32

// AppendRecent adds a value to the last few.
func AppendRecent[T any](few []T, v T) []T {
	if few = append(few, v); len(few) > MaxRecent {
		few = few[1:]
	}
	return few
}

// Quantile is the value at the share q of the last few, of which there must be one at least.
func Quantile[T cmp.Ordered](few []T, q float64) T {
	var room [MaxRecent]T
	s := append(room[:0], few...)
	slices.Sort(s)
	return s[int(q*float64(len(s)-1)+0.5)]
}

// Mean of integers rounds towards 0; of none it is 0.
func Mean[T ~int64](few []T) T {
	var sum T
	for _, t := range few {
		sum += t
	}
	return sum / T(max(len(few), 1))
}

// Entropy is that of a chance: 0 where it is none or certain, or no number.
func Entropy(chance float64) float64 {
	s := 0.0
	for _, p := range [2]float64{chance, 1 - chance} {
		if p > 0 { // 0 ln 0 is 0; of an empty side p is no number
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

// Pool is values in order.
type Pool []float64

// Add puts a value in its place.
func (p *Pool) Add(x float64) {
	k, _ := slices.BinarySearch(*p, x)
	*p = slices.Insert(*p, k, x)
}

// Remove takes out one value, which must be in it.
func (p *Pool) Remove(x float64) {
	k, _ := slices.BinarySearch(*p, x)
	*p = slices.Delete(*p, k, k+1)
}

// Recent is the last few of one's values, which count in a pool too.
type Recent []float64

// Add is another value, here and in the pool.
func (p *Recent) Add(pool *Pool, x float64) {
	if len(*p) == MaxRecent {
		pool.Remove((*p)[0])
		*p = (*p)[1:]
	}
	*p = append(*p, x)
	pool.Add(x)
}

// RemoveFrom takes all of them out of the pool.
func (p *Recent) RemoveFrom(pool *Pool) {
	for _, x := range *p {
		pool.Remove(x)
	}
	*p = nil
}

// Median is the upper median of the pool, or of few values and three times that one; 1 where the pool is empty.
func (p Pool) Median(few []float64) float64 {
	if len(p) == 0 {
		return 1
	}
	all := p[len(p)/2]
	s := append([]float64{all, all, all}, few...)
	slices.Sort(s)
	return s[len(s)/2]
}

// Random is a multiply-with-carry generator.
type Random uint64

// NewRandom starts a generator from a seed.
func NewRandom(seed uint64) Random { return Random(seed&0xffffffff | 1<<32) }

// IntN is a number from 0 to under n.
func (c *Random) IntN(n int) int {
	*c = 4294957665*(*c&0xffffffff) + *c>>32
	return int(*c & 0xffffffff * Random(n) >> 32)
}

// Float64 is a number from 0 to under 1.
func (c *Random) Float64() float64 { return float64(c.IntN(1<<30)) / (1 << 30) }

// RendezvousOrder sorts items by a hash of a key and their marks: an order of the key's own, which everybody who knows the marks
// works out alike, and in which what comes or goes moves nothing else.
func RendezvousOrder(key uint64, items []int, mark func(item int) uint64) {
	type ranked struct {
		rank uint64
		item int
	}
	all := make([]ranked, len(items)) // hashed once each and not at each comparison
	for k, i := range items {
		h := (key ^ mark(i)) * 0x9e3779b97f4a7c15
		h = (h ^ h>>32) * 0xd6e8feb86659fd93
		all[k] = ranked{h ^ h>>32, i}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	for k := range all {
		items[k] = all[k].item
	}
}
