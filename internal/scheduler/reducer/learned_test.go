package reducer

import (
	"encoding/json"
	"reflect"
	"testing"

	"woaddyke/dispatch"
	"woaddyke/internal/workers/outcome"
)

// An ID of a predecessor's op that is open, or was answered with time left, stays reserved at its
// successor: a second op under it would be a copy. A zone's verdicts belong to its name, not to its number.
func TestSuccessorKnowsIDsAndZones(t *testing.T) {
	was := started()
	arrive(was, 1, "look")
	arrive(was, 2, "pay")
	was.Step(3, AttemptEnded{Op: 2, Ending: outcome.Done, Result: []byte("x")})
	for n := range uint64(40) {
		arrive(was, 10+n, "look")
		was.Step(4, AttemptEnded{Op: 10 + n, Ending: outcome.DialTimedOut})
	}
	text, err := json.Marshal(was.Learned())
	if err != nil {
		t.Fatal(err)
	}
	var l LearnedState
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	l.Zones[0], l.Zones[1] = "elsewhere", l.Zones[0]
	is := started()
	is.Step(5, StateRestored{l})
	for _, id := range []uint64{1, 2} {
		if a, ok := first[Respond](arrive(is, id, "look")); !ok || a.Verdict != DuplicateID {
			t.Errorf("id %d is free: %v", id, a)
		}
	}
	if a, ok := first[Respond](arrive(is, 99, "look")); ok && a.Verdict == DuplicateID {
		t.Error("an id that nobody has is taken")
	}
	if a, ok := first[Respond](is.Step(3*second, OpArrived{Op: 3, ID: "2", Category: "look", TTL: 9 * second})); ok && a.Verdict == DuplicateID {
		t.Error("an id is taken beyond its TTL")
	}
	// Nothing at all, or of another site, is no reason to fail.
	for _, text := range []string{"{}", `{"zones":["a","b"],"module":{"zones":[[]]},"ids":{"a":-1}}`} {
		var none LearnedState
		if err := json.Unmarshal([]byte(text), &none); err != nil {
			t.Fatal(err)
		}
		r := started()
		r.Step(5, StateRestored{none})
		if _, pushed := first[Push](arrive(r, 1, "look")); !pushed {
			t.Errorf("after %s nothing is pushed", text)
		}
	}
}

// A process counts moments by its own clock: all of them move to its successor's, and spans stay as they
// are.
func TestWhatWasLearnedMovesToAnotherClock(t *testing.T) {
	at := func(moment dispatch.Time) LearnedState {
		verdicts := func() []dispatch.Verdict { return []dispatch.Verdict{{At: moment, OK: true}, {At: moment + 1}} }
		return LearnedState{IDs: map[string]dispatch.Time{"a": moment, "held": 0}, Dropped: map[string]dispatch.Time{"old": moment},
			Zones: []string{"z"}, Module: dispatch.Learned{HalvedAt: moment, StartDelays: []dispatch.Time{3}, ProbeRTTs: []dispatch.Time{4},
				StartSamples: [][2]dispatch.Time{{moment, 5}}, PlacementVerdicts: verdicts(), Zones: [][]dispatch.Verdict{verdicts()},
				Categories: map[string]dispatch.LearnedCategory{"look": {LongestTTL: 6, ServiceTimes: []dispatch.Time{7}}},
				Workers: map[uint64]*dispatch.LearnedWorker{1: {StartedAt: moment, QueueSamples: [][2]float64{{8, 9}}, Health: verdicts()},
					2: {StartedAt: 0}, 3: nil}}}
	}
	got := at(1000)
	if got.Shift(-700); !reflect.DeepEqual(got, at(300)) {
		t.Errorf("%+v", got)
	}
}
