package dispatch

import (
	"slices"
	"testing"
)

func newOpTable(n int) (*opTable, []*op) {
	t := &opTable{}
	var all []*op
	for i := range n {
		o := &op{index: i}
		t.add(o)
		all = append(all, o)
	}
	return t, all
}

// An op that is pending again must be decided before ops admitted after it. Otherwise retries come last.
func TestPendingOpsStayInOrderOfArrival(t *testing.T) {
	table, all := newOpTable(5)
	for _, i := range []int{3, 0, 4} {
		table.removePending(all[i])
	}
	if want := []*op{all[1], all[2]}; !slices.Equal(table.pending, want) {
		t.Fatalf("%d ops are pending after three of five were removed", len(table.pending))
	}
	for _, i := range []int{4, 0, 3} {
		table.insertPending(all[i])
	}
	if !slices.Equal(table.pending, all) {
		t.Error("the ops that were inserted again are out of order")
	}
	if from := table.pendingFrom(2); from != 2 || table.pendingFrom(9) != 5 {
		t.Errorf("position of op 2: %d, position beyond the last op: %d", from, table.pendingFrom(9))
	}
}

// A late report on an earlier attempt must not count for the attempt in flight.
func TestOnlyTheLastAttemptIsInFlight(t *testing.T) {
	table, all := newOpTable(1)
	if table.attemptAt(0, -1) != nil {
		t.Error("an op without attempts has one in flight")
	}
	all[0].attempts, all[0].lastAttempt.inFlight = 2, true
	for number, want := range []*op{nil, all[0], nil} {
		if got := table.attemptAt(0, number); got != want {
			t.Errorf("attempt %d: %v", number, got)
		}
	}
	for _, index := range []int{-1, 1} {
		if table.attemptAt(index, 1) != nil {
			t.Errorf("index %d has an op", index)
		}
	}
	all[0].lastAttempt.inFlight = false
	if table.attemptAt(0, 1) != nil {
		t.Error("an attempt that has ended is still in flight")
	}
}

// Pending and overdue ops are decided in a common order of admission. An attempt that has ended meanwhile
// is not overdue.
func TestUndecidedOpsComeInOrderOfArrival(t *testing.T) {
	table, all := newOpTable(6)
	for _, i := range []int{1, 3, 4} {
		table.removePending(all[i])
		all[i].lastAttempt.inFlight = true
	}
	table.overdue = []*op{all[4], all[1], all[3]}
	table.sortOverdue()
	all[3].lastAttempt.inFlight = false
	var order []int
	for o := table.nextUndecided(); o != nil; o = table.nextUndecided() {
		order = append(order, o.number)
		table.nextNumber = o.number + 1
	}
	if want := []int{0, 1, 2, 4, 5}; !slices.Equal(order, want) {
		t.Errorf("decided in order %v, want %v", order, want)
	}
	table.beginRound()
	if o := table.nextUndecided(); o != all[0] || len(table.overdue) > 0 {
		t.Error("the next round does not start with the first op")
	}
}

// The decision that rejects an op must carry the reason, by which metrics and logs are grouped.
func TestARejectedOpNamesItsReason(t *testing.T) {
	rejection := func(d *Dispatcher) Decision {
		t.Helper()
		for _, next := range pullDecisions(d) {
			if next.Kind == Nack || next.Kind == DeadLetter {
				return next
			}
		}
		t.Fatal("the op got no answer")
		return Decision{}
	}
	d := testDispatcher(2, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 10, Slots: 1})
	if got := rejection(d); got.Reason != DeadlineExceeded || got.Op != 0 {
		t.Errorf("without time left: %+v", got)
	}
	d = testDispatcher(0, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.AdvanceClock(d.now + 5_001)
	if got := rejection(d); got.Reason != NoEligibleWorker {
		t.Errorf("without a worker: %+v", got)
	}
	d = testDispatcher(2, func(s *Settings) { s.Probes, s.MaxAttempts = false, 1 })
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	expectPush(t, d)
	d.AttemptEnded(0, 0, ConnectionLost, false)
	d.AdvanceClock(d.now + 10)
	if got := rejection(d); got.Reason != AttemptsExhausted {
		t.Errorf("after the one attempt: %+v", got)
	}
}
