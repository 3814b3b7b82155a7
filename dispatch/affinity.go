package dispatch

import "woaddyke/internal/base/stats"

const (
	// noKey is the affinity key of an op that needs nothing workers keep. All ops with a key are counted
	// under it.
	noKey uint64 = 0
	// maxCountedKeys bounds the keys counted in a period; one beyond them counts as rare.
	maxCountedKeys = 4096
	// minKeyWorkers are preferred by any key.
	minKeyWorkers = 2
	// keyWorkersFactor is how many workers a key has over those that its ops would fill alone.
	keyWorkersFactor = 1.5
)

// affinityKeys counts how often each key is asked for, in this period of halving and in the last.
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

// fraction is the part of all ops with a key that ask for this one.
func (k *affinityKeys) fraction(key uint64) float64 {
	return (k.counts[key] + k.previous[key]) / max(k.counts[noKey]+k.previous[noKey], 1)
}

// schedulerKey is the key by which a scheduler orders the workers.
func schedulerKey(scheduler int) uint64 { return uint64(scheduler+1) * 0x9e3779b97f4a7c15 }

// preferredWorkers are the workers that an op's pair is drawn from. With an affinity key: the first ones
// of the key's rendezvous order, as many as the key's fraction of the ops fills and two more; over a
// whole fleet, workers would fetch most keys anew. Else, where connections cost, the first ones of the
// scheduler's own order: else each scheduler would keep connections to up to half of the fleet.
func (d *Dispatcher) preferredWorkers(o *op, from []int) []int {
	key, n := o.affinityKey, float64(minKeyWorkers)
	switch {
	case key != noKey && d.settings.AffinityKeys:
		n += keyWorkersFactor * d.keys.fraction(key) * float64(d.fleet.ready)
	case d.settings.ConnectionPrice > 0:
		key, n = schedulerKey(d.settings.Scheduler), subscribersPerWorker
	default:
		return from
	}
	stats.RendezvousOrder(key, from, d.fleet.identityHash)
	return from[:min(len(from), int(n))]
}
