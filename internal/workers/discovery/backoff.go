package discovery

import "time"

// maxDoublings bounds the exponent of a backoff.
const maxDoublings = 10

// call is how one call for a watch went.
type call struct {
	alive    bool          // something came that shows that discovery works
	rejected bool          // discovery had no time for it
	idle     bool          // it ended by the idle timeout
	duration time.Duration // from its beginning to its end
	backoff  time.Duration // before it
}

// callHistory is what the next backoff depends on: the calls since the last one that showed that
// discovery works.
type callHistory struct {
	failures   int // calls that failed; 0 after one that did not, and before the first call
	rejections int // of the failures, those from the first rejected call on

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

// nextBackoff returns the time to wait before the next call. random is from 0 to 1. A discovery that is
// silent or can't be reached may be back any moment; one that rejects calls is called as rarely as the
// changes that it may have allow.
//
// A backoff counts from the beginning of the failed call: a call that hung has used it up. It doubles up
// to a quarter of the upper bound, the next ones are drawn from the rest, and those after them are the
// bound itself. So schedulers that failed together are spread over the bound, and few call more often
// than they must: a discovery that goes on working for calls that have failed can't bear many draws.
func (t Timeouts) nextBackoff(h callHistory, random float64) time.Duration {
	if h.failures == 0 {
		return t.backoffAfterWatch(h.idle, random)
	}
	bounds := t.backoffBounds(h)
	base := max(bounds.base, h.duration)
	period := bounds.upper // from the beginning of the failed call
	switch {
	case base < bounds.upper/4:
		period = time.Duration((1 + random) / 2 * float64(base))
	case base < bounds.drawnBelow, h.rejections%redrawEvery == redrawEvery-1:
		period = time.Duration((1 + 3*random) / 4 * float64(bounds.upper))
	}
	return max(period-h.duration, 0)
}

// backoffAfterWatch is the backoff where no call has failed since the last watch, or since the start.
func (t Timeouts) backoffAfterWatch(idle bool, random float64) time.Duration {
	if idle {
		return time.Duration(random * float64(t.SpreadAfterIdle))
	}
	return time.Duration(random * float64(t.Spread))
}

// backoffBounds are the terms of one backoff.
type backoffBounds struct {
	base       time.Duration // doubled with each failure
	upper      time.Duration
	drawnBelow time.Duration // a base below it is drawn; one at or above it takes the upper bound
}

func (t Timeouts) backoffBounds(h callHistory) backoffBounds {
	if h.rejections == 0 {
		return backoffBounds{
			base:       t.Spread << min(h.failures-1, maxDoublings),
			upper:      t.MaxBackoff,
			drawnBelow: 2 * t.MaxBackoff,
		}
	}
	bounds := backoffBounds{
		base:       t.MaxBackoff / 4 << min(h.rejections-1, maxDoublings),
		upper:      t.MaxBackoffRejected,
		drawnBelow: t.MaxBackoffRejected / 2,
	}
	if h.failures == 1 {
		bounds.upper -= h.backoff // changes since the watch ended are waiting already
	}
	return bounds
}
