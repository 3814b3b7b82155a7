package simulation

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"woaddyke/internal/cluster/replication"
)

// opState is the state of an op in the model with a single scheduler.
type opState struct {
	holder int // request ID of the claim that is granted and not released; 0: none
	ended  bool
}

// singleSchedulerModel is the sequential model of an op: the history of an op must be linearizable to a
// sequence of steps that one scheduler could have taken.
var singleSchedulerModel = porcupine.Model{
	Init: func() any { return opState{} },
	Step: func(state, input, output any) (bool, any) {
		s, entry := state.(opState), input.(HistoryEntry)
		switch entry.Step {
		case stepReleased:
			if s.holder == entry.Claim && !s.ended {
				return true, opState{}
			}
			return false, s
		case stepEnded:
			if s.holder == entry.Claim && !s.ended {
				return true, opState{entry.Claim, true}
			}
			return false, s
		}
		switch output.(replication.ClaimResult) {
		case replication.Granted:
			return s.holder == 0, opState{holder: entry.Claim}
		case replication.AlreadyAnswered, replication.AlreadyEnded:
			return s.ended, s
		}
		return true, s // a claim may be refused in any state
	},
	Equal: func(a, b any) bool { return a == b },
}

// The histories of random runs are linearizable to a single scheduler. The checker of the cluster only counts
// grants. This test also checks the order of grants, releases and ends.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		c := New(5, 3, seed)
		r := c.Rand
		c.LossProbability, c.DuplicationProbability, c.MeanDelay = 0.1, 0.05, Time(2+r.IntN(300))
		for i := range 5 {
			c.Start(i)
		}
		c.Run(6 * Second)
		begin := c.Now()
		for k := range 250 {
			i, key := r.IntN(5), fmt.Sprint("op", k/25, "-", r.IntN(3))
			c.At(begin+Time(k*500+r.IntN(500)), func() { c.Claim(i, key) })
		}
		for k := range 8 {
			i, at := r.IntN(5), begin+Time(k*15_000+r.IntN(15_000))
			c.At(at, func() { c.Pause(i) })
			c.At(at+Time(r.IntN(12_000)), func() { c.Resume(i) })
			j := r.IntN(5)
			c.At(at, func() { c.CutLink(i, j, true) })
			c.At(at+Time(r.IntN(12_000)), func() { c.CutLink(i, j, false) })
		}
		c.Run(begin + 30*Second)
		byKey := map[string][]porcupine.Operation{}
		for i, entry := range c.History {
			operation := porcupine.Operation{
				ClientId: i,
				Input:    entry,
				Output:   entry.Result,
				Call:     int64(entry.RequestedAt),
				Return:   int64(entry.At),
			}
			if entry.Step != stepDecided {
				operation.Call = operation.Return
			}
			byKey[entry.Key] = append(byKey[entry.Key], operation)
		}
		granted := 0
		for key, operations := range byKey {
			if !porcupine.CheckOperations(singleSchedulerModel, operations) {
				t.Fatalf("seed %d: the history of %s is not linearizable", seed, key)
			}
			for _, operation := range operations {
				if operation.Output == replication.Granted {
					granted++
				}
			}
		}
		if granted < 20 {
			t.Errorf("seed %d: only %d claims were granted", seed, granted)
		}
	}
}

// The model must reject a history with two grants of one op, and accept a grant after a release. Otherwise
// the check of random histories would detect nothing.
func TestTheHistoryModelRejectsADoubleGrant(t *testing.T) {
	granted := func(claim int, call, end int64) porcupine.Operation {
		return porcupine.Operation{
			ClientId: claim,
			Input:    HistoryEntry{Step: stepDecided, Claim: claim},
			Output:   replication.Granted,
			Call:     call,
			Return:   end,
		}
	}
	if porcupine.CheckOperations(singleSchedulerModel, []porcupine.Operation{
		granted(1, 0, 10),
		granted(2, 5, 20),
	}) {
		t.Error("a history with two grants of one op is accepted")
	}
	released := porcupine.Operation{
		ClientId: 3,
		Input:    HistoryEntry{Step: stepReleased, Claim: 1},
		Output:   replication.ClaimResult(0),
		Call:     12,
		Return:   12,
	}
	grantedAfterRelease := []porcupine.Operation{granted(1, 0, 10), released, granted(2, 13, 20)}
	if !porcupine.CheckOperations(singleSchedulerModel, grantedAfterRelease) {
		t.Error("a history with a grant after a release is rejected")
	}
}
