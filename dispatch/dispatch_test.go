package dispatch

import (
	"slices"
	"testing"
)

func TestNoReadyWorker(t *testing.T) {
	d := fleet(0, nil)
	d.AddOp(0, OpSpec{Category: 4, TTL: d.now + 50_000, Slots: 1})
	if all := decisions(d); len(all) != 0 {
		t.Fatalf("held at first, got %v", all)
	}
	d.AdvanceClock(d.now + 5_001)
	if all := decisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Errorf("nothing was sent, so a nack is harmless: got %v", all)
	}
	d.AddOp(1, OpSpec{TTL: d.now + 10, Slots: 1})
	all := decisions(d)
	if !slices.ContainsFunc(all, func(a Decision) bool { return a.Kind == Nack && a.Op == 1 }) {
		t.Errorf("an op that comes with no time left is answered at once: %v", all)
	}
}

func TestListIsFollowed(t *testing.T) {
	d := fleet(3, nil)
	d.UpsertWorker(0, WorkerEntry{})
	d.EndUpdate()
	d.BeginSnapshot()
	d.UpsertWorker(2, WorkerEntry{Group: 2, Ready: true})
	d.EndUpdate()
	d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1})
	if all := decisions(d); len(all) != 1 || all[0].Worker != 2 {
		t.Errorf("only worker 2 is ready, got %v", all)
	}
}

// An op that is open beyond the end of its scheduler's process has no answer.
func TestLimitDeadlinesCutsTTLsShort(t *testing.T) {
	d := fleet(0, nil)
	d.AddOp(1, OpSpec{TTL: d.now + 50_000, Slots: 1})
	d.LimitDeadlines(d.now + 1_000)
	d.AdvanceClock(d.now + 1_000)
	if all := decisions(d); len(all) == 0 || all[0].Kind != Nack {
		t.Fatalf("held beyond the stop: %v", all)
	}
}
