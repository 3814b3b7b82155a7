// Package store persists the records and the state of a replica in one file. The file is an embedded database
// with atomic transactions, and only one process can open it at a time. The package makes no decisions.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

// lockTimeout is how long Open waits for a predecessor to close the file.
const lockTimeout = 2 * time.Second

// Descriptors is the number of file descriptors that an open store uses.
const Descriptors = 1

// Versions of the file format. Open converts earlier versions.
const (
	versionCatchUp   = 1 // the records are dropped: the replica catches up like a new one
	versionWallClock = 2 // the ages of the records are unknown
	currentVersion   = 3
)

// The names of the buckets, and the keys in the bucket meta.
var (
	recordsBucket = []byte("records")
	metaBucket    = []byte("meta")
	cursorsBucket = []byte("seen")

	incarnationKey = []byte("life")
	setIDKey       = []byte("epoch")
	versionKey     = []byte("version")
	replicaSetKey  = []byte("agreed")
	clockKey       = []byte("clock")
)

// incarnationBytes is the size of a stored incarnation, which consists of generation and nonce.
const incarnationBytes = 16

// VersionError reports a file format version that this build does not read.
type VersionError struct{ Version byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("file format version is %d, this build reads up to %d", e.Version, currentVersion)
}

// Store is the open file of a replica.
type Store struct {
	db *bbolt.DB
}

// Open opens or creates the file of a replica. With sync off, a crash of the machine (but not of the process)
// may lose the last records. The records of a replica that restarts after such a crash must not be trusted.
func Open(path string, sync bool) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{
		Timeout:        lockTimeout,
		NoSync:         !sync,
		NoFreelistSync: true,
		FreelistType:   bbolt.FreelistMapType,
	})
	if err != nil {
		return nil, fmt.Errorf("copies: %s: %w", path, err)
	}
	if err := db.Update(prepare); err != nil {
		return nil, fmt.Errorf("copies: %s: %w", path, errors.Join(err, db.Close()))
	}
	return &Store{db}, nil
}

// prepare creates the buckets, and converts a file of an earlier version.
func prepare(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if err := convert(tx, meta); err != nil {
		return err
	}
	_, err1 := tx.CreateBucketIfNotExists(recordsBucket)
	_, err2 := tx.CreateBucketIfNotExists(cursorsBucket)
	return errors.Join(err1, err2, meta.Put(versionKey, []byte{currentVersion}))
}

// convert drops the data of a file of an earlier version that this build cannot use. It leaves wall-clock
// times to Load, which converts them.
func convert(tx *bbolt.Tx, meta *bbolt.Bucket) error {
	version := meta.Get(versionKey)
	if version == nil {
		return nil
	}
	switch version[0] {
	case versionCatchUp:
		return errors.Join(tx.DeleteBucket(recordsBucket), meta.Delete(incarnationKey))
	case versionWallClock, currentVersion:
		return nil
	}
	return &VersionError{version[0]}
}

// Contents are the records in a file, with the incarnation and the replica set that they belong to.
type Contents struct {
	Records     []replication.Record
	Incarnation replication.Incarnation // incarnation in which the records are complete
	SetID       uint64                  // ID of the replica set under which the records were persisted
	Complete    bool                    // false: the file is new, or the replica has not caught up
}

// Load reads the records. It also converts the times in the file to the clock of the boot that the parameter
// now names.
func (s *Store) Load(now boottime.Reading) (contents Contents, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := rebase(tx, now); err != nil {
			return err
		}
		return contents.read(tx, now)
	})
	if err != nil {
		return Contents{}, fmt.Errorf("copies: load the records: %w", err)
	}
	return contents, nil
}

