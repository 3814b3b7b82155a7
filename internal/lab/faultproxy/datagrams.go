// Package faultproxy emulates the links between schedulers: one for each ordered pair, for datagrams and
// streams, each with its own conditions. A DatagramLink decides what happens to a datagram and does no I/O. A
// Net applies the decisions.
package faultproxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Conditions holds the conditions of the link from one scheduler to another.
type Conditions struct {
	Loss          float64 // probability of a lost datagram; delays a stream by retransmitDelay
	Dup           float64 // probability that a datagram is duplicated
	Reorder       float64 // probability that a datagram is delayed by reorderDelay
	Delay, Jitter time.Duration
	Rate          float64 // bytes per second; 0 for no limit
}

// CutMode is the mode of a link: open, or the kind of a cut.
type CutMode int

// A silent cut drops everything. A refusing cut also drops datagrams, but resets streams and rejects new
// ones.
const (
	Open CutMode = iota
	Silent
	Refusing
)

const (
	retransmitDelay = 200 * time.Millisecond // minimum retransmission timeout of a kernel
	reorderDelay    = 20 * time.Millisecond
	maxQueueDelay   = 2 * time.Second // on a link with a rate, datagrams that would wait longer are dropped
)

// DatagramLink is one direction between two schedulers. Its conditions may change while datagrams are in
// flight.
type DatagramLink struct {
	mu         sync.Mutex
	conditions Conditions
	cut        CutMode
	rand       *rand.Rand
	idleAt     time.Time // when the link has sent all earlier datagrams
}

func newDatagramLink(seed uint64) *DatagramLink {
	return &DatagramLink{rand: rand.New(rand.NewPCG(seed, 0x6265747765656e))}
}

func (l *DatagramLink) update(change func(*Conditions)) (now Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.conditions)
	return l.conditions
}

func (l *DatagramLink) setCut(c CutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
}

func (l *DatagramLink) cutMode() CutMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// DeliveryDelays returns the delays after which a datagram that is sent now arrives: none if it is dropped,
// two if it is duplicated. All random values are drawn whatever the conditions are, so that a change of one
// condition leaves the random decisions of the others unchanged.
func (l *DatagramLink) DeliveryDelays(now time.Time, size int) (delays []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lossDraw, dupDraw, reorderDraw, jitter := l.rand.Float64(), l.rand.Float64(), l.rand.Float64(), math.Abs(l.rand.NormFloat64())
	if l.cut != Open || lossDraw < l.conditions.Loss {
		return nil
	}
	delay := time.Duration(0)
	if l.conditions.Rate > 0 {
		start := now
		if l.idleAt.After(start) {
			start = l.idleAt
		}
		sent := start.Add(time.Duration(float64(size) / l.conditions.Rate * float64(time.Second)))
		if delay = sent.Sub(now); delay > maxQueueDelay {
			return nil
		}
		l.idleAt = sent
	}
	delay += l.conditions.Delay + time.Duration(float64(l.conditions.Jitter)*jitter)
	if reorderDraw < l.conditions.Reorder {
		delay += reorderDelay
	}
	if delays = append(delays, delay); dupDraw < l.conditions.Dup {
		delays = append(delays, delay+l.conditions.Delay/2+time.Millisecond)
	}
	return delays
}
