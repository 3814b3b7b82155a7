package discovery

import (
	"encoding/json"
	"testing"

	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

// Guards the JSON format of the endpoint list, which discovery sends, configurations contain and a hot
// restart passes between builds.
func TestTheJSONOfAnEndpointListIsUnchanged(t *testing.T) {
	filled.CompareJSON(t, "testdata/message.json.golden", filled.Value[EndpointList](t))
}

// Guards the bytes of the snapshot of the known workers, sorted by name, which a hot restart passes between
// builds.
func TestTheJSONOfASnapshotIsUnchanged(t *testing.T) {
	list := filled.Value[EndpointList](t)
	client := Client{revision: list.Rev, workers: map[string]target{}}
	for _, worker := range list.Targets {
		client.workers[worker.UID] = worker
	}
	text, err := client.Snapshot()
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

// Guards the JSON format of the workers' start times by name, which a hot restart passes between builds.
func TestTheJSONOfStartTimesIsUnchanged(t *testing.T) {
	starts := NewStartTimes(clock.Clock{}, filled.Value[map[string]WorkerStart](t))
	filled.CompareJSON(t, "testdata/starts.json.golden", starts.Snapshot())
}
