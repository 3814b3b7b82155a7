package discovery

import "time"

const (
	dialTimeout = time.Second // a connection that takes longer to come up never will

	heartbeatInterval = 2 * time.Second // an empty line comes this often while nothing changes
	// The first wait of a lone scheduler for another watch; each that fails doubles it.
	minBackoff = 20 * time.Millisecond

	// A change counts as told so long after discovery had it and could be reached, whatever became of the calls before.
	changeDeadline = 6 * time.Second
	applyTime      = 100 * time.Millisecond // of a list, from its last byte on
	// An answer that is waited for. A call that was cut after a second was what a busy discovery was about to answer: its work was
	// done all the same. One that has no news may send its head with the first empty line.
	responseTimeout = 5 * heartbeatInterval / 4
	// An answer that takes no longer is applied by the time when it counts as told; one that takes longer, within a drain's grace.
	usualResponseTime = 3 * time.Second / 2

	// All schedulers lose their watch together, or start together. A discovery that is asked answers them in turn, and what has
	// waited too long fails though the work is done: asked by all at once, and by all again, it answered none for good. So they
	// come back at this many a second, in sum, as far as the spans above and a drain's grace allow it.
	callsPerSecond = 20
	// What such a discovery would have told a scheduler, had it asked, counts as told: it must have asked, and have its answer,
	// before a drain's grace has passed.
	graceFraction = 0.8
	// All schedulers are not spread over more after a break, so that what is turned away then has another call in time.
	maxSpread = heartbeatInterval

	// While calls are turned away one wait in so many is drawn anew.
	redrawEvery = 3

	// A discovery that pushes has an agent on this machine, which answers at once and at no cost, and what it has counts as told
	// while nobody reads it, also at the moment when it is back after a silence. So a call that it leaves hanging and the wait for
	// the next one, together, take three fifths of a drain's grace at the most; the rest is for the call that is answered.
	responseGraceFraction = 0.4
	backoffGraceFraction  = 0.2
	// No call is given less: a process that is starved for a moment must not cut off its own calls.
	minResponseTimeout = 100 * time.Millisecond
)

// Timeouts are the times by which a watch is kept.
type Timeouts struct {
	Idle               time.Duration // so long without a byte, or without the rest of an object, and the watch is lost
	Response           time.Duration // a call that has no head by then is lost
	Spread             time.Duration // over which all schedulers come back
	SpreadAfterIdle    time.Duration // the same after a silence, of which Quiet has passed
	MaxBackoff         time.Duration // the longest time from the beginning of a call that failed to that of the next one
	MaxBackoffRejected time.Duration // the same while calls are turned away
}

// TimeoutsFor works them out from whether discovery pushes, how many schedulers ask it, and the grace of a drain. docs/design.md has
// the sums that they have to keep, and tests add them up.
func TimeoutsFor(pushes bool, schedulers int, grace time.Duration) Timeouts {
	const quiet = 3 * heartbeatInterval / 2
	if pushes {
		most := min(16*minBackoff, time.Duration(backoffGraceFraction*float64(grace)))
		spread := min(minBackoff, most)
		return Timeouts{Idle: quiet, Response: min(max(time.Duration(responseGraceFraction*float64(grace)), minResponseTimeout), responseTimeout),
			Spread: spread, SpreadAfterIdle: spread, MaxBackoff: most, MaxBackoffRejected: most}
	}
	all := time.Duration(schedulers) * time.Second / callsPerSecond
	in := time.Duration(graceFraction * float64(grace))
	spread := max(min(all, in, maxSpread), minBackoff)
	period := changeDeadline - applyTime - max(usualResponseTime, responseTimeout-in)
	return Timeouts{Idle: quiet, Response: responseTimeout, Spread: spread, SpreadAfterIdle: min(spread, changeDeadline-applyTime-usualResponseTime-quiet),
		MaxBackoff: min(max(all, 16*minBackoff), period), MaxBackoffRejected: period}
}

// callHistory is how the calls since the last that was heard have ended.
type callHistory struct {
	failures   int           // none: a watch was heard, or there was no call yet
	rejections int           // of them, from the first on that was turned away
	idle       bool          // the last one
	duration   time.Duration // by it
	backoff    time.Duration // before it
}

// addFailure counts one more.
func (b *callHistory) addFailure(turnedAway bool) {
	if b.failures++; b.rejections > 0 || turnedAway {
		b.rejections++
	}
}

// nextBackoff is the wait for another watch; luck is from 0 to 1. What is silent or not there may be back any moment; what turns calls
// away is asked as rarely as what it has to tell allows.
//
// A wait counts from where the failed call began: one that hung has used it up. It doubles up to a quarter of the longest; the next
// are drawn from the rest, and those that follow have it exactly. So schedulers that failed together are spread over it, and
// hardly one asks more often than it must. A discovery that works on for those that it has failed can't bear many draws.
func (s Timeouts) nextBackoff(b callHistory, luck float64) time.Duration {
	switch {
	case b.failures > 0:
	case b.idle:
		return time.Duration(luck * float64(s.SpreadAfterIdle))
	default:
		return time.Duration(luck * float64(s.Spread))
	}
	last, most, drawn := s.Spread<<min(b.failures-1, 10), s.MaxBackoff, 2*s.MaxBackoff
	if b.rejections > 0 {
		last, most, drawn = s.MaxBackoff/4<<min(b.rejections-1, 10), s.MaxBackoffRejected, s.MaxBackoffRejected/2
		if b.failures == 1 {
			most -= b.backoff // what discovery had at the break is owed a call since then
		}
	}
	wait := most
	if last = max(last, b.duration); last < most/4 {
		wait = time.Duration((1 + luck) / 2 * float64(last))
	} else if last < drawn || b.rejections%redrawEvery == redrawEvery-1 {
		wait = time.Duration((1 + 3*luck) / 4 * float64(most))
	}
	return max(wait-b.duration, 0)
}
