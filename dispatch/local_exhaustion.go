package dispatch

import "slices"

// What this machine lacked the means to send: no worker saw it, so it proves nothing of one, and the op is owed as many pushes and looks
// as before. Each next try comes after a longer pause, or the shortage would be a spin.

const (
	firstUnablePause = second / 100
	mostUnablePause  = second / 10
)

// unable takes back a push for which this machine lacked the means.
func (d *Dispatcher) unable(o *op) {
	o.most++ // the one that was counted reached nobody
	o.pause(d.now)
}

// pause holds an op before it is tried again.
func (o *op) pause(now Time) {
	o.next = now + min(firstUnablePause<<o.unableTries, mostUnablePause)
	o.unableTries = min(o.unableTries+1, 8)
}

// probeFailed judges the way to a worker by a probe without an answer.
func (d *Dispatcher) probeFailed(i int, how Outcome) {
	if how != LocalExhaustion {
		d.zones[d.workers[i].zone].Add(d.now, how == Rejected)
	}
}

// drop takes a worker out of an op's pair whose probe has no answer. Of a pair of which nobody could be asked another is drawn.
func (d *Dispatcher) drop(o *op, k int, how Outcome) {
	o.pair, o.got, o.asked = slices.Delete(o.pair, k, k+1), slices.Delete(o.got, k, k+1), o.asked-1
	if how == LocalExhaustion && len(o.pair) == 0 {
		o.unask()
		o.pause(d.now)
	}
}
