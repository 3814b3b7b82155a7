// Package peerload keeps what others last said of something: one number each, with the time of its saying.
package peerload

import "slices"

type report[M ~int64] struct {
	sender, value int
	at            M
}

// Reports are the last words of others, in order of their numbers.
type Reports[M ~int64] []report[M]

// Set is another's word, in place of its last.
func (w *Reports[M]) Set(by, n int, now M) {
	k, found := slices.BinarySearchFunc(*w, by, func(x report[M], by int) int { return x.sender - by })
	if !found {
		*w = slices.Insert(*w, k, report[M]{})
	}
	(*w)[k] = report[M]{by, n, now}
}

// Remove forgets another's word.
func (w *Reports[M]) Remove(by int) {
	*w = slices.DeleteFunc(*w, func(x report[M]) bool { return x.sender == by })
}

// Sum is of the words younger than old: one who has fallen silent says nothing about now.
func (w Reports[M]) Sum(now, old M) (n int) {
	for _, x := range w {
		if now-x.at < old {
			n += x.value
		}
	}
	return n
}
