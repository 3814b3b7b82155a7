package dispatch

// referenceModel is a simple and slow implementation of the rules. It records all events and derives from
// them what is allowed.
type referenceModel struct {
	ready      map[int]bool
	groupOf    map[int][2]int // zone and worker group
	startedAt  map[int]Time
	ops        map[int]*referenceOp
	freeSlots  map[int]float64 // by the last load report
	reportedAt map[int]Time    // when that report arrived
}

func newReferenceModel() *referenceModel {
	return &referenceModel{ready: map[int]bool{}, groupOf: map[int][2]int{}, startedAt: map[int]Time{},
		ops: map[int]*referenceOp{}, freeSlots: map[int]float64{}, reportedAt: map[int]Time{}}
}

type referenceOp struct {
	category int
	ttl      Time
	attempts []referenceAttempt
	answered bool
}

type referenceAttempt struct {
	group     [2]int
	sentAt    Time
	timeoutAt Time
	ended     bool
	outcome   Outcome
	worker    int
	slots     float64
}

// inFlight reports whether the last attempt has not ended.
func (o *referenceOp) inFlight() bool {
	return len(o.attempts) > 0 && !o.attempts[len(o.attempts)-1].ended
}

func (p referenceAttempt) mayHaveRun() bool {
	return !p.ended || p.outcome != Rejected && p.outcome != Unreachable && p.outcome != NotSent &&
		p.outcome != LocalExhaustion
}

func (m *referenceModel) mayPush(s Settings, op, worker int, now Time) bool {
	o := m.ops[op]
	c := s.Categories[o.category]
	counted := 0
	for _, p := range o.attempts {
		if !p.ended || p.outcome != LocalExhaustion { // an attempt that reached no worker does not count
			counted++
		}
	}
	if o.answered || !m.ready[worker] || counted >= s.MaxAttempts {
		return false
	}
	for _, p := range o.attempts {
		if !p.ended {
			return false
		}
	}
	for _, p := range o.attempts {
		if !p.mayHaveRun() {
			continue
		}
		switch {
		case c.Effect == Idempotent:
		case c.Effect == AtMostOnce, now >= p.sentAt+c.DedupWindow:
			return false
		case c.DedupScope == DedupInZone && m.groupOf[worker][0] != p.group[0],
			c.DedupScope == DedupInGroup && m.groupOf[worker] != p.group:
			return false
		}
		break // the first attempt that may have run determines the worker group and the window
	}
	return true
}

func (m *referenceModel) mayNack(s Settings, op int, now Time) bool {
	o := m.ops[op]
	c := s.Categories[o.category]
	for _, p := range o.attempts {
		expired := now >= p.sentAt+c.DedupWindow
		if p.mayHaveRun() && c.Effect != Idempotent &&
			(c.Effect == AtMostOnce || c.DedupScope != DedupEverywhere || expired) {
			return false
		}
	}
	return true
}

// hadCapacity reports whether a warming worker has slots for its attempts, by its last load report and the
// attempts since.
func (m *referenceModel) hadCapacity(worker int, now Time) bool {
	if startedAt := m.startedAt[worker]; startedAt == 0 || now >= startedAt+80_000 {
		return true
	}
	freeSlots := m.freeSlots[worker]
	for _, o := range m.ops {
		for _, p := range o.attempts {
			if p.worker == worker && !p.ended && p.sentAt >= m.reportedAt[worker] {
				freeSlots -= p.slots
			}
		}
	}
	return freeSlots >= 0
}
