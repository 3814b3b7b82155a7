package discovery

import (
	"encoding/json"
	"testing"

	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

// Guards the JSON of discovery's list, which discovery sends, configurations hold and a handover
// carries between builds.
func TestMessageKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/message.json.golden", filled.Value[EndpointList](t))
}

// Guards the bytes of the known workers, in order of their names, that a handover carries between
// builds.
func TestKnownKeepsItsForm(t *testing.T) {
	message := filled.Value[EndpointList](t)
	r := Client{revision: message.Rev, workers: map[string]target{}}
	for _, worker := range message.Targets {
		r.workers[worker.UID] = worker
	}
	text, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/known.json.golden", text)
	var read EndpointList
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	filled.RequireSet(t, read)
}

// Guards the JSON of the workers' starts, by their names, that a handover carries between builds.
func TestStartsKeepTheirForm(t *testing.T) {
	starts := NewStartTimes(clock.Clock{}, filled.Value[map[string]WorkerStart](t))
	filled.CompareJSON(t, "testdata/starts.json.golden", starts.Snapshot())
}
