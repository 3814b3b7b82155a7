// Package peerload keeps what others last said of something: one number each, with the time of its saying.
package peerload

import "slices"

type word[M ~int64] struct {
	by, n int
	at    M
}

// Reports are the last words of others, in order of their numbers.
type Reports[M ~int64] []word[M]

// Set is another's word, in place of its last.
func (w *Reports[M]) Set(by, n int, now M) {
	k, found := slices.BinarySearchFunc(*w, by, func(x word[M], by int) int { return x.by - by })
	if !found {
		*w = slices.Insert(*w, k, word[M]{})
	}
	(*w)[k] = word[M]{by, n, now}
}

// Drop forgets another's word.
func (w *Reports[M]) Drop(by int) {
	*w = slices.DeleteFunc(*w, func(x word[M]) bool { return x.by == by })
}

// Sum is of the words younger than old: one who has fallen silent says nothing about now.
func (w Reports[M]) Sum(now, old M) (n int) {
	for _, x := range w {
		if now-x.at < old {
			n += x.n
		}
	}
	return n
}
