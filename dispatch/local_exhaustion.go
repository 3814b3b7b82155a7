package dispatch

import "slices"

// What this machine lacked the means to send: no worker saw it, so it proves nothing of one, and the op is owed as many pushes and looks
// as before. Each next try comes after a longer pause, or the shortage would be a spin.

const (
	minExhaustionBackoff = second / 100
	maxExhaustionBackoff = second / 10
)

// refundAttempt takes back a push for which this machine lacked the means.
func (d *Dispatcher) refundAttempt(o *op) {
	o.maxAttempts++ // the one that was counted reached nobody
	o.backOff(d.now)
}

// backOff holds an op before it is tried again.
func (o *op) backOff(now Time) {
	o.notBefore = now + min(minExhaustionBackoff<<o.exhaustions, maxExhaustionBackoff)
	o.exhaustions = min(o.exhaustions+1, 8)
}

// judgeZone judges the way to a worker by a probe without an answer.
func (d *Dispatcher) judgeZone(i int, how Outcome) {
	if how != LocalExhaustion {
		d.zones[d.workers[i].zone].Add(d.now, how == Rejected)
	}
}

// dropProbed takes a worker out of an op's pair whose probe has no answer. Of a pair of which nobody could be asked another is drawn.
func (d *Dispatcher) dropProbed(o *op, k int, how Outcome) {
	o.pair, o.answered, o.probesSent = slices.Delete(o.pair, k, k+1), slices.Delete(o.answered, k, k+1), o.probesSent-1
	if how == LocalExhaustion && len(o.pair) == 0 {
		o.discardPair()
		o.backOff(d.now)
	}
}
