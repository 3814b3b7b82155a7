// Package peerload stores the latest report of each sender: one number, with the time when it arrived.
package peerload

import "slices"

type report[M ~int64] struct {
	sender, value int
	at            M
}

// Reports are the latest reports of all senders, ordered by sender number.
type Reports[M ~int64] []report[M]

// Set stores a sender's report and replaces the sender's previous one.
func (r *Reports[M]) Set(sender, value int, now M) {
	bySender := func(x report[M], sender int) int { return x.sender - sender }
	k, found := slices.BinarySearchFunc(*r, sender, bySender)
	if !found {
		*r = slices.Insert(*r, k, report[M]{})
	}
	(*r)[k] = report[M]{sender, value, now}
}

// Remove deletes a sender's report.
func (r *Reports[M]) Remove(sender int) {
	*r = slices.DeleteFunc(*r, func(x report[M]) bool { return x.sender == sender })
}

// Sum returns the sum of the reports that are younger than maxAge. An older report says nothing about the
// present load of its sender.
func (r Reports[M]) Sum(now, maxAge M) (sum int) {
	for _, x := range r {
		if now-x.at < maxAge {
			sum += x.value
		}
	}
	return sum
}
