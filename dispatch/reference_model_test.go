package dispatch

// referenceModel is a slow implementation of the rules: it keeps all that happened and works out afresh what is
// allowed.
type referenceModel struct {
	ready      map[int]bool
	groupOf    map[int][2]int // zone and worker group
	startedAt  map[int]Time
	ops        map[int]*referenceOp
	freeSlots  map[int]float64 // by the last report
	reportedAt map[int]Time    // when that came in
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
	return !p.ended || p.outcome != Rejected && p.outcome != Unreachable && p.outcome != NotSent && p.outcome != LocalExhaustion
}

func (m *referenceModel) mayPush(s Settings, op, worker int, now Time) bool {
	o := m.ops[op]
	c := s.Categories[o.category]
	sent := 0
	for _, p := range o.attempts {
		if !p.ended || p.outcome != LocalExhaustion { // that one reached no worker
			sent++
		}
	}
	if o.answered || !m.ready[worker] || sent >= s.MaxAttempts {
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
		break // the first that may have run fixes group and window
	}
	return true
}

func (m *referenceModel) mayNack(s Settings, op int, now Time) bool {
	o := m.ops[op]
	c := s.Categories[o.category]
	for _, p := range o.attempts {
		past := now >= p.sentAt+c.DedupWindow
		if p.mayHaveRun() && c.Effect != Idempotent &&
			(c.Effect == AtMostOnce || c.DedupScope != DedupEverywhere || past) {
			return false
		}
	}
	return true
}

// hadCapacity reports whether a warming worker has a slot for its attempts, by its last report and later attempts.
func (m *referenceModel) hadCapacity(worker int, now Time) bool {
	if since := m.startedAt[worker]; since == 0 || now >= since+80_000 {
		return true
	}
	room := m.freeSlots[worker]
	for _, o := range m.ops {
		for _, p := range o.attempts {
			if p.worker == worker && !p.ended && p.sentAt >= m.reportedAt[worker] {
				room -= p.slots
			}
		}
	}
	return room >= 0
}
