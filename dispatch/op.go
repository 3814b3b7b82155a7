package dispatch

import (
	"slices"

	"woaddyke/internal/base/deadlines"
)

// op is a request of a client, from its admission until its index may be reused.
type op struct {
	index             int
	number            int // in order of admission
	category          int // index into categoryTable.all
	maxAttempts       int // limit set at admission, plus refunded attempts
	attempts          int
	ttl, work         Time
	arrivedAt         Time // when the client first sent the request, estimated from the TTL
	slots, memory     float64
	affinityKey       uint64
	probes            opProbes
	lastAttempt       attempt
	firstRun          firstRun
	reportedInvalidBy []int // workers that reported the op itself as invalid
	localExhaustions  int   // attempts and probe rounds that ended in local exhaustion
	finished          bool  // answered, or its client has disconnected
}

// opProbes is the state of an op's search for a worker.
type opProbes struct {
	pair      []int // workers to probe, nil before they are drawn
	answered  []bool
	sent      int
	drawnAt   Time // when the pair was drawn
	rounds    int  // pairs probed without a push since the last attempt
	notBefore Time // no pair is drawn before this time
}

// attempt is the state of an op's last attempt.
type attempt struct {
	inFlight       bool
	worker         int
	sentAt         Time
	startedAt      Time // when the start of the job was reported; 0 before that
	lastHeardAt    Time // time of the last report on this attempt; sentAt before the first one
	queuePosition  float64
	predictedWait  Time
	reportedIdle   bool // the worker's last load report showed capacity to start the job at once
	silenceCounted bool // the silence about this attempt was counted against the worker
}

// firstRun is the first attempt that may have run. It determines the worker group and the deduplication
// window of later attempts.
type firstRun struct {
	possible    bool
	sentAt      Time
	zone, group int
}

// discardPair clears the pair, so that a new pair is drawn.
func (o *op) discardPair() { o.probes.pair, o.probes.answered, o.probes.sent = nil, nil, 0 }

// inFirstRound reports whether the op has had neither an unsuccessful probe round nor an attempt.
func (o *op) inFirstRound() bool { return o.attempts+o.probes.rounds == 0 }

// opTable holds the ops that have not been forgotten.
type opTable struct {
	byIndex []*op
	pending []*op // ops without an attempt in flight, in order of admission

	// inFlight holds the ops with an attempt in flight, by the event that the attempt waits for.
	inFlight [awaitedEventCount]*deadlines.Queue[*op, Time]

	overdue          []*op // ops whose attempts are overdue in this round, in order of admission
	overdueCollected bool
	nextNumber       int // op number at which Next continues in this round
	admitted         int // number of ops so far
}

// at returns the op at an index, or nil if there is none.
func (t *opTable) at(i int) *op {
	if i < 0 || i >= len(t.byIndex) {
		return nil
	}
	return t.byIndex[i]
}

// attemptAt returns the op at an index if the attempt with that number is in flight, else nil.
func (t *opTable) attemptAt(i, number int) *op {
	o := t.at(i)
	if o == nil || !o.lastAttempt.inFlight || number != o.attempts-1 {
		return nil
	}
	return o
}

// add numbers a new op and adds it to the pending ops.
func (t *opTable) add(o *op) {
	for len(t.byIndex) <= o.index {
		t.byIndex = append(t.byIndex, nil)
	}
	o.number = t.admitted
	t.admitted++
	t.byIndex[o.index] = o
	t.pending = append(t.pending, o)
}

// pendingFrom returns the position of the first pending op with this number or a later one.
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

// beginRound makes Next consider all ops again.
func (t *opTable) beginRound() { t.nextNumber, t.overdue, t.overdueCollected = 0, t.overdue[:0], false }

func (t *opTable) sortOverdue() {
	slices.SortFunc(t.overdue, func(a, b *op) int { return a.number - b.number })
}

// nextUndecided returns the next op of this round that may need a decision: one that is pending, or whose
// attempt is overdue.
func (t *opTable) nextUndecided() *op {
	for len(t.overdue) > 0 && (t.overdue[0].number < t.nextNumber || !t.overdue[0].lastAttempt.inFlight) {
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

// ClientDisconnected records that an op's client has disconnected, so that the op gets no further attempt
// and no answer.
func (d *Dispatcher) ClientDisconnected(i int) {
	if o := d.ops.at(i); o != nil {
		o.finished = true
	}
}

// LimitDeadlines lowers the TTL of every op to a deadline. An op that is still open when its scheduler's
// process ends gets no answer.
func (d *Dispatcher) LimitDeadlines(deadline Time) {
	for _, o := range d.ops.byIndex {
		if o != nil {
			o.ttl = min(o.ttl, deadline)
		}
	}
}
