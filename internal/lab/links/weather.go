// Package links holds what lies between two parties: delay, jitter, a rate, pieces that are held up, silence and
// breaks. What happens to a piece of bytes is decided by a Weather, which does no input or output; a Conn beside it
// carries it out on a real connection, and Forward between any two addresses.
package links

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Sky is what a link is like at one moment.
type Sky struct {
	Delay, Jitter time.Duration
	Rate          float64 // bytes a second, 0 for no limit
	Stall         float64 // chance that a piece is held up
	StallFor      time.Duration
	ResetFirst    float64 // chance that a connection breaks in the middle of what a party sends
	ResetAfter    float64 // chance that it breaks right after what a party has sent
	Mute          float64 // chance that a new connection is silent from its first byte on
}

// Weather decides what happens to pieces of bytes on a link. It may change while connections are open.
type Weather struct {
	mu   sync.Mutex
	sky  Sky
	cut  bool // nothing passes, and nobody is told
	rand *rand.Rand
	wait chan struct{} // closed when the cut ends
}

// New makes a link's weather from a seed.
func New(sky Sky, seed uint64) *Weather {
	return &Weather{sky: sky, rand: rand.New(rand.NewPCG(seed, 0x6c696e6b)), wait: make(chan struct{})}
}

// Set changes the sky.
func (w *Weather) Set(sky Sky) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sky = sky
}

// Cut begins or ends a silence in which nothing passes. What was sent meanwhile arrives when it ends, as from a
// peer that sends it again.
func (w *Weather) Cut(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut == on {
		return
	}
	if w.cut = on; on {
		w.wait = make(chan struct{})
	} else {
		close(w.wait)
	}
}

// Silent tells whether the link is cut, and what is closed when it is no longer.
func (w *Weather) Silent() (bool, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut, w.wait
}

// Fate is what happens to one piece.
type Fate struct {
	At    time.Time // when it arrives
	Break bool      // the connection breaks in place of it
	After bool      // or right behind it
}

// Lane is one direction of one connection.
type Lane struct {
	w    *Weather
	free time.Time // when the link has sent all before
	last time.Time // when the piece before arrives: pieces keep their order
	mute bool
}

// Lane opens one direction; whether it is mute is drawn here.
func (w *Weather) Lane() *Lane {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &Lane{w: w, mute: w.sky.Mute > 0 && w.rand.Float64() < w.sky.Mute}
}

// Mute tells whether nothing ever passes here.
func (l *Lane) Mute() bool { return l.mute }

// Send decides the fate of a piece that is sent now. Breaks are drawn at the first piece of what a party has to
// say and at its last.
func (l *Lane) Send(now time.Time, size int, firstPiece bool) Fate {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	sky := &l.w.sky
	start := now
	if l.free.After(start) {
		start = l.free
	}
	sent := start
	if sky.Rate > 0 {
		sent = start.Add(time.Duration(float64(size) / sky.Rate * float64(time.Second)))
	}
	l.free = sent
	at := sent.Add(sky.Delay)
	if sky.Jitter > 0 {
		at = at.Add(time.Duration(sky.Jitter.Seconds() * math.Abs(l.w.rand.NormFloat64()) * float64(time.Second)))
	}
	if sky.Stall > 0 && l.w.rand.Float64() < sky.Stall {
		at = at.Add(sky.StallFor)
	}
	if at.Before(l.last) { // a stream: what is held up holds up all behind it
		at = l.last
	}
	l.last = at
	f := Fate{At: at}
	if firstPiece && sky.ResetFirst > 0 {
		f.Break = l.w.rand.Float64() < sky.ResetFirst
	}
	if firstPiece && sky.ResetAfter > 0 {
		f.After = l.w.rand.Float64() < sky.ResetAfter
	}
	return f
}

// Free tells whether the weather does nothing to what passes.
func (w *Weather) Free() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sky == Sky{} && !w.cut
}
