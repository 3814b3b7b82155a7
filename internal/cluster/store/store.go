// Package store persists what a replica must remember: one file, held by one process at a time, in an
// embedded store with atomic transactions. It decides nothing.
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

// lockTimeout is how long a predecessor may take to close the file.
const lockTimeout = 2 * time.Second

// Descriptors is the number of file descriptors that an open store uses.
const Descriptors = 1

// Versions of the file's form. Open converts the earlier ones.
const (
	versionCatchUp   = 1 // its records are dropped: the replica catches up as one without memory
	versionWallClock = 2 // the ages of its records are unknown
	currentVersion   = 3
)

// Buckets, and keys in the bucket meta.
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

// incarnationBytes is the size of a stored incarnation: generation and nonce.
const incarnationBytes = 16

// VersionError is a file of a version that this build does not read.
type VersionError struct{ Version byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("its form is %d, this build reads %d", e.Version, currentVersion)
}

// Store is one open file.
type Store struct {
	db *bbolt.DB
}

// Open opens or creates the file. With sync off a crash of the machine, not of the process, may lose the
// last records: a replica that comes back from one must not be believed.
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

// convert drops what this build cannot use of an earlier version. The wall clock of one is left to Load.
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

// Contents is what a file holds of a replica's records.
type Contents struct {
	Records     []replication.Record
	Incarnation replication.Incarnation // under which the records are complete
	SetID       uint64                  // of the replica set under which they were persisted
	Complete    bool                    // false, without records: a new file, or one of a replica behind
}

// Load reads the records. From here on the file uses the clock of now.
func (s *Store) Load(now boottime.Reading) (contents Contents, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := rebase(tx, now); err != nil {
			return err
		}
		return contents.read(tx, now)
	})
	if err != nil {
		return Contents{}, fmt.Errorf("copies: %w", err)
	}
	return contents, nil
}

func (c *Contents) read(tx *bbolt.Tx, now boottime.Reading) error {
	meta := tx.Bucket(metaBucket)
	text := meta.Get(incarnationKey)
	if len(text) != incarnationBytes {
		return nil
	}
	c.Incarnation = replication.Incarnation{
		Generation: binary.BigEndian.Uint64(text),
		Nonce:      binary.BigEndian.Uint64(text[8:]),
	}
	c.Complete = c.Incarnation != replication.Incarnation{}
	if setID := meta.Get(setIDKey); len(setID) == 8 {
		c.SetID = binary.BigEndian.Uint64(setID)
	}
	return tx.Bucket(recordsBucket).ForEach(func(_, text []byte) error {
		record, err := decodeRecord(text, now)
		c.Records = append(c.Records, record)
		return err
	})
}

// decodeRecord reads a record. How long ago its op ran is not known across a restart: an age that is too
// great would let the op run again in its group after the window, so it is dropped.
func decodeRecord(text []byte, now boottime.Reading) (replication.Record, error) {
	var r row
	if err := cbor.Unmarshal(text, &r); err != nil {
		return replication.Record{}, err
	}
	for i := range r.Record.Outcomes {
		r.Record.Outcomes[i].Age = 0
	}
	r.Record.Age = r.age(now)
	return r.Record, nil
}

// Write puts records and deletes others in one transaction. They are durable when it returns without an
// error. It is called after Load, in the same boot of the machine.
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
	text, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, text)
}

// Cursors reads up to which position the changes of each other replica are in the file.
func (s *Store) Cursors() (cursors []replication.ReplicationCursor, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(cursorsBucket).ForEach(func(_, text []byte) error {
			var cursor replication.ReplicationCursor
			err := cbor.Unmarshal(text, &cursor)
			cursors = append(cursors, cursor)
			return err
		})
	})
	if err != nil {
		err = fmt.Errorf("copies: %w", err)
	}
	return cursors, err
}

// SaveCursors writes cursors, one for each replica.
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

// SetIncarnation writes under which incarnation, and of which replica set, the records are complete from now
// on; a zero incarnation: they are not.
func (s *Store) SetIncarnation(incarnation replication.Incarnation, setID uint64) error {
	text := binary.BigEndian.AppendUint64(nil, incarnation.Generation)
	text = binary.BigEndian.AppendUint64(text, incarnation.Nonce)
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		return errors.Join(
			meta.Put(incarnationKey, text),
			meta.Put(setIDKey, binary.BigEndian.AppendUint64(nil, setID)),
		)
	})
}

// ReplicaSetState reads the state of the replica set core; false for a file without one.
func (s *Store) ReplicaSetState() (state replicaset.State, known bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(metaBucket).Get(replicaSetKey)
		if text == nil {
			return nil
		}
		known = true
		return cbor.Unmarshal(text, &state)
	})
	if err != nil {
		err = fmt.Errorf("copies: the agreement: %w", err)
	}
	return state, known, err
}

// SaveReplicaSetState writes the state of the replica set core. It is durable when this returns without an
// error, with sync off as well: a raft vote that is forgotten may be given twice.
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
