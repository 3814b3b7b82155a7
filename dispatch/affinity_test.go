package dispatch

import (
	"maps"
	"testing"
)

// Keys that every worker fetched anew filled the store until all jobs stalled: a key's ops must meet few workers, and
// schedulers that number the workers differently must mean the same ones.
func TestOpsOfAKeyPreferTheSameWorkers(t *testing.T) {
	met := func(turn int) map[uint64]bool {
		d := fleet(40, func(s *Settings) { s.AffinityKeys = true })
		for i := range 40 {
			identify(d, i, uint64((i+turn)%40)*0x51ed2701_9b3c1d77+1, 0)
		}
		marks := map[uint64]bool{}
		for k := range 30 {
			// Ten keys: each may have its two workers and a tenth of the fleet, half as much again.
			d.AddOp(k, OpSpec{TTL: d.now + 50_000, Slots: 1, AffinityKey: uint64(1 + k%10)})
			for _, a := range decisions(d) {
				if a.Kind == Probe && k%10 == 3 {
					marks[d.fleet.workers[a.Worker].identityHash] = true
				}
			}
		}
		return marks
	}
	for _, turn := range []int{0, 13} {
		if n := len(met(turn)); n > 8 {
			t.Errorf("turn %d: %d workers met by one key", turn, n)
		}
	}
	all := met(0)
	for m := range met(13) {
		all[m] = true
	}
	if len(all) > 8 {
		t.Errorf("two schedulers mean %d workers by one key", len(all))
	}
}

// Each of hundreds of quiet schedulers kept a connection to half the fleet: there a scheduler meets a few of its own.
func TestPricedConnectionsLimitTheWorkersProbed(t *testing.T) {
	met := func(number int, price float64) map[int]bool {
		d := fleet(40, func(s *Settings) { s.Scheduler, s.ConnectionPrice = number, price })
		for i := range 40 {
			identify(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, 0)
		}
		workers := map[int]bool{}
		for range 60 {
			x, y := probed(t, d, 0, 0)
			workers[x], workers[y] = true, true
			pushed(t, d, x, jobs(0), y, jobs(0))
			d.AdvanceClock(d.now + 50)
			d.AttemptEnded(0, 0, Succeeded, true)
			decisions(d)
		}
		return workers
	}
	if n := len(met(1, 0)); n < 30 {
		t.Errorf("connections are free and %d workers met", n)
	}
	one, two := met(1, 0.05), met(2, 0.05)
	if len(one) > subscribersPerWorker || len(two) > subscribersPerWorker || maps.Equal(one, two) {
		t.Errorf("one scheduler meets %v, another %v", one, two)
	}
}

// Clients choose the keys: counting all of them would fill the memory.
func TestCountedKeysAreBoundedAndForgotten(t *testing.T) {
	k := affinityKeys{counts: map[uint64]float64{}}
	for range 3 {
		for key := range uint64(2 * maxCountedKeys) {
			k.count(key + 1)
		}
	}
	if len(k.counts) > maxCountedKeys {
		t.Errorf("%d keys are counted", len(k.counts))
	}
	if f := k.fraction(1); f != 3/float64(6*maxCountedKeys) {
		t.Errorf("key 1 has %g of the ops", f)
	}
	k.halve()
	if k.fraction(1) == 0 {
		t.Error("the last period does not count")
	}
	k.halve()
	if k.fraction(1) != 0 {
		t.Error("a key of two periods ago still counts")
	}
}
