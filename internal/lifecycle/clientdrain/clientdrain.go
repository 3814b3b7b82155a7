// Package clientdrain decides how a scheduler that serves sends its clients away when its staff ask for it, and takes them back. It
// does no input or output and reads no clock.
package clientdrain

import "time"

const (
	// Whoever deals out clients has noticed the no by then, and sends no more: it asks ten times a second, and goes on sending
	// for two tenths after the first no.
	noticed = time.Second / 2
	// From noticed on those that wait are closed, spread until then: all at once their clients would come to the other
	// schedulers in one burst.
	closed = 3 * time.Second / 2
	// An op that comes later is turned away: by four seconds after the call no connection may have one of the last two, and a
	// tenth is for the way to here.
	takes = 19 * time.Second / 10
	// A connection that has waited for so long has no request coming from a client that is busy.
	longest = time.Second / 4
)

// State is whether clients are being sent away. The zero value takes all.
type State struct {
	on    bool
	since time.Time
}

// Start begins the drain, or lets one go on that has begun.
func (d *State) Start(now time.Time) {
	if !d.on {
		d.on, d.since = true, now
	}
}

// Cancel ends it.
func (d *State) Cancel() { d.on = false }

// Draining tells whether clients are sent away: health checks say no, and each answer ends its connection.
func (d *State) Draining() bool { return d.on }

// Admits tells whether an op that comes now is taken. One that is not is refused, and its client may come again elsewhere.
func (d *State) Admits(now time.Time) bool { return !d.on || now.Sub(d.since) < takes }

// ConnectionsToClose is how many of the connections that wait are to be closed now, the longest waiting first, and how long each must have
// waited. It is asked again after a step.
func (d *State) ConnectionsToClose(now time.Time, waiting int, step time.Duration) (most int, waited time.Duration) {
	age := now.Sub(d.since)
	switch {
	case !d.on || age < noticed:
		return 0, 0
	case age+step >= closed:
		return waiting, longest
	}
	steps := int((closed - age) / step)
	return (waiting + steps - 1) / steps, longest
}
