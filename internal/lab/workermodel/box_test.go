package workermodel

import (
	"math/rand/v2"
	"slices"
	"testing"

	"woaddyke/internal/lab/ledger"
)

var rules = ledger.Rules{OverloadFactor: 2.5, TipAfter: 15_000, ColdFrom: 0.3, WarmAfter: 86_000, MeanWork: 100}

func worker(cold bool) *Box {
	return New("w", Make{Cores: 2, Speed: 1, Slots: 4, Queue: 8, TellsStart: true, Progress: 10_000, Connections: 2},
		rules, NewMemory(), NewMemory(), NewMemory(), 1, 0, cold)
}

// day plays inputs and wakes the box when it asks for it, as its host does.
type day struct {
	b    *Box
	said map[int][]Word
	ends map[int]ledger.Time
	ran  []int
	fell bool
	wake ledger.Time
}

func play(b *Box) *day { return &day{b: b, said: map[int][]Word{}, ends: map[int]ledger.Time{}} }

func (d *day) take(now ledger.Time, in Input) {
	for d.wake > 0 && d.wake <= now {
		at := d.wake
		d.wake = 0
		d.note(at, d.b.Take(at, Woken{}))
	}
	d.note(now, d.b.Take(now, in))
}

func (d *day) note(now ledger.Time, do []Effect) {
	for _, e := range do {
		switch e := e.(type) {
		case Say:
			d.said[e.Push] = append(d.said[e.Push], e.Word)
			if e.Word == Done || e.Word == Failed || e.Word == Returned || e.Word == TurnedAway {
				d.ends[e.Push] = now
			}
		case Happened:
			if e.Kind == ledger.Ran {
				d.ran = append(d.ran, e.Push)
			}
			d.fell = d.fell || e.Kind == ledger.Fell
		case Wake:
			d.wake = e.At
		}
	}
}

func ask(op string, work, slots float64) Job {
	return Job{Op: op, Effect: op, Work: work, Usual: work, Slots: slots}
}

// A wide job at the head of the queue must hold up those behind it, as on the machines that this stands for.
func TestTheFirstWaitsUntilItFitsAndHoldsUpTheRest(t *testing.T) {
	d := play(worker(false))
	d.take(0, Pushed{1, ask("a", 100, 1)})
	d.take(0, Pushed{2, ask("b", 100, 4)})
	d.take(0, Pushed{3, ask("c", 10, 1)})
	d.take(10_000, Woken{})
	if !slices.Equal(d.ran, []int{1, 2, 3}) || d.ends[1] != 1000 || d.ends[3] <= d.ends[2] || d.ends[2] != 3000 {
		t.Errorf("ran %v, ended %v", d.ran, d.ends) // four slots on two cores take twice as long
	}
}

// A worker that did more in a second than its cores can do would flatter every scheduler.
func TestNoMoreWorkIsDoneThanTheCoresCanDo(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		d, asked, last := play(worker(false)), 0.0, ledger.Time(0)
		for push := 1; push <= 40; push++ {
			last += ledger.Time(r.IntN(900))
			work := 1 + 200*r.Float64()
			d.take(last, Pushed{push, ask("x", work, 1)})
			if !slices.Contains(d.said[push], TurnedAway) {
				asked += work
			}
		}
		d.take(last+10_000_000, Woken{})
		end := ledger.Time(0)
		for push := 1; push <= 40; push++ {
			if d.ends[push] == 0 {
				t.Fatalf("seed %d: push %d has no end", seed, push)
			}
			end = max(end, d.ends[push])
		}
		if least := asked * 10 / 2; float64(end) < least-1 {
			t.Errorf("seed %d: %.0f ms of work were done on two cores in %.1f ms", seed, asked, float64(end)/10)
		}
	}
}

func TestAGroupDropsARepeatWithinItsWindowAndNoLonger(t *testing.T) {
	zone := NewMemory()
	first := New("a", Make{Cores: 1, Speed: 1, Slots: 1, Queue: 9}, rules, NewMemory(), zone, NewMemory(), 1, 0, false)
	second := New("b", Make{Cores: 1, Speed: 1, Slots: 1, Queue: 9}, rules, NewMemory(), zone, NewMemory(), 1, 0, false)
	j := Job{Op: "x", Effect: "e", Work: 10, Dedup: true, Scope: "zone", Window: 1000}
	a, b := play(first), play(second)
	a.take(0, Pushed{1, j})
	b.take(1000, Pushed{2, j})
	b.take(1001, Pushed{3, j})
	if b.take(5000, Woken{}); !slices.Equal(b.ran, []int{3}) || b.ends[2] != 1000 {
		t.Errorf("ran %v, ended %v", b.ran, b.ends)
	}
}

// 2 cores may be sent 3,471 ms at 2 s of age, and with jobs of 100 ms 1,378 ms more are chance; right after the start 2,250 and 1,149.
func TestAColdWorkerFallsOverOnlyUnderMoreThanItCanBear(t *testing.T) {
	for _, c := range []struct {
		at    ledger.Time
		usual float64
		fell  bool
	}{{20_000, 440, false}, {20_000, 442, true}, {1, 308, false}, {1, 310, true}} {
		d := play(worker(true))
		for push := 1; push <= 11; push++ {
			d.take(c.at, Pushed{push, ask("x", c.usual, 1)})
		}
		if d.fell != c.fell {
			t.Errorf("11 jobs of %.0f ms at %d: fell %v", c.usual, c.at, d.fell)
		}
	}
}

// What hangs says nothing and loses nothing; what drains hands back what it has not begun.
func TestHangingAndDraining(t *testing.T) {
	d := play(worker(false))
	for push := 1; push <= 6; push++ {
		d.take(0, Pushed{push, ask("x", 100, 1)})
	}
	d.take(100, Changed{Ails{Hung: true}})
	if d.take(50_000, Woken{}); len(d.ends) > 0 {
		t.Errorf("a worker that hangs ended %v", d.ends)
	}
	d.take(60_000, Changed{Ails{Draining: true}})
	d.take(60_000, Pushed{7, ask("x", 1, 1)})
	d.take(90_000, Woken{})
	for push, want := range map[int]Word{1: Done, 4: Done, 5: Returned, 6: Returned, 7: TurnedAway} {
		if words := d.said[push]; len(words) == 0 || words[len(words)-1] != want {
			t.Errorf("push %d: %v, want %s at last", push, words, want)
		}
	}
	if !d.b.Idle() {
		t.Error("it still holds something")
	}
}

func TestConnectionsBeyondTheLimitAreNotAdmitted(t *testing.T) {
	b := worker(false)
	for n, want := range []bool{true, true, false} {
		if a := b.Take(0, Dialed{n})[0].(Admit); a.May != want {
			t.Errorf("connection %d: %v", n, a.May)
		}
	}
	b.Take(0, Hangup{})
	if a := b.Take(0, Dialed{3})[0].(Admit); !a.May {
		t.Error("a place that is free again is not given")
	}
}
