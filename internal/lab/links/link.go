// Package links emulates the network between two parties: delay, jitter, a rate limit, stalls, cuts and
// resets. A link decides what happens to each piece of bytes and does no I/O. A Conn applies the decisions to
// a real connection, and Forward applies them between any two addresses.
package links

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Conditions holds the conditions of a link.
type Conditions struct {
	Delay, Jitter time.Duration
	Rate          float64 // bytes per second; 0 for no limit
	Stall         float64 // probability that a piece is delayed by StallFor
	StallFor      time.Duration
	ResetFirst    float64 // probability that a connection is reset in the middle of a write
	ResetAfter    float64 // probability that a connection is reset right after a write
	Mute          float64 // probability that a new connection never delivers anything
}

// Link decides what happens to the pieces of bytes on a link. Its conditions may change while connections
// are open.
type Link struct {
	mu         sync.Mutex
	conditions Conditions
	cut        bool // nothing passes, and neither side gets an error
	rand       *rand.Rand
	cutEnded   chan struct{} // closed when the cut ends
}

// New creates a link whose random decisions are drawn from a seed.
func New(conditions Conditions, seed uint64) *Link {
	return &Link{conditions: conditions, rand: rand.New(rand.NewPCG(seed, 0x6c696e6b)), cutEnded: make(chan struct{})}
}

// SetConditions changes the conditions.
func (l *Link) SetConditions(conditions Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = conditions
}

// SetCut begins or ends a cut. During a cut nothing passes. Bytes that are sent during the cut arrive after
// its end, as if the peer retransmitted them.
func (l *Link) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == on {
		return
	}
	if l.cut = on; on {
		l.cutEnded = make(chan struct{})
	} else {
		close(l.cutEnded)
	}
}

// IsCut reports whether the link is cut. It also returns a channel that is closed when the cut ends.
func (l *Link) IsCut() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.cutEnded
}

// Fate is the decision for one piece.
type Fate struct {
	ArrivesAt   time.Time // at the other end of the link
	ResetBefore bool      // the connection is reset before the piece is completely delivered
	ResetAfter  bool      // the connection is reset after the piece
}

// Direction is one direction of a connection.
type Direction struct {
	link        *Link
	idleAt      time.Time // when the link has sent all earlier pieces
	lastArrival time.Time // when the previous piece arrives; pieces keep their order
	mute        bool
}

// NewDirection creates a direction of a new connection, and draws whether it is mute.
func (l *Link) NewDirection() *Direction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Direction{link: l, mute: l.conditions.Mute > 0 && l.rand.Float64() < l.conditions.Mute}
}

// Mute reports whether the direction never delivers anything.
func (d *Direction) Mute() bool { return d.mute }

// Send decides the fate of a piece that is sent now. Resets are drawn for the first piece of a message only.
func (d *Direction) Send(now time.Time, size int, firstPiece bool) Fate {
	d.link.mu.Lock()
	defer d.link.mu.Unlock()
	conditions := &d.link.conditions
	start := now
	if d.idleAt.After(start) {
		start = d.idleAt
	}
	sent := start
	if conditions.Rate > 0 {
		sent = start.Add(time.Duration(float64(size) / conditions.Rate * float64(time.Second)))
	}
	d.idleAt = sent
	arrivesAt := sent.Add(conditions.Delay)
	if conditions.Jitter > 0 {
		arrivesAt = arrivesAt.Add(time.Duration(conditions.Jitter.Seconds() * math.Abs(d.link.rand.NormFloat64()) * float64(time.Second)))
	}
	if conditions.Stall > 0 && d.link.rand.Float64() < conditions.Stall {
		arrivesAt = arrivesAt.Add(conditions.StallFor)
	}
	if arrivesAt.Before(d.lastArrival) { // a delayed piece of a stream also delays the pieces behind it
		arrivesAt = d.lastArrival
	}
	d.lastArrival = arrivesAt
	fate := Fate{ArrivesAt: arrivesAt}
	if firstPiece && conditions.ResetFirst > 0 {
		fate.ResetBefore = d.link.rand.Float64() < conditions.ResetFirst
	}
	if firstPiece && conditions.ResetAfter > 0 {
		fate.ResetAfter = d.link.rand.Float64() < conditions.ResetAfter
	}
	return fate
}

// IsTransparent reports whether the link leaves everything unchanged.
func (l *Link) IsTransparent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions == Conditions{} && !l.cut
}