func (c *Contents) read(tx *bbolt.Tx, now boottime.Reading) error {
	meta := tx.Bucket(metaBucket)
	data := meta.Get(incarnationKey)
	if len(data) != incarnationBytes {
		return nil
	}
	c.Incarnation = replication.Incarnation{
		Generation: binary.BigEndian.Uint64(data),
		Nonce:      binary.BigEndian.Uint64(data[8:]),
	}
	c.Complete = c.Incarnation != replication.Incarnation{}
	if setID := meta.Get(setIDKey); len(setID) == 8 {
		c.SetID = binary.BigEndian.Uint64(setID)
	}
	return tx.Bucket(recordsBucket).ForEach(func(_, data []byte) error {
		record, err := decodeRecord(data, now)
		c.Records = append(c.Records, record)
		return err
	})
}

// decodeRecord decodes a record. It drops the ages of the outcomes, because the time since an op ran is
// unknown after a restart. An age that is too small would let the op run again in its group after the group
// has stopped dropping repeats.
func decodeRecord(data []byte, now boottime.Reading) (replication.Record, error) {
	var r row
	if err := cbor.Unmarshal(data, &r); err != nil {
		return replication.Record{}, err
	}
	for i := range r.Record.Outcomes {
		r.Record.Outcomes[i].Age = 0
	}
	r.Record.Age = r.age(now)
	return r.Record, nil
}

// Write writes and deletes records in one transaction. When Write returns without an error, the changes
// survive a crash of the process, and with sync on also a crash of the machine. Call Write after Load, in the
// same boot of the machine.
func (s *Store) Write(now boottime.Reading, put []replication.Record, deleted []string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := clockAt(now).write(tx.Bucket(metaBucket)); err != nil {
			return err
		}
		records := tx.Bucket(recordsBucket)
		for _, record := range put {
			if err := putCBOR(records, []byte(record.Key), newRow(record, now)); err != nil {
				return err
			}
		}
		for _, key := range deleted {
			if err := records.Delete([]byte(key)); err != nil {
				return err
			}
		}
		return nil
	})
}

func putCBOR(bucket *bbolt.Bucket, key []byte, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, data)
}

// Cursors reads the replication cursors. The cursor of another replica is the position up to which the
// changes of that replica are in the file.
func (s *Store) Cursors() (cursors []replication.ReplicationCursor, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(cursorsBucket).ForEach(func(_, data []byte) error {
			var cursor replication.ReplicationCursor
			err := cbor.Unmarshal(data, &cursor)
			cursors = append(cursors, cursor)
			return err
		})
	})
	if err != nil {
		err = fmt.Errorf("copies: read the replication cursors: %w", err)
	}
	return cursors, err
}

// SaveCursors writes replication cursors, at most one for each replica.
func (s *Store) SaveCursors(cursors []replication.ReplicationCursor) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, cursor := range cursors {
			if err := putCBOR(tx.Bucket(cursorsBucket), []byte(cursor.Replica), cursor); err != nil {
				return err
			}
		}
		return nil
	})
}

// SetIncarnation writes the incarnation and the replica set for which the records are complete from now on. A
// zero incarnation means that the records are incomplete.
func (s *Store) SetIncarnation(incarnation replication.Incarnation, setID uint64) error {
	data := binary.BigEndian.AppendUint64(nil, incarnation.Generation)
	data = binary.BigEndian.AppendUint64(data, incarnation.Nonce)
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		return errors.Join(
			meta.Put(incarnationKey, data),
			meta.Put(setIDKey, binary.BigEndian.AppendUint64(nil, setID)),
		)
	})
}

// ReplicaSetState reads the state of the replica set core. known is false if the file has no such state.
func (s *Store) ReplicaSetState() (state replicaset.State, known bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		data := tx.Bucket(metaBucket).Get(replicaSetKey)
		if data == nil {
			return nil
		}
		known = true
		return cbor.Unmarshal(data, &state)
	})
	if err != nil {
		err = fmt.Errorf("copies: read the replica set state: %w", err)
	}
	return state, known, err
}

// SaveReplicaSetState writes the state of the replica set core. The state is durable when the method returns
// without an error, even with sync off: a voter that loses its raft vote may vote twice.
func (s *Store) SaveReplicaSetState(state replicaset.State) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		return putCBOR(tx.Bucket(metaBucket), replicaSetKey, state)
	})
	if err != nil || !s.db.NoSync {
		return err
	}
	return s.db.Sync()
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
