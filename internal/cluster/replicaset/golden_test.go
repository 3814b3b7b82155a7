package replicaset

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"woaddyke/internal/testsupport/golden"
)

const goldenFolder = "testdata/golden"

// filler sets every exported field that it reaches to a non-zero value, and no two numbers or texts to
// the same one.
type filler struct{ last int }

func (f *filler) fill(t *testing.T, v reflect.Value) {
	t.Helper()
	f.last++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(t, v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(t, v.Index(i))
		}
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.last))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.last))
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		if v.OverflowUint(uint64(f.last)) {
			t.Fatalf("%d is too large for %s", f.last, v.Type())
		}
		v.SetUint(uint64(f.last))
	default:
		t.Fatalf("%s can't be filled", v.Type())
	}
}

// filled is a value of which every exported field is set.
func filled[T any](t *testing.T) (value T) {
	t.Helper()
	new(filler).fill(t, reflect.ValueOf(&value).Elem())
	requireNonZero(t, reflect.TypeFor[T]().String(), reflect.ValueOf(value))
	return value
}

// requireNonZero fails the test where an exported field, or an element of a list, has its zero value.
func requireNonZero(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Fatalf("%s is zero", path)
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				requireNonZero(t, path+"."+field.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Fatalf("%s is empty", path)
		}
		for i := range v.Len() {
			requireNonZero(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

func readGolden(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

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
	if err := cbor.Unmarshal(readGolden(t, path), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, value)
	}
}

// The data of a raft snapshot keeps its bytes, with the names of its fields, and decodes to the same value.
func TestGoldenSnapshotData(t *testing.T) {
	requireGolden(t, "settled", filled[settled](t))
}

// The seats in the context of a raft configuration change keep their bytes and decode to the same value.
func TestGoldenConfigurationChangeContext(t *testing.T) {
	requireGolden(t, "seats", filled[[]Voter](t))
}

// A set of replicas keeps its bytes and decodes to the same value.
func TestGoldenSet(t *testing.T) {
	requireGolden(t, "set", filled[Set](t))
}

// The state that a replica stores keeps its bytes and decodes to the same value.
func TestGoldenState(t *testing.T) {
	requireGolden(t, "state", filled[State](t))
}

// A core that starts on a snapshot whose data an earlier build wrote takes its turn and the names of its
// voters.
func TestGoldenSnapshotDataIsTakenAtStart(t *testing.T) {
	data := filled[settled](t)
	voters := []uint64{data.Voters[0].ID, data.Voters[1].ID}
	snapshot := raftpb.Snapshot{Data: readGolden(t, filepath.Join(goldenFolder, "settled.cbor")),
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
