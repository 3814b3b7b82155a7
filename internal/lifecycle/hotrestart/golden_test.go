package hotrestart

import (
	"reflect"
	"testing"

	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

// Guards the bytes of the state, which processes of other builds send and read during a handover.
func TestStateKeepsItsForm(t *testing.T) {
	state := filled.Value[State](t)
	state.Version = 3
	requireGoldenState(t, "testdata/state_announces.json.golden", state)
	state.AnnouncesOps = false // older builds do not send this field
	requireGoldenState(t, "testdata/state_ended.json.golden", state)
	state.EndedProcesses = nil // still older builds do not send this field
	requireGoldenState(t, "testdata/state.json.golden", state)
}

// requireGoldenState fails the test unless a state is encoded as the content of the file and decoded
// unchanged.
func requireGoldenState(t *testing.T, path string, state State) {
	t.Helper()
	text, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, text)
	read, err := DecodeState(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, state) {
		t.Errorf("read %+v, want %+v", read, state)
	}
}

// Guards the bytes of a request, which processes of other builds send and read.
func TestRequestKeepsItsForm(t *testing.T) {
	request := filled.Value[Request](t)
	request.Version = 3
	text, err := request.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/asker.json.golden", text)
	read, err := DecodeRequest(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, request) {
		t.Errorf("read %+v, want %+v", read, request)
	}
}
