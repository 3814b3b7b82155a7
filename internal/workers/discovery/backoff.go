package discovery

import "time"

// maxDoublings bounds the exponent of a backoff.
const maxDoublings = 10

// call describes a call that has ended, whether or not it opened a watch.
type call struct {
	alive    bool          // a complete object or a heartbeat was received
	rejected bool          // discovery was overloaded
	idle     bool          // ended by the idle timeout
	duration time.Duration // from its start to its end
	backoff  time.Duration // waited before the call
}

// callHistory summarizes the calls since the last call with call.alive set. It determines the next backoff.
type callHistory struct {
	failures   int // failed calls; 0 before the first call and after a successful one
	rejections int // failures from the first rejected call on

	// Values of the last call.
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
// is silent or unreachable may return at any moment. A service that rejects calls is called as rarely as the
// deadline for applying its changes allows.
//
// The backoff counts from the start of the failed call, so the duration of a call that hung is subtracted
// from it. It doubles up to a quarter of the upper bound. Then it is random, between that quarter and the
// bound, which spreads schedulers that failed simultaneously. Finally it equals the bound, so that few
// schedulers call more often than necessary: random backoffs are shorter than the bound, and a service that
// keeps working on calls that have already failed can't serve many calls that come early.
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

// backoffBounds are the parameters of one backoff, which counts from the start of the failed call.
type backoffBounds struct {
	base            time.Duration // doubles with each failure
	upper           time.Duration
	randomizedBelow time.Duration // if base is below it, the backoff is random; otherwise it equals upper
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
		bounds.upper -= h.backoff // a change may date from the end of the watch, before this backoff
	}
	return bounds
}
