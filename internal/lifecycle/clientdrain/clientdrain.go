// Package clientdrain decides how a scheduler that serves sends its clients away when its staff ask for it, and takes them back. It
// does no input or output and reads no clock.
package clientdrain

import "time"

const (
	// Whoever deals out clients has noticed the no by then, and sends no more: it asks ten times a second, and goes on sending
	// for two tenths after the first no.
	detectionTime = time.Second / 2
	// From noticed on those that wait are closed, spread until then: all at once their clients would come to the other
	// schedulers in one burst.
	closeTime = 3 * time.Second / 2
	// An op that comes later is turned away: by four seconds after the call no connection may have one of the last two, and a
	// tenth is for the way to here.
	admissionTime = 19 * time.Second / 10
	// A connection that has waited for so long has no request coming from a client that is busy.
	minIdleTime = time.Second / 4
)

// State is whether clients are being sent away. The zero value takes all.
type State struct {
	draining  bool
	startedAt time.Time
}

// Start begins the drain, or lets one go on that has begun.
func (d *State) Start(now time.Time) {
	if !d.draining {
		d.draining, d.startedAt = true, now
	}
}

// Cancel ends it.
func (d *State) Cancel() { d.draining = false }

// Draining tells whether clients are sent away: health checks say no, and each answer ends its connection.
func (d *State) Draining() bool { return d.draining }

// Admits tells whether an op that comes now is taken. One that is not is refused, and its client may come again elsewhere.
func (d *State) Admits(now time.Time) bool {
	return !d.draining || now.Sub(d.startedAt) < admissionTime
}

// ConnectionsToClose is how many of the connections that wait are to be closed now, the longest waiting first, and how long each must have
// waited. It is asked again after a step.
func (d *State) ConnectionsToClose(now time.Time, waiting int, step time.Duration) (most int, waited time.Duration) {
	age := now.Sub(d.startedAt)
	switch {
	case !d.draining || age < detectionTime:
		return 0, 0
	case age+step >= closeTime:
		return waiting, minIdleTime
	}
	steps := int((closeTime - age) / step)
	return (waiting + steps - 1) / steps, minIdleTime
}
