// Package drain decides how a scheduler that serves sends its clients away when its staff ask for it, and takes them back. It
// does no input or output and reads no clock.
package drain

import "time"

const (
	// Whoever deals out clients has noticed the no by then, and sends no more: it asks ten times a second, and goes on sending
	// for two tenths after the first no.
	noticed = time.Second
	// A connection that has waited so long for a request has none coming from a client that is busy. It must end well within
	// two seconds of the first: no connection may be kept idle, nor take new jobs, for longer than a few.
	longest = time.Second / 4
)

// Drain is whether clients are being sent away. The zero value takes all.
type Drain struct {
	on    bool
	since time.Time
}

// Evacuate begins the drain, or lets one go on that has begun.
func (d *Drain) Evacuate(now time.Time) {
	if !d.on {
		d.on, d.since = true, now
	}
}

// Rejoin ends it.
func (d *Drain) Rejoin() { d.on = false }

// On tells whether clients are sent away: health checks say no, and each answer ends its connection.
func (d *Drain) On() bool { return d.on }

// Wait is how long a connection may wait for a request; false where nothing limits it.
func (d *Drain) Wait(now time.Time) (time.Duration, bool) {
	return longest, d.on && now.Sub(d.since) >= noticed
}
