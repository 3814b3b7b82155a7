package frontend

import "testing"

// For any number of descriptors, also the small number that a successor may get, the reserved descriptors and
// the limits of client and worker connections must not add up to more. Otherwise many clients could use up
// the descriptors of discovery's watch, the console and the streams between members.
func TestDescriptorLimitsNeverExceedTheTotal(t *testing.T) {
	for _, reserved := range []int{0, 36} { // 36 are mesh.Descriptors and store.Descriptors
		for sockets := 64 + reserved; sockets <= 4096; sockets++ {
			total := sockets - baseDescriptors - reserved
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
