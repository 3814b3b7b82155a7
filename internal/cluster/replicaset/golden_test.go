package replicaset

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

const goldenFolder = "testdata/golden"

// requireGolden compares a value's CBOR with its file in both directions.
func requireGolden[T any](t *testing.T, name string, value T) {
	t.Helper()
	path := filepath.Join(goldenFolder, name+".cbor")
	text, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, text)
	var got T
	if err := cbor.Unmarshal(golden.Read(t, path), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, value)
	}
}

// The data of a raft snapshot keeps its bytes, with the names of its fields, and decodes to the same value.
func TestGoldenSnapshotData(t *testing.T) {
	requireGolden(t, "settled", filled.Numbered[settled](t))
}

// The seats in the context of a raft configuration change keep their bytes and decode to the same value.
func TestGoldenConfigurationChangeContext(t *testing.T) {
	requireGolden(t, "seats", filled.Numbered[[]Voter](t))
}

// A set of replicas keeps its bytes and decodes to the same value.
func TestGoldenSet(t *testing.T) {
	requireGolden(t, "set", filled.Numbered[Set](t))
}

// The state that a replica stores keeps its bytes and decodes to the same value.
func TestGoldenState(t *testing.T) {
	requireGolden(t, "state", filled.Numbered[State](t))
}

// A core that starts on a snapshot whose data an earlier build wrote takes its turn and the names of its
// voters.
func TestGoldenSnapshotDataIsTakenAtStart(t *testing.T) {
	data := filled.Numbered[settled](t)
	voters := []uint64{data.Voters[0].ID, data.Voters[1].ID}
	snapshot := raftpb.Snapshot{Data: golden.Read(t, filepath.Join(goldenFolder, "settled.cbor")),
		Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: raftpb.ConfState{Voters: voters}}}
	hard := raftpb.HardState{Term: 1, Commit: 1}
	snapshotText, errSnapshot := snapshot.Marshal()
	hardText, errHard := hard.Marshal()
	if errSnapshot != nil || errHard != nil {
		t.Fatal(errSnapshot, errHard)
	}
	terms := Defaults()
	terms.Name, terms.Replicas = data.Voters[0].Name, []string{data.Voters[0].Name, data.Voters[1].Name}
	core := New(terms, State{VoterID: voters[0], GroupID: 1, Snapshot: snapshotText, HardState: hardText}, 0)
	core.Step(1, Membership{Serving: true})
	want := Set{GroupID: 1, Epoch: data.Epoch, New: terms.Replicas}
	if got := core.Set(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v; the core takes part: %s", got, want, core.Status())
	}
}
