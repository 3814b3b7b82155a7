package simulation

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"woaddyke/internal/cluster/replication"
)

// opState is an op as if there were one scheduler: who has it, and whether it has ended.
type opState struct {
	holder int // 0: nobody
	ended  bool
}

// singleScheduler is what the history of an op must look like, whatever order the schedulers were asked in.
var singleScheduler = porcupine.Model{
	Init: func() any { return opState{} },
	Step: func(state, input, output any) (bool, any) {
		s, op := state.(opState), input.(HistoryEntry)
		switch op.Step {
		case stepReleased:
			if s.holder == op.Claim && !s.ended {
				return true, opState{}
			}
			return false, s
		case stepEnded:
			if s.holder == op.Claim && !s.ended {
				return true, opState{op.Claim, true}
			}
			return false, s
		}
		switch output.(replication.ClaimResult) {
		case replication.Granted:
			return s.holder == 0, opState{holder: op.Claim}
		case replication.AlreadyAnswered, replication.AlreadyEnded:
			return s.ended, s
		}
		return true, s // it was not given, whoever has it
	},
	Equal: func(a, b any) bool { return a == b },
}

// The histories of drawn plays are as if there were one scheduler. The judge in the play counts grants;
// this one knows orders.
func TestHistoriesAreAsOfOneScheduler(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		p := New(5, 3, seed)
		r := p.Rand
		p.Loss, p.Duplication, p.Delay = 0.1, 0.05, Time(2+r.IntN(300))
		for i := range 5 {
			p.Start(i)
		}
		p.Run(6 * Second)
		begin := p.Now()
		for k := range 250 {
			i, key := r.IntN(5), fmt.Sprint("op", k/25, "-", r.IntN(3))
			p.At(begin+Time(k*500+r.IntN(500)), func() { p.Claim(i, key) })
		}
		for k := range 8 {
			i, at := r.IntN(5), begin+Time(k*15_000+r.IntN(15_000))
			p.At(at, func() { p.Pause(i) })
			p.At(at+Time(r.IntN(12_000)), func() { p.Resume(i) })
			j := r.IntN(5)
			p.At(at, func() { p.CutLink(i, j, true) })
			p.At(at+Time(r.IntN(12_000)), func() { p.CutLink(i, j, false) })
		}
		p.Run(begin + 30*Second)
		byKey := map[string][]porcupine.Operation{}
		for n, op := range p.History {
			x := porcupine.Operation{
				ClientId: n,
				Input:    op,
				Output:   op.Result,
				Call:     int64(op.RequestedAt),
				Return:   int64(op.At),
			}
			if op.Step != stepDecided {
				x.Call = x.Return
			}
			byKey[op.Key] = append(byKey[op.Key], x)
		}
		given := 0
		for key, ops := range byKey {
			if !porcupine.CheckOperations(singleScheduler, ops) {
				t.Fatalf("seed %d: the history of %s is not that of one scheduler", seed, key)
			}
			for _, op := range ops {
				if op.Output == replication.Granted {
					given++
				}
			}
		}
		if given < 20 {
			t.Errorf("seed %d: only %d ops were given", seed, given)
		}
	}
}

// A judge that takes every history proves nothing.
func TestTheJudgeOfHistoriesSeesADouble(t *testing.T) {
	granted := func(claim int, call, end int64) porcupine.Operation {
		return porcupine.Operation{
			ClientId: claim,
			Input:    HistoryEntry{Step: stepDecided, Claim: claim},
			Output:   replication.Granted,
			Call:     call,
			Return:   end,
		}
	}
	if porcupine.CheckOperations(singleScheduler, []porcupine.Operation{granted(1, 0, 10), granted(2, 5, 20)}) {
		t.Error("an op that was given twice")
	}
	released := porcupine.Operation{
		ClientId: 3,
		Input:    HistoryEntry{Step: stepReleased, Claim: 1},
		Output:   replication.ClaimResult(0),
		Call:     12,
		Return:   12,
	}
	givenBack := []porcupine.Operation{granted(1, 0, 10), released, granted(2, 13, 20)}
	if !porcupine.CheckOperations(singleScheduler, givenBack) {
		t.Error("an op that was given back")
	}
}
