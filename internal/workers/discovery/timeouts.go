package discovery

import "time"

// Times of one call.
const (
	// dialTimeout: a connection on this machine or in this zone that takes longer to come up never will.
	dialTimeout = time.Second

	// heartbeatInterval is how often discovery sends an empty line while nothing changes.
	heartbeatInterval = 2 * time.Second

	// idleTimeout is the longest time without a byte, or without the rest of an object.
	idleTimeout = 3 * heartbeatInterval / 2

	// responseTimeout is for the head of a response. A busy discovery finishes the work for a call that
	// was cut, so a shorter timeout wastes its work. One without news may send the head with the first
	// heartbeat.
	responseTimeout = 5 * heartbeatInterval / 4

	// minResponseTimeout bounds the response timeout from below: a process that is starved for a moment
	// must not cut its own calls.
	minResponseTimeout = 100 * time.Millisecond

	// applyTime is for a list to be applied, from its last byte on.
	applyTime = 100 * time.Millisecond
)

// Times by which a change must be applied.
const (
	// changeDeadline is the time from a change, or from when discovery can be reached again, to the
	// moment at which the change is in force for everybody, however the calls in between ended.
	changeDeadline = 6 * time.Second

	// usualResponseTime: a response that takes no longer is applied within changeDeadline; a later one
	// within a drain's grace more.
	usualResponseTime = 3 * time.Second / 2

	// graceFraction of a drain's grace is for a call and its response: what discovery has counts as in
	// force for a scheduler that could have called.
	graceFraction = 0.8
)

// Times between calls.
const (
	// minBackoff is the first backoff of a scheduler that calls alone. Each failed call doubles it.
	minBackoff = 20 * time.Millisecond

	// maxBackoffAlone is the longest backoff of a scheduler that calls alone.
	maxBackoffAlone = 16 * minBackoff

	// callsPerSecond is the rate of calls of all schedulers together. They lose their watches together
	// and start together. A discovery that answers them in turn fails each call that has waited too long,
	// though it has done the work; called by all at once and again, it may never answer any.
	callsPerSecond = 20

	// maxSpread bounds the time over which all schedulers call again after a break, so that a rejected
	// call can be repeated in time.
	maxSpread = heartbeatInterval

	// redrawEvery is after how many rejected calls a backoff is drawn anew.
	redrawEvery = 3
)

// A discovery that pushes its list has an agent on this machine, which answers at once. What the agent
// has is in force also while nobody reads it. So a call that hangs and the backoff after it take three
// fifths of a drain's grace at most, and the rest is for the call that is answered.
const (
	responseGraceFraction = 0.4
	backoffGraceFraction  = 0.2
)

// Timeouts are the times of a watch and of the calls for it.
type Timeouts struct {
	Idle     time.Duration // longest time without a byte, or without the rest of an object
	Response time.Duration // for the head of a response

	Spread             time.Duration // over which all schedulers call again after a watch has ended
	SpreadAfterIdle    time.Duration // the same after an idle timeout
	MaxBackoff         time.Duration // from the beginning of a failed call to that of the next one
	MaxBackoffRejected time.Duration // the same while calls are rejected
}

// TimeoutsFor returns the timeouts for a discovery that pushes its list or is polled by so many
// schedulers, and for the grace of a drain: the time from the statement that a worker drains to its end.
// docs/design.md has the sums that they must keep, and tests add them up.
func TimeoutsFor(pushes bool, schedulers int, grace time.Duration) Timeouts {
	if pushes {
		return timeoutsOfPushes(grace)
	}
	return timeoutsOfPolls(schedulers, grace)
}

func timeoutsOfPushes(grace time.Duration) Timeouts {
	response := time.Duration(responseGraceFraction * float64(grace))
	maxBackoff := min(maxBackoffAlone, time.Duration(backoffGraceFraction*float64(grace)))
	spread := min(minBackoff, maxBackoff)
	return Timeouts{
		Idle:               idleTimeout,
		Response:           min(max(response, minResponseTimeout), responseTimeout),
		Spread:             spread,
		SpreadAfterIdle:    spread,
		MaxBackoff:         maxBackoff,
		MaxBackoffRejected: maxBackoff,
	}
}

func timeoutsOfPolls(schedulers int, grace time.Duration) Timeouts {
	all := time.Duration(schedulers) * time.Second / callsPerSecond // for one call of each
	withinGrace := time.Duration(graceFraction * float64(grace))
	spread := max(min(all, withinGrace, maxSpread), minBackoff)
	period := changeDeadline - applyTime - max(usualResponseTime, responseTimeout-withinGrace)
	return Timeouts{
		Idle:               idleTimeout,
		Response:           responseTimeout,
		Spread:             spread,
		SpreadAfterIdle:    min(spread, changeDeadline-applyTime-usualResponseTime-idleTimeout),
		MaxBackoff:         min(max(all, maxBackoffAlone), period),
		MaxBackoffRejected: period,
	}
}
