package workermodel

import (
	"math/rand/v2"
	"slices"
	"testing"

	"woaddyke/internal/lab/ledger"
)

var rules = ledger.Rules{OverloadFactor: 2.5, OverloadWindow: 15_000, ColdFrom: 0.3, WarmAfter: 86_000, MeanWork: 100}

func newWorker(cold bool) *Worker {
	return New("w", Config{Cores: 2, Speed: 1, Slots: 4, Queue: 8, ReportsStart: true, Progress: 10_000, Connections: 2},
		rules, NewDedupStore(), NewDedupStore(), NewDedupStore(), 1, 0, cold)
}

// testRun applies inputs to a worker, and fires its timer as the fleet does.
type testRun struct {
	worker   *Worker
	statuses map[int][]Status
	ends     map[int]ledger.Time
	ran      []int
	crashed  bool
	timer    ledger.Time
}

func newTestRun(worker *Worker) *testRun {
	return &testRun{worker: worker, statuses: map[int][]Status{}, ends: map[int]ledger.Time{}}
}

func (r *testRun) handle(now ledger.Time, in Input) {
	for r.timer > 0 && r.timer <= now {
		at := r.timer
		r.timer = 0
		r.collect(at, r.worker.Handle(at, TimerFired{}))
	}
	r.collect(now, r.worker.Handle(now, in))
}

func (r *testRun) collect(now ledger.Time, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendStatus:
			r.statuses[e.Push] = append(r.statuses[e.Push], e.Status)
			if e.Status == Done || e.Status == Failed || e.Status == Returned || e.Status == Rejected {
				r.ends[e.Push] = now
			}
		case Record:
			if e.Kind == ledger.Ran {
				r.ran = append(r.ran, e.Push)
			}
			r.crashed = r.crashed || e.Kind == ledger.WorkerOverloaded
		case SetTimer:
			r.timer = e.At
		}
	}
}

func newJob(op string, work, slots float64) Job {
	return Job{Op: op, Effect: op, Work: work, ExpectedWork: work, Slots: slots}
}

// Guards against jobs that overtake a wide job at the head of the queue. The emulated machines start jobs in
// the order of arrival.
func TestAWideJobAtTheHeadOfTheQueueDelaysTheJobsBehindIt(t *testing.T) {
	run := newTestRun(newWorker(false))
	run.handle(0, Pushed{1, newJob("a", 100, 1)})
	run.handle(0, Pushed{2, newJob("b", 100, 4)})
	run.handle(0, Pushed{3, newJob("c", 10, 1)})
	run.handle(10_000, TimerFired{})
	if !slices.Equal(run.ran, []int{1, 2, 3}) || run.ends[1] != 1000 || run.ends[3] <= run.ends[2] || run.ends[2] != 3000 {
		t.Errorf("ran %v, ended %v", run.ran, run.ends) // four slots on two cores take twice as long
	}
}

// Guards against a worker that does more work than its cores can. Every scheduler would get better results
// than it should.
func TestNoMoreWorkIsDoneThanTheCoresCanDo(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		run, accepted, last := newTestRun(newWorker(false)), 0.0, ledger.Time(0)
		for push := 1; push <= 40; push++ {
			last += ledger.Time(r.IntN(900))
			work := 1 + 200*r.Float64()
			run.handle(last, Pushed{push, newJob("x", work, 1)})
			if !slices.Contains(run.statuses[push], Rejected) {
				accepted += work
			}
		}
		run.handle(last+10_000_000, TimerFired{})
		end := ledger.Time(0)
		for push := 1; push <= 40; push++ {
			if run.ends[push] == 0 {
				t.Fatalf("seed %d: push %d has no end", seed, push)
			}
			end = max(end, run.ends[push])
		}
		if minDuration := accepted * 10 / 2; float64(end) < minDuration-1 {
			t.Errorf("seed %d: %.0f ms of work were done on two cores in %.1f ms", seed, accepted, float64(end)/10)
		}
	}
}

