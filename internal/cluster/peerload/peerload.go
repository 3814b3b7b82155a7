// Package peerload holds the last reports of others about something: one number each, with its time.
package peerload

import "slices"

type report[M ~int64] struct {
	sender, value int
	at            M
}

// Reports are the last reports of others, in order of the senders' numbers.
type Reports[M ~int64] []report[M]

// Set takes a sender's report, in place of its last.
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

// Sum is that of the reports younger than maxAge: a sender that has fallen silent says nothing about now.
func (r Reports[M]) Sum(now, maxAge M) (sum int) {
	for _, x := range r {
		if now-x.at < maxAge {
			sum += x.value
		}
	}
	return sum
}
