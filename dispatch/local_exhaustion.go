package dispatch

import "slices"

// What this machine lacked a descriptor, a port or memory for: no worker saw it, so it proves nothing of
// one, and the op is owed as many attempts and probe rounds as before.

const (
	minExhaustionBackoff  = second / 100
	maxExhaustionBackoff  = second / 10
	maxExhaustionDoubling = 8
)

// refundAttempt takes back an attempt that this machine lacked the means for.
func (d *Dispatcher) refundAttempt(o *op) {
	o.maxAttempts++ // the one that was counted reached no worker
	o.backOff(d.now)
}

// backOff holds an op before it is tried again, longer each time: the shortage would otherwise become a
// spin.
func (o *op) backOff(now Time) {
	o.probes.notBefore = now + min(minExhaustionBackoff<<o.exhaustions, maxExhaustionBackoff)
	o.exhaustions = min(o.exhaustions+1, maxExhaustionDoubling)
}

// dropProbed takes a worker out of an op's pair whose probe has no answer: waiting on would only hold the
// op. Of a pair of which no worker could be probed another one is drawn.
func (d *Dispatcher) dropProbed(o *op, k int, how Outcome) {
	p := &o.probes
	p.pair = slices.Delete(p.pair, k, k+1)
	p.answered = slices.Delete(p.answered, k, k+1)
	p.sent--
	if how == LocalExhaustion && len(p.pair) == 0 {
		o.discardPair()
		o.backOff(d.now)
	}
}
