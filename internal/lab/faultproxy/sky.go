// Package faultproxy holds the links between schedulers: one for every ordered pair, for datagrams and streams alike, each with its
// own weather. What happens to a datagram is decided by a Lane, which does no input or output; a Net beside it carries it out.
package faultproxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Sky is what the link from one scheduler to another is like at one moment.
type Sky struct {
	Loss          float64 // chance that a datagram is lost; a stream's piece comes resendTime later in its place
	Dup           float64 // chance that a datagram comes twice
	Reorder       float64 // chance that a datagram is held up for reorderTime
	Delay, Jitter time.Duration
	Rate          float64 // bytes a second, 0 for no limit
}

// Cut is in which way nothing passes.
type Cut int

// A silent cut swallows all. One that refuses swallows datagrams too, but ends streams with a reset and lets none come up.
const (
	Open Cut = iota
	Silent
	Refusing
)

const (
	resendTime  = 200 * time.Millisecond // least time after which a kernel sends again what was lost of a stream
	reorderTime = 20 * time.Millisecond
	longestWait = 2 * time.Second // for a link with a rate; what would wait longer finds the queue full
)

// Lane is one direction between two schedulers. It may change while datagrams are on their way.
type Lane struct {
	mu   sync.Mutex
	sky  Sky
	cut  Cut
	rand *rand.Rand
	free time.Time // when the link has sent all before
}

func newLane(seed uint64) *Lane { return &Lane{rand: rand.New(rand.NewPCG(seed, 0x6265747765656e))} }

func (l *Lane) set(change func(*Sky)) (now Sky) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.sky)
	return l.sky
}

func (l *Lane) setCut(c Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
}

func (l *Lane) isCut() Cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Datagram tells after which spans a datagram that is sent now arrives: never, once or twice. Each chance is drawn whatever the
// sky, so that a change of one of them leaves the rest of a play as it was.
func (l *Lane) Datagram(now time.Time, size int) (after []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, twice, late, jitter := l.rand.Float64(), l.rand.Float64(), l.rand.Float64(), math.Abs(l.rand.NormFloat64())
	if l.cut != Open || lost < l.sky.Loss {
		return nil
	}
	wait := time.Duration(0)
	if l.sky.Rate > 0 {
		start := now
		if l.free.After(start) {
			start = l.free
		}
		sent := start.Add(time.Duration(float64(size) / l.sky.Rate * float64(time.Second)))
		if wait = sent.Sub(now); wait > longestWait {
			return nil
		}
		l.free = sent
	}
	wait += l.sky.Delay + time.Duration(float64(l.sky.Jitter)*jitter)
	if late < l.sky.Reorder {
		wait += reorderTime
	}
	if after = append(after, wait); twice < l.sky.Dup {
		after = append(after, wait+l.sky.Delay/2+time.Millisecond)
	}
	return after
}
