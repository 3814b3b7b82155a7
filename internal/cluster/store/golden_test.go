package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

const goldenFile = "testdata/keeper.db"

// goldenNow is the time at which the golden file was written.
var goldenNow = boottime.Reading{BootID: "start-of-the-golden-file", SinceBoot: 1000 * time.Second}

// goldenContent is the content of a replica's file.
type goldenContent struct {
	Records     []replication.Record // ordered by key
	Incarnation replication.Incarnation
	SetID       uint64
	Cursors     []replication.ReplicationCursor // ordered by replica
	ReplicaSet  replicaset.State
}

// newGoldenContent returns content with every field set. Its first record has an outcome of each stage.
func newGoldenContent(t *testing.T) goldenContent {
	t.Helper()
	content := filled.Numbered[goldenContent](t)
	stages := []replication.Stage{
		replication.Claimed, replication.Released, replication.Abandoned, replication.Ended,
	}
	outcomes := make([]replication.Outcome, len(stages))
	for i, stage := range stages {
		outcomes[i] = filled.Numbered[replication.Outcome](t)
		outcomes[i].Stage = stage
		outcomes[i].Scheduler = fmt.Sprintf("scheduler-%d", i)
		outcomes[i].Group = fmt.Sprintf("group-%d", i)
	}
	content.Records[0].Outcomes = outcomes
	content.Records[0].Key, content.Records[1].Key = "category\x00first", "category\x00second"
	content.Cursors[0].Replica, content.Cursors[1].Replica = "keeper-1", "keeper-2"
	filled.RequireNonZero(t, "content", content)
	return content
}

// writeStore writes content to a new file through the methods of Store.
func writeStore(t *testing.T, path string, content goldenContent) {
	t.Helper()
	s, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(
		s.Write(goldenNow, content.Records, nil),
		s.SetIncarnation(content.Incarnation, content.SetID),
		s.SaveCursors(content.Cursors),
		s.SaveReplicaSetState(content.ReplicaSet),
		s.Close(),
	)
	if err != nil {
		t.Fatal(err)
	}
}

// copyOfGolden returns the path of a writable copy of the golden file.
func copyOfGolden(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keeper.db")
	if err := os.WriteFile(path, golden.Read(t, goldenFile), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// rawRows returns all encoded values of a file by bucket and key.
func rawRows(t *testing.T, path string) map[string]map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	rows := map[string]map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			values := map[string]string{}
			rows[string(name)] = values
			return bucket.ForEach(func(key, value []byte) error {
				values[string(key)] = string(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// The buckets, keys and value bytes that this build writes to a replica's file are those of the golden file.
func TestGoldenFileIsWrittenTheSame(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keeper.db")
	writeStore(t, path, newGoldenContent(t))
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		golden.Compare(t, goldenFile, golden.Read(t, path))
	}
	got, want := rawRows(t, path), rawRows(t, copyOfGolden(t))
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("the file differs\n got: %q\nwant: %q", got, want)
	}
	for bucket, keys := range map[string][]string{
		"meta":    {"agreed", "clock", "epoch", "life", "version"},
		"records": {"category\x00first", "category\x00second"},
		"seen":    {"keeper-1", "keeper-2"},
	} {
		if len(want[bucket]) != len(keys) {
			t.Errorf("bucket %s has %d rows, want %d", bucket, len(want[bucket]), len(keys))
		}
		for _, key := range keys {
			if want[bucket][key] == "" {
				t.Errorf("bucket %s has no row %q", bucket, key)
			}
		}
	}
}

// A replica's file of an earlier build is read completely: records, incarnation, replica set ID, cursors and
// replica set state.
func TestGoldenFileIsRead(t *testing.T) {
	later := goldenNow
	later.SinceBoot += 20 * time.Second
	anotherBoot := boottime.Reading{BootID: "another-start", SinceBoot: 5 * time.Second}
	for _, c := range []struct {
		name   string
		now    boottime.Reading
		passed uint64 // seconds by which each record has aged
	}{
		{"in the same boot", later, 20},
		{"in another boot", anotherBoot, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Open(copyOfGolden(t), false)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			var got goldenContent
			var complete, hasState bool
			var errCursors, errState error
			contents, errLoad := s.Load(c.now)
			got.Records, got.Incarnation = contents.Records, contents.Incarnation
			got.SetID, complete = contents.SetID, contents.Complete
			got.Cursors, errCursors = s.Cursors()
			got.ReplicaSet, hasState, errState = s.ReplicaSetState()
			if err := errors.Join(errLoad, errCursors, errState); err != nil || !complete || !hasState {
				t.Fatalf("complete %v, has a replica set state %v, %v", complete, hasState, err)
			}
			want := newGoldenContent(t)
			for i := range want.Records {
				want.Records[i].Age += c.passed
				for j := range want.Records[i].Outcomes {
					want.Records[i].Outcomes[j].Age = 0 // dropped at a restart
				}
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v\nwant %+v", got, want)
			}
		})
	}
}
