package dispatch

import (
	"maps"
	"testing"
)

// The ops of a key must go to few workers, and schedulers that number the workers differently must choose
// the same ones. If every worker fetches each key, the store is overloaded until all jobs stall.
func TestOpsOfAKeyPreferTheSameWorkers(t *testing.T) {
	probedHashes := func(rotation int) map[uint64]bool {
		d := testDispatcher(40, func(s *Settings) { s.AffinityKeys = true })
		for i := range 40 {
			setIdentity(d, i, uint64((i+rotation)%40)*0x51ed2701_9b3c1d77+1, 0)
		}
		hashes := map[uint64]bool{}
		for k := range 30 {
			// There are ten keys. Each prefers two workers, plus 1.5 times a tenth of the fleet.
			d.AddOp(k, OpSpec{TTL: d.now + 50_000, Slots: 1, AffinityKey: uint64(1 + k%10)})
			for _, a := range pullDecisions(d) {
				if a.Kind == Probe && k%10 == 3 {
					hashes[d.fleet.workers[a.Worker].identityHash] = true
				}
			}
		}
		return hashes
	}
	for _, rotation := range []int{0, 13} {
		if n := len(probedHashes(rotation)); n > 8 {
			t.Errorf("rotation %d: %d workers probed for one key, want at most 8", rotation, n)
		}
	}
	all := probedHashes(0)
	for hash := range probedHashes(13) {
		all[hash] = true
	}
	if len(all) > 8 {
		t.Errorf("two schedulers probed %d workers for one key, want at most 8", len(all))
	}
}

// If connections have a price, a scheduler must probe only a few workers of its own. Otherwise each of
// hundreds of schedulers under low load keeps a connection to half of the fleet.
func TestPricedConnectionsLimitTheWorkersProbed(t *testing.T) {
	probedWorkers := func(scheduler int, price float64) map[int]bool {
		d := testDispatcher(40, func(s *Settings) { s.Scheduler, s.ConnectionPrice = scheduler, price })
		for i := range 40 {
			setIdentity(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, 0)
		}
		workers := map[int]bool{}
		for range 60 {
			x, y := admitAndProbe(t, d, 0, 0)
			workers[x], workers[y] = true, true
			answerAndPush(t, d, x, loadWithJobs(0), y, loadWithJobs(0))
			d.AdvanceClock(d.now + 50)
			d.AttemptEnded(0, 0, Succeeded, true)
			pullDecisions(d)
		}
		return workers
	}
	if n := len(probedWorkers(1, 0)); n < 30 {
		t.Errorf("%d workers probed though connections have no price, want at least 30", n)
	}
	one, two := probedWorkers(1, 0.05), probedWorkers(2, 0.05)
	if len(one) > workersPerSubscriber || len(two) > workersPerSubscriber || maps.Equal(one, two) {
		t.Errorf("scheduler 1 probes %v, scheduler 2 probes %v, want different sets within workersPerSubscriber",
			one, two)
	}
}

// Counted keys must be limited: clients choose the keys, so counting all of them would exhaust the memory.
func TestCountedKeysAreBoundedAndForgotten(t *testing.T) {
	k := affinityKeys{counts: map[uint64]float64{}}
	for range 3 {
		for key := range uint64(2 * maxCountedKeys) {
			k.count(key + 1)
		}
	}
	if len(k.counts) > maxCountedKeys {
		t.Errorf("%d keys are counted, more than maxCountedKeys", len(k.counts))
	}
	if f := k.fraction(1); f != 3/float64(6*maxCountedKeys) {
		t.Errorf("key 1 has a fraction %g of the ops", f)
	}
	k.halve()
	if k.fraction(1) == 0 {
		t.Error("a key of the previous period does not count")
	}
	k.halve()
	if k.fraction(1) != 0 {
		t.Error("a key of two periods ago still counts")
	}
}
