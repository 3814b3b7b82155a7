package frontend

import "testing"

// Whatever a process may hold, its clients, its connections to workers and what it keeps for the rest
// hold no more: what a crowd of clients leaves must be there for the watch, for staff and for a member's
// streams, also in the part that an heir gets.
func TestDescriptorsAddUp(t *testing.T) {
	for _, beside := range []int{0, 36} { // for the operator's file
		for sockets := 64 + beside; sockets <= 4096; sockets++ {
			all := sockets - descriptorsReserved - beside
			for _, keep := range []int{0, all / 2, all} {
				limits := splitDescriptors(all, keep)
				some, most, workers := limits.softClients, limits.maxClients, limits.workers
				if some < 1 || some > most || workers < 1 || most+workers > all {
					t.Fatalf("%d descriptors, %d beside, %d kept: %d and %d clients, %d for workers", sockets, beside, keep, some, most, workers)
				}
			}
		}
	}
	for all := -100; all < 2; all++ { // an heir that got next to nothing
		if limits := splitDescriptors(all, 0); limits != (descriptorLimits{1, 1, 1}) {
			t.Fatalf("%d: %+v", all, limits)
		}
	}
}
