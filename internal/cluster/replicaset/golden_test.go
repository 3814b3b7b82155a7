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

// requireGolden requires that a value's CBOR equals its golden file, and that the file decodes to the value.
func requireGolden[T any](t *testing.T, name string, value T) {
	t.Helper()
	path := filepath.Join(goldenFolder, name+".cbor")
	data, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, data)
	var got T
	if err := cbor.Unmarshal(golden.Read(t, path), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, value)
	}
}

// The data of a raft snapshot is encoded as in its golden file, including the field names.
func TestGoldenSnapshotData(t *testing.T) {
	requireGolden(t, "settled", filled.Numbered[snapshotData](t))
}

// The voters in the context of a raft configuration change are encoded as in their golden file.
func TestGoldenConfigurationChangeContext(t *testing.T) {
	requireGolden(t, "seats", filled.Numbered[[]Voter](t))
}

// A replica set is encoded as in its golden file.
func TestGoldenSet(t *testing.T) {
	requireGolden(t, "set", filled.Numbered[Set](t))
}

// The stored state of a replica is encoded as in its golden file.
func TestGoldenState(t *testing.T) {
	requireGolden(t, "state", filled.Numbered[State](t))
}

// A core that starts from a snapshot of an earlier build adopts the snapshot's epoch and voter names.
func TestGoldenSnapshotDataIsAppliedAtStart(t *testing.T) {
	data := filled.Numbered[snapshotData](t)
	voters := []uint64{data.Voters[0].ID, data.Voters[1].ID}
	snapshot := raftpb.Snapshot{Data: golden.Read(t, filepath.Join(goldenFolder, "settled.cbor")),
		Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: raftpb.ConfState{Voters: voters}}}
	hard := raftpb.HardState{Term: 1, Commit: 1}
	snapshotBytes, errSnapshot := snapshot.Marshal()
	hardBytes, errHard := hard.Marshal()
	if errSnapshot != nil || errHard != nil {
		t.Fatal(errSnapshot, errHard)
	}
	config := Defaults()
	config.Name, config.Replicas = data.Voters[0].Name, []string{data.Voters[0].Name, data.Voters[1].Name}
	c := New(config, State{VoterID: voters[0], GroupID: 1, Snapshot: snapshotBytes, HardState: hardBytes}, 0)
	c.Step(1, Membership{Serving: true})
	want := Set{GroupID: 1, Epoch: data.Epoch, New: config.Replicas}
	if got := c.Set(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v; status %s", got, want, c.Status())
	}
}
