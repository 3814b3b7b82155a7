package dispatch

import (
	"slices"
	"testing"
)

func opsInTable(n int) (*opTable, []*op) {
	t := &opTable{}
	var all []*op
	for i := range n {
		o := &op{index: i}
		t.add(o)
		all = append(all, o)
	}
	return t, all
}

// An op that is pending again must be decided before those that arrived after it, or retries would come last.
func TestPendingOpsStayInOrderOfArrival(t *testing.T) {
	table, all := opsInTable(5)
	for _, i := range []int{3, 0, 4} {
		table.removePending(all[i])
	}
	if want := []*op{all[1], all[2]}; !slices.Equal(table.pending, want) {
		t.Fatalf("%d are pending without three of five", len(table.pending))
	}
	for _, i := range []int{4, 0, 3} {
		table.insertPending(all[i])
	}
	if !slices.Equal(table.pending, all) {
		t.Error("put back, they are out of order")
	}
	if from := table.pendingFrom(2); from != 2 || table.pendingFrom(9) != 5 {
		t.Errorf("from op 2 on at %d, from beyond the last at %d", from, table.pendingFrom(9))
	}
}

// A late report of an earlier attempt must not count for the one in flight.
func TestOnlyTheLastAttemptIsInFlight(t *testing.T) {
	table, all := opsInTable(1)
	if table.attemptAt(0, -1) != nil {
		t.Error("an op without an attempt has one in flight")
	}
	all[0].attempts, all[0].last.inFlight = 2, true
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
	all[0].last.inFlight = false
	if table.attemptAt(0, 1) != nil {
		t.Error("an attempt that has ended is in flight")
	}
}

// Pending and overdue ops are decided in one order of arrival. An attempt that has ended meanwhile is not overdue.
func TestUndecidedOpsComeInOrderOfArrival(t *testing.T) {
	table, all := opsInTable(6)
	for _, i := range []int{1, 3, 4} {
		table.removePending(all[i])
		all[i].last.inFlight = true
	}
	table.overdue = []*op{all[4], all[1], all[3]}
	table.sortOverdue()
	all[3].last.inFlight = false
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
		t.Error("the next round does not begin anew")
	}
}

// An op that is given up names its reason with the answer: figures and logs are grouped by it.
func TestGivenUpOpNamesItsReason(t *testing.T) {
	answer := func(d *Dispatcher) Decision {
		t.Helper()
		for _, next := range decisions(d) {
			if next.Kind == Nack || next.Kind == DeadLetter {
				return next
			}
		}
		t.Fatal("no answer")
		return Decision{}
	}
	d := fleet(2, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 10, Slots: 1})
	if got := answer(d); got.Reason != DeadlineExceeded || got.Op != 0 {
		t.Errorf("without time left: %+v", got)
	}
	d = fleet(0, nil)
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.AdvanceClock(d.now + 5_001)
	if got := answer(d); got.Reason != NoEligibleWorker {
		t.Errorf("without a worker: %+v", got)
	}
	d = fleet(2, func(s *Settings) { s.Probes, s.MaxAttempts = false, 1 })
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	push(t, d)
	d.AttemptEnded(0, 0, ConnectionLost, false)
	d.AdvanceClock(d.now + 10)
	if got := answer(d); got.Reason != AttemptsExhausted {
		t.Errorf("after the one attempt: %+v", got)
	}
}
