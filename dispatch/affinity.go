package dispatch

import "woaddyke/internal/base/stats"

const (
	// noKey is the affinity key of an op that needs no data kept by workers. In affinityKeys, its count is
	// the number of all ops that have a key.
	noKey uint64 = 0
	// maxCountedKeys limits the keys counted in a period. Any further key counts as rare.
	maxCountedKeys = 4096
	// minKeyWorkers is the least number of workers that a key prefers.
	minKeyWorkers = 2
	// keyWorkersFactor is the number of workers of a key, relative to those that its ops alone would fill.
	keyWorkersFactor = 1.5
)

// affinityKeys counts the ops of each key in the current and in the previous period of halving.
type affinityKeys struct {
	counts, previous map[uint64]float64
}

func (k *affinityKeys) count(key uint64) {
	if len(k.counts) < maxCountedKeys || k.counts[key] > 0 {
		k.counts[key]++
	}
	k.counts[noKey]++
}

func (k *affinityKeys) halve() { k.previous, k.counts = k.counts, map[uint64]float64{} }

// fraction returns the fraction of ops with this key among all ops that have a key.
func (k *affinityKeys) fraction(key uint64) float64 {
	return (k.counts[key] + k.previous[key]) / max(k.counts[noKey]+k.previous[noKey], 1)
}

// schedulerKey returns the key of a scheduler's own rendezvous order of the workers.
func schedulerKey(scheduler int) uint64 { return uint64(scheduler+1) * 0x9e3779b97f4a7c15 }

// preferredWorkers returns the workers that an op's pair is drawn from. For an op with an affinity key,
// they are the first workers in the key's rendezvous order: as many as the key's fraction of the ops fills,
// and two more. If pairs were drawn from the whole fleet, workers would have to fetch most keys again. For
// other ops, if connections have a price, they are the first workers in the scheduler's own order.
// Otherwise each scheduler would keep connections to up to half of the fleet.
func (d *Dispatcher) preferredWorkers(o *op, from []int) []int {
	key, n := o.affinityKey, float64(minKeyWorkers)
	switch {
	case key != noKey && d.settings.AffinityKeys:
		n += keyWorkersFactor * d.keys.fraction(key) * float64(d.fleet.ready)
	case d.settings.ConnectionPrice > 0:
		key, n = schedulerKey(d.settings.Scheduler), workersPerSubscriber
	default:
		return from
	}
	stats.RendezvousOrder(key, from, d.fleet.identityHash)
	return from[:min(len(from), int(n))]
}
