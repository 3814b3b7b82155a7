package discovery

import "time"

// maxDoublings bounds the exponent of a backoff.
const maxDoublings = 10

// call is the result of one call for a watch.
type call struct {
	alive    bool          // a complete object or a heartbeat was received
	rejected bool          // discovery was overloaded
	idle     bool          // ended by the idle timeout
	duration time.Duration // from its start to its end
	backoff  time.Duration // before the call
}

// callHistory summarizes the calls since the last one that was alive. It determines the next backoff.
type callHistory struct {
	failures   int // failed calls; 0 before the first call and after a successful one
	rejections int // failures from the first rejected call on

	// Of the last call.
	idle     bool
	duration time.Duration
	backoff  time.Duration
}

func (h *callHistory) addCall(c call) {
	if c.alive {
		*h = callHistory{}
	} else {
		h.addFailure(c.rejected)
	}
	h.idle = c.idle
	h.duration = c.duration
	h.backoff = c.backoff
}

func (h *callHistory) addFailure(rejected bool) {
	h.failures++
	if h.rejections > 0 || rejected {
		h.rejections++
	}
}

// nextBackoff returns the time to wait before the next call; random is from 0 to 1. A discovery service that
// is silent or unreachable may return at any moment. One that rejects calls is called as rarely as the
// deadline for applying its changes allows.
//
// The backoff is measured from the start of the failed call, so a call that hung has used it up. It doubles
// up to a quarter of the upper bound, is then randomized between that and the bound, and finally equals
// the bound. This spreads schedulers that failed together over the bound, and few of them call more often
// than necessary: a service that keeps working on calls that have already failed can't serve many
// randomized calls, as they come before the bound.
func (t Timeouts) nextBackoff(h callHistory, random float64) time.Duration {
	if h.failures == 0 {
		return t.backoffAfterWatch(h.idle, random)
	}
	bounds := t.backoffBounds(h)
	base := max(bounds.base, h.duration)
	period := bounds.upper // from the start of the failed call
	switch {
	case base < bounds.upper/4:
		period = time.Duration((1 + random) / 2 * float64(base))
	case base < bounds.randomizedBelow, h.rejections%rerandomizeEvery == rerandomizeEvery-1:
		period = time.Duration((1 + 3*random) / 4 * float64(bounds.upper))
	}
	return max(period-h.duration, 0)
}

// backoffAfterWatch returns the backoff if no call has failed since the last watch or since the start.
func (t Timeouts) backoffAfterWatch(idle bool, random float64) time.Duration {
	if idle {
		return time.Duration(random * float64(t.SpreadAfterIdle))
	}
	return time.Duration(random * float64(t.Spread))
}

// backoffBounds are the parameters of one backoff.
type backoffBounds struct {
	base            time.Duration // doubles with each failure
	upper           time.Duration
	randomizedBelow time.Duration // a base below it is randomized; otherwise the upper bound applies
}

func (t Timeouts) backoffBounds(h callHistory) backoffBounds {
	if h.rejections == 0 {
		return backoffBounds{
			base:            t.Spread << min(h.failures-1, maxDoublings),
			upper:           t.MaxBackoff,
			randomizedBelow: 2 * t.MaxBackoff,
		}
	}
	bounds := backoffBounds{
		base:            t.MaxBackoff / 4 << min(h.rejections-1, maxDoublings),
		upper:           t.MaxBackoffRejected,
		randomizedBelow: t.MaxBackoffRejected / 2,
	}
	if h.failures == 1 {
		bounds.upper -= h.backoff // changes may be pending since the watch ended
	}
	return bounds
}
