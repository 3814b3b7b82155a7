package discovery

import "time"

// Timeouts of one call.
const (
	// dialTimeout limits a dial. Within this machine or zone, a connection that is not established by then
	// never will be.
	dialTimeout = time.Second

	// heartbeatInterval is the interval at which discovery sends an empty line while nothing changes.
	heartbeatInterval = 2 * time.Second

	// idleTimeout limits the time without a byte between objects, and the time from the first byte of an
	// object until it is complete.
	idleTimeout = 3 * heartbeatInterval / 2

	// responseTimeout limits the wait for a response head. A busy discovery service finishes the work for
	// a call that was cancelled, so a shorter timeout wastes its work. If there are no changes, it may
	// send the head with the first heartbeat.
	responseTimeout = 5 * heartbeatInterval / 4

	// minResponseTimeout is the lower bound of the response timeout: a process that is briefly starved
	// must not cancel its own calls.
	minResponseTimeout = 100 * time.Millisecond

	// applyTime is the time to apply a list after its last byte.
	applyTime = 100 * time.Millisecond
)

// Deadlines for applying a change.
const (
	// changeDeadline is the time from a change, or from when discovery is reachable again, until the
	// change is in force for all schedulers, however the calls in between ended.
	changeDeadline = 6 * time.Second

	// usualResponseTime is the response time up to which a list is applied within changeDeadline. A slower
	// response may take the drain grace in addition.
	usualResponseTime = 3 * time.Second / 2

	// graceFraction is the fraction of the drain grace that is reserved for a call and its response. A change
	// counts as in force for each scheduler once that scheduler could have called.
	graceFraction = 0.8
)

// Times between calls.
const (
	// minBackoff is the first backoff of a single scheduler. Each failed call doubles it.
	minBackoff = 20 * time.Millisecond

	// maxBackoffAlone is the longest backoff of a single scheduler.
	maxBackoffAlone = 16 * minBackoff

	// callsPerSecond is the total call rate of all schedulers, which may lose their watches or start at the
	// same time. A discovery service that serves calls in sequence does the work for each call, but fails
	// those that have waited too long; if all schedulers retry simultaneously, it may never serve any.
	callsPerSecond = 20

	// maxSpread bounds the time over which all schedulers call again after their watches break, so that
	// there is time to retry a rejected call.
	maxSpread = heartbeatInterval

	// rerandomizeEvery is the number of rejected calls after which a backoff is random again.
	rerandomizeEvery = 3
)

// A discovery service that pushes its list has an agent on this machine, which responds immediately. The
// agent's list is in force even before it is read. So a call that hangs and the backoff after it take at most
// three fifths of the drain grace, and the rest is for the call that succeeds.
const (
	responseGraceFraction = 0.4
	backoffGraceFraction  = 0.2
)

// Timeouts are the timeouts of a watch and the backoffs between the calls for it.
type Timeouts struct {
	Idle     time.Duration // without a byte between objects, or from the first byte of an object to its end
	Response time.Duration // from the start of a call to the response head

	Spread             time.Duration // period over which all schedulers call again after a watch ends
	SpreadAfterIdle    time.Duration // replaces Spread after an idle timeout
	MaxBackoff         time.Duration // from the start of a failed call to the start of the next
	MaxBackoffRejected time.Duration // replaces MaxBackoff while calls are rejected
}

// TimeoutsFor returns the timeouts for a discovery service that pushes its list or is polled by this many
// schedulers. grace is the time from the announcement of a worker's drain until the worker ends.
// docs/design.md lists the sums that the timeouts must satisfy; tests verify them.
func TimeoutsFor(pushes bool, schedulers int, grace time.Duration) Timeouts {
	if pushes {
		return pushTimeouts(grace)
	}
	return pollTimeouts(schedulers, grace)
}

func pushTimeouts(grace time.Duration) Timeouts {
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

func pollTimeouts(schedulers int, grace time.Duration) Timeouts {
	all := time.Duration(schedulers) * time.Second / callsPerSecond // time for one call of each scheduler
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
