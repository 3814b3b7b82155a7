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

func newRecord(key string) replication.Record {
	outcome := replication.Outcome{
		Claim: replication.Claim{Scheduler: "n", Nonce: 9},
		Stage: replication.Claimed,
		Voted: true,
	}
	return replication.Record{Key: key, Fingerprint: 3, Age: 5, Outcomes: []replication.Outcome{outcome}}
}

// A replica that restarts reads from its file the records, the incarnation, the cursors and the replica set
// state. No other process can open the file while the replica has it open.
func TestStoredDataSurvivesAReopen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	now := boottime.Reading{BootID: "first", SinceBoot: 1000 * time.Second}
	if got, err := s.Load(now); got.Complete || err != nil {
		t.Errorf("a new file: %v, %v", got.Complete, err)
	}
	incarnation := replication.Incarnation{Generation: 4, Nonce: 7}
	if err := s.SetIncarnation(incarnation, 11); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(now, []replication.Record{newRecord("a\x00x"), newRecord("b\x00y")}, nil); err != nil {
		t.Fatal(err)
	}
	aged := newRecord("c\x00z")
	aged.Outcomes[0].Age = 5
	set := replicaset.Set{GroupID: 5, Epoch: 2, New: []string{"n"}}
	state := replicaset.State{VoterID: 3, GroupID: 5, Set: set, Entries: [][]byte{{1}}}
	cursors := []replication.ReplicationCursor{{Replica: "m", Incarnation: incarnation, Position: 6}}
	err = errors.Join(
		s.Write(now, []replication.Record{aged}, nil),
		s.SaveReplicaSetState(state),
		s.SaveCursors(cursors),
	)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := s.Load(now); got.Records[2].Outcomes[0].Age != 0 {
		t.Error("the age of an outcome survives Load")
	}
	if err := s.Write(now, nil, []string{"c\x00z"}); err != nil {
		t.Fatal(err)
	}
	if got, ok, err := s.ReplicaSetState(); err != nil || !ok || !reflect.DeepEqual(got, state) {
		t.Errorf("replica set state: %+v, %v, %v", got, ok, err)
	}
	if got, err := s.Cursors(); err != nil || !reflect.DeepEqual(got, cursors) {
		t.Errorf("cursors: %+v, %v", got, err)
	}
	if err := s.Write(now, nil, []string{"b\x00y", "never there"}); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, true); err == nil {
		t.Error("a file that is open was opened again")
	}
	s.Close()
	if s, err = Open(path, false); err != nil {
		t.Fatal(err)
	}
	want := newRecord("a\x00x")
	want.Age = 25
	now.SinceBoot += 20 * time.Second
	got, err := s.Load(now)
	full := Contents{Records: []replication.Record{want}, Incarnation: incarnation, SetID: 11, Complete: true}
	if err != nil || !reflect.DeepEqual(got, full) {
		t.Errorf("%+v, %v", got, err)
	}
	s.Close()
}

// A record must never be read with an age greater than its true one. The time between two boots of the
// machine is unknown, and so is how far a clock went back. In both cases the age continues from its last
// known value.
func TestARecordAgesOnlyWithinOneBoot(t *testing.T) {
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
		s.Write(at("first", 990), []replication.Record{newRecord("a")}, nil), // 5 s old
		s.Write(at("first", 997), nil, []string{"none"}),
		s.Close(),
	)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		now  boottime.Reading
		age  uint64
	}{
		{"in another boot, an hour later", at("second", 4600), 12},
		{"20 s later in that boot", at("second", 4620), 32},
		{"in a boot without an ID", at("", 9000), 32},
		{"again in a boot without an ID", at("", 9900), 32},
		{"on a clock that went back", at("second", 50), 32},
		{"10 s later on that clock", at("second", 60), 42},
	} {
		if s, err = Open(path, false); err != nil {
			t.Fatal(err)
		}
		got, err := s.Load(c.now)
		if err != nil || len(got.Records) != 1 || got.Records[0].Age != c.age {
			t.Errorf("%s: %+v, %v, want an age of %d", c.name, got.Records, err, c.age)
		}
		s.Close()
	}
}

// A file of the previous version has wall-clock times, from which no age can be derived. The records of such
// a file must be read with the age 0.
func TestRecordsOfAWallClockFileHaveAgeZero(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	now := boottime.Reading{BootID: "first", SinceBoot: time.Hour}
	err = errors.Join(
		s.Write(now, []replication.Record{newRecord("a")}, nil),
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

// Open must return an error for a corrupt file or a missing folder, and must not treat the file as a new one.
func TestACorruptFileIsNotOpened(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copies.db")
	s, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	s.SetIncarnation(replication.Incarnation{Generation: 1}, 1)
	s.Close()
	data, _ := os.ReadFile(path)
	for i := range min(len(data), 8192) {
		data[i] = 0x5a
	}
	os.WriteFile(path, data, 0o600)
	if s, err := Open(path, true); err == nil {
		s.Close()
		t.Error("a corrupt file was opened")
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such", "folder"), true); err == nil {
		t.Error("a file in a missing folder was opened")
	}
}

// Open returns a VersionError for a file of a later version, and leaves the file as it is.
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
