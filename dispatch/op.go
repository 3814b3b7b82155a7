package dispatch

import (
	"slices"

	"woaddyke/internal/base/deadlines"
)

// op is one request of a client, from its admission until the host may use its index anew.
type op struct {
	index           int
	number          int // in order of arrival
	category        int // its place
	maxAttempts     int // as of its arrival
	attempts        int
	ttl, work       Time
	arrivedAt       Time // when the client first asked, as far as its TTL shows it
	slots, memory   float64
	affinityKey     uint64
	probes          opProbes
	last            attempt
	run             firstRun
	calledInvalidBy []int // the workers that called the op itself invalid
	exhaustions     int   // attempts and probes for which this machine lacked the means
	finished        bool  // answered, or its client has disconnected
}

// opProbes is how far the search for a worker is.
type opProbes struct {
	pair      []int // the workers to probe, nil before they are drawn
	answered  []bool
	sent      int
	sentAt    Time // when the pair was drawn
	rounds    int  // pairs probed in vain since the last attempt
	notBefore Time // no pair is drawn until then
}

// attempt is the last attempt of an op.
type attempt struct {
	inFlight       bool
	worker         int
	sentAt         Time
	startedAt      Time // when the job was said to start; 0 before
	heardAt        Time // when the worker last said anything of it
	queuePosition  float64
	predictedWait  Time
	reportedIdle   bool // by the worker's last report the job starts at once
	silenceCounted bool // its silence was counted against the worker
}

// firstRun is the first attempt that may have run. It fixes the worker group and the window of further
// ones.
type firstRun struct {
	possible    bool
	sentAt      Time
	zone, group int
}

// discardPair lets the next pair be drawn.
func (o *op) discardPair() { o.probes.pair, o.probes.answered, o.probes.sent = nil, nil, 0 }

// firstLook reports whether the op has neither been probed for in vain nor attempted.
func (o *op) firstLook() bool { return o.attempts+o.probes.rounds == 0 }

// opTable holds the ops that are not forgotten.
type opTable struct {
	byIndex []*op
	pending []*op // without an attempt in flight, in order of arrival

	// inFlight are the attempts in flight, by what is awaited of them.
	inFlight [awaitedEvents]*deadlines.Queue[*op, Time]

	overdue          []*op // of this round, in order of arrival
	overdueCollected bool
	nextNumber       int // from which Next goes on in this round
	admitted         int // ops so far
}

// at returns the op of an index, nil if there is none.
func (t *opTable) at(i int) *op {
	if i < 0 || i >= len(t.byIndex) {
		return nil
	}
	return t.byIndex[i]
}

// attemptAt returns the op of an index if the attempt of that number is in flight, else nil.
func (t *opTable) attemptAt(i, number int) *op {
	o := t.at(i)
	if o == nil || !o.last.inFlight || number != o.attempts-1 {
		return nil
	}
	return o
}

// add numbers a new op, which is pending at first.
func (t *opTable) add(o *op) {
	for len(t.byIndex) <= o.index {
		t.byIndex = append(t.byIndex, nil)
	}
	o.number = t.admitted
	t.admitted++
	t.byIndex[o.index] = o
	t.pending = append(t.pending, o)
}

// pendingFrom returns where the pending ops of this number and later ones begin.
func (t *opTable) pendingFrom(number int) int {
	k, _ := slices.BinarySearchFunc(t.pending, number, func(o *op, n int) int { return o.number - n })
	return k
}

func (t *opTable) insertPending(o *op) {
	t.pending = slices.Insert(t.pending, t.pendingFrom(o.number), o)
}

func (t *opTable) removePending(o *op) {
	k := t.pendingFrom(o.number)
	t.pending = slices.Delete(t.pending, k, k+1)
}

// beginRound has all ops looked at again.
func (t *opTable) beginRound() { t.nextNumber, t.overdue, t.overdueCollected = 0, t.overdue[:0], false }

func (t *opTable) sortOverdue() {
	slices.SortFunc(t.overdue, func(a, b *op) int { return a.number - b.number })
}

// nextUndecided returns the next op of this round for which there may be a decision: one without an
// attempt in flight, or with an overdue one.
func (t *opTable) nextUndecided() *op {
	for len(t.overdue) > 0 && (t.overdue[0].number < t.nextNumber || !t.overdue[0].last.inFlight) {
		t.overdue = t.overdue[1:]
	}
	k := t.pendingFrom(t.nextNumber)
	if k < len(t.pending) && (len(t.overdue) == 0 || t.pending[k].number < t.overdue[0].number) {
		return t.pending[k]
	}
	if len(t.overdue) == 0 {
		return nil
	}
	return t.overdue[0]
}

// ClientDisconnected notes that an op's client has gone; nothing is owed to it.
func (d *Dispatcher) ClientDisconnected(i int) {
	if o := d.ops.at(i); o != nil {
		o.finished = true
	}
}

// LimitDeadlines cuts every TTL short: an op that outlived its scheduler's process would have no answer.
func (d *Dispatcher) LimitDeadlines(deadline Time) {
	for _, o := range d.ops.byIndex {
		if o != nil {
			o.ttl = min(o.ttl, deadline)
		}
	}
}
