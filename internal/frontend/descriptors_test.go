package frontend

import "testing"

// For any number of descriptors, the limits of clients and of connections to workers and the reserved
// descriptors must not add up to more. Many clients must not use up the descriptors of discovery's watch, the
// console and the streams of members, also with the part that a successor gets.
func TestDescriptorLimitsNeverExceedTheTotal(t *testing.T) {
	for _, reserved := range []int{0, 36} { // 36 for the operator's file
		for sockets := 64 + reserved; sockets <= 4096; sockets++ {
			total := sockets - descriptorsReserved - reserved
			for _, minWorkers := range []int{0, total / 2, total} {
				limits := splitDescriptors(total, minWorkers)
				soft, maximum, workers := limits.softClients, limits.maxClients, limits.workers
				if soft < 1 || soft > maximum || workers < 1 || maximum+workers > total {
					t.Fatalf("%d descriptors, %d reserved, at least %d for workers: limits of %d and %d clients, %d workers",
						sockets, reserved, minWorkers, soft, maximum, workers)
				}
			}
		}
	}
	for total := -100; total < 2; total++ { // a successor that got almost no descriptors
		if limits := splitDescriptors(total, 0); limits != (descriptorLimits{1, 1, 1}) {
			t.Fatalf("%d: %+v", total, limits)
		}
	}
}
