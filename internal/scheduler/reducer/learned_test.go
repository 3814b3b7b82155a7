package reducer

import (
	"encoding/json"
	"reflect"
	"testing"

	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// The IDs of a predecessor's ops stay reserved at the successor until their TTL, both of open and of answered
// ops. Otherwise a second op with such an ID would run as a duplicate. A zone's verdicts are restored by the
// zone's name, as its number may differ.
func TestASuccessorKeepsReservedIDsAndZoneVerdicts(t *testing.T) {
	predecessor := newTestReducer()
	submitOp(predecessor, 1, "look")
	submitOp(predecessor, 2, "pay")
	predecessor.Step(3, AttemptEnded{Op: 2, Ending: outcome.Done, Result: []byte("x")})
	for n := range uint64(40) {
		submitOp(predecessor, 10+n, "look")
		predecessor.Step(4, AttemptEnded{Op: 10 + n, Ending: outcome.DialTimedOut})
	}
	text, err := json.Marshal(predecessor.Learned())
	if err != nil {
		t.Fatal(err)
	}
	var l LearnedState
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	l.Zones[0], l.Zones[1] = "elsewhere", l.Zones[0]
	successor := newTestReducer()
	successor.Step(5, StateRestored{l})
	for _, id := range []uint64{1, 2} {
		if a, ok := firstEffect[Respond](submitOp(successor, id, "look")); !ok || a.Verdict != DuplicateID {
			t.Errorf("ID %d is not reserved: %v", id, a)
		}
	}
	if a, ok := firstEffect[Respond](submitOp(successor, 99, "look")); ok && a.Verdict == DuplicateID {
		t.Error("an unused ID is reserved")
	}
	if a, ok := firstEffect[Respond](successor.Step(3*second, OpArrived{
		Op: 3, ID: "2", Category: "look", TTL: 9 * second,
	})); ok && a.Verdict == DuplicateID {
		t.Error("an ID is reserved after its TTL")
	}
	// An empty state, or one of another deployment, must not cause a failure.
	for _, text := range []string{"{}", `{"zones":["a","b"],"module":{"zones":[[]]},"ids":{"a":-1}}`} {
		var restored LearnedState
		if err := json.Unmarshal([]byte(text), &restored); err != nil {
			t.Fatal(err)
		}
		r := newTestReducer()
		r.Step(5, StateRestored{restored})
		if _, pushed := firstEffect[Push](submitOp(r, 1, "look")); !pushed {
			t.Errorf("after the state %s nothing is pushed", text)
		}
	}
}

// The times in a learned state are readings of the process's own clock. Shift converts all of them to the
// successor's clock and leaves durations as they are.
func TestLearnedTimesShiftToAnotherClock(t *testing.T) {
	learnedAt := func(at dispatch.Time) LearnedState {
		verdicts := func() []dispatch.Verdict { return []dispatch.Verdict{{At: at, OK: true}, {At: at + 1}} }
		return LearnedState{
			IDs:     map[string]dispatch.Time{"a": at, "held": 0},
			Dropped: map[string]dispatch.Time{"old": at},
			Zones:   []string{"z"},
			Module: dispatch.Learned{
				HalvedAt:          at,
				StartDelays:       []dispatch.Time{3},
				ProbeRTTs:         []dispatch.Time{4},
				StartSamples:      [][2]dispatch.Time{{at, 5}},
				PlacementVerdicts: verdicts(),
				Zones:             [][]dispatch.Verdict{verdicts()},
				Categories: map[string]dispatch.LearnedCategory{
					"look": {LongestTTL: 6, ServiceTimes: []dispatch.Time{7}},
				},
				Workers: map[uint64]*dispatch.LearnedWorker{
					1: {StartedAt: at, QueueSamples: [][2]float64{{8, 9}}, Health: verdicts()},
					2: {StartedAt: 0},
					3: nil,
				},
			},
		}
	}
	got := learnedAt(1000)
	if got.Shift(-700); !reflect.DeepEqual(got, learnedAt(300)) {
		t.Errorf("%+v", got)
	}
}