func TestAGroupDropsADuplicateOnlyWithinItsWindow(t *testing.T) {
	zone := NewDedupStore()
	first := New("a", Config{Cores: 1, Speed: 1, Slots: 1, Queue: 9}, rules, NewDedupStore(), zone, NewDedupStore(), 1, 0, false)
	second := New("b", Config{Cores: 1, Speed: 1, Slots: 1, Queue: 9}, rules, NewDedupStore(), zone, NewDedupStore(), 1, 0, false)
	j := Job{Op: "x", Effect: "e", Work: 10, Dedup: true, Scope: "zone", Window: 1000}
	firstRun, secondRun := newTestRun(first), newTestRun(second)
	firstRun.handle(0, Pushed{1, j})
	secondRun.handle(1000, Pushed{2, j})
	secondRun.handle(1001, Pushed{3, j})
	if secondRun.handle(5000, TimerFired{}); !slices.Equal(secondRun.ran, []int{3}) || secondRun.ends[2] != 1000 {
		t.Errorf("ran %v, ended %v", secondRun.ran, secondRun.ends)
	}
}

// Guards against a cold worker that crashes at or below its limit, or survives more work. For two cores at an
// age of 2 s, the limit is a budget of 3,471 ms plus 1,378 ms for random variation with jobs of 100 ms. Right
// after the start, the limit is 2,250 ms plus 1,149 ms.
func TestAColdWorkerCrashesOnlyAboveItsLimit(t *testing.T) {
	for _, c := range []struct {
		at           ledger.Time
		expectedWork float64
		crashed      bool
	}{{20_000, 440, false}, {20_000, 442, true}, {1, 308, false}, {1, 310, true}} {
		run := newTestRun(newWorker(true))
		for push := 1; push <= 11; push++ {
			run.handle(c.at, Pushed{push, newJob("x", c.expectedWork, 1)})
		}
		if run.crashed != c.crashed {
			t.Errorf("11 jobs of %.0f ms at %d: crashed: %v", c.expectedWork, c.at, run.crashed)
		}
	}
}

// Guards against a hung worker that ends a push or loses one, and against a draining worker that keeps jobs
// which it has not started.
func TestAHungWorkerIsSilentAndADrainingOneReturnsItsQueue(t *testing.T) {
	run := newTestRun(newWorker(false))
	for push := 1; push <= 6; push++ {
		run.handle(0, Pushed{push, newJob("x", 100, 1)})
	}
	run.handle(100, FaultsChanged{Faults{Hung: true}})
	if run.handle(50_000, TimerFired{}); len(run.ends) > 0 {
		t.Errorf("a hung worker ended pushes: %v", run.ends)
	}
	run.handle(60_000, FaultsChanged{Faults{Draining: true}})
	run.handle(60_000, Pushed{7, newJob("x", 1, 1)})
	run.handle(90_000, TimerFired{})
	for push, want := range map[int]Status{1: Done, 4: Done, 5: Returned, 6: Returned, 7: Rejected} {
		if statuses := run.statuses[push]; len(statuses) == 0 || statuses[len(statuses)-1] != want {
			t.Errorf("push %d: statuses %v, want %s last", push, statuses, want)
		}
	}
	if !run.worker.Idle() {
		t.Error("the worker still has jobs")
	}
}

func TestConnectionsBeyondTheLimitAreNotAdmitted(t *testing.T) {
	worker := newWorker(false)
	for n, want := range []bool{true, true, false} {
		if admit := worker.Handle(0, Connected{n})[0].(Admit); admit.Allowed != want {
			t.Errorf("connection %d: admitted %v", n, admit.Allowed)
		}
	}
	worker.Handle(0, Disconnected{})
	if admit := worker.Handle(0, Connected{3})[0].(Admit); !admit.Allowed {
		t.Error("a connection is rejected after another one has ended")
	}
}
