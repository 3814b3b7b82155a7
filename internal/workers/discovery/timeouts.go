package discovery

import "time"

const (
	dialed = time.Second // a connection that takes longer to come up never will

	beat = 2 * time.Second // an empty line comes this often while nothing changes
	// The first wait of a lone scheduler for another watch; each that fails doubles it.
	firstWait = 20 * time.Millisecond

	// A change counts as told so long after discovery had it and could be reached, whatever became of the calls before.
	told     = 6 * time.Second
	applying = 100 * time.Millisecond // of a list, from its last byte on
	// An answer that is waited for. A call that was cut after a second was what a busy discovery was about to answer: its work was
	// done all the same. One that has no news may send its head with the first empty line.
	answered = 5 * beat / 4
	// An answer that takes no longer is applied by the time when it counts as told; one that takes longer, within a drain's grace.
	usual = 3 * time.Second / 2

	// All schedulers lose their watch together, or start together. A discovery that is asked answers them in turn, and what has
	// waited too long fails though the work is done: asked by all at once, and by all again, it answered none for good. So they
	// come back at this many a second, in sum, as far as the spans above and a drain's grace allow it.
	callRate = 20
	// What such a discovery would have told a scheduler, had it asked, counts as told: it must have asked, and have its answer,
	// before a drain's grace has passed.
	inGrace = 0.8
	// All schedulers are not spread over more after a break, so that what is turned away then has another call in time.
	longestSpread = beat

	// While calls are turned away one wait in so many is drawn anew.
	redrawn = 3

	// A discovery that pushes has an agent on this machine, which answers at once and at no cost, and what it has counts as told
	// while nobody reads it, also at the moment when it is back after a silence. So a call that it leaves hanging and the wait for
	// the next one, together, take three fifths of a drain's grace at the most; the rest is for the call that is answered.
	hanging = 0.4
	waiting = 0.2
	// No call is given less: a process that is starved for a moment must not cut off its own calls.
	leastSettle = 100 * time.Millisecond
)

// Timeouts are the times by which a watch is kept.
type Timeouts struct {
	Quiet  time.Duration // so long without a byte, or without the rest of an object, and the watch is lost
	Settle time.Duration // a call that has no head by then is lost
	Spread time.Duration // over which all schedulers come back
	Silent time.Duration // the same after a silence, of which Quiet has passed
	Most   time.Duration // the longest time from the beginning of a call that failed to that of the next one
	Turned time.Duration // the same while calls are turned away
}

// TimeoutsFor works them out from whether discovery pushes, how many schedulers ask it, and the grace of a drain. docs/design.md has
// the sums that they have to keep, and tests add them up.
func TimeoutsFor(pushes bool, schedulers int, grace time.Duration) Timeouts {
	const quiet = 3 * beat / 2
	if pushes {
		most := min(16*firstWait, time.Duration(waiting*float64(grace)))
		spread := min(firstWait, most)
		return Timeouts{Quiet: quiet, Settle: min(max(time.Duration(hanging*float64(grace)), leastSettle), answered),
			Spread: spread, Silent: spread, Most: most, Turned: most}
	}
	all := time.Duration(schedulers) * time.Second / callRate
	in := time.Duration(inGrace * float64(grace))
	spread := max(min(all, in, longestSpread), firstWait)
	period := told - applying - max(usual, answered-in)
	return Timeouts{Quiet: quiet, Settle: answered, Spread: spread, Silent: min(spread, told-applying-usual-quiet),
		Most: min(max(all, 16*firstWait), period), Turned: period}
}

// broken is how the calls since the last that was heard have ended.
type broken struct {
	fails  int           // none: a watch was heard, or there was no call yet
	away   int           // of them, from the first on that was turned away
	silent bool          // the last one
	took   time.Duration // by it
	waited time.Duration // before it
}

// failed counts one more.
func (b *broken) failed(turnedAway bool) {
	if b.fails++; b.away > 0 || turnedAway {
		b.away++
	}
}

// again is the wait for another watch; luck is from 0 to 1. What is silent or not there may be back any moment; what turns calls
// away is asked as rarely as what it has to tell allows.
//
// A wait counts from where the failed call began: one that hung has used it up. It doubles up to a quarter of the longest; the next
// are drawn from the rest, and those that follow have it exactly. So schedulers that failed together are spread over it, and
// hardly one asks more often than it must. A discovery that works on for those that it has failed can't bear many draws.
func (s Timeouts) again(b broken, luck float64) time.Duration {
	switch {
	case b.fails > 0:
	case b.silent:
		return time.Duration(luck * float64(s.Silent))
	default:
		return time.Duration(luck * float64(s.Spread))
	}
	last, most, drawn := s.Spread<<min(b.fails-1, 10), s.Most, 2*s.Most
	if b.away > 0 {
		last, most, drawn = s.Most/4<<min(b.away-1, 10), s.Turned, s.Turned/2
		if b.fails == 1 {
			most -= b.waited // what discovery had at the break is owed a call since then
		}
	}
	wait := most
	if last = max(last, b.took); last < most/4 {
		wait = time.Duration((1 + luck) / 2 * float64(last))
	} else if last < drawn || b.away%redrawn == redrawn-1 {
		wait = time.Duration((1 + 3*luck) / 4 * float64(most))
	}
	return max(wait-b.took, 0)
}
