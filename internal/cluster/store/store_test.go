package store

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

func record(key string) replication.Record {
	outcome := replication.Outcome{
		Claim: replication.Claim{Scheduler: "n", Nonce: 9},
		Stage: replication.Claimed,
		Voted: true,
	}
	return replication.Record{Key: key, Fingerprint: 3, Age: 5, Outcomes: []replication.Outcome{outcome}}
}

// A replica that comes back must know what it granted, as which life; and nobody else may use its file
// meanwhile.
func TestRecordsLast(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	now := boottime.Reading{BootID: "first", SinceBoot: 1000 * time.Second}
	if got, err := s.Load(now); got.Complete || err != nil {
		t.Errorf("a new file: %v, %v", got.Complete, err)
	}
	life := replication.Incarnation{Generation: 4, Nonce: 7}
	if err := s.SetIncarnation(life, 11); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(now, []replication.Record{record("a\x00x"), record("b\x00y")}, nil); err != nil {
		t.Fatal(err)
	}
	aged := record("c\x00z")
	aged.Outcomes[0].Age = 5
	set := replicaset.Set{GroupID: 5, Epoch: 2, New: []string{"n"}}
	state := replicaset.State{VoterID: 3, GroupID: 5, Set: set, Entries: [][]byte{{1}}}
	seen := []replication.ReplicationCursor{{Replica: "m", Incarnation: life, Position: 6}}
	err = errors.Join(
		s.Write(now, []replication.Record{aged}, nil),
		s.SaveReplicaSetState(state),
		s.SaveCursors(seen),
	)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := s.Load(now); got.Records[2].Outcomes[0].Age != 0 {
		t.Error("how long ago an op ran is told over a start")
	}
	if err := s.Write(now, nil, []string{"c\x00z"}); err != nil {
		t.Fatal(err)
	}
	if got, ok, err := s.ReplicaSetState(); err != nil || !ok || !reflect.DeepEqual(got, state) {
		t.Errorf("the agreement: %+v, %v, %v", got, ok, err)
	}
	if got, err := s.Cursors(); err != nil || !reflect.DeepEqual(got, seen) {
		t.Errorf("what was seen: %+v, %v", got, err)
	}
	if err := s.Write(now, nil, []string{"b\x00y", "never there"}); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, true); err == nil {
		t.Error("two hold one file")
	}
	s.Close()
	if s, err = Open(path, false); err != nil {
		t.Fatal(err)
	}
	want := record("a\x00x")
	want.Age = 25
	now.SinceBoot += 20 * time.Second
	got, err := s.Load(now)
	complete := Contents{Records: []replication.Record{want}, Incarnation: life, SetID: 11, Complete: true}
	if err != nil || !reflect.DeepEqual(got, complete) {
		t.Errorf("%+v, %v", got, err)
	}
	s.Close()
}

// A record is as old as has been proven, and never older: what passed between two starts of the machine
// is not known, nor by how much a clock was off that went back. From then on its age goes on.
func TestARecordIsNoOlderThanIsProven(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	at := func(boot string, seconds int) boottime.Reading {
		return boottime.Reading{BootID: boot, SinceBoot: time.Duration(seconds) * time.Second}
	}
	s, err := Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(
		s.SetIncarnation(replication.Incarnation{Generation: 1}, 1),
		s.Write(at("first", 990), []replication.Record{record("a")}, nil), // 5 s old
		s.Write(at("first", 997), nil, []string{"none"}),
		s.Close(),
	)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		what string
		now  boottime.Reading
		age  uint64
	}{
		{"at another start of the machine, an hour on", at("second", 4600), 12},
		{"20 s later at that start", at("second", 4620), 32},
		{"at a start that can't be told apart", at("", 9000), 32},
		{"once more at such a start", at("", 9900), 32},
		{"by a clock that went back", at("second", 50), 32},
		{"and goes on from there", at("second", 60), 42},
	} {
		if s, err = Open(path, false); err != nil {
			t.Fatal(err)
		}
		got, err := s.Load(c.now)
		if err != nil || len(got.Records) != 1 || got.Records[0].Age != c.age {
			t.Errorf("%s: %+v, %v, want an age of %d", c.what, got.Records, err, c.age)
		}
		s.Close()
	}
}

// A file of the form before told moments by the wall clock: its records are read, and nothing is made of
// their moments.
func TestAFileThatWentByTheWallClockIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	now := boottime.Reading{BootID: "first", SinceBoot: time.Hour}
	err = errors.Join(
		s.Write(now, []replication.Record{record("a")}, nil),
		s.SetIncarnation(replication.Incarnation{Generation: 1}, 1),
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		return errors.Join(meta.Delete(clockKey), meta.Put(versionKey, []byte{versionWallClock}))
	}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if s, err = Open(path, false); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load(now)
	if err != nil || !got.Complete || len(got.Records) != 1 || got.Records[0].Age != 0 {
		t.Errorf("%+v, %v", got, err)
	}
}

// A file that is torn, or of another kind, must be an error and not a memory.
func TestATornFileIsAnError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	s.SetIncarnation(replication.Incarnation{Generation: 1}, 1)
	s.Close()
	text, _ := os.ReadFile(path)
	for i := range min(len(text), 8192) {
		text[i] = 0x5a
	}
	os.WriteFile(path, text, 0o600)
	if s, err := Open(path, true); err == nil {
		s.Close()
		t.Error("a torn file was opened")
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such", "folder"), true); err == nil {
		t.Error("a folder that is not there")
	}
}

// A file of a later build must not be read as if it were known, nor changed.
func TestALaterVersionIsATypedError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(versionKey, []byte{currentVersion + 1})
	})
	if err := errors.Join(err, s.Close()); err != nil {
		t.Fatal(err)
	}
	var unsupported *VersionError
	if _, err := Open(path, false); !errors.As(err, &unsupported) || unsupported.Version != currentVersion+1 {
		t.Errorf("got %v", err)
	}
	if version := rawRows(t, path)["meta"]["version"]; version != string([]byte{currentVersion + 1}) {
		t.Errorf("the file has version %q now", version)
	}
}
