package dispatch

import "slices"

// This file handles local exhaustion: this machine lacked a file descriptor, a port or memory for an
// attempt or a probe. The attempt or probe reached no worker, so it says nothing about a worker and uses up
// none of the op's attempts and probe rounds.

const (
	minExhaustionBackoff   = second / 100
	maxExhaustionBackoff   = second / 10
	maxExhaustionDoublings = 8
)

// refundAttempt gives an op another attempt for one that ended in local exhaustion.
func (d *Dispatcher) refundAttempt(o *op) {
	o.maxAttempts++ // the counted attempt reached no worker
	o.startBackoff(d.now)
}

// startBackoff delays an op's next pair, longer each time: during a shortage the op would otherwise be
// retried in a busy loop.
func (o *op) startBackoff(now Time) {
	o.probes.notBefore = now + min(minExhaustionBackoff<<o.localExhaustions, maxExhaustionBackoff)
	o.localExhaustions = min(o.localExhaustions+1, maxExhaustionDoublings)
}

// dropFromPair removes a worker whose probe failed from an op's pair, so that the op does not wait for it.
// If local exhaustion leaves no worker in the pair, another pair is drawn after a backoff.
func (d *Dispatcher) dropFromPair(o *op, k int, outcome Outcome) {
	p := &o.probes
	p.pair = slices.Delete(p.pair, k, k+1)
	p.answered = slices.Delete(p.answered, k, k+1)
	p.sent--
	if outcome == LocalExhaustion && len(p.pair) == 0 {
		o.discardPair()
		o.startBackoff(d.now)
	}
}
