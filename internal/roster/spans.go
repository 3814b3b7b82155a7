package roster

import "time"

const (
	dialed = time.Second // a connection that takes longer to come up never will

	beat = 2 * time.Second // an empty line comes this often while nothing changes
	// The first wait of a lone scheduler for another watch; each that fails doubles it, up to sixteen times as long.
	firstWait = 20 * time.Millisecond
	// All schedulers lose their watch together, or start together. A discovery that is asked answers them in turn, and what has
	// waited too long fails though the work is done: asked by all at once, and by all again, it answered none for good. So they
	// come back at this many a second, in sum, and at half of that and less after each call that was turned away.
	callRate = 20
	// What such a discovery would have told a scheduler, had it asked, counts as told: it must have asked, and have its answer,
	// before a drain's grace has passed.
	inGrace = 0.8
	// The longest of the waits that double, before it is spread by half either way.
	longestWait = 16 * time.Second

	// A discovery that pushes has an agent on this machine, which answers at once and at no cost, and what it has counts as told
	// while nobody reads it, also at the moment when it is back after a silence. So a call that it leaves hanging and the wait for
	// the next one, together, take three fifths of a drain's grace at the most; the rest is for the call that is answered.
	hanging = 0.4
	waiting = 0.2
	// No call is given less: a process that is starved for a moment must not cut off its own calls.
	leastSettle = 100 * time.Millisecond
)

// Spans are the times by which a watch is kept.
type Spans struct {
	Quiet  time.Duration // so long without a byte, or without the rest of an object, and the watch is lost
	Settle time.Duration // a call that has no head by then is lost
	Spread time.Duration // over which all schedulers come back
	Most   time.Duration // the longest wait for another watch, before it is spread by half either way
	Turned time.Duration // the same while calls are turned away
}

// SpansOf works them out from whether discovery pushes, how many schedulers ask it, and the grace of a drain. docs/design.md has
// the sums that they have to keep, and a test adds them up.
func SpansOf(pushes bool, schedulers int, grace time.Duration) Spans {
	if pushes {
		most := min(16*firstWait, time.Duration(waiting/1.5*float64(grace)))
		return Spans{Quiet: 3 * beat / 2, Settle: min(max(time.Duration(hanging*float64(grace)), leastSettle), 5*beat/4),
			Spread: min(firstWait, most), Most: most, Turned: most}
	}
	all := time.Duration(schedulers) * time.Second / callRate
	spread := max(min(all, time.Duration(inGrace*float64(grace))), firstWait)
	// A busy discovery's beats come late, and a call that was cut after a second was what it was about to answer: its work was
	// done all the same.
	return Spans{Quiet: 9 * beat / 4, Settle: 5 * beat / 4, Spread: spread, Most: max(16*firstWait, spread), Turned: longestWait}
}

// again is the wait for another watch after so many that failed; luck is from 0 to 1. What is silent or not there may be back any
// moment; what turns calls away must be asked less and less.
func (s Spans) again(fails int, turnedAway bool, luck float64) time.Duration {
	if fails == 0 {
		return time.Duration(luck * float64(s.Spread))
	}
	most := s.Most
	if turnedAway {
		most = s.Turned
	}
	return time.Duration((0.5 + luck) * float64(min(s.Spread<<min(fails-1, 10), most)))
}
