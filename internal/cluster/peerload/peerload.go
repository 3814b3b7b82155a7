// Package peerload stores the latest load report of each sender. A report is a number with the time of its
// arrival.
package peerload

import "slices"

type report[M ~int64] struct {
	sender, value int
	arrivedAt     M
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
		if now-x.arrivedAt < maxAge {
			sum += x.value
		}
	}
	return sum
}
