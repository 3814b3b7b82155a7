package dispatch

import (
	"slices"
	"testing"
)

func TestAnOpWithoutAReadyWorkerIsNackedAfterItsObjective(t *testing.T) {
	d := testDispatcher(0, nil)
	d.AddOp(0, OpSpec{Category: 4, TTL: d.now + 50_000, Slots: 1})
	if all := pullDecisions(d); len(all) != 0 {
		t.Fatalf("decisions before the latency objective has passed: %v, want none", all)
	}
	d.AdvanceClock(d.now + 5_001)
	if all := pullDecisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Errorf("nothing was sent, so a retry is harmless: got %v, want a nack", all)
	}
	d.AddOp(1, OpSpec{TTL: d.now + 10, Slots: 1})
	all := pullDecisions(d)
	if !slices.ContainsFunc(all, func(a Decision) bool { return a.Kind == Nack && a.Op == 1 }) {
		t.Errorf("decisions for an op without time left: %v, want a nack at once", all)
	}
}

func TestWorkersOutsideTheSnapshotAreNotProbed(t *testing.T) {
	d := testDispatcher(3, nil)
	d.UpsertWorker(0, WorkerEntry{})
	d.EndUpdate()
	d.BeginSnapshot()
	d.UpsertWorker(2, WorkerEntry{Group: 2, Ready: true})
	d.EndUpdate()
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	if all := pullDecisions(d); len(all) != 1 || all[0].Worker != 2 {
		t.Errorf("only worker 2 is ready: decisions %v, want one probe of it", all)
	}
}

// An op must be answered before its scheduler's process ends. Afterwards it gets no answer.
func TestLimitDeadlinesShortensTTLs(t *testing.T) {
	d := testDispatcher(0, nil)
	d.AddOp(1, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.LimitDeadlines(d.now + 1_000)
	d.AdvanceClock(d.now + 1_000)
	if all := pullDecisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Fatalf("decisions at the limited deadline: %v, want a nack", all)
	}
}
